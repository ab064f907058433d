//! The jobs in progress, what waits, and where the tasks run.
//!
//! Decisions only: nothing here waits, and orders leave through the links.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::run::Run;
use gentian::limit::after;
use gentian::limit::line::{Line, Objective, Rank};
use gentian::route::eject::Ending;
use gentian::route::room::{is_worth_moving, Ask, Rooms, Told};
use gentian::route::runtime;
use gentian::wire::agent::{End, Fate, Progress, Refusal, Room};
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Need;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::logging::is_sampled;
use crate::metrics;

use super::job::{Job, Outcome, RefusalCause, Submission};
use super::link::{Link, Placed};

/// Queues whose run times are learned apart.
const QUEUES: usize = 256;
/// Moves of one task at most.
const MOVES: usize = 3;
/// Time without progress after which a run counts as hung.
const STANDSTILL: Duration = Duration::from_millis(400);
/// Added to a task's number where another start of it was there before.
const NUMBER_STEP: u64 = 1_000;
/// Time to come back where nothing is known of the wait.
const RETURN: Duration = Duration::from_millis(500);

/// The jobs in progress, what waits, and where the tasks run.
#[derive(Debug)]
pub(super) struct State {
    metrics: Arc<metrics::Jobs>,
    pub(super) rooms: Rooms,
    lines: BTreeMap<Service, Line>,
    pub(super) jobs: HashMap<u64, Job>,
    /// Jobs in progress by the caller's id.
    pub(super) ids: HashMap<Arc<str>, u64>,
    /// Runs that go on after their job's end, by the caller's id of that.
    ending: HashMap<Arc<str>, usize>,
    /// Jobs handed in again that wait until the runs of before have ended.
    held_back: HashMap<Arc<str>, u64>,
    pub(super) arrivals: u64,
    pub(super) links: BTreeMap<Node, Link>,
    /// Run times over declared ones by queue, as seconds a second.
    ratios: runtime::Table<String>,
    rng: StdRng,
}

impl State {
    /// Nothing is known yet.
    pub(super) fn new(metrics: Arc<metrics::Jobs>) -> State {
        State {
            metrics,
            rooms: Rooms::new(),
            lines: BTreeMap::new(),
            jobs: HashMap::new(),
            ids: HashMap::new(),
            ending: HashMap::new(),
            held_back: HashMap::new(),
            arrivals: 0,
            links: BTreeMap::new(),
            ratios: runtime::Table::new(QUEUES),
            rng: StdRng::from_os_rng(),
        }
    }

    pub(super) fn objective(&self, submission: &Submission) -> Objective {
        let queue = &submission.queue;
        Objective {
            work: self.expected(submission, submission.chain()),
            stretch: queue.stretch,
            target: queue.target(),
        }
    }

    /// How long tasks of a job will run that were declared to run so long: times
    /// what the tasks of its queue have usually taken of that.
    fn expected(&self, submission: &Submission, declared: Duration) -> Duration {
        let ratio = self.ratios.get(&submission.queue.name).quantile(0.5);
        let ratio = ratio.map_or(1.0, |ratio| ratio.as_secs_f64());
        declared.mul_f64(ratio)
    }

    /// Refuses a job that surely can't be served in time.
    pub(super) fn judge(
        &self,
        submission: &Submission,
        objective: &Objective,
        rank: &Rank,
    ) -> Option<Outcome> {
        let service = &submission.service;
        for step in &submission.steps {
            if self.rooms.could_ever_fit(service, step.need) == Some(false) {
                return Some(Outcome::Refused(RETURN, RefusalCause::TooLarge));
            }
            if !self.rooms.serves(service, &step.wish) {
                return Some(Outcome::Refused(RETURN, RefusalCause::NoUpstream));
            }
        }
        let line = self.lines.get(service)?;
        let wait = line.wait(rank, self.cores(service));
        (wait > objective.wait()).then_some(Outcome::Refused(wait, RefusalCause::Overload))
    }

    /// Cores that work on what this entry hands out.
    fn cores(&self, service: &Service) -> f64 {
        f64::from(self.rooms.own_part(service).cpu) / 1e3
    }

    pub(super) fn tell_refused(&self, number: u64, cause: RefusalCause, after: Duration) {
        if let Some(job) = self.jobs.get(&number) {
            self.tell_refusal(&job.submission, cause, after, job.arrived.elapsed());
        }
    }

