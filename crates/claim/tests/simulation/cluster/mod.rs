//! Simulated entries and agents in virtual time, with a network that loses,
//! duplicates and delays messages. After each event, [`Cluster::check`] compares
//! the answers given with a list of all executions.

mod check;
mod delivery;
mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_claim::coordinator::{
    Action, Answer, Coordinator, Event, Plan, StartResult, TaskAgents,
};
use gentian_claim::gate::{ByteSize, Gate};
use gentian_claim::home::Home;
use gentian_claim::key_window::{KeyWindow, MAX_CLOCK_SKEW};
use gentian_claim::placement::{Member, View, ViewHistory};
use gentian_wire::id::{self, Job, Node, Task};
use gentian_wire::outcome::Outcome;
use gentian_wire::size::Bytes;

use message::{Message, Request};

pub(crate) const AGENTS: usize = 5;
pub(crate) const CANDIDATES: usize = 2;
pub(crate) const LEASE: Duration = Duration::from_secs(4);
const RETENTION: Duration = Duration::from_secs(60);

/// The answer of a task, which names the task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value(pub(crate) Task);

impl ByteSize for Value {
    fn byte_size(&self) -> Bytes {
        Bytes(20)
    }
}

/// What an entry or agent knows of the cluster.
pub(crate) struct Peer {
    pub(crate) views: ViewHistory,
    /// End of its lease.
    pub(crate) lease: Duration,
    /// How far its wall clock is ahead of the simulation's time.
    skew: Duration,
}

pub(crate) struct Agent {
    pub(crate) peer: Peer,
    pub(crate) gate: Gate<Value>,
    home: Home,
    /// Asks whose reply may wait for the end of a task; a [`Waiter`] is an index into this
    /// list.
    waiting_asks: Vec<Message>,
}

/// A submission of a job to an entry, with its coordinator.
pub(crate) struct Attempt {
    pub(crate) job: Job,
    pub(crate) entry: usize,
    /// Whether its entry has restarted.
    pub(crate) crashed: bool,
    pub(crate) coordinator: Coordinator<Value>,
    pub(crate) id: u64,
    view: id::View,
    pub(crate) answers: Vec<Answer<Value>>,
}

/// A task that runs at an agent.
pub(crate) struct Run {
    pub(crate) agent: usize,
    pub(crate) task: Task,
    attempt: usize,
}

/// The simulated cluster.
pub(crate) struct Cluster {
    pub(crate) now: Duration,
    pub(crate) agents: Vec<Agent>,
    pub(crate) entries: Vec<Peer>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) network: Vec<Message>,
    pub(crate) running: Vec<Run>,
    /// Coordinators for which each task was executed.
    pub(crate) executions: BTreeMap<Task, Vec<u64>>,
    /// The view in force, which nodes learn when they renew their lease.
    pub(crate) accepted: View,
    /// Whether each agent is a member of the view in force.
    members: [bool; AGENTS],
    /// Whether entries can't reach each other.
    pub(crate) partitioned: bool,
}

pub(crate) fn node(index: usize) -> Node {
    format!("agent-{index}").parse().unwrap()
}

pub(crate) fn index(node: &Node) -> usize {
    node.as_str()["agent-".len()..].parse().unwrap()
}

fn peer(skew: u64) -> Peer {
    let (lease, skew) = (Duration::ZERO, Duration::from_secs(skew));
    Peer {
        views: ViewHistory::new(LEASE),
        lease,
        skew,
    }
}

fn agent(index: usize, now: Duration) -> Agent {
    let peer = peer(index as u64 % 5);
    let window = KeyWindow::with_limits(now + peer.skew, RETENTION, MAX_CLOCK_SKEW);
    let home = Home::new(node(index), window.clone());
    Agent {
        gate: Gate::new(window, Bytes(100)),
        home,
        waiting_asks: Vec::new(),
        peer,
    }
}

impl Cluster {
    /// A cluster whose nodes all hold a lease on view 1. Its agents started 30 s
    /// before, so that keys created in the last seconds are within their window.
    pub(crate) fn new() -> Cluster {
        let start = Duration::from_secs(1000);
        let mut cluster = Cluster {
            now: start,
            agents: (0..AGENTS).map(|i| agent(i, start)).collect(),
            entries: vec![peer(0), peer(2), peer(4)],
            attempts: Vec::new(),
            network: Vec::new(),
            running: Vec::new(),
            executions: BTreeMap::new(),
            accepted: View::new(id::View(0), start, Vec::new()),
            members: [true; AGENTS],
            partitioned: false,
        };
        cluster.accept(AGENTS);
        cluster.now += Duration::from_secs(30);
        cluster.renew_all();
        cluster
    }

    /// Puts the next view in force. The agent with index `toggled`, if there is one, joins
    /// or leaves with that view.
    pub(crate) fn accept(&mut self, toggled: usize) {
        if let Some(member) = self.members.get_mut(toggled) {
            *member = !*member;
        }
        let service = vec!["s".parse().unwrap()];
        let members = (0..AGENTS).filter(|i| self.members[*i]);
        let members = members
            .map(|i| Member::new(node(i), service.clone()))
            .collect();
        let number = id::View(self.accepted.number().0 + 1);
        self.accepted = View::new(number, self.now, members);
    }

