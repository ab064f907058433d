//! HTTP endpoints for the state of a node's lease: `/v1/status` for operators,
//! `/live` and `/ready` for the load balancer.

use std::sync::Arc;

use http::Method;
use serde_json::json;
use tokio::sync::watch;

use super::LeaseState;
use crate::clock;
use crate::serve::{self, Handler, Problem, Request, Response};

/// Handles the lease's endpoints and passes other requests to `inner`.
#[derive(Debug)]
pub(crate) struct StatusHandler<H> {
    role: &'static str,
    states: watch::Receiver<Arc<LeaseState>>,
    inner: H,
}

impl<H> StatusHandler<H> {
    pub(crate) fn new(
        role: &'static str,
        states: watch::Receiver<Arc<LeaseState>>,
        inner: H,
    ) -> StatusHandler<H> {
        StatusHandler {
            role,
            states,
            inner,
        }
    }

    fn status(&self) -> Response {
        let now = clock::now();
        let state = self.states.borrow().clone();
        let status = json!({
            "role": self.role,
            "in_force": state.in_force(now),
            "version": state.version,
            "view": state.view,
            "view_age_ms": state.view_age(now).as_millis() as u64,
            "oldest_view": state.window.floor(),
            "members": state.window.members().len(),
            "unreadable_agents": state.unreadable,
        });
        serve::json(&status)
    }

    fn ready(&self) -> Response {
        match self.states.borrow().in_force(clock::now()) {
            true => serve::text("ready\n"),
            false => Problem::busy("this node holds no lease from control").respond(),
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
