//! Reading a request's body within a size and a time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gentian::wire::outcome::Outcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::Problem;

/// How much of a body that is too long is read and thrown away. A connection
/// that is closed on unread bytes is reset, and its client may then see the reset
/// in place of the answer.
const DISCARDED_BYTES: usize = 4 << 20;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unread {
    /// It is longer than the limit, in bytes.
    Long(usize),
    /// It did not come whole within the time limit.
    Slow,
    /// The connection broke.
    Broken,
}

impl From<Unread> for Problem {
    fn from(unread: Unread) -> Problem {
        // Whoever asks reads the body first, so that nothing was started.
        let problem = match unread {
            Unread::Long(limit) => {
                let detail = format!("the body is longer than {limit} bytes");
                Problem::new(413, "body too large", &detail)
            }
            Unread::Slow => Problem::new(408, "body too slow", "the body did not come in time"),
            Unread::Broken => Problem::new(400, "body cut short", "the body ended early"),
        };
        problem.outcome(Outcome::NotRun)
    }
}

/// Reads a whole body of at most `limit` bytes within `time`.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, Unread> {
    let most = limit.saturating_add(DISCARDED_BYTES);
    if body.size_hint().lower() > most as u64 {
        return Err(Unread::Long(limit));
    }
    let whole = tokio::time::timeout(time, collect(body, limit, most));
    whole.await.unwrap_or(Err(Unread::Slow))
}

async fn collect(mut body: Incoming, limit: usize, most: usize) -> Result<Bytes, Unread> {
    let mut whole = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Unread::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > most {
            break;
        }
        if length <= limit {
            whole.extend_from_slice(&data);
        }
    }
    match length <= limit {
        true => Ok(whole.freeze()),
        false => Err(Unread::Long(limit)),
    }
}

/// Refuses a request that tells no length of its body: one that was cut off
/// would look like one without a body.
pub(crate) fn require_length(headers: &HeaderMap) -> Result<(), Problem> {
    if headers.contains_key("content-length") || headers.contains_key("transfer-encoding") {
        return Ok(());
    }
    let detail = "header content-length or transfer-encoding is missing";
    Err(Problem::new(411, "length required", detail).outcome(Outcome::NotRun))
}