    /// Tells why a job was refused, with what decided it.
    pub(super) fn tell_refusal(
        &self,
        submission: &Submission,
        cause: RefusalCause,
        after: Duration,
        waited: Duration,
    ) {
        self.metrics.refused(&cause.to_string());
        let line = self.lines.get(&submission.service);
        tracing::info!(
            event = "refused",
            request = %submission.id,
            queue = submission.queue.name,
            cause = %cause,
            retry_after_ms = after.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            tasks = submission.tasks(),
            cpu = submission.cpu(),
            jobs_in_line = line.map_or(0, Line::len),
            own_cores = self.cores(&submission.service),
        );
    }

    pub(super) fn come_back(&mut self, service: &Service, rank: &Rank) -> Duration {
        let cores = self.cores(service);
        let line = self.lines.get(service);
        let wait = line.map_or(RETURN, |line| line.wait(rank, cores));
        after::after(wait, &mut self.rng)
    }

    fn enqueue(&mut self, service: &Service, rank: Rank, work: f64) {
        self.lines
            .entry(service.clone())
            .or_default()
            .put(rank, work);
    }

    fn dequeue(&mut self, service: &Service, rank: &Rank) {
        if let Some(line) = self.lines.get_mut(service) {
            line.remove(rank);
        }
    }

