//! Maps jobs to home agents and tasks to candidate agents by rendezvous hashing
//! over numbered membership views.
//!
//! An agent's score for a key depends only on the agent and the key, so a
//! membership change moves only the keys of the agents that joined or left. A
//! job's tasks may have been started under any view that was in force since the
//! job key was created; [`ViewHistory`] keeps each view until no key that old
//! is accepted any more.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use gentian_wire::id::{self, Job, Node, Service, Task};
use xxhash_rust::xxh3::xxh3_64;

use crate::key_window::{MAX_CLOCK_SKEW, RETENTION};

/// Task index reserved for hashing a job to its home agent; no task has it.
const HOME_INDEX: u32 = u32::MAX;

/// An agent that belongs to a view.
#[derive(Clone, Debug)]
pub struct Member {
    node: Node,
    services: Vec<Service>,
    hash: u64,
}

impl Member {
    /// An agent whose upstreams serve `services`.
    pub fn new(node: Node, services: Vec<Service>) -> Member {
        let hash = xxh3_64(node.as_str().as_bytes());
        Member {
            node,
            services,
            hash,
        }
    }

    fn score(&self, task: Task) -> u64 {
        let mut key = [0; 28];
        key[..16].copy_from_slice(task.job.as_bytes());
        key[16..20].copy_from_slice(&task.index.to_le_bytes());
        key[20..].copy_from_slice(&self.hash.to_le_bytes());
        xxh3_64(&key)
    }
}

/// The set of member agents between two membership changes.
#[derive(Clone, Debug)]
pub struct View {
    number: id::View,
    /// Wall time at which the view came into force.
    from: Duration,
    members: Vec<Member>,
}

impl View {
    /// View `number`, which came into force at wall time `from`.
    pub fn new(number: id::View, from: Duration, members: Vec<Member>) -> View {
        View {
            number,
            from,
            members,
        }
    }

    /// The view's number.
    pub fn number(&self) -> id::View {
        self.number
    }

    /// The job's home agent; `None` if the view has no agents.
    pub fn home(&self, job: Job) -> Option<&Node> {
        let task = job.task(HOME_INDEX);
        let best = self.members.iter().max_by_key(|m| m.score(task));
        best.map(|member| &member.node)
    }

    /// Up to `count` agents serving `service` that may start the task, highest
    /// score first.
    pub fn candidates(&self, task: Task, service: &Service, count: usize) -> Vec<Node> {
        let serving = self.members.iter().filter(|m| m.services.contains(service));
        let mut scored: Vec<_> = serving.map(|m| (Reverse(m.score(task)), m)).collect();
        if count < scored.len() {
            scored.select_nth_unstable_by_key(count, |(score, _)| *score);
            scored.truncate(count);
        }
        scored.sort_unstable_by_key(|(score, _)| *score);
        scored.into_iter().map(|(_, m)| m.node.clone()).collect()
    }
}

/// The recent views known to a node, oldest first, up to the one in force.
#[derive(Clone, Debug)]
pub struct ViewHistory {
    grace: Duration,
    /// Whether no key in the retention window was created before the first view
    /// came into force.
    complete: bool,
    views: VecDeque<View>,
}

impl ViewHistory {
    /// An empty history. `grace` is how long a node may still act on a view
    /// after the next one was accepted: its lease plus the time to renew it.
    pub fn new(grace: Duration) -> ViewHistory {
        ViewHistory {
            grace,
            complete: false,
            views: VecDeque::new(),
        }
    }

    /// Replaces the history by a view that came into force before any key in the
    /// retention window was created.
    pub fn reset(&mut self, view: View) {
        self.views.clear();
        self.views.push_back(view);
        self.complete = true;
    }

    /// Adds a view, unless it is no newer than the last.
    ///
    /// If view numbers were skipped, the earlier views are dropped, because the
    /// history would have a gap.
    pub fn push(&mut self, view: View) {
        let last = self.number();
        if view.number <= last {
            return;
        }
        if self.views.is_empty() || view.number.0 != last.0 + 1 {
            self.views.clear();
            self.complete = view.number.0 == 1;
        }
        self.views.push_back(view);
    }

    /// Drops the views that ended before the oldest key in the retention window
    /// was created.
    pub fn advance(&mut self, wall: Duration) {
        let oldest = wall.saturating_sub(RETENTION + MAX_CLOCK_SKEW);
        while self.views.len() > 1 && self.end_of_use(0) < oldest {
            self.views.pop_front();
        }
    }

    /// The view in force, if any.
    pub fn current(&self) -> Option<&View> {
        self.views.back()
    }

    /// Whether any view in the history contains the agent.
    pub fn contains(&self, node: &Node) -> bool {
        let mut members = self.views.iter().flat_map(|view| &view.members);
        members.any(|member| member.node == *node)
    }

    /// Number of the view in force; 0 if there is none.
    pub fn number(&self) -> id::View {
        self.current().map_or(id::View(0), |view| view.number)
    }

    /// The views under which a task of the job may have been started, or `None`
    /// if this node doesn't know all of them.
    pub fn since_creation(&self, job: Job) -> Option<impl Iterator<Item = &View>> {
        let first = self.views.front()?;
        let known = self.complete || first.from + self.grace + MAX_CLOCK_SKEW < job.created();
        let skip = (0..self.views.len()).take_while(|i| self.end_of_use(*i) < job.created());
        let skip = skip.count().min(self.views.len() - 1);
        (known || skip > 0).then(|| self.views.iter().skip(skip))
    }

    /// Whether `node` has been the job's home under every view since the job's
    /// creation. `false` if this node doesn't know all of them.
    pub fn is_sole_home(&self, job: Job, node: &Node) -> bool {
        let Some(mut views) = self.since_creation(job) else {
            return false;
        };
        views.all(|view| view.home(job) == Some(node))
    }

    /// All agents that may have started the task under any view since the job's
    /// creation, where each view has up to `count` candidates. `None` if this node
    /// doesn't know all of those views.
    pub fn candidates(&self, task: Task, service: &Service, count: usize) -> Option<Vec<Node>> {
        let mut all = Vec::new();
        for view in self.since_creation(task.job)? {
            all.extend(view.candidates(task, service, count));
        }
        all.sort_unstable();
        all.dedup();
        Some(all)
    }

    /// Latest creation time, on any node's clock, of a key that may have been submitted
    /// under the view at `index`.
    fn end_of_use(&self, index: usize) -> Duration {
        let next = self.views.get(index + 1);
        next.map_or(Duration::MAX, |view| {
            view.from + self.grace + MAX_CLOCK_SKEW
        })
    }
}
