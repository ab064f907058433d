//! A node's hold on its lease.
//!
//! The lease counts from the sending of the request: the leader read the
//! version and the view after that, so whatever was accepted before the sending
//! is in them, however late the reply comes. A node that was frozen or cut off
//! finds its lease over and has nothing in force.

use std::time::Duration;

use gentian_wire::id::{Version, View};

/// A result whose error is a grant that was not taken.
pub type Result<T> = std::result::Result<T, StaleGrant>;

/// A grant that names an older version or view than one that was in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("version {version} and view {view} came where {held_version} and {held_view} are held")]
pub struct StaleGrant {
    /// The version granted.
    pub version: Version,
    /// The view granted.
    pub view: View,
    /// The version held.
    pub held_version: Version,
    /// The view held.
    pub held_view: View,
}

/// What the leader granted, once the node has the document and the view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// When the request was sent, since the node's monotonic origin.
    pub sent: Duration,
    /// How long the lease lasts from then on.
    pub lease: Duration,
    /// The version in force at the leader.
    pub version: Version,
    /// The view in force at the leader.
    pub view: View,
}

/// The lease of a node. A process starts with none, whatever it held before.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    grant: Option<Grant>,
}

impl Lease {
    /// Takes a grant: the lease lasts longer, the version and the view grow.
    ///
    /// A grant with an older version or view is refused, and the lease is left
    /// to run out.
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
        let longer = grant.end() >= held.end();
        let (sent, lease) = if longer {
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

    /// The version and the view that the node may act on.
    pub fn in_force(&self, now: Duration) -> Option<(Version, View)> {
        let grant = self.grant?;
        let holds = grant.sent <= now && now < grant.end();
        holds.then_some((grant.version, grant.view))
    }

    /// How much of the lease is left.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.grant
            .map_or(Duration::ZERO, |grant| grant.end().saturating_sub(now))
    }
}

impl Grant {
    fn end(&self) -> Duration {
        self.sent + self.lease
    }
}
