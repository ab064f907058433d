//! What crashes of upstreams mean for jobs and their queues.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian::claim::crash::{Crash, CrashedRun, Verdict};
use gentian::claim::run::Isolation;
use gentian::route::bulkhead::{self, Bulkhead, Pool};
use gentian::route::placement::Placer;
use gentian::wire::agent as wire;
use gentian::wire::id::{Node, Service};
use gentian::wire::need::Constraints;

use super::super::job::{Lane, Outcome, Submission};
use super::State;

/// The upstreams that tasks in a lane may use.
pub(super) fn pool<'a>(
    bulkheads: &'a BTreeMap<Service, Bulkhead>,
    placer: &Placer,
    lane: &Lane,
    constraints: &Constraints,
) -> Pool<'a> {
    let service = &lane.service;
    let bulkhead = bulkheads.get(service);
    let pool = bulkhead.map_or(Pool::All, |bulkhead| bulkhead.pool(lane.confined));
    let usable = match pool {
        Pool::All => true,
        Pool::Only(_) => placer.has_suitable(service, constraints, pool),
        // Tasks of other queues use the reserved upstreams rather than none.
        Pool::Except(_) => placer.serves(service, constraints, pool),
    };
    if usable {
        pool
    } else {
        Pool::All
    }
}

impl State {
    /// The queue in which a job waits for capacity.
    pub(in crate::entry::lease) fn lane(&self, submission: &Submission) -> Lane {
        let bulkhead = self.bulkheads.get(&submission.service);
        let queue = &submission.queue.name;
        Lane {
            service: submission.service.clone(),
            confined: bulkhead.is_some_and(|bulkhead| bulkhead.is_confined(queue)),
        }
    }

    /// The outcome of a job of which upstreams have crashed too often under a task, at
    /// whichever entry that was; it is not started again.
    pub(in crate::entry::lease) fn given_up_outcome(
        &self,
        submission: &Submission,
    ) -> Option<Outcome> {
        let given_up = |task: &&str| self.crashes.verdict(task) == Verdict::GiveUp;
        let task = submission.task_names().find(given_up)?;
        self.record_given_up(submission, task, self.crashes.count(task));
        Some(Outcome::Failed)
    }

    /// The crashes of an agent's upstreams, for the agent, which may have restarted.
    pub(in crate::entry::lease) fn crashes_at(
        &mut self,
        agent: &Node,
        now: Duration,
    ) -> Vec<wire::Crash> {
        self.crashes.prune(now);
        let crashes = self.crashes.iter().filter(|crash| crash.agent == *agent);
        crashes.map(|crash| crash.to_wire(now)).collect()
    }

    /// Whether upstreams have crashed under a task of the job, whichever entry had it then.
    pub(super) fn has_suspect(&self, submission: &Submission) -> bool {
        let mut tasks = submission.task_names();
        tasks.any(|task| self.crashes.count(task) > 0)
    }

    /// Which runs may be beside a task's run: the likelier it is to crash its upstream, the
    /// fewer.
    pub(super) fn isolation(&self, task: &str, lane: &Lane) -> Isolation {
        match (self.crashes.verdict(task), lane.confined) {
            (Verdict::Clear | Verdict::Suspect, false) => Isolation::Shared,
            (Verdict::Clear, true) => Isolation::Limited,
            (Verdict::Suspect, true) | (Verdict::Isolate | Verdict::GiveUp, _) => Isolation::Alone,
        }
    }

    /// Handles the news that an upstream has crashed. Jobs are given up whose tasks have
    /// crashed too many.
    pub(in crate::entry::lease) fn upstream_crashed(
        &mut self,
        node: &Node,
        message: &wire::Crash,
        now: Duration,
    ) {
        let crash = Crash::from_wire(message, node, now);
        let evidence = self.evidence(&crash);
        if !self.crashes.record(crash.clone(), now) {
            return;
        }
        for crashed in &crash.runs {
            self.run_crashed(&crash, crashed);
        }
        if let Some(service) = self.placer.service(node).cloned() {
            self.observe_crash(&service, &evidence);
        }
    }

