//! Keeps a stream to each agent that control lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::member::member::Member;
use gentian::wire::id::{Incarnation, Node};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::dispatcher::Dispatcher;
use super::peer;
use crate::renew::Held;

/// How long an agent that is no longer listed is still called: a new leader of
/// control lists an agent again only after that has renewed.
const UNLISTED: Duration = Duration::from_secs(6);

/// Time between two looks for runs that must be gone.
const ORPHANS: Duration = Duration::from_millis(50);

struct Followed {
    incarnation: Incarnation,
    address: SocketAddr,
    listed_at: Instant,
    task: JoinHandle<()>,
}

/// Follows the list for as long as the process runs.
pub(super) async fn agents(mut held: watch::Receiver<Arc<Held>>, dispatcher: Arc<Dispatcher>) {
    let mut followed: BTreeMap<Node, Followed> = BTreeMap::new();
    loop {
        let now = held.borrow_and_update().clone();
        // After a restart of all, the view tells more than the leader has heard.
        let views = now.window.members().values();
        for member in now.present.iter().chain(views) {
            follow(&mut followed, member, &dispatcher);
        }
        followed.retain(|node, agent| {
            let kept = agent.listed_at.elapsed() < UNLISTED || dispatcher.is_connected(node);
            if !kept {
                log::info!("agent {node}: no longer listed");
                agent.task.abort();
                dispatcher.forget(node);
            }
            kept
        });
        if held.changed().await.is_err() {
            return;
        }
    }
}

/// Gives up, when it must be gone, what an agent ran that no longer answers.
pub(super) async fn orphans(dispatcher: Arc<Dispatcher>) {
    loop {
        tokio::time::sleep(ORPHANS).await;
        dispatcher.give_up_orphans();
    }
}

fn follow(followed: &mut BTreeMap<Node, Followed>, member: &Member, dispatcher: &Arc<Dispatcher>) {
    let known = followed.get_mut(&member.node);
    // Another incarnation at the same address shows on the stream itself.
    let same = |agent: &&mut Followed| {
        agent.address == member.address || agent.incarnation >= member.incarnation
    };
    if let Some(agent) = known.filter(same) {
        agent.incarnation = agent.incarnation.max(member.incarnation);
        agent.listed_at = Instant::now();
        return;
    }
    if let Some(agent) = followed.remove(&member.node) {
        agent.task.abort();
        dispatcher.disconnected(&member.node);
    }
    let (node, address) = (member.node.clone(), member.address);
    log::info!(
        "agent {node}: listed at {address}, incarnation {}",
        member.incarnation
    );
    dispatcher.know(member);
    let agent = Followed {
        incarnation: member.incarnation,
        address,
        listed_at: Instant::now(),
        task: tokio::spawn(peer::run(dispatcher.clone(), node, address)),
    };
    followed.insert(member.node.clone(), agent);
}
