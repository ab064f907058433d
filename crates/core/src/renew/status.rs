//! What a node tells of its lease: `/v1/status`, and `/live` and `/ready` for
//! the balancer.

use std::sync::Arc;
use std::time::Instant;

use http::Method;
use serde_json::json;
use tokio::sync::watch;

use super::LeaseState;
use crate::serve::{self, Handler, Problem, Request, Response};

/// Answers for the lease, and passes all else on.
#[derive(Debug)]
pub(crate) struct StatusHandler<H> {
    role: &'static str,
    held: watch::Receiver<Arc<LeaseState>>,
    inner: H,
}

impl<H> StatusHandler<H> {
    pub(crate) fn new(
        role: &'static str,
        held: watch::Receiver<Arc<LeaseState>>,
        inner: H,
    ) -> StatusHandler<H> {
        StatusHandler { role, held, inner }
    }

    fn status(&self) -> Response {
        let now = Instant::now();
        let held = self.held.borrow().clone();
        let status = json!({
            "role": self.role,
            "in_force": held.in_force(now),
            "version": held.version,
            "view": held.view,
            "view_age_ms": held.view_age(now).as_millis() as u64,
            "oldest_view": held.window.floor(),
            "members": held.window.members().len(),
        });
        serve::json(&status)
    }

    fn ready(&self) -> Response {
        match self.held.borrow().in_force(Instant::now()) {
            true => serve::text("ready\n"),
            false => Problem::busy("the node holds no lease from control").respond(),
        }
    }
}

impl<H: Handler> Handler for StatusHandler<H> {
    async fn handle(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::GET, "/live") => serve::text("live\n"),
            (&Method::GET, "/ready") => self.ready(),
            _ => self.inner.handle(request).await,
        }
    }
}
