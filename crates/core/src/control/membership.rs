//! `/v1/members`: the control instances as operators see and change them.

use std::net::SocketAddr;
use std::time::Duration;

use gentian::quorum::replica;
use http::Method;
use serde::Deserialize;
use serde_json::{json, Value};

use super::replica::{Error, Handle, Request as Change, Status};
use crate::serve::{self, Handler, Problem, Request, Response};

const PATH: &str = "/v1/members";
const BODY_BYTES: usize = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers `/v1/members` and hands everything else on.
#[derive(Debug)]
pub(crate) struct Membership<H> {
    replica: Handle,
    next: H,
}

/// What there is to be: the first instances, or one more, one less, or both.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Body {
    init: Vec<SocketAddr>,
    add: Option<SocketAddr>,
    remove: Option<SocketAddr>,
}

impl<H: Handler> Membership<H> {
    pub(crate) fn new(replica: Handle, next: H) -> Membership<H> {
        Membership { replica, next }
    }

    async fn change(&self, request: Request) -> Result<Response, Problem> {
        let body = serve::read_body(request.into_body(), BODY_BYTES, BODY_TIMEOUT).await?;
        let body: Body = serde_json::from_slice(&body)
            .map_err(|error| Problem::bad(&format!("the change is unreadable: {error}")))?;
        let changed = match (&body.init[..], body.add, body.remove) {
            ([], Some(new), Some(old)) => self.replica.change(Change::Replace(old, new)).await,
            ([], Some(new), None) => self.replica.change(Change::Add(new)).await,
            ([], None, Some(old)) => self.replica.change(Change::Remove(old)).await,
            ([_, ..], None, None) => self.replica.init(&body.init).await,
            _ => {
                return Err(Problem::bad(
                    "the change needs either init, or add and remove",
                ))
            }
        };
        changed.map_err(|error| self.problem(&error))?;
        Ok(respond(&self.replica.status()))
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
            Error::Unknown => Problem::new(503, "not known", &format!("{error}; send it again")),
            Error::Refused(_) => Problem::new(409, "conflict", &error.to_string()),
            Error::Invalid { .. } => Problem::bad(&error.to_string()),
        }
    }
}

impl<H: Handler> Handler for Membership<H> {
    async fn handle(&self, request: Request) -> Response {
        if request.uri().path() != PATH {
            return self.next.handle(request).await;
        }
        match *request.method() {
            Method::GET => respond(&self.replica.status()),
            Method::POST => {
                let changed = self.change(request).await;
                changed.unwrap_or_else(|problem| problem.respond())
            }
            _ => Problem::new(405, "method not allowed", "allowed are GET and POST").respond(),
        }
    }
}

fn respond(status: &Status) -> Response {
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
