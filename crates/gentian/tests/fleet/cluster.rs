//! Entries, agents, and the messages between them in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian::route::placement::UpstreamReport;
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Need;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::agent::{Agent, Kind, CPU};
use super::entry::{Entry, Methods, Start, JOB_TIME, MESSAGE_TIME, REFUSAL_TIME};
use super::load;
use super::outcome::Outcome;

/// Time for a message within a data centre and between two of them.
const NEAR_DELAY: Duration = Duration::from_micros(300);
const FAR_DELAY: Duration = Duration::from_micros(1_100);
/// Shortest time between two periodic reports of an agent to the same entry.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two periodic reports of an agent, for each entry that it reports to.
const REPORT_SPACING: Duration = Duration::from_millis(8);
/// Time until free capacity is offered to the next entry.
const OFFER_INTERVAL: Duration = Duration::from_millis(4);
/// Callers of each data centre. Each uses one entry, so the load of entries is uneven.
const CALLERS: usize = 10;

#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    pub(crate) data_centers: usize,
    /// Kinds of the upstreams, in turn.
    pub(crate) kinds: Vec<Kind>,
    /// Offered work as a share of the capacity of all upstreams.
    pub(crate) load: f64,
    /// Whether agents offer free capacity to entries that they turned away.
    pub(crate) offers: bool,
    pub(crate) methods: Methods,
    /// Shortest time between two periodic reports of an agent to the same entry.
    pub(crate) min_report_interval: Duration,
    /// Whether all entries prefer the upstreams in the same order.
    pub(crate) same_order: bool,
    /// How many times as long as usual everything takes at the first entry.
    pub(crate) first_slowness: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            entries: 20,
            agents: 100,
            data_centers: 5,
            kinds: vec![Kind::USUAL],
            load: 0.8,
            offers: true,
            methods: Methods {
                speeds: true,
                backfills: true,
                headroom: true,
                throttle: true,
                rescans: true,
            },
            min_report_interval: MIN_REPORT_INTERVAL,
            same_order: false,
            first_slowness: 1.0,
        }
    }
}

/// What an agent's message tells about a start.
#[derive(Debug)]
enum Fate {
    /// The run is done, after this time.
    Done(Start, Duration),
    TurnedAway(Start),
}

#[derive(Debug)]
enum Event {
    Submit {
        caller: usize,
    },
    Expire {
        entry: usize,
        job: u64,
    },
    /// An order reaches an agent.
    Order {
        entry: usize,
        agent: usize,
        start: Start,
    },
    RunEnds {
        entry: usize,
        agent: usize,
        start: Start,
    },
    /// A message of an agent reaches an entry.
    Message {
        entry: usize,
        agent: usize,
        others: Need,
        fate: Option<Fate>,
    },
    /// The entry has handled the message.
    Handled {
        entry: usize,
        agent: usize,
        others: Need,
        fate: Option<Fate>,
    },
    PeriodicReport {
        agent: usize,
    },
    Offer {
        agent: usize,
    },
}

pub(crate) struct Cluster {
    settings: Settings,
    service: Service,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    agent_names: Vec<Node>,
    /// Index of each agent by its name.
    agents_by_name: BTreeMap<Node, usize>,
    /// The entry that each caller uses.
    callers: Vec<usize>,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    now: Duration,
    rng: Pcg64,
}

fn name(role: &str, index: usize) -> Node {
    format!("{role}-{index:04}").parse().expect("a valid name")
}

impl Cluster {
    pub(crate) fn new(settings: Settings, seed: u64) -> Cluster {
        let service: Service = "desk".parse().expect("a valid name");
        let agent_names: Vec<Node> = (0..settings.agents).map(|i| name("agent", i)).collect();
        let by_name = agent_names.iter().cloned().zip(0..).collect();
        let entries = (0..settings.entries).map(|index| {
            let name = name("entry", if settings.same_order { 0 } else { index });
            let data_center = index % settings.data_centers;
            Entry::new(&name, service.clone(), data_center, settings.methods)
        });
        let agents = (0..settings.agents).map(|index| {
            let kind = settings.kinds[index % settings.kinds.len()];
            Agent::new(index % settings.data_centers, kind, settings.entries)
        });
        let mut cluster = Cluster {
            entries: entries.collect(),
            agents: agents.collect(),
            agent_names,
            agents_by_name: by_name,
            callers: Vec::new(),
            events: BTreeMap::new(),
            last_event: 0,
            now: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
            service,
            settings,
        };
        cluster.entries[0].slowness = cluster.settings.first_slowness;
        cluster.add_callers();
        for entry in 0..cluster.entries.len() {
            for agent in 0..cluster.agents.len() {
                cluster.update_view(entry, agent, Need::default());
            }
        }
        cluster
    }

