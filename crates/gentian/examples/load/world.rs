//! Some entries before some agents, under virtual time. The entries decide with
//! the crates; agents and the network are small fakes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use gentian::limit::queue::{Entry as Queued, Flow, Queue};
use gentian::limit::retry::{Budget, Try};
use gentian::route::choice::Choice;
use gentian::route::eject::{Detector, Ending, Settings};
use gentian::route::runtime::Runtime;
use gentian::route::view::{Index, Load, Member, Standing, View};
use gentian::wire::id::{DataCenter, Incarnation, Node};
use gentian::wire::outcome::Outcome;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const SLOTS: u32 = 8;
const NEAR: Duration = Duration::from_micros(150);
const FAR: Duration = Duration::from_micros(1500);
const PERIOD: Duration = Duration::from_millis(5);
const BUDGET_WAIT: Duration = Duration::from_millis(50);
const MAX_ATTEMPTS: u32 = 4;

/// What is wrong with the first agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Fails each task at once.
    Fails,
    /// Runs each task ten times as long.
    Slow,
    /// Refuses each task as if it had no lease.
    Refuses,
}

/// A load to put on the world.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) agents: u32,
    pub(crate) entries: u32,
    /// Share of the capacity that is offered.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) deadline: Duration,
    /// Tasks that may wait at an agent.
    pub(crate) room: usize,
    pub(crate) floor: f64,
    /// Share of tasks that run several seconds.
    pub(crate) long: f64,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            agents: 10,
            entries: 3,
            load: 0.7,
            fault: Fault::None,
            deadline: Duration::from_secs(10),
            room: 0,
            floor: 0.75,
            long: 0.02,
            seconds: 120,
            seed: 1,
        }
    }
}

/// What came of a load, without that of its first quarter.
#[derive(Debug, Default)]
pub(crate) struct Result {
    pub(crate) ratios: Vec<f64>,
    pub(crate) offered: u64,
    pub(crate) good: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
    /// Messages beyond a request and an answer.
    pub(crate) wasted: u64,
    /// Run time of good answers.
    pub(crate) worked: Duration,
    pub(crate) span: Duration,
}

impl Result {
    /// Adds what came of another run of the same plan.
    pub(crate) fn add(&mut self, other: Result) {
        self.ratios.extend(other.ratios);
        self.offered += other.offered;
        self.good += other.good;
        self.failed += other.failed;
        self.refused += other.refused;
        self.wasted += other.wasted;
        self.worked += other.worked;
        self.span += other.span;
    }

    pub(crate) fn ratio(&mut self, quantile: f64) -> f64 {
        self.ratios.sort_by(f64::total_cmp);
        let last = self.ratios.len().saturating_sub(1);
        let at = (quantile * last as f64).round() as usize;
        self.ratios.get(at).copied().unwrap_or(f64::NAN)
    }

    pub(crate) fn wasted_per_good(&self) -> f64 {
        self.wasted as f64 / self.good.max(1) as f64
    }

    /// Share of all slots that ran tasks which were answered well.
    pub(crate) fn goodput(&self, plan: &Plan) -> f64 {
        let slots = f64::from(plan.agents * SLOTS);
        self.worked.as_secs_f64() / self.span.as_secs_f64() / slots
    }
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    arrived: Duration,
    run: Duration,
    refused_by: Vec<Index>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Push {
        request: usize,
    },
    Reach {
        request: usize,
        agent: usize,
        index: Index,
    },
    Finish {
        request: usize,
        agent: usize,
        index: Index,
    },
    Answer {
        request: usize,
        agent: usize,
        index: Index,
        ran: bool,
        busy: u32,
        waiting: u32,
    },
    Tick {
        entry: usize,
    },
}

struct Entry {
    view: View,
    queue: Queue<usize>,
    runtime: Runtime,
    detector: Detector,
    budget: Budget,
    in_flight: u32,
}

#[derive(Default)]
struct Agent {
    busy: u32,
    waiting: std::collections::VecDeque<(usize, Index)>,
}

pub(crate) struct World<P> {
    plan: Plan,
    policy: P,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    arrivals: Pcg64Mcg,
    rng: Pcg64Mcg,
    result: Result,
}

