//! Runs that their owner counts as over, beside runs of other owners that go on.

use std::time::Duration;

use gentian_claim::run::{
    max_orphan_lifetime, Fate, Refusal, Runs, StartAnswer, MAX_CLOCK_DRIFT, MAX_LEASE, STOP_GRACE,
};
use test_case::test_case;

use super::{fates, listed_end, listed_run, ms, owner, run, running, start};

/// Time between two renewals of an owner's lease, and between two polls.
const STEP: Duration = ms(50);
/// Time of the last order of the owner that is cut off.
const LAST_ORDER: Duration = ms(200);

/// Guards against a task that is begun again while its run goes on: after a suspension of the
/// whole system the upstream's lease runs on for as long as that took.
#[test]
fn a_lease_at_the_upstream_lapses_later_by_the_time_of_a_suspension() {
    let mut runs = running();
    let grant = runs.begin_grant(MAX_LEASE, ms(0));
    runs.end_grant(grant, true);
    let lapsed = MAX_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_GRACE;
    runs.record_suspension(ms(700));
    assert!(runs.end_lapsed(ms(700)).is_empty());
    assert!(runs.end_lapsed(lapsed + ms(699)).is_empty());
    assert_eq!(1, runs.end_lapsed(lapsed + ms(700)).len());
}

/// How the owner `a` lets go of its run.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Its orders no longer arrive.
    Cut,
    /// It orders a stop and goes on renewing its lease.
    Stop,
    /// It opens a stream anew and doesn't know the run any more.
    Forgets,
}

/// Run 1 of task `t` of owner `a`, and of task `u` of owner `b`.
fn two_owners() -> Runs {
    let mut runs = running();
    runs.renew_lease(&owner("b"), MAX_LEASE, ms(1));
    runs.admit(&owner("b"), &run("u", 1), start(), ms(1))
        .expect("capacity is free");
    runs.apply_start_answer(&run("u", 1), StartAnswer::Running, ms(1));
    runs
}

/// Plays two seconds in which each poll lists both runs, as when stops are lost. Returns when
/// the last of the leases that were granted ends, on a clock of the upstream that is as slow as
/// may be.
fn play_without_stops(loss: Loss) -> Duration {
    let mut runs = two_owners();
    let mut lapses_at = ms(0);
    let mut now = ms(0);
    while now < ms(2_000) {
        now += STEP;
        runs.renew_lease(&owner("b"), now + MAX_LEASE, now);
        match loss {
            Loss::Cut if now > LAST_ORDER => {}
            _ => runs.renew_lease(&owner("a"), now + MAX_LEASE, now),
        }
        match loss {
            Loss::Stop if now == LAST_ORDER => {
                runs.request_stop(&owner("a"), &run("t", 1), now);
            }
            Loss::Forgets if now == LAST_ORDER => {
                runs.reconcile(&owner("a"), &[], now);
            }
            _ => {}
        }
        runs.take_due_stops(now);
        if let Some(until) = runs.upstream_lease(now) {
            let grant = runs.begin_grant(until, now);
            runs.end_grant(grant, true);
            let length = (until - now).mul_f64(1.0 + MAX_CLOCK_DRIFT);
            lapses_at = lapses_at.max(now + length);
        }
        if now < lapses_at {
            let listed = [listed_run("t", 1, 5), listed_run("u", 1, 5)];
            let poll = runs.begin_poll();
            runs.apply_poll(poll, &listed, &[], now);
        }
    }
    lapses_at
}

/// An entry that was cut off started its task again while the first run went on: the upstream's
/// lease was renewed for another entry, and the stop of the run was lost.
#[test_case(Loss::Cut, max_orphan_lifetime(); "its owner is cut off")]
#[test_case(Loss::Stop, MAX_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_GRACE; "its owner stops it")]
#[test_case(Loss::Forgets, MAX_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_GRACE; "its owner does not know it")]
fn a_run_whose_stop_is_lost_lapses_beside_runs_of_others(loss: Loss, bound: Duration) {
    let gone_at = play_without_stops(loss) + STOP_GRACE;
    let after = gone_at - LAST_ORDER;
    assert!(after <= bound, "gone {after:?} after the last order");
}

