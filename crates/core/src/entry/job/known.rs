//! The views by which jobs are placed, and where their agents are reached.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gentian::claim::coordinator::{Place, Plan};
use gentian::claim::memory::{RETENTION, SKEW};
use gentian::claim::place::Views;
use gentian::wire::id::{Job, Node, Service, View};
use tokio::sync::watch;

use super::{not_run, Result};
use crate::renew::{Held, GRACE};
use crate::serve::Problem;

/// Agents that may start one task.
const CANDIDATES: usize = 3;
/// Time left to the coordinator before the gates take a key for expired.
const MARGIN: Duration = Duration::from_secs(10);

/// What the entry knows of views and agents.
#[derive(Debug)]
pub(super) struct Known {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    held: Arc<Held>,
    views: Views,
    addresses: BTreeMap<Node, SocketAddr>,
}

impl Default for Known {
    fn default() -> Known {
        let state = State {
            held: Arc::default(),
            views: Views::new(GRACE),
            addresses: BTreeMap::new(),
        };
        Known {
            state: Mutex::new(state),
        }
    }
}

/// Takes in what the lease covers, until nothing holds the lease any more.
pub(super) async fn follow(known: Arc<Known>, mut held: watch::Receiver<Arc<Held>>) {
    while held.changed().await.is_ok() {
        let held = held.borrow_and_update().clone();
        known.hold(held);
    }
}

impl Known {
    /// Where the home and the tasks of a job are, under the view in force.
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
        if !state.held.in_force(Instant::now()) {
            return Err(not_run("no lease"));
        }
        let view = state.views.last().ok_or_else(|| not_run("no view"))?;
        let home = view.home(job).ok_or_else(|| not_run("no agent"))?;
        let place = |index| Place {
            candidates: view.candidates(job.task(index), service, CANDIDATES),
            former: state.views.candidates(job.task(index), service, CANDIDATES),
        };
        let plan = Plan {
            job,
            coordinator,
            home: home.clone(),
            tasks: (0..tasks).map(place).collect(),
        };
        if plan.tasks.iter().any(|place| place.candidates.is_empty()) {
            return Err(not_run("no upstream of the service"));
        }
        Ok((plan, view.number()))
    }

    /// The view in force.
    pub(super) fn view(&self) -> View {
        self.state().views.number()
    }

    /// Where an agent of any view of the window is reached.
    pub(super) fn address(&self, agent: &Node) -> Option<SocketAddr> {
        self.state().addresses.get(agent).copied()
    }

    fn hold(&self, held: Arc<Held>) {
        let mut state = self.state();
        let State {
            views, addresses, ..
        } = &mut *state;
        if held.view > views.number().0 {
            let wall = SystemTime::now().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            held.update(views, wall);
            views.advance(wall);
            held.window.each(|_, members| {
                let reached = members.values().map(|m| (m.node.clone(), m.address));
                addresses.extend(reached);
            });
            addresses.retain(|node, _| views.contains(node));
        }
        state.held = held;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }
}

fn check_age(job: Job, wall: Duration) -> Result<()> {
    if job.created() > wall + SKEW {
        return Err(Problem::bad("key was created in the future"));
    }
    if job.created() + RETENTION < wall + MARGIN {
        let detail = format!("key was created more than {RETENTION:?} ago, less {MARGIN:?}");
        return Err(Problem::new(410, "key expired", &detail));
    }
    Ok(())
}
