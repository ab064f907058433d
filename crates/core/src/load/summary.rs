//! The result of a load, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::message_counters::MessageCounters;
use super::send::CallerOutcome;
use super::stats::Stats;
use super::Plan;

/// Messages between a caller and an entry per request: the request and its answer.
const MESSAGES_PER_EXCHANGE: f64 = 2.0;

/// The result of a load.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    command: String,
    seed: u64,
    /// Number of requests sent after the warm-up.
    offered: u64,
    offered_per_second: f64,
    /// Requests answered correctly before their deadline, per second.
    goodput_per_second: f64,
    fates: BTreeMap<CallerOutcome, u64>,
    response_ratio: Quantiles,
    latency_ms: Quantiles,
    wasted: WastedMessages,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Quantiles {
    p50: f64,
    p99: f64,
    p999: f64,
    max: f64,
}

/// Messages that did not contribute to a correct answer before the deadline, per
/// request that got one.
#[derive(Clone, Copy, Debug, Serialize)]
struct WastedMessages {
    /// Between callers and entries.
    callers_per_good: Option<f64>,
    /// Between processes of the system and to upstreams, warm-up included. None
    /// unless the same number of processes, at least one, reported their counters
    /// before and after the load.
    system_per_good: Option<f64>,
    /// All messages between processes of the system and to upstreams, wasted or not.
    system_sent: Option<f64>,
    /// Number of processes that reported their counters after the load.
    sources: usize,
}

impl Summary {
    pub(super) fn new(
        plan: &Plan,
        stats: &Stats,
        before: &MessageCounters,
        after: &MessageCounters,
    ) -> Summary {
        let seconds = plan.duration().as_secs_f64();
        let good = stats.count(CallerOutcome::Done);
        Summary {
            command: plan.command().to_owned(),
            seed: plan.seed(),
            offered: stats.total(),
            offered_per_second: stats.total() as f64 / seconds,
            goodput_per_second: good as f64 / seconds,
            fates: CallerOutcome::iter()
                .map(|outcome| (outcome, stats.count(outcome)))
                .collect(),
            response_ratio: Quantiles::new(|quantile| stats.response_ratio_at(quantile)),
            latency_ms: Quantiles::new(|quantile| stats.latency_ms_at(quantile)),
            wasted: WastedMessages::new(stats, before, after),
        }
    }

    /// Number of requests sent after the warm-up.
    pub(crate) fn offered(&self) -> u64 {
        self.offered
    }

    /// Number of answers that belong to another request or are incomplete.
    pub(crate) fn wrong(&self) -> u64 {
        self.fates.get(&CallerOutcome::Wrong).copied().unwrap_or(0)
    }

    /// The result as JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a summary has only string keys")
    }
}

impl Quantiles {
    fn new(at: impl Fn(f64) -> f64) -> Quantiles {
        Quantiles {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: at(1.0),
        }
    }
}

impl WastedMessages {
    fn new(stats: &Stats, before: &MessageCounters, after: &MessageCounters) -> WastedMessages {
        let good = stats.count(CallerOutcome::Done);
        let per_good = |count: f64| (good > 0).then(|| count / good as f64);
        let comparable = after.sources > 0 && before.sources == after.sources;
        let bad = (stats.total() - good) as f64 * MESSAGES_PER_EXCHANGE;
        WastedMessages {
            callers_per_good: per_good(bad),
            system_per_good: per_good(after.wasted - before.wasted).filter(|_| comparable),
            system_sent: comparable.then_some(after.sent - before.sent),
            sources: after.sources,
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered          {} ({:.1}/s)",
            self.offered, self.offered_per_second
        )?;
        writeln!(f, "goodput          {:.1}/s", self.goodput_per_second)?;
        for (outcome, count) in self.fates.iter().filter(|pair| *pair.1 > 0) {
            writeln!(f, "  {:<15}{count}", outcome.to_string())?;
        }
        writeln!(f, "response ratio   {}", self.response_ratio)?;
        writeln!(f, "latency in ms    {}", self.latency_ms)?;
        write!(f, "{}", self.wasted)?;
        write!(f, "repeat with      {}", self.command)
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Quantiles {
            p50,
            p99,
            p999,
            max,
        } = self;
        write!(
            f,
            "p50 {p50:.3}  p99 {p99:.3}  p99.9 {p999:.3}  max {max:.3}"
        )
    }
}

impl fmt::Display for WastedMessages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = |rate: Option<f64>| match rate {
            Some(rate) => format!("{rate:.4}"),
            None => "not measured".to_owned(),
        };
        writeln!(f, "wasted messages for each good answer")?;
        writeln!(f, "  callers        {}", rate(self.callers_per_good))?;
        let sources = self.sources;
        writeln!(
            f,
            "  system         {} (from {sources} processes)",
            rate(self.system_per_good)
        )
    }
}
