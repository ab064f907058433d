//! A job in progress: its tasks, and which of them may start.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::Run;
use gentian::config::document::Queue;
use gentian::limit::job_queue::{Objective, Rank};
use gentian::wire::id::{Node, Service};
use gentian_platform::caller::Step;
use tokio::sync::oneshot;

use crate::clock;

/// A job as the caller submitted it.
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
    /// Number of tasks in all steps.
    pub(super) fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.tasks.len()).sum()
    }

    /// Names of the tasks of all steps.
    pub(super) fn task_names(&self) -> impl Iterator<Item = &str> {
        let tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.map(String::as_str)
    }

    /// The most processor time that a task needs, in thousandths of a core.
    pub(super) fn max_cpu(&self) -> u32 {
        let cpu = self.steps.iter().map(|step| step.need.cpu);
        cpu.max().unwrap_or(0)
    }

    /// The most cores that the tasks of a step need together.
    pub(super) fn widest_step_cores(&self) -> f64 {
        let steps = self.steps.iter();
        let cores = steps.map(|step| step.tasks.len() as f64 * f64::from(step.need.cpu) / 1e3);
        cores.fold(0.0, f64::max)
    }

    /// Declared run time of the longest chain of dependent steps.
    pub(super) fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for step in &self.steps {
            let start = step.after.iter().map(|on| ends[*on]).max();
            ends.push(start.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Declared run time of the longest chain of steps behind each step.
    fn paths_after(&self) -> Vec<Duration> {
        let mut paths = vec![Duration::ZERO; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            let path = paths[index].saturating_add(step.estimate);
            for on in &step.after {
                paths[*on] = path.max(paths[*on]);
            }
        }
        paths
    }
}

/// When a job was received, and when its caller gives it up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) arrived: Instant,
    /// By [`clock::now`], since callers don't wait for an entry that is suspended.
    pub(super) deadline: Duration,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has failed in as many attempts as its queue allows.
    Failed,
    /// Refused before any task started.
    Refused(Refusal),
    /// Given up: at its deadline after a task had started, or may have, or because no
    /// caller waits any more.
    GivenUp,
    /// Cancelled by a caller.
    Cancelled,
}

impl Outcome {
    /// The outcome's name in metrics and log lines.
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

/// A refusal of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    /// Why it was refused.
    pub(super) cause: RefusalCause,
    /// Delay after which the caller should submit it again.
    pub(super) retry_after: Duration,
}

impl Refusal {
    pub(super) fn new(cause: RefusalCause, retry_after: Duration) -> Refusal {
        Refusal { cause, retry_after }
    }
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RefusalCause {
    /// No upstream that accepts runs meets the requirements of one of its tasks.
    NoUpstream,
    /// Only upstreams that the configuration gives no work could run one of its tasks.
    Denied,
    /// One of its tasks needs more than any upstream's whole capacity.
    TooLarge,
    /// The work queued ahead of the job would make it wait for too long.
    Overload,
    /// This entry has too little processor for all jobs that it is sent.
    Lag,
    /// Its queue is confined to a few upstreams, since its tasks crash them, and none of
    /// these takes runs.
    Confined,
    /// The job has waited for as long as its queue allows without starting a task.
    Waited,
    /// The job's deadline has passed before a task started.
    Deadline,
}

/// One of the two queues of a service in which jobs wait for capacity.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Lane {
    pub(super) service: Service,
    /// Whether it is that of the configured queues whose tasks crash upstreams, which have
    /// upstreams of their own.
    pub(super) confined: bool,
}

/// One task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) name: Arc<str>,
    /// Index of its step.
    pub(super) step: usize,
    /// Number of the last run; each start of the task gets a higher number.
    pub(super) last_run: u64,
    pub(super) failures: u32,
    /// The run in progress, and the agent that it was ordered from.
    pub(super) run: Option<(Node, Run)>,
    /// Agents to avoid, where earlier runs failed, were lost or stopped, or were refused
    /// for a reason other than a lack of capacity or an old run number.
    pub(super) avoided: Vec<Node>,
    /// Whether the run was ordered to stop so that the task can start elsewhere.
    pub(super) moving: bool,
}

/// Progress of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepState {
    /// A step that it depends on is not done.
    Blocked,
    /// Its tasks wait for room or run.
    Active,
    /// All its tasks are done.
    Done,
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) submission: Submission,
    pub(super) objective: Objective,
    /// Its service's queue in which it waits for capacity.
    pub(super) lane: Lane,
    pub(super) rank: Rank,
    pub(super) tasks: Vec<Task>,
    /// Indices of the tasks that may start and wait for room.
    pub(super) waiting: VecDeque<usize>,
    /// Number of tasks of each step that are not done.
    unfinished: Vec<usize>,
    step_states: Vec<StepState>,
    /// Declared run time of the longest chain of steps behind each step.
    paths_after: Vec<Duration>,
    /// Whether any task may have started: a start is ordered and not refused so far, or a run
    /// has begun before.
    pub(super) started: bool,
    /// Whether a run has ended otherwise than with a refusal, so that it may have begun.
    may_have_run: bool,
    pub(super) arrived_at: Instant,
    /// When the last of its callers gives it up, by [`clock::now`].
    pub(super) deadline: Duration,
    /// Callers that wait for the outcome, by their number.
    pub(super) callers: BTreeMap<u64, oneshot::Sender<Outcome>>,
}

