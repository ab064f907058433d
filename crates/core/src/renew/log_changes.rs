//! Logs changes of a node's lease, its configuration version and its view.

use std::sync::Arc;

use tokio::sync::watch;

use super::LeaseState;
use crate::clock;

/// The state that was logged last.
#[derive(Debug, Default)]
struct Logged {
    in_force: bool,
    version: u64,
    view: u64,
}

/// Logs changes until the renewal loop ends. `node` starts every line.
pub(crate) async fn log_changes(node: String, mut states: watch::Receiver<Arc<LeaseState>>) {
    let mut logged = Logged::default();
    loop {
        let state = states.borrow_and_update().clone();
        logged.update(&node, &state);
        let expiry = async {
            let remaining = state.remaining(clock::now());
            match remaining.filter(|_| logged.in_force) {
                Some(remaining) => tokio::time::sleep(remaining).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = states.changed() => if changed.is_err() { return },
            () = expiry => {}
        }
    }
}

impl Logged {
    /// Logs what differs from the last logged state.
    fn update(&mut self, node: &str, state: &LeaseState) {
        let LeaseState { version, view, .. } = *state;
        let in_force = state.in_force(clock::now());
        match (self.in_force, in_force) {
            (false, true) => {
                log::info!("{node}: lease held, configuration version {version}, view {view}")
            }
            (true, false) => log::warn!(
                "{node}: lease lost, no work is started until it is renewed; \
                 configuration version {version}, view {view}"
            ),
            _ => {}
        }
        if version != self.version {
            log::info!(
                "{node}: configuration version {version} in force, was {}",
                self.version
            );
        }
        if view != self.view {
            let members = state.members.len();
            log::debug!("{node}: view {view} in force, {members} members");
        }
        *self = Logged {
            in_force,
            version,
            view,
        };
    }
}
