//! Errors as JSON problem bodies (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use gentian::wire::outcome::Outcome;
use http_body_util::Full;
use serde::Serialize;

use super::Response;

/// An error that a caller is told.
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
    /// A problem with its HTTP status.
    pub(crate) fn new(status: u16, title: &str, detail: &str) -> Problem {
        Problem {
            status,
            title: title.to_owned(),
            detail: detail.to_owned(),
            outcome: None,
            retry_after_ms: None,
        }
    }

    /// The caller's request is wrong; nothing was started.
    pub(crate) fn bad(detail: &str) -> Problem {
        Problem::new(400, "bad request", detail).outcome(Outcome::NotRun)
    }

    /// Too much is in progress; nothing was started.
    pub(crate) fn busy(detail: &str) -> Problem {
        Problem::new(503, "busy", detail)
            .outcome(Outcome::NotRun)
            .retry_after(Duration::from_secs(1))
    }

    /// Names the outcome.
    pub(crate) fn outcome(mut self, outcome: Outcome) -> Problem {
        self.outcome = Some(outcome);
        self
    }

    /// Says when to come back.
    pub(crate) fn retry_after(mut self, after: Duration) -> Problem {
        self.retry_after_ms = Some(after.as_millis().try_into().unwrap_or(u64::MAX));
        self
    }

    /// The outcome that it tells; one that names none started nothing.
    pub(crate) fn outcome_or_not_run(&self) -> Outcome {
        self.outcome.unwrap_or(Outcome::NotRun)
    }

    /// The response that carries the problem.
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
