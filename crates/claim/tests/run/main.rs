//! Tests of runs under leases, event by event.

mod given_up;
mod processes;
mod replacement;
mod requirement;
mod unanswered;
mod upstream_clock;

use std::time::Duration;

use gentian_claim::run::{
    max_orphan_lifetime, Fate, Isolation, ListedEnd, ListedRun, Owner, Refusal, Requirement, Run,
    RunEnd, Runs, Start, StartAnswer, MAX_LEASE,
};
use gentian_wire::id::Incarnation;
use gentian_wire::need::Need;
use test_case::test_case;

const TASK: Need = Need {
    cpu: 3_000,
    memory: 64,
    accelerators: 0,
};
const CAPACITY: Need = Need {
    cpu: 10_000,
    memory: 1_000,
    accelerators: 0,
};

/// An order to start a task of job `j`, which may run beside others.
fn start() -> Start {
    Start {
        need: TASK,
        job: "j".into(),
        queue: "q".into(),
        isolation: Isolation::Shared,
        requirement: Requirement::default(),
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(name: &str) -> Owner {
    Owner {
        entry: name.parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn run(task: &str, number: u64) -> Run {
    Run {
        task: task.into(),
        number,
    }
}

/// An open upstream, with a lease of entry `a` until `MAX_LEASE`.
fn runs() -> Runs {
    let mut runs = Runs::default();
    runs.set_upstream(CAPACITY, true);
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(0));
    runs.renew_lease(&owner("a"), MAX_LEASE, ms(0));
    runs
}

/// Like [`runs`], with run 1 of task `t` admitted and its start not answered yet.
fn starting() -> Runs {
    let mut runs = runs();
    runs.admit(&owner("a"), &run("t", 1), start(), ms(0))
        .expect("capacity is free");
    let grant = runs.begin_grant(MAX_LEASE, ms(0));
    runs.end_grant(grant, true);
    runs
}

/// Like [`starting`], but the upstream has answered that the run has started.
fn running() -> Runs {
    let mut runs = starting();
    assert_eq!(
        None,
        runs.apply_start_answer(&run("t", 1), StartAnswer::Running, ms(1))
    );
    runs
}

/// Like [`running`], and the upstream has listed the run.
fn listed() -> Runs {
    let mut runs = running();
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[listed_run("t", 1, 0)], &[], ms(2));
    assert!(ends.is_empty());
    runs
}

fn listed_run(task: &str, number: u64, percent: u32) -> ListedRun {
    ListedRun {
        run: run(task, number),
        percent,
    }
}

fn listed_end(number: u64, task: &str, fate: Fate) -> ListedEnd {
    ListedEnd {
        number,
        run: run(task, 1),
        fate,
    }
}

fn fates(ends: &[RunEnd]) -> Vec<Fate> {
    ends.iter().map(|end| end.fate).collect()
}

#[test_case(Fate::Done; "done")]
#[test_case(Fate::Failed; "failed")]
#[test_case(Fate::Lost; "lapsed")]
fn an_end_is_reported_once(fate: Fate) {
    let mut runs = running();
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[listed_end(1, "t", fate)], ms(50));
    assert_eq!(vec![fate], fates(&ends));
    assert_eq!(1, runs.last_seen_end());
    let poll = runs.begin_poll();
    assert!(runs
        .apply_poll(poll, &[], &[listed_end(1, "t", fate)], ms(60))
        .is_empty());
}

#[test]
fn capacity_stays_used_until_the_end_is_listed() {
    let mut runs = running();
    for task in ["u", "v"] {
        runs.admit(&owner("a"), &run(task, 1), start(), ms(1))
            .expect("capacity is free");
    }
    let full = Err(Refusal::Full);
    assert_eq!(full, runs.admit(&owner("a"), &run("w", 1), start(), ms(2)));
    runs.request_stop(&owner("a"), &run("t", 1), ms(3));
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(3)));
    assert_eq!(full, runs.admit(&owner("a"), &run("w", 1), start(), ms(4)));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Stopped)], ms(5));
    assert_eq!(
        Ok(()),
        runs.admit(&owner("a"), &run("w", 1), start(), ms(6))
    );
}

