//! Jobs in progress.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::Run;
use gentian::config::document::Queue;
use gentian::limit::line::{Objective, Rank};
use gentian::wire::id::{Node, Service};
use gentian_platform::caller::Step;
use tokio::sync::oneshot;

/// A job as it was handed in.
#[derive(Debug)]
pub(super) struct Submission {
    /// The caller's id of the job.
    pub(super) id: Arc<str>,
    pub(super) queue: Queue,
    pub(super) service: Service,
    pub(super) spec: Bytes,
    pub(super) steps: Vec<Step>,
}

impl Submission {
    /// Number of all tasks.
    pub(super) fn tasks(&self) -> usize {
        self.steps.iter().map(|step| step.tasks.len()).sum()
    }

    /// The largest processor that a task takes, in thousandths of a core.
    pub(super) fn cpu(&self) -> u32 {
        let cpu = self.steps.iter().map(|step| step.need.cpu);
        cpu.max().unwrap_or(0)
    }

    /// The longest chain of declared run times.
    pub(super) fn chain(&self) -> Duration {
        let mut until: Vec<Duration> = Vec::new();
        for step in &self.steps {
            let from = step.after.iter().map(|on| until[*on]).max();
            until.push(from.unwrap_or_default() + step.estimate);
        }
        until.into_iter().max().unwrap_or_default()
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing of it has run; when to come back, and why.
    Refused(Duration, RefusalCause),
    /// It was given up after something of it had run.
    GivenUp,
    /// Its caller has cancelled it.
    Cancelled,
}

impl Outcome {
    /// The outcome's name in metrics and lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Refused(..) => "refused",
            Outcome::GivenUp => "given_up",
            Outcome::Cancelled => "cancelled",
        }
    }
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RefusalCause {
    /// No upstream of its service takes work.
    NoUpstream,
    /// No upstream is large enough for one of its tasks.
    TooLarge,
    /// Too much waits ahead of it.
    Overload,
    /// It has waited for as long as it may.
    Waited,
    /// Its deadline has passed.
    Deadline,
}

/// One task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) name: Arc<str>,
    /// Number of its step.
    pub(super) step: usize,
    /// Number of its last start.
    pub(super) number: u64,
    pub(super) failures: u32,
    /// Where it runs.
    pub(super) at: Option<(Node, Run)>,
    /// Upstreams that it has failed at, or was moved from.
    pub(super) avoid: Vec<Node>,
    /// It was told to stop so that it can begin elsewhere.
    pub(super) moving: bool,
}

/// When a step may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Turn {
    /// Once those that it follows are over.
    Later,
    /// Its tasks are in line, or run.
    Now,
    /// All its tasks are done.
    Over,
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) submission: Submission,
    pub(super) objective: Objective,
    pub(super) rank: Rank,
    pub(super) tasks: Vec<Task>,
    /// Tasks whose turn has come and that wait for room, by their index.
    pub(super) waiting: VecDeque<usize>,
    /// Tasks of each step that are not done.
    left: Vec<usize>,
    turns: Vec<Turn>,
    /// Whether a start of any task was ordered.
    pub(super) begun: bool,
    pub(super) arrived: Instant,
    /// Those who wait for the outcome.
    pub(super) callers: BTreeMap<u64, oneshot::Sender<Outcome>>,
}

impl Job {
    pub(super) fn new(submission: Submission, objective: Objective, rank: Rank) -> Job {
        let steps = submission.steps.iter().enumerate();
        let tasks =
            steps.flat_map(|(step, tasks)| tasks.tasks.iter().map(move |name| (step, name)));
        let tasks = tasks.map(|(step, name)| Task {
            name: name.as_str().into(),
            step,
            number: 0,
            failures: 0,
            at: None,
            avoid: Vec::new(),
            moving: false,
        });
        let mut job = Job {
            objective,
            rank,
            waiting: VecDeque::new(),
            left: submission
                .steps
                .iter()
                .map(|step| step.tasks.len())
                .collect(),
            turns: vec![Turn::Later; submission.steps.len()],
            tasks: tasks.collect(),
            begun: false,
            arrived: Instant::now(),
            callers: BTreeMap::new(),
            submission,
        };
        job.queue_due();
        job
    }

    /// Puts the steps in line whose turn has come. What a step follows has lower
    /// numbers, so one pass sees all, and a step without tasks passes the turn on.
    fn queue_due(&mut self) {
        for step in 0..self.turns.len() {
            let after = &self.submission.steps[step].after;
            let due = after.iter().all(|on| self.turns[*on] == Turn::Over);
            self.turns[step] = match self.turns[step] {
                Turn::Later if !due => continue,
                Turn::Later if self.left[step] > 0 => {
                    self.queue(step);
                    Turn::Now
                }
                Turn::Now if self.left[step] > 0 => continue,
                Turn::Later | Turn::Now | Turn::Over => Turn::Over,
            };
        }
    }

    fn queue(&mut self, step: usize) {
        let tasks = self.tasks.iter().enumerate();
        let own = tasks.filter(|(_, task)| task.step == step);
        self.waiting.extend(own.map(|(index, _)| index));
    }

    /// Notes that a task is done, after which the turn of others may have come.
    pub(super) fn done(&mut self, index: usize) {
        let step = self.tasks[index].step;
        self.left[step] -= 1;
        if self.left[step] == 0 {
            self.queue_due();
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.left.iter().all(|left| *left == 0)
    }

    /// The step of a task.
    pub(super) fn step_of(&self, index: usize) -> &Step {
        &self.submission.steps[self.tasks[index].step]
    }

    /// Upstreams that have as many tasks of a task's step as they may.
    pub(super) fn barred(&self, index: usize) -> Vec<Node> {
        let Some(most) = self.step_of(index).wish.most else {
            return Vec::new();
        };
        let mut there: BTreeMap<&Node, u32> = BTreeMap::new();
        let step = self.tasks[index].step;
        let tasks = self.tasks.iter().filter(|task| task.step == step);
        for (node, _) in tasks.filter_map(|task| task.at.as_ref()) {
            *there.entry(node).or_default() += 1;
        }
        let full = there.into_iter().filter(|(_, tasks)| *tasks >= most);
        full.map(|(node, _)| node.clone()).collect()
    }

    /// Work that waits for room, in core-seconds.
    pub(super) fn work(&self) -> f64 {
        let chain = self.submission.chain().as_secs_f64();
        let usual = self.objective.work.as_secs_f64() / chain.max(1e-3);
        let steps = self.waiting.iter().map(|index| self.step_of(*index));
        let work = steps.map(|step| f64::from(step.need.cpu) / 1e3 * step.estimate.as_secs_f64());
        work.sum::<f64>() * usual
    }
}