    pub(crate) fn renew(&mut self, index: usize) {
        let peer = match index.checked_sub(AGENTS) {
            None => &mut self.agents[index].peer,
            Some(entry) => &mut self.entries[entry],
        };
        peer.views.push(self.accepted.clone());
        peer.lease = self.now + LEASE;
        if let Some(agent) = self.agents.get_mut(index) {
            agent.gate.observe_view(self.accepted.number());
        }
    }

    pub(crate) fn renew_all(&mut self) {
        (0..AGENTS + self.entries.len()).for_each(|index| self.renew(index));
    }

    pub(crate) fn key(&self, number: u8, age: Duration) -> Job {
        Job::new(self.now - age, [number; 10])
    }

    /// Submits a job. Returns `None` if the entry holds no lease or the key lies
    /// outside of the retention window.
    pub(crate) fn submit(&mut self, entry: usize, job: Job, tasks: u32) -> Option<usize> {
        let peer = &self.entries[entry];
        let wall = self.now + peer.skew;
        let within_window =
            job.created() <= wall + MAX_CLOCK_SKEW && wall < job.created() + RETENTION;
        if self.now >= peer.lease || !within_window {
            return None;
        }
        let service = "s".parse().unwrap();
        let view = peer.views.current()?;
        let place = |i| TaskAgents {
            candidates: view.candidates(job.task(i), &service, CANDIDATES),
            may_have_started: peer.views.candidates(job.task(i), &service, CANDIDATES),
        };
        let number = self.attempts.len();
        let id = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let home = view.home(job)?.clone();
        let tasks = (0..tasks).map(place).collect();
        let view = view.number();
        let (coordinator, claim) = Coordinator::new(Plan {
            job,
            coordinator: id,
            home,
            tasks,
        });
        let answers = Vec::new();
        self.attempts.push(Attempt {
            job,
            entry,
            crashed: false,
            coordinator,
            id,
            view,
            answers,
        });
        self.act(number, vec![claim]);
        Some(number)
    }

    pub(crate) fn handle_event(&mut self, attempt: usize, event: Event<Value>) {
        if !self.attempts[attempt].crashed {
            let actions = self.attempts[attempt].coordinator.handle(event, self.now);
            self.act(attempt, actions);
        }
    }

    /// Lets each live coordinator start up to `credit` tasks.
    pub(crate) fn start(&mut self, credit: usize) {
        for attempt in 0..self.attempts.len() {
            let Attempt {
                crashed,
                coordinator,
                ..
            } = &mut self.attempts[attempt];
            if !*crashed {
                let mut first = |open: &[&Node]| (!open.is_empty()).then_some(0);
                let actions = coordinator.start(self.now, credit, &mut first);
                self.act(attempt, actions);
            }
        }
    }

    pub(crate) fn act(&mut self, attempt: usize, actions: Vec<Action<Value>>) {
        for action in actions {
            let (agent, request) = match action {
                Action::Claim { home } => (home, Request::Claim),
                Action::Ask { agent, tasks, wait } => (agent, Request::Ask(tasks, wait)),
                Action::Start { task, agent } => (agent, Request::Start(task)),
                Action::Cancel { agent, tasks } => (agent, Request::Cancel(tasks)),
                Action::Follow { holder } => {
                    self.network.push(Message::Follow { attempt, holder });
                    continue;
                }
                Action::Answer(answer) => {
                    self.attempts[attempt].answers.push(answer);
                    continue;
                }
            };
            let ballot = self.attempts[attempt].coordinator.ballot();
            let agent = index(&agent);
            self.network.push(Message::ToAgent {
                agent,
                attempt,
                ballot,
                request,
                duplicated: false,
            });
        }
    }

    pub(crate) fn finish(&mut self, run: usize, outcome: Outcome) {
        let Run {
            agent,
            task,
            attempt,
        } = self.running.swap_remove(run);
        let waiters = self.agents[agent].gate.finish(task, outcome, Value(task));
        let woken = waiters
            .iter()
            .map(|w| self.agents[agent].waiting_asks[w.0 as usize].clone());
        self.network.extend(woken);
        let reply = StartResult::Finished {
            outcome,
            answer: Value(task),
        };
        let event = Event::StartEnded {
            task: task.index,
            agent: node(agent),
            reply,
        };
        self.network.push(Message::ToCoordinator { attempt, event });
    }

    /// Restarts an agent. Its connections end with the process, so no duplicate of a
    /// start reaches the new one.
    pub(crate) fn restart_agent(&mut self, index: usize) {
        self.agents[index] = agent(index, self.now);
        self.running.retain(|run| run.agent != index);
        self.network
            .retain(|message| !message.is_duplicated_start());
    }

    pub(crate) fn restart_entry(&mut self, entry: usize) {
        let skew = self.entries[entry].skew;
        self.entries[entry] = Peer { skew, ..peer(0) };
        let own = self.attempts.iter_mut().filter(|a| a.entry == entry);
        own.for_each(|attempt| attempt.crashed = true);
    }

    /// Delivers all messages and finishes all running tasks, in order, until nothing
    /// is left to do.
    pub(crate) fn settle(&mut self) {
        for _ in 0..20_000 {
            self.start(usize::MAX);
            self.check();
            let follows = |message: &Message| matches!(message, Message::Follow { .. });
            if !self.network.iter().all(follows)
                || (self.running.is_empty() && !self.network.is_empty())
            {
                let message = self.network.remove(0);
                self.deliver(message);
            } else if !self.running.is_empty() {
                self.finish(0, Outcome::Done);
            } else {
                return;
            }
        }
        panic!("the cluster does not settle");
    }
}