#[test_case(false, true, Refusal::Closed; "by a closed upstream")]
#[test_case(true, false, Refusal::Expired; "without a lease")]
fn a_start_is_refused(open: bool, lease: bool, refusal: Refusal) {
    let mut runs = Runs::default();
    runs.set_upstream(CAPACITY, open);
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(0));
    if lease {
        runs.renew_lease(&owner("a"), MAX_LEASE, ms(0));
    }
    assert_eq!(
        Err(refusal),
        runs.admit(&owner("a"), &run("t", 1), start(), ms(1))
    );
}

#[test]
fn a_denied_upstream_finishes_its_runs_and_takes_no_more() {
    let mut runs = running();
    runs.set_denied(true);
    assert!(!runs.is_open());
    let refused = runs.admit(&owner("a"), &run("u", 1), start(), ms(10));
    assert_eq!(Err(Refusal::Denied), refused);
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Done)], ms(20));
    assert_eq!(vec![Fate::Done], fates(&ends));
    runs.set_denied(false);
    assert_eq!(
        Ok(()),
        runs.admit(&owner("a"), &run("u", 1), start(), ms(30))
    );
}

#[test]
fn an_order_that_arrives_after_its_lease_is_refused() {
    let mut runs = runs();
    let late = MAX_LEASE + ms(1);
    // A renewal whose end lies in the past doesn't renew the lease.
    runs.renew_lease(&owner("a"), MAX_LEASE, late);
    let refused = runs.admit(&owner("a"), &run("t", 1), start(), late);
    assert_eq!(Err(Refusal::Expired), refused);
}

#[test]
fn a_task_has_one_run_at_a_time_and_no_run_number_is_reused() {
    let mut runs = running();
    let old = Err(Refusal::OldRun);
    runs.renew_lease(&owner("b"), MAX_LEASE, ms(1));
    assert_eq!(old, runs.admit(&owner("b"), &run("t", 2), start(), ms(1)));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Failed)], ms(50));
    assert_eq!(old, runs.admit(&owner("b"), &run("t", 1), start(), ms(51)));
    assert_eq!(
        Ok(()),
        runs.admit(&owner("b"), &run("t", 2), start(), ms(51))
    );
}

#[test]
fn the_upstreams_lease_ends_with_the_longest_owner_lease() {
    let mut runs = running();
    assert_eq!(Some(MAX_LEASE), runs.upstream_lease(ms(100)));
    runs.renew_lease(&owner("a"), ms(300) + MAX_LEASE, ms(300));
    assert_eq!(Some(ms(300) + MAX_LEASE), runs.upstream_lease(ms(300)));
    assert_eq!(None, runs.upstream_lease(ms(300) + MAX_LEASE));
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(300) + MAX_LEASE));
}

#[test]
fn an_owners_lease_is_capped() {
    let mut runs = running();
    runs.renew_lease(&owner("a"), ms(60_000), ms(10));
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(10) + MAX_LEASE));
}

#[test]
fn a_poll_overtaken_by_a_later_one_stops_nothing() {
    let mut runs = running();
    let (early, later) = (runs.begin_poll(), runs.begin_poll());
    runs.apply_poll(later, &[], &[listed_end(1, "t", Fate::Done)], ms(50));
    assert!(runs
        .apply_poll(early, &[listed_run("t", 1, 99)], &[], ms(51))
        .is_empty());
    assert!(runs.take_due_stops(ms(52)).is_empty());
}

#[test]
fn a_run_that_nobody_ordered_is_stopped() {
    let mut runs = running();
    let poll = runs.begin_poll();
    runs.apply_poll(
        poll,
        &[listed_run("t", 1, 1), listed_run("stray", 7, 1)],
        &[],
        ms(50),
    );
    assert_eq!(vec![run("stray", 7)], runs.take_due_stops(ms(51)));
}

/// Guards against orders that could not even connect to a crashed upstream and
/// yet kept extending the time until its runs lapse. Seen on trouble-1 in the first
/// measurements, in which an upstream crashed.
#[test]
fn an_order_that_could_not_connect_extends_no_lease() {
    let mut runs = running();
    let mut now = ms(0);
    while now < max_orphan_lifetime() {
        now += ms(40);
        runs.renew_lease(&owner("a"), now + MAX_LEASE, now);
        let grant = runs.begin_grant(now + MAX_LEASE, now);
        runs.end_grant(grant, false);
        if !runs.end_lapsed(now).is_empty() {
            return;
        }
    }
    panic!("runs of a crashed upstream never lapse");
}

