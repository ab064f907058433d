//! What reports show about the health and the speed of the service's upstreams.

use std::time::Duration;

use gentian::route::outlier::Observation;
use gentian::route::view::Standing;
use gentian::wire::agent;
use gentian::wire::id;
use gentian::wire::outcome::Outcome;

use super::super::Report;
use super::Service;

/// Number of completed tasks after which the view's decay time is set to the new mean run
/// time.
const DECAY_UPDATE_PERIOD: u64 = 32;

impl Service {
    /// What a report shows about the health of its upstream; none if nothing.
    pub(super) fn observation(&self, report: &Report) -> Option<Observation> {
        match (report.outcome, report.run) {
            (Outcome::Done, Some(run)) => Some(Observation::Good {
                run,
                expected: self.runtime.quantile(0.5),
            }),
            (Outcome::Done, None) => None,
            (Outcome::Failed | Outcome::Unknown, _) => Some(Observation::Bad),
            (Outcome::NotRun, _) => is_agent_fault(report.reason).then_some(Observation::Refused),
        }
    }

    pub(super) fn detect_outlier(
        &mut self,
        node: &id::Node,
        observation: Observation,
        now: Duration,
    ) {
        let changed = self.detector.observe(node, observation, now, &mut self.rng);
        let Some(standing) = changed else {
            return;
        };
        if standing == Standing::Ejected {
            self.counts.ejected.add();
        }
        self.set_standing(node, standing, now);
    }

    /// Puts upstreams on trial whose ejection has ended.
    pub(super) fn readmit(&mut self, now: Duration) {
        while let Some(agent) = self.detector.readmit(now) {
            self.counts.readmitted.add();
            self.set_standing(&agent, Standing::Trial, now);
        }
    }

    fn set_standing(&mut self, agent: &id::Node, standing: Standing, now: Duration) {
        log::info!("upstream of agent {agent} is now {standing}");
        if let Some(index) = self.view.index_of(agent) {
            self.view.set_standing(index, standing, now);
        }
    }

    pub(super) fn observe_run_time(&mut self, run: Duration) {
        self.runtime.observe(run);
        if self.runtime.count().is_multiple_of(DECAY_UPDATE_PERIOD) {
            if let Some(mean) = self.runtime.mean() {
                self.view.set_decay_time(mean);
            }
        }
    }
}

/// Whether a refusal counts against the agent. Other reasons follow from the agent's
/// load, from the task or from the entry's view, and healthy agents give them as well.
fn is_agent_fault(reason: agent::Reason) -> bool {
    matches!(reason, agent::Reason::NoLease | agent::Reason::NoUpstream)
}
