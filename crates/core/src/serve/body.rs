//! Reading a request's body within a size and a time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::Problem;

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
        match unread {
            Unread::Long(limit) => {
                let detail = format!("the body is longer than {limit} bytes");
                Problem::new(413, "body too large", &detail)
            }
            Unread::Slow => Problem::new(408, "body too slow", "the body did not come in time"),
            Unread::Broken => Problem::new(400, "body cut short", "the body ended early"),
        }
    }
}

/// Reads a whole body of at most `limit` bytes within `time`.
pub(crate) async fn read(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Unread> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Unread::Long(limit));
    }
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Unread::Long(limit)),
        Ok(Err(_)) => Err(Unread::Broken),
        Err(_) => Err(Unread::Slow),
    }
}
