//! Where a job's home and a task's candidates are, by rendezvous hashing over
//! the numbered views.
//!
//! Each agent's score for a key depends on nothing but the two, so a change of
//! members moves only the keys of the agents that came or went. A job's tasks
//! may have been started under any view in force since the job's creation, and
//! [`ViewHistory`] keeps them for as long as a key of their time may still come.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use gentian_wire::id::{self, Job, Node, Service, Task};
use xxhash_rust::xxh3::xxh3_64;

use crate::key_window::{MAX_CLOCK_SKEW, RETENTION};

/// Index that no task has: the home's place in a job.
const HOME: u32 = u32::MAX;

/// An agent of a view.
#[derive(Clone, Debug)]
pub struct Member {
    node: Node,
    services: Vec<Service>,
    hash: u64,
}

impl Member {
    /// An agent whose upstream takes work of `services`.
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

/// The agents in force from one change of members to the next.
#[derive(Clone, Debug)]
pub struct View {
    number: id::View,
    from: Duration,
    members: Vec<Member>,
}

impl View {
    /// View `number`, accepted at wall time `from`.
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

    /// The job's home, where the view has any agent.
    pub fn home(&self, job: Job) -> Option<&Node> {
        let task = job.task(HOME);
        let best = self.members.iter().max_by_key(|m| m.score(task));
        best.map(|member| &member.node)
    }

    /// The `count` agents of the service that may start the task, best first.
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

/// The views known to a node, up to the one in force.
#[derive(Clone, Debug)]
pub struct ViewHistory {
    grace: Duration,
    /// Whether no key of the window goes back behind the first view.
    whole: bool,
    list: VecDeque<View>,
}

impl ViewHistory {
    /// No views yet. `grace` is the time for which a node may still act on a
    /// view after the next was accepted: the lease and its renewal.
    pub fn new(grace: Duration) -> ViewHistory {
        ViewHistory {
            grace,
            whole: false,
            list: VecDeque::new(),
        }
    }

    /// Begins anew with a view behind which no key of the window goes back.
    pub fn reset(&mut self, view: View) {
        self.list.clear();
        self.list.push_back(view);
        self.whole = true;
    }

    /// Adds a view; one that isn't newer than the last is ignored.
    ///
    /// After a gap in the numbers the earlier views are dropped, for those
    /// between are not known.
    pub fn push(&mut self, view: View) {
        let last = self.number();
        if view.number <= last {
            return;
        }
        if self.list.is_empty() || view.number.0 != last.0 + 1 {
            self.list.clear();
            self.whole = view.number.0 == 1;
        }
        self.list.push_back(view);
    }

    /// Drops the views that no key of the retention window goes back to.
    pub fn advance(&mut self, wall: Duration) {
        let oldest = wall.saturating_sub(RETENTION + MAX_CLOCK_SKEW);
        while self.list.len() > 1 && self.end(0) < oldest {
            self.list.pop_front();
        }
    }

    /// The view in force, where there is one.
    pub fn current(&self) -> Option<&View> {
        self.list.back()
    }

    /// Whether the agent is in any of these views.
    pub fn contains(&self, node: &Node) -> bool {
        let mut members = self.list.iter().flat_map(|view| &view.members);
        members.any(|member| member.node == *node)
    }

    /// Number of the view in force; 0 before the first.
    pub fn number(&self) -> id::View {
        self.current().map_or(id::View(0), |view| view.number)
    }

    /// The views under which a task of the job may have been started, or
    /// nothing where this node doesn't know them all.
    pub fn since_creation(&self, job: Job) -> Option<impl Iterator<Item = &View>> {
        let first = self.list.front()?;
        let known = self.whole || first.from + self.grace + MAX_CLOCK_SKEW < job.created();
        let skip = (0..self.list.len()).take_while(|i| self.end(*i) < job.created());
        let skip = skip.count().min(self.list.len() - 1);
        (known || skip > 0).then(|| self.list.iter().skip(skip))
    }

    /// Whether `node` has been the job's home under every such view.
    pub fn is_sole_home(&self, job: Job, node: &Node) -> bool {
        let Some(mut views) = self.since_creation(job) else {
            return false;
        };
        views.all(|view| view.home(job) == Some(node))
    }

    /// All agents that may have started the task, or nothing where this node
    /// doesn't know them all.
    pub fn candidates(&self, task: Task, service: &Service, count: usize) -> Option<Vec<Node>> {
        let mut all = Vec::new();
        for view in self.since_creation(task.job)? {
            all.extend(view.candidates(task, service, count));
        }
        all.sort_unstable();
        all.dedup();
        Some(all)
    }

    /// Creation time from which keys can't have been submitted under the view
    /// at `index`.
    fn end(&self, index: usize) -> Duration {
        let next = self.list.get(index + 1);
        next.map_or(Duration::MAX, |view| {
            view.from + self.grace + MAX_CLOCK_SKEW
        })
    }
}
