//! The line of jobs that wait, and replays of the loads that it answers.

use std::time::Duration;

use gentian_limit::job_queue::{JobQueue, Objective, Rank};
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rank(not_started: bool, priority: u32, start_by: u64, arrival: u64) -> Rank {
    Rank {
        not_started,
        priority,
        start_by: ms(start_by),
        arrival,
    }
}

#[test]
fn a_job_may_wait_for_a_quarter_of_its_objective() {
    let objective = Objective {
        critical_path: ms(200),
        stretch: 1.6,
        target: ms(60),
    };
    assert_eq!(ms(380), objective.time_limit());
    assert_eq!(ms(95), objective.max_wait());
}

#[test_case(rank(false, 2, 900, 9), rank(true, 0, 100, 1); "what has begun goes first")]
#[test_case(rank(true, 0, 900, 9), rank(true, 1, 100, 1); "then priority")]
#[test_case(rank(true, 1, 100, 9), rank(true, 1, 200, 1); "then who must begin sooner")]
#[test_case(rank(true, 1, 100, 1), rank(true, 1, 100, 2); "then who came first")]
fn the_order_of_the_line(first: Rank, second: Rank) {
    let mut queue = JobQueue::default();
    queue.insert(second, 1.0);
    queue.insert(first, 1.0);
    assert_eq!(vec![&first, &second], queue.iter().collect::<Vec<_>>());
}

/// A burst: 20 jobs of two tasks of 0.2 s on 3 cores come at once where 24
/// cores work. Each needs 1.2 core-seconds, so 24 cores begin 20 a second; one
/// may wait 95 ms, so that the first two get in line and the others are told
/// at once that they can't be served, with ever later times to come back.
#[test]
fn a_burst_beyond_capacity_is_refused_on_arrival() {
    let mut queue = JobQueue::default();
    let (cores, allowed, work) = (24.0, ms(95), 1.2);
    let mut refused = Vec::new();
    for arrival in 0..20 {
        let rank = rank(true, 1, 95, arrival);
        let wait = queue.expected_wait(&rank, cores);
        match wait <= allowed {
            true => queue.insert(rank, work),
            false => refused.push(wait),
        }
    }
    assert_eq!(2, queue.len());
    assert!(refused.iter().all(|wait| *wait > allowed));
}

/// What is urgent does not wait behind what is not.
#[test]
fn the_wait_counts_only_what_goes_first() {
    let mut queue = JobQueue::default();
    queue.insert(rank(true, 2, 50, 1), 100.0);
    queue.insert(rank(true, 0, 50, 2), 2.0);
    assert_eq!(ms(2_000), queue.expected_wait(&rank(true, 1, 10, 3), 1.0));
    assert_eq!(
        Duration::ZERO,
        queue.expected_wait(&rank(true, 0, 10, 3), 1.0)
    );
}

#[test]
fn a_line_without_cores_makes_wait_for_ever_rather_than_fail() {
    let mut queue = JobQueue::default();
    queue.insert(rank(true, 0, 0, 1), 1.0);
    assert!(queue.expected_wait(&rank(true, 1, 0, 2), 0.0) > Duration::from_secs(600));
}
