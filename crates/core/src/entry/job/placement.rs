//! Places jobs and tasks on agents by the membership views, and keeps the agents'
//! addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentian::claim::coordinator::{Plan, TaskAgents};
use gentian::claim::key_window::{MAX_CLOCK_SKEW, RETENTION};
use gentian::claim::placement::ViewHistory;
use gentian::wire::id::{Job, Node, Service, View};
use tokio::sync::watch;

use super::{not_run, Result};
use crate::clock;
use crate::panics::Mutex;
use crate::renew::{LeaseState, VIEW_GRACE};
use crate::serve::Problem;

/// Number of agents that may start one task.
const CANDIDATES_PER_TASK: usize = 3;
/// The entry refuses a key this long before the agents' gates treat the key as expired,
/// so that the coordinator has time to run the job.
const EXPIRY_MARGIN: Duration = Duration::from_secs(10);

/// The views and the agents' addresses that the entry knows.
#[derive(Debug)]
pub(super) struct Placement {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    held: Arc<LeaseState>,
    /// The views under which a key that is still accepted may have been submitted, up to
    /// the view in force.
    views: ViewHistory,
    /// Addresses of the agents of all these views.
    addresses: BTreeMap<Node, SocketAddr>,
}

impl Default for Placement {
    fn default() -> Placement {
        let state = State {
            held: Arc::default(),
            views: ViewHistory::new(VIEW_GRACE),
            addresses: BTreeMap::new(),
        };
        Placement {
            state: Mutex::new(state),
        }
    }
}

/// Applies each renewal of the entry's lease until the renewal loop ends.
pub(super) async fn follow_lease(
    placement: Arc<Placement>,
    mut held: watch::Receiver<Arc<LeaseState>>,
) {
    while held.changed().await.is_ok() {
        let held = held.borrow_and_update().clone();
        placement.update(held);
    }
}

impl Placement {
    /// A job's home agent and the candidate agents of its tasks, by the view in force.
    /// `coordinator` is the id of the attempt, `tasks` the number of tasks, and `wall` the
    /// time since the Unix epoch.
    pub(super) fn plan(
        &self,
        job: Job,
        coordinator: u64,
        service: &Service,
        tasks: u32,
        wall: Duration,
    ) -> Result<(Plan, View)> {
        check_age(job, wall)?;
        let state = self.state();
        if !state.held.in_force(clock::now()) {
            return Err(not_run("the entry holds no lease from control"));
        }
        let view = state
            .views
            .current()
            .ok_or_else(|| not_run("no membership view has been received from control"))?;
        let home = view
            .home(job)
            .ok_or_else(|| not_run("the membership view lists no agent"))?;
        let agents = |index| TaskAgents {
            candidates: view.candidates(job.task(index), service, CANDIDATES_PER_TASK),
            may_have_started: state
                .views
                .candidates(job.task(index), service, CANDIDATES_PER_TASK),
        };
        let plan = Plan {
            job,
            coordinator,
            home: home.clone(),
            tasks: (0..tasks).map(agents).collect(),
        };
        if plan.tasks.iter().any(|task| task.candidates.is_empty()) {
            return Err(not_run("no agent has an upstream of the service"));
        }
        Ok((plan, view.number()))
    }

    /// Number of the view in force.
    pub(super) fn view(&self) -> View {
        self.state().views.number()
    }

    /// The address of an agent of any view that is kept.
    pub(super) fn address(&self, agent: &Node) -> Option<SocketAddr> {
        self.state().addresses.get(agent).copied()
    }

    fn update(&self, held: Arc<LeaseState>) {
        let mut state = self.state();
        let State {
            views, addresses, ..
        } = &mut *state;
        if held.view > views.number().0 {
            let wall = SystemTime::now().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            held.update_history(views, wall);
            views.advance(wall);
            held.window.for_each(|_, members| {
                let listed = members.values().map(|m| (m.node.clone(), m.address));
                addresses.extend(listed);
            });
            addresses.retain(|node, _| views.contains(node));
        }
        state.held = held;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }
}

/// Refuses keys that were created too long ago, or further in the future than the clock
/// skew between nodes explains.
fn check_age(job: Job, wall: Duration) -> Result<()> {
    if job.created() > wall + MAX_CLOCK_SKEW {
        return Err(Problem::bad("the key's creation time is in the future"));
    }
    if job.created() + RETENTION < wall + EXPIRY_MARGIN {
        let detail = format!("the key is older than {RETENTION:?} less {EXPIRY_MARGIN:?}");
        return Err(Problem::new(410, "key expired", &detail));
    }
    Ok(())
}
