//! Runs that an entry has ordered from one agent, event by event.

use std::time::Duration;

use gentian_claim::ordered::{Orders, Runs};
use gentian_claim::run::{max_orphan_lifetime, Run};
use gentian_wire::id::Incarnation;
use test_case::test_case;

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(task: &str) -> Run {
    Run {
        task: task.into(),
        number: 1,
    }
}

/// The last time at which a run may go on whose lease was renewed at `sent_at`.
fn last_moment(sent_at: Duration) -> Duration {
    sent_at + max_orphan_lifetime() - ms(1)
}

/// A connected agent, to which the start of task `t` was sent at 100 ms.
fn sent() -> Runs<u32> {
    let mut runs = Runs::new(ms(0));
    runs.open();
    runs.connect(FIRST);
    runs.start(run("t"), 7);
    runs.take_orders(ms(100));
    runs
}

fn expired(runs: &mut Runs<u32>, now: Duration) -> Vec<Run> {
    let expired = runs.take_expired(now);
    expired.into_iter().map(|(run, _)| run).collect()
}

#[test]
fn an_order_is_sent_once() {
    let mut runs = sent();
    assert_eq!(Orders::default(), runs.take_orders(ms(110)));
    assert_eq!(None, runs.stop(run("t")));
    let stop = Orders {
        starts: Vec::new(),
        stops: vec![run("t")],
    };
    assert_eq!(stop, runs.take_orders(ms(120)));
    assert_eq!(Orders::default(), runs.take_orders(ms(130)));
}

#[test]
fn a_new_stream_lists_all_runs_and_repeats_the_stops() {
    let mut runs = sent();
    runs.start(run("u"), 8);
    runs.stop(run("t"));
    runs.take_orders(ms(110));
    runs.disconnect();
    let mut known = runs.open();
    known.sort();
    assert_eq!(vec![run("t"), run("u")], known);
    runs.connect(FIRST);
    let again = Orders {
        starts: Vec::new(),
        stops: vec![run("t")],
    };
    assert_eq!(again, runs.take_orders(ms(200)));
}

#[test]
fn no_run_of_a_connected_agent_is_lost_in_silence() {
    let mut runs = sent();
    assert_eq!(None, runs.next_expiry());
    assert!(expired(&mut runs, ms(60_000)).is_empty());
    assert_eq!(Some(7), runs.end(&run("t")));
    assert!(runs.is_empty());
}

#[test]
fn runs_of_a_disconnected_agent_are_lost_once_their_leases_have_lapsed() {
    let mut runs = sent();
    assert!(runs.disconnect());
    assert!(expired(&mut runs, last_moment(ms(100))).is_empty());
    assert_eq!(Some(ms(100) + max_orphan_lifetime()), runs.next_expiry());
    let lapsed = ms(100) + max_orphan_lifetime();
    assert_eq!(vec![run("t")], expired(&mut runs, lapsed));
    assert!(runs.is_empty());
}

#[test]
fn runs_of_a_restarted_agent_are_lost_once_their_leases_have_lapsed() {
    let mut runs = sent();
    runs.disconnect();
    runs.open();
    runs.connect(SECOND);
    runs.take_orders(ms(300));
    assert_eq!(None, runs.end(&run("t")), "the restarted agent can't know");
    assert!(expired(&mut runs, last_moment(ms(100))).is_empty());
    let lapsed = ms(100) + max_orphan_lifetime();
    assert_eq!(vec![run("t")], expired(&mut runs, lapsed));
}

/// Guards against a task that runs twice at the same time: the runs of an agent that
/// control had lost sight of were given up as soon as its stream broke.
#[test]
fn runs_of_an_unlisted_agent_are_lost_once_their_leases_have_lapsed() {
    let mut runs = sent();
    runs.set_listed(false);
    assert!(expired(&mut runs, last_moment(ms(100))).is_empty());
    let lapsed = ms(100) + max_orphan_lifetime();
    assert_eq!(vec![run("t")], expired(&mut runs, lapsed));
}