/// A run that was counted as over and turns up again must not be kept alive by the leases of
/// others.
#[test]
fn an_unknown_run_whose_stop_is_lost_lapses_beside_runs_of_others() {
    let mut runs = running();
    let listed = [listed_run("t", 1, 5), listed_run("stray", 7, 5)];
    let mut now = ms(0);
    while now < ms(2_000) {
        now += STEP;
        runs.renew_lease(&owner("a"), now + MAX_LEASE, now);
        let poll = runs.begin_poll();
        runs.apply_poll(poll, &listed, &[], now);
        assert_eq!(vec![run("stray", 7)], runs.take_due_stops(now));
        let until = runs.upstream_lease(now).unwrap_or_default();
        assert!(
            until <= STEP + MAX_LEASE,
            "{now:?}: a lease until {until:?}"
        );
    }
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &listed[..1], &[], now);
    assert_eq!(Some(now + MAX_LEASE), runs.upstream_lease(now));
}

/// A stop that takes effect in time shortens nobody's lease.
#[test_case(Loss::Cut; "its owner is cut off")]
#[test_case(Loss::Stop; "its owner stops it")]
#[test_case(Loss::Forgets; "its owner does not know it")]
fn a_run_that_ends_when_it_is_stopped_shortens_no_lease(loss: Loss) {
    let mut runs = two_owners();
    let ends_at = match loss {
        Loss::Cut => MAX_LEASE,
        Loss::Stop | Loss::Forgets => LAST_ORDER,
    };
    let mut now = ms(0);
    while now < ms(2_000) {
        now += STEP;
        runs.renew_lease(&owner("b"), now + MAX_LEASE, now);
        match loss {
            Loss::Stop if now == ends_at => runs.request_stop(&owner("a"), &run("t", 1), now),
            Loss::Forgets if now == ends_at => {
                runs.reconcile(&owner("a"), &[], now);
            }
            _ => {}
        }
        let stops = runs.take_due_stops(now);
        assert_eq!(now == ends_at, !stops.is_empty(), "{now:?}");
        let full = Some(now + MAX_LEASE);
        assert_eq!(full, runs.upstream_lease(now), "while the stop is answered");
        if now == ends_at {
            let poll = runs.begin_poll();
            let ended = [listed_end(1, "t", Fate::Stopped)];
            let ends = runs.apply_poll(poll, &[listed_run("u", 1, 5)], &ended, now);
            assert_eq!(vec![Fate::Stopped], fates(&ends));
        }
        assert_eq!(full, runs.upstream_lease(now), "{now:?}");
    }
}

/// A start that waited for its permit past the lease of its owner was sent under the lease of
/// another one.
#[test_case(Loss::Cut; "its owner is cut off")]
#[test_case(Loss::Stop; "its owner stops it")]
#[test_case(Loss::Forgets; "its owner does not know it")]
fn a_start_that_waited_is_not_sent_once_its_owner_gave_it_up(loss: Loss) {
    let mut runs = two_owners();
    let (waiting, at) = (run("w", 1), MAX_LEASE);
    runs.admit(&owner("a"), &waiting, start(), ms(2))
        .expect("capacity is free");
    runs.renew_lease(&owner("b"), at + MAX_LEASE, at);
    assert_eq!(Ok(()), runs.check_start(&waiting, at - ms(1)));
    match loss {
        Loss::Cut => {}
        Loss::Stop => {
            runs.renew_lease(&owner("a"), at + MAX_LEASE, at);
            runs.request_stop(&owner("a"), &waiting, at);
        }
        Loss::Forgets => {
            runs.renew_lease(&owner("a"), at + MAX_LEASE, at);
            runs.reconcile(&owner("a"), &[], at);
        }
    }
    assert!(runs.upstream_lease(at).is_some(), "another owner's lease");
    assert_eq!(Err(Refusal::Expired), runs.check_start(&waiting, at));
}
