//! Who is offered capacity first once some becomes free.
//!
//! Many schedulers compete for the capacity of one upstream. If all of them were told at
//! once that some is free, all would send a task, and all but one in vain. Those that were
//! turned away are therefore listed here in turn, and each piece of capacity that becomes
//! free is offered to one of them.

use std::collections::VecDeque;
use std::time::Duration;

use gentian_wire::need::Need;

/// How long a scheduler stays listed. Few tasks wait longer before they are refused.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// A scheduler that was turned away.
#[derive(Clone, Debug)]
struct Waiter<K> {
    key: K,
    need: Need,
    since: Duration,
}

/// Schedulers that were turned away, by key `K`, in the order in which they are offered
/// free capacity.
#[derive(Clone, Debug)]
pub struct WaitingList<K> {
    waiters: VecDeque<Waiter<K>>,
}

impl<K> Default for WaitingList<K> {
    fn default() -> WaitingList<K> {
        WaitingList {
            waiters: VecDeque::new(),
        }
    }
}

impl<K: Eq> WaitingList<K> {
    /// Lists a scheduler that was turned away with a task that has this need. If it was
    /// listed already, it goes to the end.
    pub fn add(&mut self, key: K, need: Need, now: Duration) {
        self.waiters.retain(|waiter| waiter.key != key);
        self.waiters.push_back(Waiter {
            key,
            need,
            since: now,
        });
    }

    /// Removes and returns the first scheduler whose task fits into the free capacity.
    pub fn take_next(&mut self, free: Need, now: Duration) -> Option<K> {
        self.waiters
            .retain(|waiter| now.saturating_sub(waiter.since) <= MAX_WAIT);
        let fitting = self
            .waiters
            .iter()
            .position(|waiter| waiter.need.fits(free))?;
        self.waiters.remove(fitting).map(|waiter| waiter.key)
    }
}
