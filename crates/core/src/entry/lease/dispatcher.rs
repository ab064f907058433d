//! The jobs in progress, what waits, and where the tasks run.
//!
//! All of it is under one lock, which is held for decisions only: no call is
//! made under it.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use gentian::claim::run::Run;
use gentian::limit::after;
use gentian::limit::line::{Line, Objective, Rank};
use gentian::member::member::Member;
use gentian::route::eject::Ending;
use gentian::route::room::{is_worth_moving, Ask, Rooms, Told};
use gentian::route::runtime;
use gentian::wire::agent::{End, Fate, Orders, Progress, Refusal, Reports, Room};
use gentian::wire::control;
use gentian::wire::id::{self, Incarnation, Node, Service};
use gentian::wire::need::Need;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::{oneshot, Notify};

use crate::logging::is_sampled;
use crate::metrics;

use super::job::{Cause, Job, Outcome, Submission};
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
pub(super) struct Dispatcher {
    entry: Node,
    incarnation: Incarnation,
    data_center: id::DataCenter,
    origin: Instant,
    state: Mutex<State>,
    metrics: Arc<metrics::Jobs>,
}

/// A caller's place at a job.
#[derive(Debug)]
pub(super) struct Ticket {
    /// The job's number.
    pub(super) job: u64,
    /// The caller's own number.
    pub(super) caller: u64,
    /// How long the job may wait until something of it begins.
    pub(super) wait: Duration,
    /// Where the outcome will come.
    pub(super) outcome: oneshot::Receiver<Outcome>,
}

#[derive(Debug)]
struct State {
    metrics: Arc<metrics::Jobs>,
    rooms: Rooms,
    lines: BTreeMap<Service, Line>,
    jobs: HashMap<u64, Job>,
    /// Jobs in progress by the caller's id.
    ids: HashMap<Arc<str>, u64>,
    /// Runs that go on after their job's end, by the caller's id of that.
    ending: HashMap<Arc<str>, usize>,
    /// Jobs handed in again that wait until the runs of before have ended.
    held_back: HashMap<Arc<str>, u64>,
    arrivals: u64,
    links: BTreeMap<Node, Link>,
    /// Run times over declared ones by queue, as seconds a second.
    ratios: runtime::Table<String>,
    rng: StdRng,
}

