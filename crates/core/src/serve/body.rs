//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gentian::wire::outcome::Outcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::Problem;

/// Bytes beyond the limit that are read and discarded. Closing a connection with
/// unread bytes resets it, and the client may then see the reset instead of the
/// response.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// It is longer than this limit, in bytes.
    TooLong(usize),
    /// It was not complete within the time limit.
    TimedOut,
    /// The connection failed before the end of the body.
    Interrupted,
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Problem {
        // Handlers read the body before they start anything.
        let problem = match error {
            BodyError::TooLong(limit) => {
                let detail = format!("the body is longer than {limit} bytes");
                Problem::new(413, "body too large", &detail)
            }
            BodyError::TimedOut => Problem::new(
                408,
                "body too slow",
                "the body was not received within the time limit",
            ),
            BodyError::Interrupted => Problem::new(
                400,
                "body cut short",
                "the connection failed before the end of the body",
            ),
        };
        problem.outcome(Outcome::NotRun)
    }
}

/// Reads a complete body of at most `limit` bytes within `timeout`.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let max_read = limit.saturating_add(MAX_DISCARDED_BYTES);
    if body.size_hint().lower() > max_read as u64 {
        return Err(BodyError::TooLong(limit));
    }
    let bytes = tokio::time::timeout(timeout, collect(body, limit, max_read));
    bytes.await.unwrap_or(Err(BodyError::TimedOut))
}

async fn collect(mut body: Incoming, limit: usize, max_read: usize) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > max_read {
            break;
        }
        if length <= limit {
            bytes.extend_from_slice(&data);
        }
    }
    match length <= limit {
        true => Ok(bytes.freeze()),
        false => Err(BodyError::TooLong(limit)),
    }
}

/// Rejects a request with neither a content length nor a transfer encoding: HTTP/1.1
/// takes its body to be empty, so a lost body could not be detected.
pub(crate) fn require_length(headers: &HeaderMap) -> Result<(), Problem> {
    if headers.contains_key("content-length") || headers.contains_key("transfer-encoding") {
        return Ok(());
    }
    let detail = "header content-length or transfer-encoding is missing";
    Err(Problem::new(411, "length required", detail).outcome(Outcome::NotRun))
}
