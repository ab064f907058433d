//! The HTTP API `/v1/members`, with which operators list and change the control
//! instances.

use std::net::SocketAddr;
use std::time::Duration;

use gentian::quorum::replica;
use http::Method;
use serde::Deserialize;
use serde_json::{json, Value};

use super::replica::{ChangeRequest, Error, Handle, Status};
use crate::serve::{self, Handler, Problem, Request, Response};

const PATH: &str = "/v1/members";
const MAX_BODY_BYTES: usize = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles `/v1/members` and passes other requests to `next`.
#[derive(Debug)]
pub(crate) struct MembersApi<H> {
    replica: Handle,
    next: H,
}

/// The body of a change: either the initial instances, or an instance to add, to
/// remove, or both to replace one.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Body {
    init: Vec<SocketAddr>,
    add: Option<SocketAddr>,
    remove: Option<SocketAddr>,
}

impl<H: Handler> MembersApi<H> {
    pub(crate) fn new(replica: Handle, next: H) -> MembersApi<H> {
        MembersApi { replica, next }
    }

    async fn change(&self, request: Request) -> Result<Response, Problem> {
        let body = serve::read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        let body: Body = serde_json::from_slice(&body)
            .map_err(|error| Problem::bad(&format!("the body is not a valid change: {error}")))?;
        let changed = match (&body.init[..], body.add, body.remove) {
            ([], Some(new), Some(old)) => {
                self.replica.change(ChangeRequest::Replace(old, new)).await
            }
            ([], Some(new), None) => self.replica.change(ChangeRequest::Add(new)).await,
            ([], None, Some(old)) => self.replica.change(ChangeRequest::Remove(old)).await,
            ([_, ..], None, None) => self.replica.init(&body.init).await,
            _ => {
                return Err(Problem::bad(
                    "the change must have either init, or add, remove or both",
                ))
            }
        };
        changed.map_err(|error| self.problem(&error))?;
        Ok(status_response(&self.replica.status()))
    }

    fn problem(&self, error: &Error) -> Problem {
        match error {
            Error::Refused(replica::Error::NotLeader { .. }) => {
                let leader = self.replica.leader().err().flatten();
                let leader = leader.as_deref().unwrap_or("not known");
                Problem::busy(&format!("{error}; the leader is {leader}"))
            }
            Error::Refused(replica::Error::ChangeInProgress | replica::Error::Halted(_))
            | Error::Busy => Problem::busy(&error.to_string()),
            Error::Unknown => Problem::new(
                503,
                "not known",
                &format!("{error}; send the same change again"),
            ),
            Error::Refused(_) => Problem::new(409, "conflict", &error.to_string()),
            Error::Invalid { .. } => Problem::bad(&error.to_string()),
        }
    }
}

impl<H: Handler> Handler for MembersApi<H> {
    async fn handle(&self, request: Request) -> Response {
        if request.uri().path() != PATH {
            return self.next.handle(request).await;
        }
        match *request.method() {
            Method::GET => status_response(&self.replica.status()),
            Method::POST => {
                let changed = self.change(request).await;
                changed.unwrap_or_else(|problem| problem.respond())
            }
            _ => Problem::new(405, "method not allowed", "use GET or POST").respond(),
        }
    }
}

fn status_response(status: &Status) -> Response {
    let peers = status.members.peers().iter();
    let members: Vec<Value> = peers
        .map(|peer| {
            json!({
                "id": peer.id().map(|id| id.to_string()),
                "peer": peer.address,
                "voter": peer.voter,
                "replaces": peer.replaces().map(|id| id.to_string()),
            })
        })
        .collect();
    let body = json!({
        "id": status.id.to_string(),
        "role": status.role.to_string(),
        "term": status.term,
        "initialized": status.initialized,
        "leader": status.leader,
        "leads": status.leads(),
        "commit": status.commit,
        "members": members,
    });
    serve::json(&body)
}