impl Dispatcher {
    pub(super) fn new(node: &control::Node, data_center: id::DataCenter) -> Dispatcher {
        let metrics = Arc::new(metrics::Jobs::new());
        Dispatcher {
            entry: node.name.parse().expect("a node's name was checked"),
            incarnation: Incarnation(node.incarnation),
            data_center,
            origin: Instant::now(),
            metrics: metrics.clone(),
            state: Mutex::new(State {
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
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Takes a job in. One that is in progress already is answered for both.
    pub(super) fn submit(&self, submission: Submission) -> Ticket {
        let now = self.now();
        let mut state = self.state();
        let (sender, outcome) = oneshot::channel();
        state.arrivals += 1;
        let caller = state.arrivals;
        let objective = state.objective(&submission);
        let mut ticket = Ticket {
            job: caller,
            caller,
            wait: objective.wait(),
            outcome,
        };
        if let Some(number) = state.ids.get(&submission.id).copied() {
            ticket.job = number;
            let job = state.jobs.get_mut(&number);
            job.map(|job| job.callers.insert(caller, sender));
            return ticket;
        }
        let rank = Rank {
            fresh: true,
            priority: submission.queue.priority,
            begin_by: now + objective.wait(),
            arrival: caller,
        };
        if let Some(outcome) = state.judge(&submission, &objective, &rank) {
            if let Outcome::Refused(after, cause) = outcome {
                state.tell_refusal(&submission, cause, after, Duration::ZERO);
            }
            // The receiver is in the ticket.
            let _ = sender.send(outcome);
            return ticket;
        }
        let mut job = Job::new(submission, objective, rank);
        job.callers.insert(caller, sender);
        state.insert(caller, job);
        ticket
    }

    /// Refuses a job of which nothing has begun; whether that was so.
    pub(super) fn expire(&self, number: u64, cause: Cause) -> bool {
        let now = self.now();
        let mut state = self.state();
        let Some(job) = state.jobs.get(&number).filter(|job| !job.begun) else {
            return false;
        };
        let (service, rank) = (job.submission.service.clone(), job.rank);
        let after = state.come_back(&service, &rank);
        state.tell_refused(number, cause, after);
        state.finish(number, Outcome::Refused(after, cause));
        state.readmit(now);
        true
    }

    /// Takes in that a caller waits no longer: a job for which nobody waits is
    /// given up, whatever of it runs.
    pub(super) fn leave(&self, number: u64, caller: u64) {
        let mut state = self.state();
        let Some(job) = state.jobs.get_mut(&number) else {
            return;
        };
        let sender = job.callers.remove(&caller);
        let service = job.submission.service.clone();
        if job.callers.is_empty() {
            state.finish(number, Outcome::GivenUp);
            state.place(&service);
        }
        if let Some(sender) = sender {
            // The caller may have gone.
            let _ = sender.send(Outcome::GivenUp);
        }
    }

    /// Whether something has begun of the job in progress under an id, if there
    /// is one.
    pub(super) fn has_begun(&self, id: &str) -> Option<bool> {
        let state = self.state();
        let job = state.ids.get(id).and_then(|number| state.jobs.get(number));
        job.map(|job| job.begun)
    }

    /// Ends the job in progress under an id; whether there was one.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(number) = state.ids.get(id).copied() else {
            return false;
        };
        tracing::info!(event = "cancelled", request = id);
        state.finish(number, Outcome::Cancelled);
        state.place_all();
        true
    }

    /// Whether a job could begin at all.
    pub(super) fn is_useful(&self) -> bool {
        let state = self.state();
        state.links.is_empty() || state.rooms.any_reachable()
    }

    /// The metrics, and how many jobs wait with nothing begun.
    pub(super) fn metrics(&self) -> (&metrics::Jobs, usize) {
        let state = self.state();
        let waiting = state.jobs.values().filter(|job| !job.begun).count();
        (&self.metrics, waiting)
    }

    /// Jobs of a queue that wait with nothing begun.
    pub(super) fn waiting(&self, queue: &str) -> u64 {
        let state = self.state();
        let jobs = state.jobs.values().filter(|job| !job.begun);
        jobs.filter(|job| job.submission.queue.name == queue)
            .count() as u64
    }

    /// Knows an agent from now on.
    pub(super) fn know(&self, member: &Member) {
        let near = member.data_center == self.data_center;
        let mut state = self.state();
        let link = state.links.entry(member.node.clone());
        link.or_insert_with(|| Link::new(member.node.clone(), near));
    }

    /// Forgets an agent; what may run there is lost.
    pub(super) fn forget(&self, node: &Node) {
        let mut state = self.state();
        state.rooms.remove(node);
        let Some(mut link) = state.links.remove(node) else {
            return;
        };
        let lost: Vec<(Run, Placed)> = link.live.drain().collect();
        for (run, placed) in lost {
            state.lost(node, &run, &placed);
        }
    }

    pub(super) fn is_connected(&self, node: &Node) -> bool {
        self.state()
            .links
            .get(node)
            .is_some_and(|link| link.connected)
    }

    pub(super) fn has_runs(&self, node: &Node) -> bool {
        let state = self.state();
        state
            .links
            .get(node)
            .is_some_and(|link| !link.live.is_empty())
    }

    /// What tells that there are orders for an agent.
    pub(super) fn wake(&self, node: &Node) -> Arc<Notify> {
        let state = self.state();
        state
            .links
            .get(node)
            .map(|link| link.wake.clone())
            .unwrap_or_default()
    }

    pub(super) fn first_orders(&self, node: &Node) -> Orders {
        let mut state = self.state();
        let link = state.links.get_mut(node);
        link.map(|link| link.first(&self.entry, self.incarnation))
            .unwrap_or_default()
    }

    pub(super) fn orders(&self, node: &Node, lease_until_ms: u64) -> Orders {
        let mut state = self.state();
        let link = state.links.get_mut(node);
        link.map(|link| link.orders(lease_until_ms))
            .unwrap_or_default()
    }

    /// Takes in that there is no stream to an agent; whether there was one.
    pub(super) fn disconnected(&self, node: &Node) -> bool {
        let mut state = self.state();
        state.rooms.reachable(node, false);
        let link = state.links.get_mut(node);
        link.is_some_and(|link| std::mem::take(&mut link.connected))
    }

    /// Takes in what an agent reports; `first` on a new stream.
    pub(super) fn reported(&self, node: &Node, first: bool, reports: Reports) {
        let now = self.now();
        let mut state = self.state();
        let incarnation = Incarnation(reports.incarnation);
        let Some(link) = state.links.get_mut(node) else {
            return;
        };
        link.told_at = Instant::now();
        if first {
            link.answered_by(incarnation);
            link.connected = true;
            state.rooms.reachable(node, true);
        }
        if let Some(room) = reports.room {
            state.told(node, incarnation, room);
        }
        for end in reports.ends {
            state.ended(node, end, now);
        }
        for progress in reports.progress {
            state.progressed(node, progress, now);
        }
        state.readmit(now);
        state.place_all();
    }

    /// Gives up what must be gone by now.
    pub(super) fn give_up_orphans(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let due = |link: &Link| link.next_orphan().is_some_and(|at| at <= now);
        let nodes = state.links.iter().filter(|(_, link)| due(link));
        let nodes: Vec<Node> = nodes.map(|(node, _)| node.clone()).collect();
        for node in &nodes {
            let link = state.links.get_mut(node);
            let gone = link.map(|link| link.gone(now)).unwrap_or_default();
            log::warn!("agent {node}: {} runs given up", gone.len());
            for (run, placed) in gone {
                state.lost(node, &run, &placed);
            }
        }
        state.readmit(self.now());
        if !nodes.is_empty() {
            state.place_all();
        }
    }
}

impl State {
    fn objective(&self, submission: &Submission) -> Objective {
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
    fn judge(
        &self,
        submission: &Submission,
        objective: &Objective,
        rank: &Rank,
    ) -> Option<Outcome> {
        let service = &submission.service;
        for step in &submission.steps {
            if self.rooms.could_ever_fit(service, step.need) == Some(false) {
                return Some(Outcome::Refused(RETURN, Cause::TooLarge));
            }
            if !self.rooms.serves(service, &step.wish) {
                return Some(Outcome::Refused(RETURN, Cause::NoUpstream));
            }
        }
        let line = self.lines.get(service)?;
        let wait = line.wait(rank, self.cores(service));
        (wait > objective.wait()).then_some(Outcome::Refused(wait, Cause::Overload))
    }

    /// Cores that work on what this entry hands out.
    fn cores(&self, service: &Service) -> f64 {
        f64::from(self.rooms.own_part(service).cpu) / 1e3
    }

    fn tell_refused(&self, number: u64, cause: Cause, after: Duration) {
        if let Some(job) = self.jobs.get(&number) {
            self.tell_refusal(&job.submission, cause, after, job.arrived.elapsed());
        }
    }

    /// Tells why a job was refused, with what decided it.
    fn tell_refusal(
        &self,
        submission: &Submission,
        cause: Cause,
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

    fn come_back(&mut self, service: &Service, rank: &Rank) -> Duration {
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

    fn place_all(&mut self) {
        let waiting = self.lines.iter().filter(|(_, line)| !line.is_empty());
        let services: Vec<Service> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.place(&service);
        }
    }

    /// Begins what waits, in its order, until the next has no room. A job that
    /// only some upstreams will do for doesn't hold up those behind it.
    fn place(&mut self, service: &Service) {
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

    /// Puts a job back into its line with what still waits.
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

    fn told(&mut self, node: &Node, incarnation: Incarnation, room: Room) {
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

    fn ended(&mut self, node: &Node, end: End, now: Duration) {
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
    fn lost(&mut self, node: &Node, run: &Run, placed: &Placed) {
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
    fn progressed(&mut self, node: &Node, progress: Progress, now: Duration) {
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
        let expected = self.expected(&job.submission, job.step_of(placed.index).estimate);
        let elapsed = placed.at.elapsed();
        let task = &job.tasks[placed.index];
        let fixed = task.moving || task.avoid.len() >= MOVES;
        let slowness = self.rooms.slowness(node);
        let slow = !placed.away && is_worth_moving(elapsed, progress.percent, slowness);
        let moves = stands || slow;
        if fixed || !moves {
            return;
        }
        let percent = progress.percent;
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

    fn readmit(&mut self, now: Duration) {
        while let Some(node) = self.rooms.readmit(now) {
            log::info!("agent {node}: on trial");
        }
    }

    /// Begins to serve a job, once nothing runs any more that an earlier one
    /// under its id has left.
    fn insert(&mut self, number: u64, job: Job) {
        let id = job.submission.id.clone();
        let service = job.submission.service.clone();
        let (rank, work) = (job.rank, job.work());
        self.jobs.insert(number, job);
        self.ids.insert(id.clone(), number);
        if self.ending.contains_key(&id) {
            self.held_back.insert(id, number);
            return;
        }
        self.enqueue(&service, rank, work);
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
        let held = self.held_back.remove(&placed.id);
        let Some(job) = held.and_then(|number| self.jobs.get(&number)) else {
            return;
        };
        let (service, rank, work) = (job.submission.service.clone(), job.rank, job.work());
        self.enqueue(&service, rank, work);
    }

    /// Ends a job and stops what of it runs.
    fn finish(&mut self, number: u64, outcome: Outcome) {
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
