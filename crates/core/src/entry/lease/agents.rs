//! Keeps a stream open to each agent that control lists.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::member::member::Member;
use gentian::wire::id::{Incarnation, Node};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::dispatcher::Dispatcher;
use super::stream;
use crate::panics::AbortOnPanic;
use crate::renew::LeaseState;

/// How long the stream to an agent is kept after control has stopped listing the
/// agent: a newly elected control leader lists it only once it has renewed its
/// lease.
const UNLISTED_GRACE: Duration = Duration::from_secs(6);

/// Time between two checks for runs that have certainly ended.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(50);

struct ListedAgent {
    incarnation: Incarnation,
    address: SocketAddr,
    listed_at: Instant,
    task: JoinHandle<()>,
}

/// Opens and closes streams as the list of agents changes, for as long as the
/// process runs.
pub(super) async fn follow_list(
    mut held: watch::Receiver<Arc<LeaseState>>,
    dispatcher: Arc<Dispatcher>,
) {
    let _essential = AbortOnPanic("the list of agents");
    let mut agents: BTreeMap<Node, ListedAgent> = BTreeMap::new();
    loop {
        let latest = held.borrow_and_update().clone();
        // After a restart of the whole cluster, the view lists agents that the
        // control leader has not heard from yet.
        let in_view = latest.window.members().values();
        let listed = latest.present.iter().chain(in_view);
        for member in listed.clone() {
            update_agent(&mut agents, member, &dispatcher).await;
        }
        dispatcher.deny(denied_nodes(&latest, listed));
        let unlisted = agents.extract_if(.., |node, agent| {
            agent.listed_at.elapsed() >= UNLISTED_GRACE && !dispatcher.is_connected(node)
        });
        let unlisted: Vec<(Node, ListedAgent)> = unlisted.collect();
        for (node, agent) in unlisted {
            log::info!(
                "agent {node}: unlisted for {UNLISTED_GRACE:?} and not connected; removing it"
            );
            close_stream(agent.task).await;
            dispatcher.remove_agent(&node);
        }
        if held.changed().await.is_err() {
            return;
        }
    }
}

/// Those of the listed agents whose upstreams the configuration gives no work.
fn denied_nodes<'a>(
    state: &LeaseState,
    listed: impl Iterator<Item = &'a Member>,
) -> BTreeSet<Node> {
    let upstreams = &state.document.upstreams;
    let denied =
        listed.filter(|member| !upstreams.admits(&member.node, &member.data_center, &member.rack));
    denied.map(|member| member.node.clone()).collect()
}

/// Counts the runs of agents that no longer answer or have restarted as lost, once
/// their leases have lapsed for certain, so that their tasks can start elsewhere.
pub(super) async fn expire_lost_runs(dispatcher: Arc<Dispatcher>) {
    let _essential = AbortOnPanic("the expiry of runs");
    loop {
        tokio::time::sleep(EXPIRY_CHECK_PERIOD).await;
        dispatcher.expire_runs();
    }
}

/// Opens a stream to a listed agent, unless there is one to its address already.
async fn update_agent(
    agents: &mut BTreeMap<Node, ListedAgent>,
    member: &Member,
    dispatcher: &Arc<Dispatcher>,
) {
    let known = agents.get_mut(&member.node);
    // An agent that restarts at the same address reports its new incarnation on
    // the stream, which reconnects by itself.
    let unchanged = |agent: &&mut ListedAgent| {
        agent.address == member.address || agent.incarnation >= member.incarnation
    };
    if let Some(agent) = known.filter(unchanged) {
        agent.incarnation = agent.incarnation.max(member.incarnation);
        agent.listed_at = Instant::now();
        return;
    }
    if let Some(agent) = agents.remove(&member.node) {
        close_stream(agent.task).await;
        dispatcher.mark_disconnected(&member.node);
    }
    let (node, address) = (member.node.clone(), member.address);
    log::info!(
        "agent {node}: listed by control at {address}, incarnation {}; opening a stream",
        member.incarnation
    );
    dispatcher.add_agent(member);
    let agent = ListedAgent {
        incarnation: member.incarnation,
        address,
        listed_at: Instant::now(),
        task: tokio::spawn(stream::run(dispatcher.clone(), node, address)),
    };
    agents.insert(member.node.clone(), agent);
}

/// Ends the task that keeps a stream open, and returns once it can no longer handle a report.
async fn close_stream(task: JoinHandle<()>) {
    task.abort();
    // The task ends with the error that it was aborted.
    let _ = task.await;
}
