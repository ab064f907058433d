//! Single faults in the simulated cluster, and tests of home and view history.

use std::net::SocketAddr;
use std::time::Duration;

use super::cluster::{index, node, Cluster, Value, AGENTS, CANDIDATES, LEASE};
use gentian_claim::coordinator::{Event, Retry, StartResult};
use gentian_claim::home::{self, ClaimOutcome, Claimant, Holder, Home};
use gentian_claim::key_window::{KeyWindow, MAX_CLOCK_SKEW};
use gentian_claim::placement::{Member, View, ViewHistory};
use gentian_claim::refusal::Refusal;
use gentian_wire::id::{self, Job};
use gentian_wire::outcome::Outcome::{self, Done, Failed, NotRun, Unknown};
use test_case::test_case;

const AGE: Duration = Duration::from_secs(10);

/// A cluster with one job at entry 0, whose claim was answered with `First`.
fn claimed(tasks: u32) -> (Cluster, Job) {
    let mut cluster = Cluster::new();
    let job = cluster.key(1, AGE);
    cluster.submit(0, job, tasks).unwrap();
    deliver(&mut cluster);
    deliver(&mut cluster);
    (cluster, job)
}

/// Delivers the messages that are in the network now, but none sent in reply.
fn deliver(cluster: &mut Cluster) {
    for message in std::mem::take(&mut cluster.network) {
        cluster.deliver(message);
    }
    cluster.check();
}

fn outcomes(cluster: &Cluster, attempt: usize) -> Vec<Outcome> {
    let answer = &cluster.attempts[attempt].answers[0];
    answer.tasks.iter().map(|(outcome, _)| *outcome).collect()
}

#[test_case(false ; "the first is followed")]
#[test_case(true ; "the first is unreachable")]
fn resubmission_while_the_first_runs(partitioned: bool) {
    let (mut cluster, job) = claimed(3);
    cluster.start(9);
    deliver(&mut cluster);
    cluster.partitioned = partitioned;
    cluster.submit(1, job, 3);
    cluster.settle();
    assert_eq!(outcomes(&cluster, 0), [Done; 3]);
    assert_eq!(outcomes(&cluster, 1), [Done; 3]);
}

#[test_case(0 ; "before its starts")]
#[test_case(9 ; "with its starts under way")]
fn coordinator_killed_after_its_claim(credit: usize) {
    let (mut cluster, job) = claimed(3);
    cluster.start(credit);
    let late = std::mem::take(&mut cluster.network);
    cluster.restart_entry(0);
    cluster.submit(1, job, 3);
    cluster.settle();
    cluster.network = late;
    cluster.settle();
    assert_eq!(outcomes(&cluster, 1), [Done; 3]);
}

#[test_case(true, &[Done] ; "of the home, which loses the claim")]
#[test_case(false, &[Unknown] ; "of a candidate, which loses the task")]
fn agent_restarts_between_two_submissions(home: bool, expected: &[Outcome]) {
    let (mut cluster, job) = claimed(1);
    let claimed = cluster.attempts[0].id;
    cluster.settle();
    assert_eq!(cluster.executions[&job.task(0)], [claimed]);
    let view = cluster.entries[0].views.current().unwrap();
    let candidates = view.candidates(job.task(0), &"s".parse().unwrap(), CANDIDATES);
    let lost = if home {
        view.home(job).unwrap()
    } else {
        &candidates[0]
    };
    assert_eq!(home, !candidates.contains(lost));
    let lost = index(lost);
    cluster.restart_agent(lost);
    cluster.renew_all();
    cluster.restart_entry(0);
    cluster.submit(1, job, 1);
    cluster.settle();
    assert_eq!(outcomes(&cluster, 1), expected);
}

#[test]
fn superseded_coordinator_reports_its_tasks_as_unknown() {
    let (mut cluster, job) = claimed(4);
    cluster.partitioned = true;
    cluster.submit(1, job, 4);
    (0..5).for_each(|_| deliver(&mut cluster));
    cluster.start(1);
    deliver(&mut cluster);
    deliver(&mut cluster);
    assert_eq!(outcomes(&cluster, 0), [Unknown; 4]);
    cluster.settle();
    assert_eq!(outcomes(&cluster, 1), [Done; 4]);
}

