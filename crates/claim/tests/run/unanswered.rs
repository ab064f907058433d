//! Starts whose answer is late or never comes.

use gentian_claim::run::{max_orphan_lifetime, Fate, Refusal, StartAnswer, MAX_LEASE};

use super::replacement::RESTARTED;
use super::{fates, listed_end, listed_run, ms, owner, run, runs, start, starting};

#[test]
fn an_unanswered_start_that_has_begun_is_found_by_a_poll() {
    let mut runs = runs();
    runs.admit(&owner("a"), &run("t", 1), start(), ms(0))
        .expect("capacity is free");
    assert_eq!(
        None,
        runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(200))
    );
    let poll = runs.begin_poll();
    assert!(runs
        .apply_poll(poll, &[listed_run("t", 1, 10)], &[], ms(210))
        .is_empty());
    assert!(runs.take_due_stops(ms(210)).is_empty());
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Done)], ms(260));
    assert_eq!(vec![Fate::Done], fates(&ends));
}

/// The upstream carries an order out and its answer is lost: the run is not stopped,
/// since a poll has listed it by the time at which the answer counts as lost.
#[test]
fn a_poll_that_lists_a_run_takes_the_place_of_the_answer_to_its_start() {
    let mut runs = starting();
    let poll = runs.begin_poll();
    assert!(runs
        .apply_poll(poll, &[listed_run("t", 1, 10)], &[], ms(60))
        .is_empty());
    assert_eq!(
        None,
        runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(80))
    );
    assert!(runs.take_due_stops(ms(80)).is_empty());
    assert_eq!(Some(MAX_LEASE), runs.upstream_lease(ms(80)));
    let poll = runs.begin_poll();
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.apply_poll(poll, &[], &[], ms(90))),
        "polls must list the run from now on"
    );
}

#[test]
fn an_unanswered_start_counts_as_refused_after_its_stop_was_answered() {
    let mut runs = starting();
    runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(200));
    let before = runs.begin_poll();
    assert!(
        runs.apply_poll(before, &[], &[], ms(201)).is_empty(),
        "the run may still begin"
    );
    runs.take_due_stops(ms(202));
    runs.stop_answered(&run("t", 1));
    let after = runs.begin_poll();
    let ends = runs.apply_poll(after, &[], &[], ms(210));
    assert_eq!(vec![Fate::Refused(Refusal::NoAnswer)], fates(&ends));
}

#[test]
fn an_unanswered_start_counts_as_refused_after_its_lease() {
    let mut runs = starting();
    runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(200));
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[], max_orphan_lifetime());
    assert_eq!(vec![Fate::Refused(Refusal::NoAnswer)], fates(&ends));
}

#[test]
fn a_poll_that_began_before_the_start_was_answered_proves_nothing() {
    let mut runs = runs();
    runs.admit(&owner("a"), &run("t", 1), start(), ms(0))
        .expect("capacity is free");
    let early = runs.begin_poll();
    runs.apply_start_answer(&run("t", 1), StartAnswer::Running, ms(2));
    assert!(runs.apply_poll(early, &[], &[], ms(3)).is_empty());
    let later = runs.begin_poll();
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.apply_poll(later, &[], &[], ms(4)))
    );
}

/// Guards against a task running twice. An upstream crashes and restarts under the
/// same id, and the new process carries out a start that was under way; reporting
/// that run as lost with the old process would let the task start again. Seen
/// with seed 53 of the soak test.
#[test]
fn a_start_under_way_may_reach_the_replaced_upstream() {
    let mut runs = starting();
    assert!(
        runs.upstream_replaced(RESTARTED, ms(10)).is_empty(),
        "the start may reach the new process"
    );
    assert_eq!(
        None,
        runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(11))
    );
    assert!(
        runs.end_lapsed(ms(12)).is_empty(),
        "the lease may still be in force at the new process"
    );
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(13)));
    let poll = runs.begin_poll();
    assert!(runs
        .apply_poll(poll, &[listed_run("t", 1, 5)], &[], ms(14))
        .is_empty());
    runs.stop_answered(&run("t", 1));
    let poll = runs.begin_poll();
    assert_eq!(
        vec![Fate::Lost],
        fates(&runs.apply_poll(poll, &[], &[], ms(20)))
    );
}

/// Guards against the same fault as the test before, for a run whose start was already
/// left unanswered by the old process.
#[test]
fn a_run_with_an_unanswered_start_is_stopped_at_the_replaced_upstream() {
    let mut runs = starting();
    runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(5));
    let poll = runs.begin_poll();
    assert!(runs.apply_poll(poll, &[], &[], ms(6)).is_empty());
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(6)));
    runs.stop_answered(&run("t", 1));
    assert!(runs.upstream_replaced(RESTARTED, ms(10)).is_empty());
    assert_eq!(
        vec![run("t", 1)],
        runs.take_due_stops(ms(11)),
        "the stop is sent again, to the new process"
    );
    let poll = runs.begin_poll();
    assert!(runs.apply_poll(poll, &[], &[], ms(12)).is_empty());
    runs.stop_answered(&run("t", 1));
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[], ms(14));
    assert_eq!(vec![Fate::Refused(Refusal::NoAnswer)], fates(&ends));
}

/// A poll that was under way when the run was admitted doesn't tell whether it has begun.
#[test]
fn an_unanswered_start_is_stopped_once_a_later_poll_does_not_list_it() {
    let mut runs = runs();
    let early = runs.begin_poll();
    runs.admit(&owner("a"), &run("t", 1), start(), ms(0))
        .expect("capacity is free");
    let grant = runs.begin_grant(MAX_LEASE, ms(0));
    runs.end_grant(grant, true);
    runs.apply_poll(early, &[], &[], ms(10));
    runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(80));
    assert!(runs.take_due_stops(ms(80)).is_empty());
    let later = runs.begin_poll();
    runs.apply_poll(later, &[], &[], ms(90));
    assert_eq!(vec![run("t", 1)], runs.take_due_stops(ms(90)));
}
