//! Replays jobs whose tasks crash upstreams, in virtual time, with and without the decisions
//! that contain them.
//!
//! The load: three queues share a service. For ten seconds a tenth of the jobs of one queue
//! hold a task that crashes its upstream, which is down for three seconds then. An upstream
//! has time for the ten jobs between two bad ones, not more.

mod cluster;
mod load;

use cluster::Cluster;
use load::{Outcome, Policy, QUEUES};
use test_case::test_case;

/// Index of the queue with the bad jobs.
const BAD: usize = 0;

/// Indices of the other queues.
fn others() -> impl Iterator<Item = usize> {
    (0..QUEUES.len()).filter(|queue| *queue != BAD)
}

/// Outcomes of a policy on some seeds.
fn outcomes(policy: Policy, bad_share: f64) -> Vec<Outcome> {
    let seeds = 1..=4;
    seeds
        .map(|seed| Cluster::new(policy, bad_share, seed).run())
        .collect()
}

/// Mean share of the sound jobs of a queue that ended in time.
fn in_time(outcomes: &[Outcome], queue: usize) -> f64 {
    let shares = outcomes.iter().map(|outcome| outcome.in_time(queue));
    shares.sum::<f64>() / outcomes.len() as f64
}

/// Without any containment the whole service goes down, and with a limit for each task alone
/// nearly so.
#[test_case(Policy::Naive; "lost runs are started again")]
#[test_case(Policy::CountOnly; "tasks are given up after a few crashes")]
fn other_queues_suffer_without_confinement(policy: Policy) {
    let outcomes = outcomes(policy, 0.1);
    for queue in others() {
        assert!(in_time(&outcomes, queue) < 0.9);
    }
}

#[test]
fn other_queues_hardly_notice_a_queue_whose_tasks_crash_upstreams() {
    let outcomes = outcomes(Policy::Confined, 0.1);
    for queue in others() {
        let share = in_time(&outcomes, queue);
        assert!(share >= 0.97, "{share} of {}", QUEUES[queue].name);
    }
}

/// Few bad jobs do little harm, and what contains them must not do more.
#[test]
fn containment_does_no_harm_where_few_jobs_are_bad() {
    let confined = outcomes(Policy::Confined, 0.005);
    let naive = outcomes(Policy::Naive, 0.005);
    for (queue, settings) in QUEUES.iter().enumerate() {
        let (confined, naive) = (in_time(&confined, queue), in_time(&naive, queue));
        let name = settings.name;
        assert!(
            confined >= naive - 0.01,
            "{name}: {confined}, {naive} naive"
        );
    }
}

#[test]
fn no_sound_job_fails_and_no_task_starts_too_often() {
    for bad_share in [0.005, 0.1, 0.3] {
        for outcome in outcomes(Policy::Confined, bad_share) {
            assert_eq!(0, outcome.sound_jobs_failed, "share {bad_share}");
            assert!(outcome.most_crashes_of_a_task <= 3, "share {bad_share}");
        }
    }
}

#[test]
fn nothing_is_confined_without_bad_jobs() {
    for outcome in outcomes(Policy::Confined, 0.0) {
        assert_eq!(0, outcome.confinements);
    }
}
