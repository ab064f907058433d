//! Another process in the upstream's place.

use gentian_claim::run::{
    max_orphan_lifetime, Fate, Refusal, Replacement, StartAnswer, MAX_LEASE, MAX_ORDER_DELAY,
    STOP_GRACE,
};
use test_case::test_case;

use super::{fates, listed, listed_end, listed_run, ms, owner, run, running, start, starting};

/// The process has ended and another has its id.
pub(crate) const RESTARTED: Replacement = Replacement {
    same_id: true,
    former_ended: true,
};
/// Another process with the same id reports, and nothing is known of the former one.
pub(crate) const REPORTED: Replacement = Replacement {
    same_id: true,
    former_ended: false,
};
/// Another process reports, and nothing is known of the former one.
const OTHER: Replacement = Replacement {
    same_id: false,
    former_ended: false,
};
/// Another process has answered at the address of the former one.
const OTHER_AT_ADDRESS: Replacement = Replacement {
    same_id: false,
    former_ended: true,
};

/// A start that was sent to the former process was counted as never begun by the deadline in it,
/// which the clock of the new process had not reached. The new process carried it out.
#[test_case(true; "left unanswered by the former process")]
#[test_case(false; "under way when the process was replaced")]
fn a_start_may_begin_at_a_restarted_process_however_late(unanswered_before: bool) {
    let mut runs = starting();
    if unanswered_before {
        runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(5));
    }
    assert!(runs.upstream_replaced(RESTARTED, ms(10)).is_empty());
    if !unanswered_before {
        runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(15));
    }
    let mut now = ms(20);
    while now < MAX_ORDER_DELAY {
        let poll = runs.begin_poll();
        let mut ends = runs.apply_poll(poll, &[], &[], now);
        ends.extend(runs.end_lapsed(now));
        assert!(ends.is_empty(), "{now:?}: no answer to a stop yet");
        now += ms(500);
    }
    runs.stop_answered(&run("t", 1));
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[], now);
    assert_eq!(vec![Fate::Refused(Refusal::NoAnswer)], fates(&ends));
}

/// An upstream that is gone for good must not hold its runs for ever.
#[test]
fn a_start_is_over_when_no_order_can_be_carried_out_any_more() {
    let mut runs = starting();
    runs.apply_start_answer(&run("t", 1), StartAnswer::Unknown, ms(5));
    runs.upstream_replaced(RESTARTED, ms(10));
    let ends = runs.end_lapsed(ms(10) + MAX_ORDER_DELAY);
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

/// A heartbeat of another process made the agent report all runs as lost at once, while the
/// process that had them went on.
#[test]
fn runs_count_until_their_lease_ends_when_another_process_reports() {
    let mut runs = running();
    assert!(runs.upstream_replaced(OTHER, ms(20)).is_empty());
    let poll = runs.begin_poll();
    assert!(runs.apply_poll(poll, &[], &[], ms(30)).is_empty());
    let in_time = MAX_LEASE + STOP_GRACE;
    assert!(runs.end_lapsed(in_time).is_empty());
    let ends = runs.end_lapsed(max_orphan_lifetime());
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

#[test]
fn a_run_is_found_again_when_another_process_only_seemed_to_report() {
    let mut runs = running();
    runs.upstream_replaced(OTHER, ms(20));
    let poll = runs.begin_poll();
    let listed = [listed_run("t", 1, 10)];
    assert!(runs.apply_poll(poll, &listed, &[], ms(30)).is_empty());
    assert!(runs.take_due_stops(ms(30)).is_empty());
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Done)], ms(40));
    assert_eq!(vec![Fate::Done], fates(&ends));
}

#[test_case(RESTARTED; "under its id")]
#[test_case(OTHER_AT_ADDRESS; "at its address")]
fn runs_are_lost_at_once_when_the_process_that_listed_them_has_ended(replacement: Replacement) {
    let mut runs = listed();
    let ends = runs.upstream_replaced(replacement, ms(20));
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

#[test]
fn runs_whose_start_was_answered_are_lost_at_once_when_another_process_has_their_address() {
    let mut runs = running();
    let ends = runs.upstream_replaced(OTHER_AT_ADDRESS, ms(20));
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

/// Runs were reported as lost that a restarted upstream had begun under its former id before its
/// first heartbeat: the answer to a start doesn't tell which process gave it.
#[test_case(RESTARTED; "that answered a poll")]
#[test_case(REPORTED; "that sent a heartbeat")]
fn a_run_that_began_at_a_restarted_process_goes_on(replacement: Replacement) {
    let mut runs = running();
    assert!(runs.upstream_replaced(replacement, ms(20)).is_empty());
    assert!(runs.end_lapsed(ms(21)).is_empty());
    let poll = runs.begin_poll();
    let listed = [listed_run("t", 1, 10)];
    assert!(runs.apply_poll(poll, &listed, &[], ms(30)).is_empty());
    assert!(runs.former_ended(ms(30)).is_empty());
    assert!(runs.take_due_stops(ms(30)).is_empty());
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[listed_end(1, "t", Fate::Done)], ms(40));
    assert_eq!(vec![Fate::Done], fates(&ends));
}

#[test_case(RESTARTED; "that answered a poll")]
#[test_case(REPORTED; "that sent a heartbeat")]
fn a_run_that_a_restarted_process_does_not_list_is_lost(replacement: Replacement) {
    let mut runs = running();
    runs.upstream_replaced(replacement, ms(20));
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[], ms(30));
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

/// A heartbeat of another writer under the upstream's id made the agent report all runs as lost,
/// while they went on.
#[test]
fn a_heartbeat_under_the_same_id_ends_no_run_before_its_process_has_answered() {
    let mut runs = listed();
    assert!(runs.upstream_replaced(REPORTED, ms(20)).is_empty());
    assert!(runs.end_lapsed(ms(30)).is_empty());
    let ends = runs.former_ended(ms(40));
    assert_eq!(vec![Fate::Lost], fates(&ends));
}

#[test]
fn an_answer_of_a_third_process_ends_no_run_of_the_first() {
    let mut runs = listed();
    runs.upstream_replaced(REPORTED, ms(20));
    runs.upstream_replaced(OTHER, ms(30));
    assert!(runs.former_ended(ms(40)).is_empty());
}

/// Starts with the former process's fencing token were carried out by the new one beside what it
/// was given, since no order with a higher token had been sent to it.
#[test_case(RESTARTED; "under its id")]
#[test_case(OTHER; "under another id")]
fn a_new_process_gets_no_runs_before_it_has_answered_a_poll(replacement: Replacement) {
    let mut runs = running();
    runs.upstream_replaced(replacement, ms(20));
    let refused = runs.admit(&owner("a"), &run("u", 1), start(), ms(21));
    assert_eq!(Err(Refusal::Closed), refused);
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(22));
    let admitted = runs.admit(&owner("a"), &run("u", 1), start(), ms(23));
    assert_eq!(Ok(()), admitted);
}

/// The new process may be of another kind, for which the run was not meant.
#[test_case(RESTARTED; "under its id")]
#[test_case(OTHER; "under another id")]
fn a_start_that_waits_is_not_sent_to_another_process(replacement: Replacement) {
    let mut runs = starting();
    assert_eq!(Ok(()), runs.check_start(&run("t", 1), ms(9)));
    runs.upstream_replaced(replacement, ms(10));
    assert_eq!(Err(Refusal::Closed), runs.check_start(&run("t", 1), ms(11)));
}