    /// The crash as evidence against configured queues; to be made before it is recorded.
    fn evidence(&self, crash: &Crash) -> bulkhead::Crash {
        let runs = crash.runs.iter().map(|crashed| bulkhead::CrashedRun {
            queue: crashed.queue.to_string(),
            age: crashed.age,
            repeated: self.crashes.count(&crashed.run.task) > 0,
        });
        let rates = crash.rates.iter();
        bulkhead::Crash {
            upstream: crash.agent.clone(),
            at: crash.at,
            runs: runs.collect(),
            starts_per_s: rates
                .map(|rate| (rate.queue.to_string(), rate.starts_per_s))
                .collect(),
        }
    }

    /// Logs a crash under a task of a job in progress, and gives the job up if it was one
    /// too many.
    fn run_crashed(&mut self, crash: &Crash, crashed: &CrashedRun) {
        let number = self.numbers_by_id.get(&crashed.job).copied();
        let Some((number, job)) = number.and_then(|n| Some((n, self.jobs.get(&n)?))) else {
            return;
        };
        let task = &crashed.run.task;
        let crashes = self.crashes.count(task);
        tracing::info!(
            event = "crashed_under",
            request = %crashed.job,
            run = %crashed.run,
            agent = %crash.agent,
            upstream = crash.process.upstream,
            born_ms = crash.process.born_ms,
            crashes,
            beside = crash.runs.len() - 1,
            alone = crash.was_alone(&crashed.job),
        );
        if self.crashes.verdict(task) == Verdict::GiveUp {
            self.record_given_up(&job.submission, task, crashes);
            self.finish_job(number, Outcome::Failed);
        }
    }

    /// Counts and logs that a job is given up, or refused for good, for the crashes under
    /// one of its tasks.
    fn record_given_up(&self, submission: &Submission, task: &str, crashes: usize) {
        self.metrics.crashing();
        tracing::warn!(
            event = "given_up",
            request = %submission.id,
            task,
            queue = submission.queue.name,
            crashes,
            message = format!("given up after its upstream crashed under it {crashes} times"),
        );
    }

    fn observe_crash(&mut self, service: &Service, evidence: &bulkhead::Crash) {
        let upstreams = self.placer.nodes(service);
        let bulkhead = self.bulkheads.entry(service.clone()).or_default();
        let Some(queue) = bulkhead.observe(evidence, &upstreams) else {
            return;
        };
        let pool: Vec<&str> = bulkhead.reserved().iter().map(Node::as_str).collect();
        log::warn!(
            "queue {queue}: its tasks crash upstreams; confined to those of the agents {}",
            pool.join(", ")
        );
        self.update_lanes(service);
    }

    /// Lets queues use all upstreams again under whose tasks none has crashed for a while.
    pub(in crate::entry::lease) fn release_queues(&mut self, now: Duration) {
        let mut changed = Vec::new();
        for (service, bulkhead) in &mut self.bulkheads {
            if !bulkhead.is_in_use() {
                continue;
            }
            let pool = Pool::Only(bulkhead.reserved());
            let is_tested = self.placer.serves(service, &Constraints::default(), pool);
            let released = bulkhead.release(is_tested, now);
            for queue in &released {
                log::info!("queue {queue}: no crashes for a while; no longer confined");
            }
            if !released.is_empty() {
                changed.push(service.clone());
            }
        }
        for service in &changed {
            self.update_lanes(service);
        }
    }

    /// Number of configured queues that are confined.
    pub(in crate::entry::lease) fn confined_queues(&self) -> usize {
        let bulkheads = self.bulkheads.values();
        bulkheads.map(Bulkhead::confined_queues).sum()
    }

    /// Moves the waiting jobs of a service to where they belong now.
    fn update_lanes(&mut self, service: &Service) {
        let lanes = self.job_queues.iter();
        let lanes = lanes.filter(|(lane, _)| lane.service == *service);
        let waiting = lanes.flat_map(|(_, queue)| queue.iter());
        let waiting: Vec<u64> = waiting.map(|rank| rank.arrival).collect();
        for number in waiting {
            self.requeue(number);
        }
    }
}