    fn add_callers(&mut self) {
        for data_center in 0..self.settings.data_centers {
            let entries = self.entries.iter().enumerate();
            let local = entries.filter(|(_, entry)| entry.data_center == data_center);
            let local: Vec<usize> = local.map(|(index, _)| index).collect();
            for _ in 0..CALLERS {
                let chosen = self.rng.random_range(0..local.len());
                self.callers.push(local[chosen]);
            }
        }
        (0..self.callers.len()).for_each(|caller| self.schedule_submit(caller));
    }

    pub(crate) fn run(mut self, length: Duration) -> Outcome {
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > length {
                break;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.outcome(length)
    }

    fn outcome(&self, length: Duration) -> Outcome {
        let tallies = self.entries.iter().map(|entry| entry.tally);
        let sum = |of: fn(&super::entry::Tally) -> u64| {
            tallies.clone().map(|tally| of(&tally)).sum::<u64>() as f64
        };
        let (in_time, late) = (sum(|tally| tally.in_time), sum(|tally| tally.late));
        let refused = sum(|tally| tally.refused);
        let jobs = in_time + late + refused;
        let busy = self.entries.iter().map(|entry| entry.busy.as_secs_f64());
        let seconds = length.as_secs_f64();
        let first = &self.entries[0];
        Outcome {
            in_time: in_time / jobs,
            urgent_in_time: sum(|tally| tally.urgent_in_time) / sum(|tally| tally.urgent),
            work_in_time: tallies.clone().map(|tally| tally.work_in_time).sum::<f64>() / seconds,
            late: late / jobs,
            refused: refused / jobs,
            turned_away: sum(|tally| tally.turned_away) / sum(|tally| tally.starts),
            messages_per_s: sum(|tally| tally.messages) / seconds / self.entries.len() as f64,
            gains_per_s: sum(|tally| tally.gains) / seconds / self.entries.len() as f64,
            scans_per_s: sum(|tally| tally.scans) / seconds / self.entries.len() as f64,
            busiest: busy.fold(0.0, f64::max) / seconds,
            first_jobs_per_s: first.tally.submitted as f64 / seconds,
            first_useful: first.useful_share(length),
            first_busy: first.busy.as_secs_f64() / seconds,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// Schedules a caller's next job; the times between jobs are exponentially distributed.
    fn schedule_submit(&mut self, caller: usize) {
        let kinds = self.agents.iter().map(|agent| agent.kind);
        let work: f64 = kinds.map(|kind| kind.speed * kind.size).sum();
        let slots = f64::from(CPU) / f64::from(load::MEAN_CPU) * work;
        let callers = (self.settings.data_centers * CALLERS) as f64;
        let rate = self.settings.load * slots / load::mean_work() / callers;
        let uniform = self.rng.random::<f64>().max(f64::MIN_POSITIVE);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        self.schedule(self.now + gap, Event::Submit { caller });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { caller } => self.submit(caller),
            Event::Expire { entry, job } => self.entries[entry].expire(job),
            Event::Order {
                entry,
                agent,
                start,
            } => self.order(entry, agent, start),
            Event::RunEnds {
                entry,
                agent,
                start,
            } => self.run_ends(entry, agent, start),
            Event::Message {
                entry,
                agent,
                others,
                fate,
            } => {
                let tally = &mut self.entries[entry].tally;
                tally.messages += 1;
                tally.reports += u64::from(fate.is_none());
                let at = self.entries[entry].spend(MESSAGE_TIME, self.now);
                self.schedule(
                    at,
                    Event::Handled {
                        entry,
                        agent,
                        others,
                        fate,
                    },
                );
            }
            Event::Handled {
                entry,
                agent,
                others,
                fate,
            } => self.handled(entry, agent, others, fate),
            Event::PeriodicReport { agent } => {
                self.agents[agent].report_due = false;
                for entry in self.agents[agent].outdated() {
                    self.send(entry, agent, None);
                }
            }
            Event::Offer { agent } => self.offer(agent),
        }
    }

    fn submit(&mut self, caller: usize) {
        self.schedule_submit(caller);
        let entry = self.callers[caller];
        let job = load::draw(&mut self.rng);
        if !self.entries[entry].has_processor(&job, self.now) {
            self.entries[entry].spend(REFUSAL_TIME, self.now);
            return;
        }
        self.entries[entry].spend(JOB_TIME, self.now);
        if let Some((job, start_by)) = self.entries[entry].submit(job, self.now) {
            self.schedule(start_by, Event::Expire { entry, job });
            let starts = self.entries[entry].schedule(self.now);
            self.place(entry, starts);
        }
    }

    /// Sends the entry's orders once it has handled all that has arrived.
    fn place(&mut self, entry: usize, starts: Vec<Start>) {
        for start in starts {
            let agent = self.agents_by_name[&start.upstream];
            let at = self.now.max(self.entries[entry].idle_at) + self.delay(entry, agent);
            self.schedule(
                at,
                Event::Order {
                    entry,
                    agent,
                    start,
                },
            );
        }
    }

    fn order(&mut self, entry: usize, agent: usize, start: Start) {
        if !self.agents[agent].admit(entry, start.need, self.now) {
            self.send(entry, agent, Some(Fate::TurnedAway(start)));
            return;
        }
        self.schedule(
            self.now + self.agents[agent].run_time(start.run),
            Event::RunEnds {
                entry,
                agent,
                start,
            },
        );
        self.schedule_report(agent);
    }

    fn run_ends(&mut self, entry: usize, agent: usize, start: Start) {
        self.agents[agent].release(entry, start.need);
        let ran = self.agents[agent].run_time(start.run);
        self.send(entry, agent, Some(Fate::Done(start, ran)));
        self.offer(agent);
        self.schedule_report(agent);
    }

    fn handled(&mut self, entry: usize, agent: usize, others: Need, fate: Option<Fate>) {
        let gained = self.update_view(entry, agent, others) || fate.is_some();
        match fate {
            Some(Fate::Done(start, ran)) => self.entries[entry].done(&start, ran, self.now),
            Some(Fate::TurnedAway(start)) => self.entries[entry].turned_away(&start),
            None => {}
        }
        let starts = self.entries[entry].reschedule(gained, self.now);
        self.place(entry, starts);
    }

    /// Tells an entry what the others use; returns whether more may start than before.
    fn update_view(&mut self, entry: usize, agent: usize, used_by_others: Need) -> bool {
        let report = UpstreamReport {
            service: self.service.clone(),
            capacity: self.agents[agent].kind.capacity(),
            used_by_others,
            accepts_runs: true,
            run_time_ratio: None,
            labels: Vec::new(),
        };
        let near = self.is_near(entry, agent);
        let placer = &mut self.entries[entry].placer;
        placer.update(&self.agent_names[agent], Incarnation(1), near, report)
    }

    fn offer(&mut self, agent: usize) {
        if !self.settings.offers {
            return;
        }
        let free = self.agents[agent].free();
        if let Some(entry) = self.agents[agent].waiting.take_next(free, self.now) {
            self.send(entry, agent, None);
            self.schedule(self.now + OFFER_INTERVAL, Event::Offer { agent });
        }
    }

    fn schedule_report(&mut self, agent: usize) {
        if !std::mem::replace(&mut self.agents[agent].report_due, true) {
            let spacing = REPORT_SPACING * self.entries.len() as u32;
            let interval = spacing.max(self.settings.min_report_interval);
            self.schedule(self.now + interval, Event::PeriodicReport { agent });
        }
    }

    fn send(&mut self, entry: usize, agent: usize, fate: Option<Fate>) {
        let others = self.agents[agent].tell(entry);
        let at = self.now + self.delay(entry, agent);
        self.schedule(
            at,
            Event::Message {
                entry,
                agent,
                others,
                fate,
            },
        );
    }

    fn is_near(&self, entry: usize, agent: usize) -> bool {
        self.entries[entry].data_center == self.agents[agent].data_center
    }

    fn delay(&self, entry: usize, agent: usize) -> Duration {
        match self.is_near(entry, agent) {
            true => NEAR_DELAY,
            false => FAR_DELAY,
        }
    }
}
