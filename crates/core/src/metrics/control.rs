//! Metrics of a control instance.

use gentian_config::ledger::Answer;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use super::{page, register};
use crate::control::Backlog;
use crate::serve::Response;

const ANSWERS: [&str; 4] = ["accepted", "conflict", "invalid", "reused"];

/// Metrics of one control instance.
#[derive(Debug)]
pub(crate) struct Control {
    registry: Registry,
    leads: IntGauge,
    version: IntGauge,
    view: IntGauge,
    members: IntGauge,
    drained: IntGauge,
    log_bytes: IntGauge,
    snapshot_bytes: IntGauge,
    history_bytes: IntGauge,
    unapplied: IntGauge,
    patches: IntCounterVec,
}

/// State of a control instance to export as gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlStatus {
    /// Whether the instance is the leader.
    pub(crate) leads: bool,
    /// Last configuration version that the instance has stored.
    pub(crate) version: u64,
    /// Number of the last membership view that the instance has stored.
    pub(crate) view: u64,
    /// Number of agents in that view.
    pub(crate) members: usize,
    /// Number of data centres that are drained, if known.
    pub(crate) drained: Option<usize>,
    /// What the instance holds of the log.
    pub(crate) backlog: Backlog,
    /// Size of the old part of the history, in bytes.
    pub(crate) history_bytes: u64,
}

impl Control {
    pub(crate) fn new() -> Control {
        let registry = Registry::new();
        let patches = IntCounterVec::new(
            Opts::new(
                "gentian_control_patches_total",
                "Patches answered by this instance, by answer",
            ),
            &["answer"],
        );
        let patches = register(&registry, patches);
        for answer in ANSWERS {
            patches.with_label_values(&[answer]);
        }
        let gauge = |name, help| register(&registry, IntGauge::new(name, help));
        Control {
            leads: gauge(
                "gentian_control_leads",
                "1 while the instance leads, else 0",
            ),
            version: gauge("gentian_control_version", "Last version that it holds"),
            view: gauge("gentian_control_view", "Last membership view that it holds"),
            members: gauge("gentian_control_agents", "Agents in that view"),
            drained: gauge(
                "gentian_control_drained_data_centers",
                "Data centres that operators have drained",
            ),
            log_bytes: gauge(
                "gentian_control_log_bytes",
                "Size of the log after the snapshot",
            ),
            snapshot_bytes: gauge(
                "gentian_control_snapshot_bytes",
                "Size of the state in the snapshot",
            ),
            history_bytes: gauge(
                "gentian_control_history_bytes",
                "Size of the old part of the history on disk",
            ),
            unapplied: gauge(
                "gentian_control_unapplied_entries",
                "Committed entries of the log that it has not applied",
            ),
            patches,
            registry,
        }
    }

    /// Counts a patch by its answer.
    pub(crate) fn patched(&self, answer: &Answer) {
        let label = match answer {
            Answer::Accepted { .. } => "accepted",
            Answer::Conflict { .. } => "conflict",
            Answer::Invalid { .. } => "invalid",
            Answer::Reused => "reused",
        };
        self.patches.with_label_values(&[label]).inc();
    }

    /// The response of `/metrics`.
    pub(crate) fn page(&self, status: ControlStatus) -> Response {
        let to_i64 = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.leads.set(i64::from(status.leads));
        self.version.set(to_i64(status.version));
        self.view.set(to_i64(status.view));
        self.members.set(to_i64(status.members as u64));
        let Backlog {
            log_bytes,
            snapshot_bytes,
            unapplied,
        } = status.backlog;
        self.log_bytes.set(to_i64(log_bytes as u64));
        self.snapshot_bytes.set(to_i64(snapshot_bytes as u64));
        self.history_bytes.set(to_i64(status.history_bytes));
        self.unapplied.set(to_i64(unapplied));
        if let Some(drained) = status.drained {
            self.drained.set(to_i64(drained as u64));
        }
        page(&self.registry)
    }
}
