//! The orders of the entries: which starts are admitted, and which runs are stopped.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gentian::claim::run::{Fate, Isolation, Owner, Refusal, Requirement, Run, RunEnd, Start};
use gentian::wire::agent::{Batch, Orders};
use gentian::wire::need::Need;

use super::calls;
use super::reports::log_end;
use super::stream;
use super::supervisor::{State, Supervisor};

impl Supervisor {
    /// Carries out the orders of an entry. Returns false without doing so if a newer
    /// stream has replaced this one, since the entry no longer relies on its orders.
    pub(super) fn apply_orders(
        self: &Arc<Self>,
        owner: &Owner,
        number: u64,
        orders: Orders,
    ) -> bool {
        let now = self.now();
        let mut state = self.state();
        if !state.is_current_stream(owner, number) {
            return false;
        }
        state.update_admission(now);
        state
            .runs
            .renew_lease(owner, stream::duration(orders.lease_until_ms), now);
        let stops: BTreeSet<Run> = orders.stops.iter().map(Run::from).collect();
        for run in &stops {
            state.runs.request_stop(owner, run, now);
        }
        let mut ends = Vec::new();
        let mut any_admitted = false;
        for batch in orders.starts {
            any_admitted |= self.apply_starts(&mut state, owner, batch, &stops, &mut ends);
        }
        ends.iter().for_each(log_end);
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        // The entry needs no answer to starts that were admitted, as long as it hears
        // from this agent often enough to know its clock and that it is there.
        let only_admitted = any_admitted && ends.is_empty();
        if !only_admitted || state.is_report_due(owner, now) {
            self.send_report(&mut state, owner, ends);
        }
        drop(state);
        self.poll_wakeup.notify_one();
        self.room_changed.notify_one();
        true
    }

    /// Starts the runs of a batch, but for those in `stops`. Adds the ends of those that do not
    /// start to `ends`, and returns whether any starts.
    fn apply_starts(
        self: &Arc<Self>,
        state: &mut State,
        owner: &Owner,
        batch: Batch,
        stops: &BTreeSet<Run>,
        ends: &mut Vec<RunEnd>,
    ) -> bool {
        let now = self.now();
        let runs: Vec<Run> = batch.runs.iter().map(Run::from).collect();
        let estimate = stream::duration(batch.estimate_ms.into());
        let spec = batch.spec.clone();
        let start = match read_start(batch) {
            Ok(start) => start,
            Err(refusal) => {
                let refused = runs.into_iter().map(|run| {
                    self.metrics.refused(refusal);
                    end_before_start(owner, run, Fate::Refused(refusal))
                });
                ends.extend(refused);
                return false;
            }
        };
        let mut any_admitted = false;
        for run in runs {
            // The entry has ordered both since its last message, the stop last.
            if stops.contains(&run) {
                ends.push(end_before_start(owner, run, Fate::Stopped));
                continue;
            }
            match state.runs.admit(owner, &run, start.clone(), now) {
                Ok(()) => {
                    any_admitted = true;
                    state.runs.set_estimate(&run, estimate);
                    tokio::spawn(calls::start_run(self.clone(), run, spec.clone()));
                }
                Err(refusal) => {
                    if refusal == Refusal::Full {
                        state.await_room(owner, &start, now);
                    }
                    self.metrics.refused(refusal);
                    ends.push(end_before_start(owner, run, Fate::Refused(refusal)));
                }
            }
        }
        if any_admitted {
            state.start_rates.record(&start.queue, now);
        }
        any_admitted
    }
}

impl State {
    /// Records that an entry waits for the capacity that a start of this kind needs.
    fn await_room(&mut self, owner: &Owner, start: &Start, now: Duration) {
        let need = match start.isolation {
            Isolation::Alone => self.runs.capacity(),
            Isolation::Shared | Isolation::Limited => start.need,
        };
        self.waiting.add(owner.clone(), need, now);
    }
}

/// Decodes what the starts of a batch have in common.
fn read_start(batch: Batch) -> Result<Start, Refusal> {
    // An entry that names no service, or no label, requires none.
    let label = Some(batch.required_label.clone()).filter(|label| !label.is_empty());
    let service = Some(&batch.service).filter(|service| !service.is_empty());
    let service = service.map(|service| service.parse()).transpose();
    let service = service.map_err(|error| {
        log::warn!("starts of job {} refused: service: {error}", batch.job);
        Refusal::Invalid
    })?;
    let isolation = batch.isolation().into();
    Ok(Start {
        // A batch without a need is one of tasks that need nothing.
        need: Need::from(batch.need.unwrap_or_default()),
        isolation,
        job: batch.job.into(),
        queue: batch.queue.into(),
        requirement: Requirement { service, label },
    })
}

/// The end of a run that has not begun and never will.
fn end_before_start(owner: &Owner, run: Run, fate: Fate) -> RunEnd {
    RunEnd {
        owner: owner.clone(),
        run,
        fate,
        ran: Duration::ZERO,
    }
}
