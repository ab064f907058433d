//! Error responses with JSON problem bodies (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use gentian::wire::outcome::Outcome;
use http_body_util::Full;
use serde::Serialize;

use super::Response;

/// An error response. The task's outcome and the retry delay, if set, are sent in
/// the body and as headers.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Problem {
    status: u16,
    title: String,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem with an HTTP status.
    pub(crate) fn new(status: u16, title: &str, detail: &str) -> Problem {
        Problem {
            status,
            title: title.to_owned(),
            detail: detail.to_owned(),
            outcome: None,
            retry_after_ms: None,
        }
    }

    /// Creates a 400 response to an invalid request, of which nothing was started.
    pub(crate) fn bad(detail: &str) -> Problem {
        Problem::new(400, "bad request", detail).outcome(Outcome::NotRun)
    }

    /// Creates a 503 response to a request that can't be served now and of which
    /// nothing was started. It may be sent again after a second.
    pub(crate) fn busy(detail: &str) -> Problem {
        Problem::new(503, "busy", detail)
            .outcome(Outcome::NotRun)
            .retry_after(Duration::from_secs(1))
    }

    /// Sets the outcome of the caller's task.
    pub(crate) fn outcome(mut self, outcome: Outcome) -> Problem {
        self.outcome = Some(outcome);
        self
    }

    /// Sets the delay after which the caller may retry.
    pub(crate) fn retry_after(mut self, after: Duration) -> Problem {
        self.retry_after_ms = Some(after.as_millis().try_into().unwrap_or(u64::MAX));
        self
    }

    /// Returns the outcome, which is [`Outcome::NotRun`] if none was set.
    pub(crate) fn outcome_or_not_run(&self) -> Outcome {
        self.outcome.unwrap_or(Outcome::NotRun)
    }

    /// Builds the HTTP response.
    pub(crate) fn respond(&self) -> Response {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut builder = http::Response::builder()
            .status(self.status)
            .header("content-type", "application/problem+json");
        if let Some(outcome) = self.outcome {
            builder = builder.header("x-outcome", outcome.to_string());
        }
        if let Some(millis) = self.retry_after_ms {
            builder = builder
                .header("retry-after", millis.div_ceil(1000).max(1))
                .header("x-retry-after-ms", millis);
        }
        builder
            .body(Full::new(Bytes::from(body)))
            .expect("a problem's headers are valid")
    }
}
