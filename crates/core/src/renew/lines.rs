//! Log lines for what changes under a node's lease.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;

use super::LeaseState;

/// What was logged last.
#[derive(Debug, Default)]
struct Known {
    in_force: bool,
    version: u64,
    view: u64,
}

/// Logs until the renewal loop ends. `node` names the node.
pub(crate) async fn log_changes(node: String, mut held: watch::Receiver<Arc<LeaseState>>) {
    let mut known = Known::default();
    loop {
        let now = held.borrow_and_update().clone();
        known.tell(&node, &now);
        let expiry = async {
            match now.until().filter(|_| known.in_force) {
                Some(until) => tokio::time::sleep_until(until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = held.changed() => if changed.is_err() { return },
            () = expiry => {}
        }
    }
}

impl Known {
    fn tell(&mut self, node: &str, held: &LeaseState) {
        let LeaseState { version, view, .. } = *held;
        let in_force = held.in_force(Instant::now());
        match (self.in_force, in_force) {
            (false, true) => log::info!("{node}: lease held, version {version}, view {view}"),
            (true, false) => log::warn!("{node}: lease lost, version {version}, view {view}"),
            _ => {}
        }
        if version != self.version {
            log::info!("{node}: version {version} in force, was {}", self.version);
        }
        if view != self.view {
            let members = held.members.len();
            log::debug!("{node}: view {view} in force, {members} members");
        }
        *self = Known {
            in_force,
            version,
            view,
        };
    }
}