    pub(super) fn place_all(&mut self) {
        let waiting = self.lines.iter().filter(|(_, line)| !line.is_empty());
        let services: Vec<Service> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.place(&service);
        }
    }

    /// Begins what waits, in its order, until the next has no room. A job that
    /// only some upstreams will do for doesn't hold up those behind it.
    pub(super) fn place(&mut self, service: &Service) {
        let mut passed: Option<Rank> = None;
        loop {
            let line = self.lines.get(service);
            let Some(rank) = line.and_then(|line| line.next(passed.as_ref())).copied() else {
                return;
            };
            let number = rank.arrival;
            let blocked = loop {
                let Some(index) = self.jobs[&number].waiting.front().copied() else {
                    break None;
                };
                if !self.begin(service, number, index) {
                    break Some(index);
                }
            };
            let Some(index) = blocked else {
                self.dequeue(service, &rank);
                continue;
            };
            self.requeue(number);
            if !self.jobs[&number].step_of(index).wish.is_picky() {
                return;
            }
            passed = Some(rank);
        }
    }

    /// Begins one task of a job where there is room.
    fn begin(&mut self, service: &Service, number: u64, index: usize) -> bool {
        let job = &self.jobs[&number];
        let step = job.step_of(index);
        let (need, expected) = (step.need, self.expected(&job.submission, step.estimate));
        let ask = Ask {
            need,
            wish: &step.wish,
            avoid: &job.tasks[index].avoid,
            barred: &job.barred(index),
        };
        let Some(node) = self.rooms.place(service, &ask) else {
            return false;
        };
        let away = !self.rooms.is_near(&node, &step.wish);
        let job = self
            .jobs
            .get_mut(&number)
            .expect("only jobs in progress wait");
        let task = &mut job.tasks[index];
        let link = self
            .links
            .get_mut(&node)
            .expect("rooms are of agents that are known");
        task.number += 1;
        let run = Run {
            task: task.name.clone(),
            number: task.number,
        };
        task.at = Some((node, run.clone()));
        let placed = Placed {
            job: number,
            id: job.submission.id.clone(),
            index,
            need,
            away,
            at: Instant::now(),
            progress: (0, Instant::now()),
            stopped: false,
            incarnation: link.incarnation,
        };
        link.start(&run, placed, service, &job.submission.spec, expected);
        if is_sampled(&job.submission.id) {
            tracing::info!(
                event = "ordered",
                request = %job.submission.id,
                run = %run,
                agent = %link.node,
                expected_ms = expected.as_millis() as u64,
                told_ms_ago = link.told_at.elapsed().as_millis() as u64,
            );
        }
        job.waiting.pop_front();
        if !job.begun {
            self.metrics.waited(job.arrived.elapsed());
        }
        job.begun = true;
        true
    }

    /// Puts a job into its line, or back into it, with what waits now.
    fn requeue(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let before = job.rank;
        job.rank.fresh = !job.begun;
        let (rank, work) = (job.rank, job.work());
        let service = job.submission.service.clone();
        self.dequeue(&service, &before);
        self.enqueue(&service, rank, work);
    }

    pub(super) fn told(&mut self, node: &Node, incarnation: Incarnation, room: Room) {
        let Ok(service) = room.service.parse() else {
            log::warn!("agent {node}: names the service {:?}", room.service);
            return;
        };
        let near = self.links.get(node).is_some_and(|link| link.near);
        let told = Told {
            service,
            capacity: Need::from(room.capacity.unwrap_or_default()),
            others: Need::from(room.others.unwrap_or_default()),
            open: room.open,
            pace: (room.pace_percent > 0).then(|| f64::from(room.pace_percent) / 100.0),
            labels: room.labels,
        };
        self.rooms.told(node, incarnation, near, told);
    }

    pub(super) fn ended(&mut self, node: &Node, end: End, now: Duration) {
        let Some(run) = end.run.as_ref().map(Run::from) else {
            return;
        };
        let link = self.links.get_mut(node);
        let Some(placed) = link.and_then(|link| link.live.remove(&run)) else {
            return;
        };
        self.rooms.release(node, placed.need);
        let Some(job) = self.jobs.get(&placed.job) else {
            return self.ended_late(&placed);
        };
        if end.fate() != Fate::Done {
            self.metrics.returned(end.fate().as_str_name());
        }
        if end.fate() != Fate::Done || is_sampled(&placed.id) {
            tracing::info!(
                event = "run_over",
                request = %placed.id,
                run = %run,
                agent = %node,
                fate = end.fate().as_str_name(),
                refusal = end.refusal().as_str_name(),
                ran_ms = end.run_ms,
                told_after_ms = placed.at.elapsed().as_millis() as u64,
            );
        }
        let queue = job.submission.queue.name.clone();
        let declared = job.step_of(placed.index).estimate;
        let ran = Duration::from_millis(end.run_ms.into());
        let expected = Some(self.expected(&job.submission, declared));
        let declared = declared.as_secs_f64();
        let ending = match end.fate() {
            // Away from its data a task takes longer at a sound upstream too.
            Fate::Done if placed.away => None,
            Fate::Done => Some(Ending::Good { run: ran, expected }),
            Fate::Failed => Some(Ending::Bad),
            Fate::Refused => match end.refusal() {
                Refusal::Unhealthy | Refusal::NoAnswer => Some(Ending::Refused),
                _ => None,
            },
            Fate::Lost | Fate::Stopped | Fate::Unspecified => None,
        };
        if let Some(ending) = ending {
            let change = self.rooms.ended(node, ending, now, &mut self.rng);
            if let Some(standing) = change {
                log::warn!("agent {node}: is {standing} after {run}: {ending:?}");
            }
        }
        if end.fate() == Fate::Done && declared > 0.0 && !placed.away {
            let ratio = ran.as_secs_f64() / declared;
            self.ratios.observe(queue, Duration::from_secs_f64(ratio));
        }
        self.settle(node, &run, &placed, &end);
    }

    /// Goes on with a job of which a run has ended.
    fn settle(&mut self, node: &Node, run: &Run, placed: &Placed, end: &End) {
        let Some(job) = self.jobs.get_mut(&placed.job) else {
            return;
        };
        let attempts = job.submission.queue.attempts;
        let task = &mut job.tasks[placed.index];
        if task.at.as_ref().is_none_or(|(_, at)| at != run) {
            return;
        }
        task.at = None;
        task.moving = false;
        match end.fate() {
            Fate::Done => {
                job.done(placed.index);
                match (job.is_done(), job.waiting.is_empty()) {
                    (true, _) => self.finish(placed.job, Outcome::Completed),
                    (false, false) => self.requeue(placed.job),
                    (false, true) => {}
                }
                return;
            }
            Fate::Failed => {
                task.failures += 1;
                task.avoid.push(node.clone());
                if task.failures >= attempts {
                    return self.finish(placed.job, Outcome::Failed);
                }
            }
            Fate::Refused if end.refusal() == Refusal::OldRun => task.number += NUMBER_STEP,
            Fate::Refused if end.refusal() == Refusal::Full => {}
            Fate::Refused | Fate::Lost | Fate::Stopped | Fate::Unspecified => {
                task.avoid.push(node.clone());
            }
        }
        job.waiting.push_back(placed.index);
        self.requeue(placed.job);
    }

    /// Takes in that a run is gone with its agent.
    pub(super) fn lost(&mut self, node: &Node, run: &Run, placed: &Placed) {
        self.rooms.release(node, placed.need);
        self.metrics.returned("FATE_SILENT");
        tracing::warn!(
            event = "run_given_up",
            request = %placed.id,
            run = %run,
            agent = %node,
            ordered_ms_ago = placed.at.elapsed().as_millis() as u64,
        );
        if !self.jobs.contains_key(&placed.job) {
            return self.ended_late(placed);
        }
        let end = End {
            fate: Fate::Lost.into(),
            ..End::default()
        };
        self.settle(node, run, placed, &end);
    }

    /// Moves a run that stands still, or goes much slower than elsewhere.
    pub(super) fn progressed(&mut self, node: &Node, progress: Progress, now: Duration) {
        let Some(run) = progress.run.as_ref().map(Run::from) else {
            return;
        };
        let link = self.links.get_mut(node);
        let Some(placed) = link.and_then(|link| link.live.get_mut(&run)) else {
            return;
        };
        if placed.progress.0 != progress.percent {
            placed.progress = (progress.percent, Instant::now());
        }
        let stands = placed.progress.1.elapsed() > STANDSTILL;
        let placed = placed.clone();
        let Some(job) = self.jobs.get(&placed.job) else {
            return;
        };
        let task = &job.tasks[placed.index];
        if task.moving || task.avoid.len() >= MOVES {
            return;
        }
        let (elapsed, percent) = (placed.at.elapsed(), progress.percent);
        let slowness = self.rooms.slowness(node);
        let slow = !placed.away && is_worth_moving(elapsed, percent, slowness);
        if !stands && !slow {
            return;
        }
        let expected = self.expected(&job.submission, job.step_of(placed.index).estimate);
        tracing::info!(
            event = "moved",
            request = %placed.id,
            run = %run,
            agent = %node,
            percent,
            elapsed_ms = elapsed.as_millis() as u64,
            expected_ms = expected.as_millis() as u64,
            slowness,
            stands,
        );
        let ending = Ending::Overdue { elapsed, expected };
        self.rooms.ended(node, ending, now, &mut self.rng);
        if let Some(job) = self.jobs.get_mut(&placed.job) {
            job.tasks[placed.index].moving = true;
        }
        if let Some(link) = self.links.get_mut(node) {
            link.stop(run);
        }
    }

    pub(super) fn readmit(&mut self, now: Duration) {
        while let Some(node) = self.rooms.readmit(now) {
            log::info!("agent {node}: on trial");
        }
    }

    /// Begins to serve a job, once nothing runs any more that an earlier one
    /// under its id has left.
    pub(super) fn insert(&mut self, number: u64, job: Job) {
        let id = job.submission.id.clone();
        let service = job.submission.service.clone();
        self.jobs.insert(number, job);
        self.ids.insert(id.clone(), number);
        if self.ending.contains_key(&id) {
            self.held_back.insert(id, number);
            return;
        }
        self.requeue(number);
        self.place(&service);
    }

    /// Takes in that a run has ended whose job had ended before.
    fn ended_late(&mut self, placed: &Placed) {
        let Some(left) = self.ending.get_mut(&placed.id) else {
            return;
        };
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.ending.remove(&placed.id);
        if let Some(held) = self.held_back.remove(&placed.id) {
            self.requeue(held);
        }
    }

    /// Ends a job and stops what of it runs.
    pub(super) fn finish(&mut self, number: u64, outcome: Outcome) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let id = job.submission.id;
        self.ids.remove(&id);
        self.held_back.remove(&id);
        self.dequeue(&job.submission.service, &job.rank);
        for (node, run) in job.tasks.iter_mut().filter_map(|task| task.at.take()) {
            if let Some(link) = self.links.get_mut(&node) {
                link.stop(run);
                *self.ending.entry(id.clone()).or_default() += 1;
            }
        }
        for sender in job.callers.into_values() {
            // The caller may have gone.
            let _ = sender.send(outcome);
        }
    }
}
