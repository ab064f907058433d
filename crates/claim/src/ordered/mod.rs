//! Runs that an entry has ordered from one agent, as tracked by the entry.
//!
//! An entry may start a task again only once the task's former run is certainly over.
//! The agent tells it so, or no order can renew the run's lease any more and the leases
//! in the orders so far have lapsed: [`max_orphan_lifetime`] after the last of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use gentian_wire::id::Incarnation;

use crate::run::{max_orphan_lifetime, Run};

/// What the next message to the agent orders.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Orders {
    /// Runs to start.
    pub starts: Vec<Run>,
    /// Runs to stop.
    pub stops: Vec<Run>,
}

/// A run whose end is not known yet.
#[derive(Clone, Debug)]
struct Ordered<T> {
    data: T,
    /// The agent's incarnation at the time of the order; 0 if the agent had not reported
    /// one.
    incarnation: Incarnation,
    /// Whether a stop was ordered.
    stop_ordered: bool,
}

/// The runs ordered from one agent, each with data of the caller.
#[derive(Clone, Debug)]
pub struct Runs<T> {
    /// Whether a stream to the agent is open and the agent has answered on it.
    connected: bool,
    /// Whether the agent is still to be called.
    listed: bool,
    incarnation: Incarnation,
    /// Runs ordered from the present incarnation.
    current: HashMap<Run, Ordered<T>>,
    /// Runs ordered from earlier incarnations, each with the time by which it has
    /// certainly ended.
    orphans: BTreeMap<Run, (Duration, T)>,
    pending: Orders,
    /// When orders, and the lease with them, were last sent.
    last_orders_at: Duration,
}

impl<T> Runs<T> {
    /// No runs, of an agent that is not connected yet.
    pub fn new(now: Duration) -> Runs<T> {
        Runs {
            connected: false,
            listed: true,
            incarnation: Incarnation(0),
            current: HashMap::new(),
            orphans: BTreeMap::new(),
            pending: Orders::default(),
            last_orders_at: now,
        }
    }

    /// Whether a stream to the agent is open and the agent has answered on it.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Whether the agent is still to be called.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether the present incarnation of the agent has runs whose end is not known.
    pub fn has_current(&self) -> bool {
        !self.current.is_empty()
    }

    /// Whether the ends of all runs are known.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.orphans.is_empty()
    }

    /// The data of a run at the present incarnation of the agent.
    pub fn get_mut(&mut self, run: &Run) -> Option<&mut T> {
        self.current.get_mut(run).map(|ordered| &mut ordered.data)
    }

    /// The data of the runs whose starts are still to be sent.
    pub fn unsent(&self) -> impl Iterator<Item = &T> {
        let starts = self.pending.starts.iter();
        let ordered = starts.filter_map(|run| self.current.get(run));
        ordered.map(|ordered| &ordered.data)
    }

    /// Adds a run, whose start goes into the next message.
    pub fn start(&mut self, run: Run, data: T) {
        let ordered = Ordered {
            data,
            incarnation: self.incarnation,
            stop_ordered: false,
        };
        self.pending.starts.push(run.clone());
        self.current.insert(run, ordered);
    }

    /// Orders the stop of a run. Returns its data if it is over with that, since its start
    /// was never sent. An orphan can't be stopped: the agent doesn't know it.
    pub fn stop(&mut self, run: Run) -> Option<T> {
        let starts = &mut self.pending.starts;
        if let Some(unsent) = starts.iter().position(|start| *start == run) {
            starts.remove(unsent);
            return self.end(&run);
        }
        if let Some(ordered) = self.current.get_mut(&run) {
            ordered.stop_ordered = true;
            self.pending.stops.push(run);
        }
        None
    }

    /// Removes a run whose end the agent has reported. Returns its data, unless it is not
    /// one of the present incarnation.
    pub fn end(&mut self, run: &Run) -> Option<T> {
        // A later job with the same id may reuse the run's number in the same message.
        self.pending.stops.retain(|stop| stop != run);
        self.current.remove(run).map(|ordered| ordered.data)
    }

    /// The orders in the next message, which renews the lease.
    pub fn take_orders(&mut self, now: Duration) -> Orders {
        self.last_orders_at = now;
        std::mem::take(&mut self.pending)
    }

    /// The runs that the first message of a new stream lists as known. The pending starts
    /// are not sent: their runs are listed too, so the agent reports an end for each of
    /// them.
    pub fn open(&mut self) -> Vec<Run> {
        let stopped = self.current.iter().filter(|(_, run)| run.stop_ordered);
        self.pending = Orders {
            starts: Vec::new(),
            stops: stopped.map(|(run, _)| run.clone()).collect(),
        };
        self.current.keys().cloned().collect()
    }

    /// Records that the agent has answered on a new stream. The runs of an earlier
    /// incarnation become orphans, since they may go on until their leases lapse.
    pub fn connect(&mut self, incarnation: Incarnation) {
        self.connected = true;
        if self.incarnation == incarnation {
            return;
        }
        let expires_at = self.expires_at();
        let others = self
            .current
            .extract_if(|_, ordered| ordered.incarnation != incarnation);
        let orphans = others.map(|(run, ordered)| (run, (expires_at, ordered.data)));
        self.orphans.extend(orphans);
        self.incarnation = incarnation;
    }

    /// Records that the stream is lost. Returns whether the agent was connected.
    pub fn disconnect(&mut self) -> bool {
        std::mem::take(&mut self.connected)
    }

    /// Sets whether the agent is still to be called. The stream to one that is not has been
    /// closed, but its runs may go on until their leases lapse.
    pub fn set_listed(&mut self, listed: bool) {
        self.listed = listed;
        self.connected &= listed;
    }

    /// When all runs ordered so far have certainly ended, if no further orders renew
    /// the lease.
    fn expires_at(&self) -> Duration {
        self.last_orders_at + max_orphan_lifetime()
    }

    /// When the next run without a reported end counts as lost: an orphan, or any run
    /// while the agent is disconnected.
    pub fn next_expiry(&self) -> Option<Duration> {
        let disconnected = !self.connected && !self.current.is_empty();
        let disconnected = disconnected.then(|| self.expires_at());
        let orphan = self.orphans.values().map(|(at, _)| *at).min();
        disconnected.into_iter().chain(orphan).min()
    }

    /// Removes and returns the runs that count as lost by now.
    pub fn take_expired(&mut self, now: Duration) -> Vec<(Run, T)> {
        let mut expired = Vec::new();
        let due = self.orphans.extract_if(.., |_, (at, _)| *at <= now);
        expired.extend(due.map(|(run, (_, data))| (run, data)));
        if !self.connected && self.expires_at() <= now {
            // A stream that is being opened may have listed them as known.
            self.pending.stops.extend(self.current.keys().cloned());
            let all = self.current.drain();
            expired.extend(all.map(|(run, ordered)| (run, ordered.data)));
        }
        expired
    }
}
