//! Upstreams that announce themselves to this agent, and the slots that their tasks
//! occupy.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use gentian::wire::agent::Load;
use gentian::wire::{control, id};
use serde::Deserialize;
use tokio::sync::oneshot;

use super::pool::Pool;
use crate::panics::Mutex;
use crate::renew::Announce;
use crate::settings::Agent;

/// Time without an announcement after which an upstream counts as gone.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2000);

/// Most tasks that wait for a slot of one upstream. Few need to, since entries only
/// send tasks where they expect a free slot, and a longer queue would tie tasks to
/// this upstream for too long.
const MAX_WAITING_TASKS: usize = 1;

/// What an upstream announces about itself. It repeats this as its heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    pub(crate) service: id::Service,
    pub(crate) address: SocketAddr,
    #[serde(default = "default_slots")]
    pub(crate) slots: u32,
    #[serde(default = "default_connections")]
    pub(crate) connections: u32,
    #[serde(default)]
    pub(crate) incarnation: u64,
    #[serde(default)]
    pub(crate) data_center: Option<id::DataCenter>,
    #[serde(default)]
    pub(crate) rack: Option<id::Rack>,
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Announcement {
            service,
            address,
            incarnation,
            ..
        } = self;
        write!(f, "{service} {address} incarnation {incarnation}")
    }
}

/// An announced upstream, its connections and the state of its slots.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) pool: Pool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// When the last announcement arrived.
    last_heard: Instant,
    leaving: bool,
    /// Number of occupied slots.
    busy: u32,
    /// Tasks that wait for a slot, the longest waiting first.
    waiting: VecDeque<oneshot::Sender<Slot>>,
}

/// A slot of an upstream, occupied by one task until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    upstream: Arc<Upstream>,
}

/// A slot, or a place in the queue for one.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The task may start.
    Now(Slot),
    /// The task may start once this yields a slot. The channel closes if the upstream
    /// leaves before that.
    Later(oneshot::Receiver<Slot>),
}

/// Why an upstream refuses a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// It announced that it is leaving, or its announcements have stopped.
    Leaving,
    /// All slots are occupied and the queue is full.
    Full,
}

impl Upstream {
    /// Occupies a slot or a place in the queue for one.
    pub(crate) fn admit(self: &Arc<Upstream>, now: Instant) -> Result<Admission, Refusal> {
        let mut state = self.state();
        if state.leaving || now >= state.last_heard + ANNOUNCEMENT_TIMEOUT {
            return Err(Refusal::Leaving);
        }
        if state.busy < self.announcement.slots {
            state.busy += 1;
            let upstream = self.clone();
            return Ok(Admission::Now(Slot { upstream }));
        }
        state.waiting.retain(|waiter| !waiter.is_closed());
        if state.waiting.len() >= MAX_WAITING_TASKS {
            return Err(Refusal::Full);
        }
        let (sender, slot) = oneshot::channel();
        state.waiting.push_back(sender);
        Ok(Admission::Later(slot))
    }

    /// The current load, which is sent to entries with each answer.
    pub(crate) fn load(&self) -> Load {
        let state = self.state();
        Load {
            slots: self.announcement.slots,
            busy: state.busy,
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
            leaving: state.leaving,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }
}

impl Slot {
    /// The upstream that the slot belongs to.
    pub(crate) fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.upstream.state().release();
        if let Some(waiter) = next {
            let upstream = self.upstream.clone();
            // If the waiter has given up, the send fails and drops the slot, which
            // passes it to the next waiter.
            let _ = waiter.send(Slot { upstream });
        }
    }
}

impl State {
    /// Refuses new tasks as well as those in the queue.
    fn leave(&mut self) {
        self.leaving = true;
        self.waiting.clear();
    }

    /// Frees a slot, or returns the waiter that gets it.
    fn release(&mut self) -> Option<oneshot::Sender<Slot>> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}

/// Upstreams of this agent, by service.
#[derive(Debug)]
pub(crate) struct UpstreamTable {
    max_slots: u32,
    max_connections: u32,
    agent_leaving: AtomicBool,
    upstreams: Mutex<BTreeMap<id::Service, Arc<Upstream>>>,
}

impl UpstreamTable {
    /// An empty table that limits the slots and connections used at each upstream to
    /// those in the settings.
    pub(crate) fn new(section: &Agent) -> UpstreamTable {
        UpstreamTable {
            max_slots: section.max_slots,
            max_connections: section.max_connections,
            agent_leaving: AtomicBool::new(false),
            upstreams: Mutex::default(),
        }
    }

    /// Applies an announcement. If it differs from the last one, such as after a restart,
    /// it replaces the upstream; running tasks keep their slots at the replaced one.
    /// An announcement of an earlier incarnation is ignored while the later one still
    /// announces itself.
    pub(crate) fn apply_announcement(&self, mut announcement: Announcement, now: Instant) {
        announcement.slots = announcement.slots.min(self.max_slots);
        announcement.connections = announcement.connections.min(self.max_connections);
        let mut upstreams = self.lock();
        if let Some(known) = upstreams.get(&announcement.service) {
            if known.announcement == announcement {
                known.state().last_heard = now;
                return;
            }
        }
        let superseded = |known: &Arc<Upstream>| {
            let alive = now < known.state().last_heard + ANNOUNCEMENT_TIMEOUT;
            alive && known.announcement.incarnation > announcement.incarnation
        };
        if upstreams.get(&announcement.service).is_some_and(superseded) {
            return;
        }
        let pool = Pool::new(announcement.address, announcement.connections);
        let state = Mutex::new(State {
            last_heard: now,
            leaving: false,
            busy: 0,
            waiting: VecDeque::new(),
        });
        let service = announcement.service.clone();
        log::info!("upstream {announcement}: announced itself");
        let upstream = Upstream {
            announcement,
            pool,
            state,
        };
        upstreams.insert(service, Arc::new(upstream));
    }

    /// Marks a service's upstream as leaving. Returns false if there is none.
    pub(crate) fn leave(&self, service: &id::Service) -> bool {
        match self.lock().get(service) {
            Some(upstream) => {
                log::info!(
                    "upstream {}: leaving; it gets no new tasks",
                    upstream.announcement
                );
                upstream.state().leave();
                true
            }
            None => false,
        }
    }

    /// Marks the agent and every upstream as leaving.
    pub(crate) fn leave_all(&self) {
        self.agent_leaving.store(true, Ordering::Relaxed);
        for upstream in self.lock().values() {
            upstream.state().leave();
        }
    }

    /// The upstream of a service.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<Upstream>> {
        let service = service.parse().ok()?;
        self.lock().get(&service).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<id::Service, Arc<Upstream>>> {
        self.upstreams.lock()
    }
}

impl Announce for UpstreamTable {
    fn upstreams(&self) -> Vec<control::Upstream> {
        let now = Instant::now();
        let alive =
            |upstream: &&Arc<Upstream>| now < upstream.state().last_heard + ANNOUNCEMENT_TIMEOUT;
        let upstreams = self.lock();
        upstreams.values().filter(alive).map(to_wire).collect()
    }

    fn leaving(&self) -> bool {
        self.agent_leaving.load(Ordering::Relaxed)
    }
}

fn to_wire(upstream: &Arc<Upstream>) -> control::Upstream {
    let announcement = &upstream.announcement;
    control::Upstream {
        service: announcement.service.to_string(),
        slots: announcement.slots,
        connections: announcement.connections,
        leaving: upstream.state().leaving,
    }
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}
