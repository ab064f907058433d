//! What the configuration says of this agent's upstream: which service it may be of, and
//! whether it is given work.

use std::sync::Arc;

use gentian::wire::{control, id};
use tokio::sync::watch;

use super::supervisor::Supervisor;
use crate::clock;
use crate::panics::AbortOnPanic;
use crate::renew::LeaseState;

/// Where the agent runs, which decides whether it may be given work.
#[derive(Clone, Debug)]
struct Location {
    node: id::Node,
    data_center: id::DataCenter,
    rack: id::Rack,
}

impl Location {
    fn new(node: &control::Node) -> id::Result<Location> {
        Ok(Location {
            node: node.name.parse()?,
            data_center: node.data_center.parse()?,
            rack: node.rack.parse()?,
        })
    }

    /// Whether the configuration gives the upstream no work.
    fn is_denied(&self, state: &LeaseState) -> bool {
        let Location {
            node,
            data_center,
            rack,
        } = self;
        !state.document.upstreams.admits(node, data_center, rack)
    }
}

/// Admits runs, or refuses them, as each configuration says, for as long as the process
/// renews its lease.
pub(super) async fn follow_configuration(
    node: control::Node,
    supervisor: Arc<Supervisor>,
    mut held: watch::Receiver<Arc<LeaseState>>,
) {
    let _essential = AbortOnPanic("the permission to run tasks");
    let location = Location::new(&node).expect("the settings hold valid names");
    let mut version = 0;
    loop {
        let latest = held.borrow_and_update().clone();
        let services = &latest.document.services;
        // Before the first configuration there are none.
        if latest.version != version && !services.is_empty() {
            version = latest.version;
            supervisor.set_services(services.keys().cloned().collect());
        }
        // Until a configuration is known, the supervisor refuses runs.
        if let Some(age) = latest.age(clock::now()) {
            let denied = location.is_denied(&latest);
            if supervisor.set_denied(denied) {
                log::info!(
                    "configuration version {} {} new runs at data centre {}; it was confirmed \
                     {} ms ago",
                    latest.version,
                    if denied { "denies" } else { "allows" },
                    location.data_center,
                    age.as_millis(),
                );
            }
        }
        if held.changed().await.is_err() {
            return;
        }
    }
}