impl Job {
    pub(super) fn new(
        submission: Submission,
        objective: Objective,
        lane: Lane,
        rank: Rank,
        times: Times,
    ) -> Job {
        let steps = submission.steps.iter().enumerate();
        let tasks =
            steps.flat_map(|(step, tasks)| tasks.tasks.iter().map(move |name| (step, name)));
        let tasks = tasks.map(|(step, name)| Task {
            name: name.as_str().into(),
            step,
            last_run: 0,
            failures: 0,
            run: None,
            avoided: Vec::new(),
            moving: false,
        });
        let mut job = Job {
            objective,
            lane,
            rank,
            waiting: VecDeque::new(),
            unfinished: submission
                .steps
                .iter()
                .map(|step| step.tasks.len())
                .collect(),
            step_states: vec![StepState::Blocked; submission.steps.len()],
            tasks: tasks.collect(),
            paths_after: submission.paths_after(),
            started: false,
            may_have_run: false,
            arrived_at: times.arrived,
            deadline: times.deadline,
            callers: BTreeMap::new(),
            submission,
        };
        job.queue_ready_steps();
        job
    }

    /// Queues the tasks of steps whose dependencies are done. Dependencies have lower
    /// indices, so one pass is enough, also where a step without tasks is done at
    /// once.
    fn queue_ready_steps(&mut self) {
        for step in 0..self.step_states.len() {
            let after = &self.submission.steps[step].after;
            let ready = after
                .iter()
                .all(|on| self.step_states[*on] == StepState::Done);
            self.step_states[step] = match self.step_states[step] {
                StepState::Blocked if !ready => continue,
                StepState::Blocked if self.unfinished[step] > 0 => {
                    self.queue_step(step);
                    StepState::Active
                }
                StepState::Active if self.unfinished[step] > 0 => continue,
                StepState::Blocked | StepState::Active | StepState::Done => StepState::Done,
            };
        }
    }

    fn queue_step(&mut self, step: usize) {
        let tasks = self.tasks.iter().enumerate();
        let own = tasks.filter(|(_, task)| task.step == step);
        self.waiting.extend(own.map(|(index, _)| index));
    }

    /// Records the end of a run, which is no longer that of its task. If its start was
    /// `refused` and nothing else of the job may have begun, the job has not started.
    pub(super) fn record_end(&mut self, refused: bool) {
        if !refused {
            self.may_have_run = true;
            return;
        }
        let ordered = self.tasks.iter().any(|task| task.run.is_some());
        self.started = self.may_have_run || ordered;
    }

    /// Counts a task as done and queues the steps that this makes ready.
    pub(super) fn task_done(&mut self, index: usize) {
        let step = self.tasks[index].step;
        self.unfinished[step] -= 1;
        if self.unfinished[step] == 0 {
            self.queue_ready_steps();
        }
    }

    /// Whether its callers have given it up, and may have sent it to another entry.
    pub(super) fn is_overdue(&self) -> bool {
        clock::now() >= self.deadline
    }

    pub(super) fn is_done(&self) -> bool {
        self.unfinished.iter().all(|tasks| *tasks == 0)
    }

    /// The step of a task.
    pub(super) fn step_of(&self, index: usize) -> &Step {
        &self.submission.steps[self.tasks[index].step]
    }

    /// Time until a task is to have ended, so that the steps that depend on it can end in
    /// time too.
    pub(super) fn time_left(&self, index: usize) -> Duration {
        let limit = self.objective.time_limit();
        let left = limit.saturating_sub(self.arrived_at.elapsed());
        left.saturating_sub(self.paths_after[self.tasks[index].step])
    }

    /// Agents that already run as many tasks of this task's step as the step allows
    /// on one upstream.
    pub(super) fn nodes_at_limit(&self, index: usize) -> Vec<Node> {
        let Some(max) = self.step_of(index).constraints.max_per_upstream else {
            return Vec::new();
        };
        let mut running: BTreeMap<&Node, u32> = BTreeMap::new();
        let step = self.tasks[index].step;
        let tasks = self.tasks.iter().filter(|task| task.step == step);
        for (node, _) in tasks.filter_map(|task| task.run.as_ref()) {
            *running.entry(node).or_default() += 1;
        }
        let at_limit = running.into_iter().filter(|(_, tasks)| *tasks >= max);
        at_limit.map(|(node, _)| node.clone()).collect()
    }

    /// Expected work of the waiting tasks, in core-seconds.
    pub(super) fn work(&self) -> f64 {
        let declared = self.submission.critical_path().as_secs_f64();
        let ratio = self.objective.critical_path.as_secs_f64() / declared.max(1e-3);
        let steps = self.waiting.iter().map(|index| self.step_of(*index));
        let work = steps.map(|step| f64::from(step.need.cpu) / 1e3 * step.estimate.as_secs_f64());
        work.sum::<f64>() * ratio
    }
}
