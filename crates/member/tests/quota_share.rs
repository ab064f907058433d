//! Tests of quota shares when replies are lost, delayed or reordered, entries
//! restart and the leader changes.

mod common;

use std::time::Duration;

use common::{check, ensure, ms, name};
use gentian_member::quota_share::{Borrower, Lender, ShareRequest};
use gentian_wire::id::{Incarnation, Team};
use proptest::prelude::*;
use test_case::test_case;

const PERIOD: Duration = Duration::from_secs(2);
const ENTRIES: u8 = 4;

/// An entry's view of its loan, which lasts from the sending of the request.
#[derive(Clone, Copy, Default)]
struct Share {
    sent: u64,
    expiry: u64,
    amount: u32,
}

impl Share {
    fn accept(&mut self, sent: u64, amount: u32) {
        if sent >= self.sent {
            let expiry = sent + PERIOD.as_millis() as u64;
            *self = Share {
                sent,
                expiry,
                amount,
            };
        }
    }

    fn amount(&self, now: u64) -> u32 {
        if now < self.expiry {
            self.amount
        } else {
            0
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    /// An entry requests a share it wants; the reply arrives after a delay in
    /// milliseconds, or is lost.
    Request(u8, u32, Option<u64>),
    Restart(u8),
    NewLeader,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..900).prop_map(Step::Pass),
        12 => (0..ENTRIES, 0u32..40, proptest::option::weighted(0.8, 0u64..2_500))
            .prop_map(|(entry, wanted, delay)| Step::Request(entry, wanted, delay)),
        1 => (0..ENTRIES).prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
    ]
}

fn borrower(entry: u8, incarnation: u64) -> Borrower {
    let node = name(&format!("entry-{entry}"));
    (node, Incarnation(incarnation))
}

#[test]
fn unexpired_shares_never_exceed_the_quota() {
    let scenario = (1u32..30, proptest::collection::vec(step(), 1..120));
    check(1_500, scenario, |(quota, steps)| {
        let team: Team = name("barn");
        let mut now = 0;
        let mut lender = Lender::new(ms(now), PERIOD);
        let mut runs: Vec<(u8, u64, Share)> =
            (0..ENTRIES).map(|e| (e, 0, Share::default())).collect();
        let mut replies: Vec<(u64, usize, u64, u32)> = Vec::new();
        for step in steps {
            match step {
                Step::Pass(millis) => now += millis,
                Step::Request(entry, wanted, delay) => {
                    let run = runs.iter().rposition(|r| r.0 == entry).expect("an entry");
                    let borrower = borrower(entry, runs[run].1);
                    let held = runs[run].2.amount(now);
                    let lent = lender.lend(
                        ms(now),
                        &borrower,
                        &team,
                        ShareRequest { held, wanted },
                        quota,
                    );
                    replies.extend(delay.map(|delay| (now + delay, run, now, lent)));
                }
                // The earlier incarnation may run on until it notices that it was
                // superseded.
                Step::Restart(entry) => {
                    let incarnation = runs.iter().filter(|r| r.0 == entry).count() as u64;
                    runs.push((entry, incarnation, Share::default()));
                }
                Step::NewLeader => lender = Lender::new(ms(now), PERIOD),
            }
            replies.sort();
            for (_, run, sent, lent) in replies.extract_if(.., |reply| reply.0 <= now) {
                runs[run].2.accept(sent, lent);
            }
            let sum: u32 = runs.iter().map(|run| run.2.amount(now)).sum();
            ensure(sum <= quota, || format!("{sum} of {quota} in use at {now}"))?;
        }
        Ok(())
    });
}

#[test_case(&[10, 30], 20, &[5, 15] ; "demand above the quota")]
#[test_case(&[2, 4], 20, &[9, 11] ; "demand below the quota")]
#[test_case(&[0, 0], 20, &[10, 10] ; "no demand")]
#[test_case(&[7, 7, 7], 10, &[3, 3, 4] ; "quota not divisible by the entries")]
#[test_case(&[4_000_000_000, 4_000_000_000], 4_000_000_000, &[2_000_000_000, 2_000_000_000] ; "no overflow")]
fn shares_follow_demand(wanted: &[u32], quota: u32, expected: &[u32]) {
    let team: Team = name("barn");
    let mut lender = Lender::new(ms(0), PERIOD);
    let mut lend = |now, entry: usize| {
        let borrower = borrower(entry as u8, 0);
        let request = ShareRequest {
            held: 0,
            wanted: wanted[entry],
        };
        lender.lend(ms(now), &borrower, &team, request, quota)
    };
    let mut shares = Vec::new();
    for round in 2..8 {
        shares = (0..wanted.len()).map(|e| lend(1_500 * round, e)).collect();
    }
    assert_eq!(shares, expected);
}

#[test]
fn units_in_progress_at_one_entry_are_not_lent_to_others() {
    let team: Team = name("barn");
    let mut lender = Lender::new(ms(0), PERIOD);
    let mut lend = |now, entry, held, wanted| {
        lender.lend(
            ms(now),
            &borrower(entry, 0),
            &team,
            ShareRequest { held, wanted },
            10,
        )
    };
    assert_eq!(lend(1_000, 0, 8, 8), 0, "a new leader lends nothing yet");
    assert_eq!(lend(2_500, 1, 0, 10), 2);
    for second in 3..9 {
        lend(1_000 * second, 0, 8, 0);
        assert!(lend(1_000 * second + 1, 1, 2, 10) <= 2);
    }
    lend(9_000, 0, 0, 0);
    assert_eq!(lend(11_001, 1, 2, 10), 10);
}
