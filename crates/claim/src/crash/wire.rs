//! Conversions between crashes and their wire messages.

use std::time::Duration;

use gentian_wire::agent;
use gentian_wire::id::Node;

use super::{Crash, CrashedRun, Process, QueueRate};
use crate::run::Run;

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl Crash {
    /// The message about this crash, sent `now`.
    pub fn to_wire(&self, now: Duration) -> agent::Crash {
        let runs = self.runs.iter().map(|crashed| agent::CrashedRun {
            run: Some((&crashed.run).into()),
            job: crashed.job.to_string(),
            queue: crashed.queue.to_string(),
            age_ms: millis(crashed.age),
        });
        let rates = self.rates.iter().map(|rate| agent::QueueRate {
            queue: rate.queue.to_string(),
            starts_per_s: rate.starts_per_s as f32,
        });
        agent::Crash {
            upstream: self.process.upstream.clone(),
            born_ms: self.process.born_ms,
            ago_ms: millis(now.saturating_sub(self.at)),
            runs: runs.collect(),
            rates: rates.collect(),
        }
    }

    /// The crash of a message about an upstream of `agent` that arrives `now`. Runs without
    /// a task are left out.
    pub fn from_wire(message: &agent::Crash, agent: &Node, now: Duration) -> Crash {
        let runs = message.runs.iter().filter_map(|crashed| {
            Some(CrashedRun {
                run: Run::from(crashed.run.as_ref()?),
                job: crashed.job.as_str().into(),
                queue: crashed.queue.as_str().into(),
                age: Duration::from_millis(crashed.age_ms.into()),
            })
        });
        let rates = message.rates.iter().map(|rate| QueueRate {
            queue: rate.queue.as_str().into(),
            // The maximum of a number and a NaN is the number.
            starts_per_s: f64::from(rate.starts_per_s).max(0.0),
        });
        Crash {
            agent: agent.clone(),
            process: Process {
                upstream: message.upstream.clone(),
                born_ms: message.born_ms,
            },
            at: now.saturating_sub(Duration::from_millis(message.ago_ms.into())),
            runs: runs.collect(),
            rates: rates.collect(),
        }
    }
}