/// Guards against tasks that never start again, and jobs that wait for ever for the runs
/// of an earlier submission: the orphans of an unlisted agent were forgotten.
#[test]
fn orphans_of_an_unlisted_agent_are_lost_once_their_leases_have_lapsed() {
    let mut runs = sent();
    runs.disconnect();
    runs.open();
    runs.connect(SECOND);
    runs.start(run("u"), 8);
    runs.take_orders(ms(300));
    runs.set_listed(false);
    assert!(expired(&mut runs, last_moment(ms(100))).is_empty());
    assert_eq!(vec![run("t")], expired(&mut runs, last_moment(ms(300))));
    assert!(!runs.is_empty());
    let lapsed = ms(300) + max_orphan_lifetime();
    assert_eq!(vec![run("u")], expired(&mut runs, lapsed));
    assert!(runs.is_empty());
}

/// Control lists the agent again before its leases have lapsed, and it still has the run.
#[test_case(FIRST, Some(7) ; "the same process")]
#[test_case(SECOND, None ; "a restarted process")]
fn an_agent_that_is_listed_again_reports_the_ends_of_its_own_runs(
    incarnation: Incarnation,
    end: Option<u32>,
) {
    let mut runs = sent();
    runs.set_listed(false);
    runs.set_listed(true);
    assert!(!runs.is_connected());
    assert_eq!(vec![run("t")], runs.open());
    runs.connect(incarnation);
    runs.take_orders(ms(500));
    assert_eq!(end, runs.end(&run("t")));
    let lost = expired(&mut runs, ms(60_000));
    assert_eq!(end.is_none(), lost == vec![run("t")]);
    assert!(runs.is_empty());
}

/// Guards against a run that goes on after its job has ended: its start and its stop were
/// sent in one message.
#[test]
fn a_run_that_is_stopped_before_its_start_was_sent_has_never_begun() {
    let mut runs = sent();
    runs.start(run("u"), 8);
    runs.start(run("v"), 9);
    assert_eq!(Some(8), runs.stop(run("u")), "it is over at once");
    let start = Orders {
        starts: vec![run("v")],
        stops: Vec::new(),
    };
    assert_eq!(start, runs.take_orders(ms(110)));
    assert_eq!(None, runs.stop(run("v")), "it may have begun");
    assert_eq!(Some(9), runs.end(&run("v")));
}

/// An entry looks at what it is about to start once more: it may have stood still.
#[test]
fn a_start_can_be_withdrawn_until_it_is_sent() {
    let mut runs = sent();
    runs.start(run("u"), 8);
    assert_eq!(vec![&8], runs.unsent().collect::<Vec<_>>());
    assert_eq!(Some(8), runs.stop(run("u")));
    assert_eq!(Orders::default(), runs.take_orders(ms(110)));
    assert_eq!(0, runs.unsent().count());
}

/// A stream that opens lists the run, so that the agent may report its end.
#[test]
fn a_run_that_a_new_stream_has_listed_is_not_over_when_it_is_stopped() {
    let mut runs = sent();
    runs.start(run("u"), 8);
    runs.disconnect();
    assert!(runs.open().contains(&run("u")));
    assert_eq!(None, runs.stop(run("u")));
    assert_eq!(Some(8), runs.end(&run("u")));
}

/// The job is submitted again as soon as its last run has ended, and numbers runs anew.
#[test]
fn a_run_that_ends_before_its_stop_is_sent_may_start_again_at_once() {
    let mut runs = sent();
    runs.stop(run("t"));
    assert_eq!(Some(7), runs.end(&run("t")));
    runs.start(run("t"), 8);
    let start = Orders {
        starts: vec![run("t")],
        stops: Vec::new(),
    };
    assert_eq!(start, runs.take_orders(ms(110)));
}

/// Guards against a run beside the next one of its task: the first message of a stream had
/// listed it as known, it was given up before the agent answered, and nothing stopped it.
#[test]
fn a_run_that_is_lost_while_a_stream_opens_is_stopped() {
    let mut runs = sent();
    runs.disconnect();
    assert_eq!(vec![run("t")], runs.open());
    let lapsed = ms(100) + max_orphan_lifetime();
    assert_eq!(vec![run("t")], expired(&mut runs, lapsed));
    runs.connect(FIRST);
    assert_eq!(vec![run("t")], runs.take_orders(lapsed).stops);
}