#[test]
fn view_changes_between_two_submissions() {
    for removed in 0..AGENTS {
        let (mut cluster, job) = claimed(3);
        cluster.start(9);
        cluster.accept(removed);
        (0..=AGENTS + 1).for_each(|node| cluster.renew(node));
        cluster.partitioned = true;
        cluster.submit(1, job, 3);
        cluster.settle();
        assert_eq!(outcomes(&cluster, 0), [Done; 3]);
        assert_eq!(outcomes(&cluster, 1), [Done; 3]);
    }
}

#[test]
fn agent_dies_with_one_of_830_tasks() {
    let (mut cluster, _) = claimed(830);
    cluster.start(830);
    deliver(&mut cluster);
    (1..830).for_each(|_| cluster.finish(1, Done));
    deliver(&mut cluster);
    let agent = node(cluster.running[0].agent);
    cluster.handle_event(0, Event::AgentLost { agent });
    cluster.check();
    let job_outcomes = outcomes(&cluster, 0);
    assert_eq!(
        job_outcomes
            .iter()
            .filter(|outcome| **outcome == Done)
            .count(),
        829
    );
    assert_eq!(
        job_outcomes
            .iter()
            .filter(|outcome| **outcome == Unknown)
            .count(),
        1
    );
}

#[test]
fn one_failed_task_fails_the_job_at_once() {
    let (mut cluster, _) = claimed(4);
    cluster.start(2);
    deliver(&mut cluster);
    cluster.finish(0, Failed);
    deliver(&mut cluster);
    assert_eq!(outcomes(&cluster, 0), [Failed, Unknown, NotRun, NotRun]);
}

/// An agent that was frozen handles a start and its cancel only after the
/// deadline. The task must not run if the cancel is handled first.
#[test_case(false ; "cancel first")]
#[test_case(true ; "start first")]
fn start_and_cancel_arrive_past_the_deadline(start_first: bool) {
    let (mut cluster, job) = claimed(2);
    cluster.start(1);
    cluster.handle_event(0, Event::Abandoned);
    assert_eq!(outcomes(&cluster, 0), [Unknown, NotRun]);
    if !start_first {
        cluster.network.reverse();
    }
    deliver(&mut cluster);
    assert_eq!(cluster.executions.contains_key(&job.task(0)), start_first);
}

#[test]
fn lost_refusal_leaves_the_task_unknown() {
    let (mut cluster, _) = claimed(1);
    cluster.now += LEASE;
    cluster.start(1);
    deliver(&mut cluster);
    cluster.network.clear();
    let lost = Event::StartEnded {
        task: 0,
        agent: first_candidate(&cluster),
        reply: StartResult::NoReply,
    };
    cluster.handle_event(0, lost);
    assert_eq!(outcomes(&cluster, 0), [Unknown]);
}

fn first_candidate(cluster: &Cluster) -> id::Node {
    let view = cluster.entries[0].views.current().unwrap();
    let task = cluster.attempts[0].job.task(0);
    view.candidates(task, &"s".parse().unwrap(), CANDIDATES)[0].clone()
}

#[test]
fn unexpected_replies_are_counted_and_ignored() {
    let (mut cluster, job) = claimed(2);
    cluster.start(1);
    let other = (0..AGENTS)
        .map(node)
        .find(|n| *n != first_candidate(&cluster))
        .unwrap();
    for (task, agent) in [
        (0, other),
        (1, first_candidate(&cluster)),
        (9, first_candidate(&cluster)),
    ] {
        let reply = StartResult::Finished {
            outcome: Done,
            answer: Value(job.task(7)),
        };
        cluster.handle_event(0, Event::StartEnded { task, agent, reply });
    }
    assert_eq!(cluster.attempts[0].coordinator.unexpected_replies(), 3);
    cluster.settle();
    assert_eq!(outcomes(&cluster, 0), [Done; 2]);
}

#[test]
fn no_more_tasks_start_than_the_credit_allows() {
    let (mut cluster, _) = claimed(10);
    cluster.start(3);
    assert_eq!(
        (
            cluster.network.len(),
            cluster.attempts[0].coordinator.waiting()
        ),
        (3, 7)
    );
}

