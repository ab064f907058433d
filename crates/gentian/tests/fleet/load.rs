//! Jobs as callers submit them.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;

/// Jobs of one kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Mean number of tasks.
    width: f64,
    /// Mean run time of a task.
    run: Duration,
    /// Share of the jobs that are of this kind.
    share: f64,
    /// Smaller is more urgent.
    priority: u32,
}

/// Wide short jobs, a few long ones, and many narrow ones.
const KINDS: [Kind; 3] = [
    Kind {
        width: 8.0,
        run: Duration::from_millis(60),
        share: 0.24,
        priority: 0,
    },
    Kind {
        width: 4.0,
        run: Duration::from_millis(900),
        share: 0.055,
        priority: 2,
    },
    Kind {
        width: 2.0,
        run: Duration::from_millis(200),
        share: 0.705,
        priority: 1,
    },
];

/// Standard deviation of widths, run times and demands, as a share of their means.
const SPREAD: f64 = 0.4;
/// Largest deviation of one task's run time from that of its job.
const UNEVENNESS: f64 = 0.15;
/// Range of the ratio of declared to true run times.
const DECLARED_RATIO: std::ops::Range<f64> = 0.75..1.33;

/// Mean CPU of a task, in thousandths of a core.
pub(crate) const MEAN_CPU: u32 = 5_000;
const CPU_RANGE: std::ops::RangeInclusive<f64> = 3_000.0..=7_600.0;

/// Mean work of a job, in seconds of one task.
pub(crate) fn mean_work() -> f64 {
    let work = KINDS.map(|kind| kind.share * kind.width * kind.run.as_secs_f64());
    work.iter().sum()
}

/// Mean number of tasks of a job.
pub(crate) fn mean_width() -> f64 {
    KINDS.iter().map(|kind| kind.share * kind.width).sum()
}

/// A job that has arrived.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// CPU that each task needs, in thousandths of a core.
    pub(crate) cpu: u32,
    /// Priority of its queue; smaller is more urgent.
    pub(crate) priority: u32,
    /// Run time of a task as declared by the caller.
    pub(crate) declared: Duration,
    /// True run time of each task.
    pub(crate) runs: Vec<Duration>,
}

pub(crate) fn draw(rng: &mut Pcg64) -> Job {
    let kind = draw_kind(rng);
    let width = around(kind.width, rng).round().max(1.0) as usize;
    let run = around(kind.run.as_secs_f64(), rng).max(0.01);
    let mut runs = Vec::with_capacity(width);
    for _ in 0..width {
        let deviation = rng.random_range(-UNEVENNESS..UNEVENNESS);
        runs.push(Duration::from_secs_f64(run * (1.0 + deviation)));
    }
    let cpu = around(f64::from(MEAN_CPU), rng);
    Job {
        priority: kind.priority,
        cpu: cpu.clamp(*CPU_RANGE.start(), *CPU_RANGE.end()) as u32,
        declared: Duration::from_secs_f64(run * rng.random_range(DECLARED_RATIO)),
        runs,
    }
}

fn draw_kind(rng: &mut Pcg64) -> Kind {
    let mut left = rng.random::<f64>();
    let drawn = KINDS.iter().find(|kind| {
        left -= kind.share;
        left < 0.0
    });
    *drawn.unwrap_or(&KINDS[2])
}

/// A value around a mean, with a triangular distribution.
fn around(mean: f64, rng: &mut Pcg64) -> f64 {
    let deviation = rng.random::<f64>() + rng.random::<f64>() - 1.0;
    mean * (1.0 + SPREAD * deviation * 6.0_f64.sqrt())
}
