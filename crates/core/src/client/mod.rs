//! HTTP client with pooled keep-alive connections, and single connections.
//!
//! When requests are sent at a fixed rate, opening a connection for each would cost
//! more than the request itself. Commands that make single calls use `oxhttp` instead,
//! whose client closes its connection after each request.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

mod base_url;
mod connection;

pub(crate) use base_url::BaseUrl;
pub(crate) use connection::Connection;

/// Size limit of an answer's body, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time after which an unused connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The cause of an [`Error`].
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a request got no complete answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection is open, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(Cause),
    /// The connection failed after the request may have been sent.
    #[error("connection failed: {0}")]
    Broken(Cause),
    /// The answer's body was cut short or is too long.
    #[error("cannot read the answer: {0}")]
    Body(Cause),
    /// No complete answer arrived in time.
    #[error("no answer within {}", humantime::format_duration(*.0))]
    Timeout(Duration),
}

impl Error {
    /// Whether nothing listens at the address: the process there has ended.
    pub(crate) fn is_refused(&self) -> bool {
        let Error::Connect(error) = self else {
            return false;
        };
        let mut cause: Option<&dyn std::error::Error> = Some(error.as_ref());
        while let Some(error) = cause {
            let io = error.downcast_ref::<std::io::Error>();
            if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
                return true;
            }
            cause = error.source();
        }
        false
    }
}

/// A result whose error is why there is no complete answer.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// An answer with its complete body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends requests over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Builds a client with an empty pool.
    pub(crate) fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Client { inner }
    }

    /// Sends the request and reads the complete answer. `timeout` covers both.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer> {
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let answer = self.inner.request(request).await.map_err(classify_error)?;
        read_answer(answer).await
    }
}

/// Reads the rest of an answer.
async fn read_answer(answer: http::Response<Incoming>) -> Result<Answer> {
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(Error::Body)?;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

fn classify_error(error: hyper_util::client::legacy::Error) -> Error {
    if error.is_connect() {
        Error::Connect(error.into())
    } else {
        Error::Broken(error.into())
    }
}