#[test_case(2, &[Done] ; "for some rounds")]
#[test_case(20, &[NotRun] ; "until the task is given up")]
fn all_candidates_refuse(rounds: usize, expected: &[Outcome]) {
    let (mut cluster, _) = claimed(1);
    cluster.now += LEASE;
    for _ in 0..rounds * CANDIDATES {
        cluster.now = cluster.now.max(
            cluster.attempts[0]
                .coordinator
                .next_retry()
                .unwrap_or_default(),
        );
        cluster.start(1);
        deliver(&mut cluster);
        deliver(&mut cluster);
    }
    cluster.renew_all();
    cluster.now += LEASE / 2;
    cluster.settle();
    assert_eq!(outcomes(&cluster, 0), expected);
}

#[test_case(Retry::GiveUp, 1, &[NotRun] ; "given up at once")]
#[test_case(Retry::NextRound, 6, &[NotRun] ; "declined in all rounds")]
#[test_case(Retry::NextRound, 5, &[Done] ; "declined in all rounds but the last")]
#[test_case(Retry::At(Duration::ZERO), 99, &[Done] ; "delayed many times")]
fn offered_task_is_declined(retry: Retry, times: u32, expected: &[Outcome]) {
    let (mut cluster, _) = claimed(1);
    for _ in 0..times {
        cluster.now += LEASE / 40;
        let now = cluster.now;
        let coordinator = &mut cluster.attempts[0].coordinator;
        let offer = coordinator.offer(now).unwrap();
        let actions = coordinator.decline(offer.task, retry, now);
        cluster.act(0, actions);
    }
    cluster.renew_all();
    cluster.now += LEASE / 2;
    cluster.settle();
    assert_eq!(outcomes(&cluster, 0), expected);
}

#[test]
fn home_distinguishes_the_first_coordinator() {
    let start = Duration::from_secs(1000);
    let mut views = ViewHistory::new(LEASE);
    views.push(View::new(
        id::View(1),
        start,
        vec![Member::new(node(0), Vec::new())],
    ));
    let mut home = Home::new(node(0), KeyWindow::new(start));
    home.advance(start + AGE);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut claim = |job, id, view| home.claim(job, Claimant { id, address }, view, &views);
    let (young, old) = (
        Job::new(start + MAX_CLOCK_SKEW, [0; 10]),
        Job::new(start, [0; 10]),
    );
    let first = Holder {
        ballot: home::first_ballot(7),
        address,
    };
    let second = Holder {
        ballot: first.next_ballot(8),
        address,
    };
    assert_eq!(claim(young, 7, id::View(1)), Ok(ClaimOutcome::First));
    assert_eq!(claim(young, 7, id::View(1)), Ok(ClaimOutcome::First));
    assert_eq!(
        claim(young, 8, id::View(1)),
        Ok(ClaimOutcome::Claimed(first))
    );
    assert_eq!(
        claim(young, 9, id::View(1)),
        Ok(ClaimOutcome::Claimed(second))
    );
    assert_eq!(claim(old, 7, id::View(1)), Ok(ClaimOutcome::Forgotten));
    assert_eq!(
        claim(Job::new(start + MAX_CLOCK_SKEW, [1; 10]), 7, id::View(2)),
        Ok(ClaimOutcome::Forgotten)
    );
    assert_eq!(claim(young, 9, id::View(1)), Err(Refusal::OldView));
}

#[test_case(1000, Some(2) ; "created under view 3")]
#[test_case(1109, Some(2) ; "at the end of the grace period of view 3")]
#[test_case(1110, Some(1) ; "after the grace period of view 3")]
#[test_case(900, None ; "created under an unknown view")]
fn views_since_the_creation_of_a_job(created: u64, expected: Option<usize>) {
    let mut views = ViewHistory::new(LEASE);
    for (number, from) in [(1, 100), (3, 950), (4, 1100)] {
        views.push(View::new(
            id::View(number),
            Duration::from_secs(from),
            Vec::new(),
        ));
    }
    let job = Job::new(Duration::from_secs(created), [0; 10]);
    assert_eq!(views.since_creation(job).map(Iterator::count), expected);
    let mut reset_views = views.clone();
    reset_views.reset(View::new(
        id::View(9),
        Duration::from_secs(1100),
        Vec::new(),
    ));
    assert_eq!(
        reset_views.since_creation(job).map(Iterator::count),
        Some(1)
    );
    views.advance(Duration::from_secs(1109 + 605));
    assert_eq!(views.since_creation(job).map(Iterator::count), expected);
}