#[test]
fn nothing_lapses_while_a_lease_may_still_reach_the_upstream() {
    let mut runs = running();
    let late = ms(400);
    let grant = runs.begin_grant(late + MAX_LEASE, late);
    assert!(runs.end_lapsed(ms(800)).is_empty());
    runs.end_grant(grant, true);
    assert!(runs.end_lapsed(ms(800)).is_empty());
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.end_lapsed(late + max_orphan_lifetime()))
    );
}

#[test]
fn runs_are_lost_when_the_upstream_process_is_replaced() {
    let mut runs = running();
    let poll = runs.begin_poll();
    runs.apply_poll(
        poll,
        &[listed_run("t", 1, 5)],
        &[listed_end(9, "u", Fate::Done)],
        ms(10),
    );
    assert_eq!(9, runs.last_seen_end());
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.upstream_replaced(replacement::RESTARTED, ms(20)))
    );
    assert_eq!(0, runs.last_seen_end());
    assert!(runs.is_empty());
}

#[test]
fn a_new_stream_gets_the_ends_that_the_last_one_missed() {
    let mut runs = running();
    runs.admit(&owner("a"), &run("u", 1), start(), ms(1))
        .expect("capacity is free");
    runs.apply_start_answer(&run("u", 1), StartAnswer::Running, ms(2));
    let poll = runs.begin_poll();
    runs.apply_poll(
        poll,
        &[listed_run("u", 1, 1)],
        &[listed_end(1, "t", Fate::Done)],
        ms(50),
    );
    let known = [run("t", 1), run("u", 1), run("never", 1)];
    let ends = runs.reconcile(&owner("a"), &known, ms(60));
    assert_eq!(vec![Fate::Done, Fate::Lost], fates(&ends));
    assert!(runs.take_due_stops(ms(61)).is_empty());
}

#[test]
fn a_run_that_its_entry_no_longer_knows_is_stopped() {
    let mut runs = running();
    assert!(runs.reconcile(&owner("a"), &[], ms(10)).is_empty());
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(11)));
}

/// The pace shows within half a second that an upstream has become six times
/// slower or hangs.
#[test_case(1, 0.8..1.3; "as estimated")]
#[test_case(6, 4.0..8.0; "six times slower")]
#[test_case(1_000, 10.0..21.0; "hung")]
fn the_pace_follows_from_the_progress_of_runs(slowness: u64, expected: std::ops::Range<f64>) {
    let mut runs = runs();
    let tasks = ["t", "u", "v"];
    for task in tasks {
        runs.admit(&owner("a"), &run(task, 1), start(), ms(0))
            .expect("capacity is free");
        runs.set_estimate(&run(task, 1), ms(1_000));
        runs.apply_start_answer(&run(task, 1), StartAnswer::Running, ms(0));
    }
    for step in 1..=5 {
        let now = ms(100 * step);
        let percent = u32::try_from(10 * step / slowness).expect("a percentage");
        let running = tasks.map(|task| listed_run(task, 1, percent));
        let poll = runs.begin_poll();
        runs.apply_poll(poll, &running, &[], now);
    }
    let pace = runs.pace().expect("enough run time was observed");
    assert!(expected.contains(&pace), "pace {pace}");
}

#[test]
fn a_run_that_was_reported_lost_and_is_listed_again_is_stopped() {
    let mut runs = running();
    let poll = runs.begin_poll();
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.apply_poll(poll, &[], &[], ms(5)))
    );
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[listed_run("t", 1, 5)], &[], ms(10));
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(11)));
}

#[test]
fn an_upstream_takes_nothing_while_it_may_run_what_is_not_known_here() {
    let mut runs = Runs::default();
    runs.set_upstream(CAPACITY, true);
    runs.renew_lease(&owner("a"), MAX_LEASE, ms(0));
    let admit = |runs: &mut Runs| runs.admit(&owner("a"), &run("t", 1), start(), ms(1));
    assert_eq!(Err(Refusal::Closed), admit(&mut runs));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[listed_run("old", 7, 50)], &[], ms(2));
    assert_eq!(vec![run("old", 7)], runs.take_due_stops(ms(2)));
    assert_eq!(Err(Refusal::Closed), admit(&mut runs));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(60));
    assert_eq!(Ok(()), admit(&mut runs));
}