impl<P: Choice> World<P> {
    /// Runs the plan to its end.
    pub(crate) fn run(plan: Plan, policy: P) -> Result {
        let mut world = World {
            plan,
            policy,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            count: 0,
            requests: Vec::new(),
            entries: (0..plan.entries).map(|at| Entry::new(at, &plan)).collect(),
            agents: (0..plan.agents).map(|_| Agent::default()).collect(),
            arrivals: Pcg64Mcg::seed_from_u64(plan.seed),
            rng: Pcg64Mcg::seed_from_u64(plan.seed + 1),
            result: Result::default(),
        };
        let end = Duration::from_secs(plan.seconds);
        world.result.span = end - world.warm();
        world.after(Duration::ZERO, Event::Arrive);
        for entry in 0..plan.entries as usize {
            world.after(PERIOD, Event::Tick { entry });
        }
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            if at >= end {
                break;
            }
            world.now = at;
            world.apply(event);
        }
        world.result
    }

    fn warm(&self) -> Duration {
        Duration::from_secs(self.plan.seconds) / 4
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].arrived >= self.warm()
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        let at = self.now + wait;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Push { request } => self.push(request),
            Event::Reach {
                request,
                agent,
                index,
            } => self.reach(request, agent, index),
            Event::Finish {
                request,
                agent,
                index,
            } => self.finish(request, agent, index),
            Event::Answer {
                request,
                agent,
                index,
                ran,
                busy,
                waiting,
            } => {
                let load = Load {
                    incarnation: Incarnation(1),
                    slots: SLOTS,
                    busy,
                    waiting,
                    leaving: false,
                };
                self.answer(request, agent, index, ran, load);
            }
            Event::Tick { entry } => {
                self.place(entry);
                self.after(PERIOD, Event::Tick { entry });
            }
        }
    }

    fn arrive(&mut self) {
        let mean = mean_run(&self.plan).as_secs_f64();
        let rate = f64::from(self.plan.agents * SLOTS) / mean * self.plan.load;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate;
        let request = Request {
            entry: self.requests.len() % self.plan.entries as usize,
            arrived: self.now,
            run: draw_run(&mut self.arrivals, &self.plan),
            refused_by: Vec::new(),
        };
        let entry = request.entry;
        self.requests.push(request);
        let request = self.requests.len() - 1;
        self.result.offered += u64::from(self.counts(request));
        self.entries[entry].budget.earn();
        self.push(request);
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
    }

    fn push(&mut self, request: usize) {
        let Request { entry, arrived, .. } = self.requests[request];
        let known = &mut self.entries[entry];
        let in_flight = f64::from(known.in_flight.max(1));
        if let Some(mean) = known.runtime.mean() {
            let drain = known.queue.drain();
            drain.set_estimate(in_flight / mean.as_secs_f64());
        }
        let waiting = Queued {
            team: "team".parse().expect("a name"),
            flow: Flow::Single,
            deadline: arrived + self.plan.deadline,
            run: known.runtime.quantile(0.5).unwrap_or_default(),
            item: request,
        };
        match known.queue.push(waiting, self.now) {
            Ok(_) => self.place(entry),
            Err(_) => self.refuse(request),
        }
    }

    fn place(&mut self, entry: usize) {
        let now = self.now;
        while let Some(node) = self.entries[entry].detector.readmit(now) {
            self.stand(entry, &node, Standing::Trial);
        }
        while let Some(late) = self.entries[entry].queue.shed(now) {
            self.refuse(late.item);
        }
        loop {
            let known = &mut self.entries[entry];
            let (view, policy, rng) = (&mut known.view, &self.policy, &mut self.rng);
            let mut chosen = None;
            let requests = &self.requests;
            let popped = known.queue.pop(now, |waiting| {
                let avoid = &requests[waiting.item].refused_by;
                chosen = policy.choose(view, avoid, now, rng);
                chosen.is_some()
            });
            let (Some(popped), Some(index)) = (popped, chosen) else {
                return;
            };
            known.in_flight += 1;
            known.view.start(index, now);
            let agent = number(known.view.get(index).expect("chosen").node());
            let request = popped.item;
            self.after(
                hop(entry, agent),
                Event::Reach {
                    request,
                    agent,
                    index,
                },
            );
        }
    }

    fn reach(&mut self, request: usize, agent: usize, index: Index) {
        let refuses = agent == 0 && self.plan.fault == Fault::Refuses;
        let known = &mut self.agents[agent];
        if !refuses && known.busy < SLOTS {
            return self.begin(request, agent, index);
        }
        if !refuses && known.waiting.len() < self.plan.room {
            known.waiting.push_back((request, index));
            return;
        }
        self.reply(request, agent, index, false);
    }

    fn begin(&mut self, request: usize, agent: usize, index: Index) {
        self.agents[agent].busy += 1;
        let run = self.requests[request].run;
        let run = match (agent, self.plan.fault) {
            (0, Fault::Fails) => Duration::from_millis(1),
            (0, Fault::Slow) => run * 10,
            _ => run,
        };
        self.after(
            run,
            Event::Finish {
                request,
                agent,
                index,
            },
        );
    }

    fn finish(&mut self, request: usize, agent: usize, index: Index) {
        self.agents[agent].busy -= 1;
        if let Some((request, index)) = self.agents[agent].waiting.pop_front() {
            self.begin(request, agent, index);
        }
        self.reply(request, agent, index, true);
    }

    fn reply(&mut self, request: usize, agent: usize, index: Index, ran: bool) {
        let (busy, waiting) = (
            self.agents[agent].busy,
            self.agents[agent].waiting.len() as u32,
        );
        let event = Event::Answer {
            request,
            agent,
            index,
            ran,
            busy,
            waiting,
        };
        self.after(hop(self.requests[request].entry, agent), event);
    }

    fn answer(&mut self, request: usize, agent: usize, index: Index, ran: bool, load: Load) {
        let now = self.now;
        let entry = self.requests[request].entry;
        let failed = agent == 0 && self.plan.fault == Fault::Fails;
        let slow = agent == 0 && self.plan.fault == Fault::Slow;
        let run = self.requests[request].run * if slow { 10 } else { 1 };
        let known = &mut self.entries[entry];
        known.in_flight -= 1;
        known.view.end(index, Some(load), now);
        let expected = known.runtime.quantile(0.5);
        let ending = match (ran, failed) {
            (true, false) => Some(Ending::Good { run, expected }),
            (true, true) => Some(Ending::Bad),
            (false, _) => (load.busy < SLOTS).then_some(Ending::Refused),
        };
        if let Some(ending) = ending {
            let node = node(agent as u32);
            let changed = known.detector.observe(&node, ending, now, &mut self.rng);
            if let Some(standing) = changed {
                self.stand(entry, &node, standing);
            }
        }
        match (ran, failed) {
            (true, false) => self.done(request, run),
            (true, true) => self.result.failed += u64::from(self.counts(request)),
            (false, _) => self.again(request, index),
        }
        self.place(entry);
    }

    fn done(&mut self, request: usize, run: Duration) {
        let Request {
            entry,
            arrived,
            run: ideal,
            ..
        } = self.requests[request];
        self.entries[entry].runtime.observe(run);
        if let Some(mean) = self.entries[entry].runtime.mean() {
            self.entries[entry].view.set_settle(mean);
        }
        if !self.counts(request) {
            return;
        }
        let seen = self.now - arrived;
        let ratio = seen.as_secs_f64() / (ideal + 2 * NEAR).as_secs_f64();
        self.result.ratios.push(ratio);
        self.result.good += 1;
        self.result.worked += ideal;
    }

    fn again(&mut self, request: usize, index: Index) {
        let counts = self.counts(request);
        self.result.wasted += 2 * u64::from(counts);
        let known = &mut self.requests[request];
        known.refused_by.push(index);
        let earlier = known.refused_by.len() as u32 - 1;
        let entry = &mut self.entries[known.entry];
        let tried = Try {
            outcome: Outcome::NotRun,
            idempotent: false,
            earlier,
            left: (known.arrived + self.plan.deadline).saturating_sub(self.now),
            run: entry.runtime.quantile(0.5).unwrap_or_default(),
        };
        match tried.again(&mut entry.budget, &mut self.rng) {
            _ if earlier + 1 >= MAX_ATTEMPTS => self.refuse(request),
            Some(backoff) => self.after(backoff, Event::Push { request }),
            None if tried.left > tried.run => self.after(BUDGET_WAIT, Event::Push { request }),
            None => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: usize) {
        self.result.refused += u64::from(self.counts(request));
    }

    fn stand(&mut self, entry: usize, node: &Node, standing: Standing) {
        let view = &mut self.entries[entry].view;
        let index = view.find(node).expect("known");
        view.set_standing(index, standing, self.now);
    }
}

