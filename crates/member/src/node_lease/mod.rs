//! A node's own record of its lease.
//!
//! The node counts the lease from the time it sent the request. The leader reads
//! the version and the view after it receives the request, so they include everything that was
//! accepted before the request was sent, however late the reply arrives. A node
//! that was frozen or partitioned finds its lease expired, and may not act on any
//! version or view until it has renewed.

use std::time::Duration;

use gentian_wire::id::{Version, View};

/// The result of accepting a grant.
pub type Result<T> = std::result::Result<T, StaleGrant>;

/// A grant whose version or view is older than the one already held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "grant has version {version} and view {view}, \
     but version {held_version} and view {held_view} are already held"
)]
pub struct StaleGrant {
    /// Configuration version of the grant.
    pub version: Version,
    /// View of the grant.
    pub view: View,
    /// Configuration version already held.
    pub held_version: Version,
    /// View already held.
    pub held_view: View,
}

/// A lease granted by the leader. The node has received the configuration version
/// and the view that the grant names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Time at which the node sent the request, since its monotonic origin.
    pub sent: Duration,
    /// Duration of the lease, counted from `sent`.
    pub lease: Duration,
    /// Configuration version in force at the leader.
    pub version: Version,
    /// View in force at the leader.
    pub view: View,
}

/// The lease of a node. It is not persisted: a restarted process holds none.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    grant: Option<Grant>,
}

impl Lease {
    /// Accepts a grant, which may extend the lease and advance the version and
    /// the view.
    ///
    /// A grant with an older version or view is refused and leaves the lease as
    /// it is. A grant that expires earlier than the lease held doesn't shorten it.
    pub fn accept(&mut self, grant: Grant) -> Result<()> {
        let Some(held) = self.grant else {
            self.grant = Some(grant);
            return Ok(());
        };
        if grant.version < held.version || grant.view < held.view {
            return Err(StaleGrant {
                version: grant.version,
                view: grant.view,
                held_version: held.version,
                held_view: held.view,
            });
        }
        let extends = grant.expiry() >= held.expiry();
        let (sent, lease) = if extends {
            (grant.sent, grant.lease)
        } else {
            (held.sent, held.lease)
        };
        self.grant = Some(Grant {
            sent,
            lease,
            ..grant
        });
        Ok(())
    }

    /// Returns the version and the view that the node may act on, or `None` if
    /// the lease has expired.
    pub fn in_force(&self, now: Duration) -> Option<(Version, View)> {
        let grant = self.grant?;
        let valid = grant.sent <= now && now < grant.expiry();
        valid.then_some((grant.version, grant.view))
    }

    /// Returns the time until the lease expires.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.grant
            .map_or(Duration::ZERO, |grant| grant.expiry().saturating_sub(now))
    }
}

impl Grant {
    fn expiry(&self) -> Duration {
        self.sent + self.lease
    }
}
