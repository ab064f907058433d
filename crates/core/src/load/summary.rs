//! What a load showed, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::messages::Messages;
use super::send::Fate;
use super::tally::Tally;
use super::Plan;

/// Messages of a caller's hop: its request and the answer.
const MESSAGES_PER_EXCHANGE: f64 = 2.0;

/// The result of a load.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    command: String,
    seed: u64,
    /// Requests sent in the counted time.
    offered: u64,
    offered_per_second: f64,
    /// Requests answered correctly and in time, a second.
    goodput_per_second: f64,
    fates: BTreeMap<Fate, u64>,
    response_ratio: Quantiles,
    latency_ms: Quantiles,
    wasted: Wasted,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Quantiles {
    p50: f64,
    p99: f64,
    p999: f64,
    max: f64,
}

/// Messages beyond one request and one answer a hop, for each request answered
/// correctly and in time.
#[derive(Clone, Copy, Debug, Serialize)]
struct Wasted {
    /// Between callers and entries.
    callers_per_good: Option<f64>,
    /// Between the system's processes and upstreams, warm-up included; none
    /// where no process told its counters.
    system_per_good: Option<f64>,
    /// All messages between the system's processes and upstreams.
    system_sent: Option<f64>,
    /// Processes that told their counters.
    sources: usize,
}

impl Summary {
    pub(super) fn new(plan: &Plan, tally: &Tally, before: &Messages, after: &Messages) -> Summary {
        let seconds = plan.duration().as_secs_f64();
        let good = tally.of(Fate::Done);
        Summary {
            command: plan.command().to_owned(),
            seed: plan.seed(),
            offered: tally.counted(),
            offered_per_second: tally.counted() as f64 / seconds,
            goodput_per_second: good as f64 / seconds,
            fates: Fate::iter().map(|fate| (fate, tally.of(fate))).collect(),
            response_ratio: Quantiles::new(|quantile| tally.ratio_at(quantile)),
            latency_ms: Quantiles::new(|quantile| tally.latency_ms_at(quantile)),
            wasted: Wasted::new(tally, before, after),
        }
    }

    /// Requests sent in the counted time.
    pub(crate) fn offered(&self) -> u64 {
        self.offered
    }

    /// Answers that were not the request's own, or not whole.
    pub(crate) fn wrong(&self) -> u64 {
        self.fates.get(&Fate::Wrong).copied().unwrap_or(0)
    }

    /// The result as JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a summary has text keys only")
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

impl Wasted {
    fn new(tally: &Tally, before: &Messages, after: &Messages) -> Wasted {
        let good = tally.of(Fate::Done);
        let per_good = |count: f64| (good > 0).then(|| count / good as f64);
        let told = after.sources > 0 && before.sources == after.sources;
        let bad = (tally.counted() - good) as f64 * MESSAGES_PER_EXCHANGE;
        Wasted {
            callers_per_good: per_good(bad),
            system_per_good: per_good(after.wasted - before.wasted).filter(|_| told),
            system_sent: told.then_some(after.sent - before.sent),
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
        for (fate, count) in self.fates.iter().filter(|pair| *pair.1 > 0) {
            writeln!(f, "  {:<15}{count}", fate.to_string())?;
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

impl fmt::Display for Wasted {
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
