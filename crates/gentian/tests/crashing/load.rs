//! The load: queues, upstreams, what goes wrong when, and what is counted.

use std::time::Duration;

use gentian::limit::job_queue::Objective;
use gentian::wire::need::Need;

/// A configured queue and its load.
pub(crate) struct Queue {
    pub(crate) name: &'static str,
    pub(crate) jobs_per_s: f64,
    pub(crate) tasks: usize,
    pub(crate) run: Duration,
}

pub(crate) const QUEUES: [Queue; 3] = [
    Queue {
        name: "short",
        jobs_per_s: 34.0,
        tasks: 8,
        run: Duration::from_millis(60),
    },
    Queue {
        name: "long",
        jobs_per_s: 6.0,
        tasks: 4,
        run: Duration::from_millis(900),
    },
    Queue {
        name: "frequent",
        jobs_per_s: 100.0,
        tasks: 2,
        run: Duration::from_millis(200),
    },
];

pub(crate) const UPSTREAMS: usize = 11;
pub(crate) const CAPACITY: Need = Need {
    cpu: 80_000,
    memory: 1_000_000,
    accelerators: 0,
};
pub(crate) const TASK: Need = Need {
    cpu: 6_000,
    memory: 64,
    accelerators: 0,
};
/// Time from the start of a bad task to the crash, and until the agent has told of it.
pub(crate) const CRASH_TIME: Duration = Duration::from_millis(10);
pub(crate) const NOTICE: Duration = Duration::from_millis(20);
pub(crate) const DOWNTIME: Duration = Duration::from_millis(3_300);
/// Time from a crash until the runs that were there count as lost.
pub(crate) const LAPSE: Duration = Duration::from_millis(630);
pub(crate) const DEADLINE: Duration = Duration::from_millis(1_500);
pub(crate) const BAD_JOBS: std::ops::Range<Duration> =
    Duration::from_secs(5)..Duration::from_secs(15);
pub(crate) const LENGTH: Duration = Duration::from_secs(25);
pub(crate) const RELEASE_CHECK: Duration = Duration::from_millis(50);

/// What is done about crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// Lost runs are started again.
    Naive,
    /// Tasks are given up after a few crashes.
    CountOnly,
    /// Besides, queues are confined whose tasks crash upstreams.
    Confined,
}

/// When jobs must arrive to be counted: from a second after the first bad ones until all
/// have time to end.
pub(crate) const COUNTED: std::ops::Range<Duration> =
    Duration::from_secs(6)..Duration::from_secs(23);

/// What became of the jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Sound jobs that ended in time, and all, by queue, of those that are counted.
    pub(crate) sound: [(u32, u32); 3],
    pub(crate) sound_jobs_failed: u32,
    pub(crate) most_crashes_of_a_task: usize,
    pub(crate) confinements: u32,
}

impl Outcome {
    pub(crate) fn in_time(&self, queue: usize) -> f64 {
        let (in_time, all) = self.sound[queue];
        f64::from(in_time) / f64::from(all)
    }
}

pub(crate) fn objective(queue: usize) -> Objective {
    Objective {
        critical_path: QUEUES[queue].run,
        stretch: 1.6,
        target: Duration::from_millis(60),
    }
}

pub(crate) fn name(job: u64, task: usize) -> String {
    format!("{job}.0.0.{task}")
}