impl Entry {
    fn new(at: u32, plan: &Plan) -> Entry {
        let name = format!("entry-{at}").parse().expect("a name");
        let mut view = View::new(&name, data_center(at));
        view.set_floor(plan.floor);
        let mut detector = Detector::new(Settings::default());
        for agent in 0..plan.agents {
            view.put(member(agent), Duration::ZERO);
            detector.put(&node(agent), Incarnation(1));
        }
        Entry {
            view,
            queue: Queue::new(4096),
            runtime: Runtime::default(),
            detector,
            budget: Budget::new(0.1),
            in_flight: 0,
        }
    }
}

fn member(agent: u32) -> Member {
    Member {
        node: node(agent),
        incarnation: Incarnation(1),
        data_center: data_center(agent),
        slots: SLOTS,
        connections: 64,
        allowed: true,
        leaving: false,
    }
}

fn node(agent: u32) -> Node {
    format!("agent-{agent}").parse().expect("a name")
}

fn number(node: &Node) -> usize {
    node.as_str()["agent-".len()..].parse().expect("a number")
}

fn data_center(at: u32) -> DataCenter {
    format!("dc-{}", at % 3).parse().expect("a name")
}

fn hop(entry: usize, agent: usize) -> Duration {
    if entry % 3 == agent % 3 {
        NEAR
    } else {
        FAR
    }
}

fn draw_run(rng: &mut impl Rng, plan: &Plan) -> Duration {
    let (low, high): (f64, f64) = match rng.random::<f64>() < plan.long {
        true => (2.0, 6.0),
        false => (0.05, 1.0),
    };
    Duration::from_secs_f64(low * (high / low).powf(rng.random()))
}

/// Mean of the distribution that `draw_run` draws from.
fn mean_run(plan: &Plan) -> Duration {
    let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
    let short = (1.0 - plan.long) * mean(0.05, 1.0);
    Duration::from_secs_f64(short + plan.long * mean(2.0, 6.0))
}
