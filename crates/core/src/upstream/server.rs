//! HTTP server of the example upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::execution_counts::ExecutionCounts;
use super::Mode;

const TASK_HEADER: HeaderName = HeaderName::from_static("x-task");
const RUN_MS_HEADER: HeaderName = HeaderName::from_static("x-run-ms");
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_RUN_TIME: Duration = Duration::from_secs(60);
const SLOW_FACTOR: u32 = 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type Answer = Response<Full<Bytes>>;

/// Error that closes a task's connection instead of answering; see [`Mode::Reset`].
#[derive(Debug, thiserror::Error)]
#[error("connection reset on purpose")]
struct Reset;

/// The part of a JSON body that sets the task's run time.
#[derive(Deserialize)]
struct RunTime {
    run_ms: u64,
}

/// Accepts connections and answers their requests.
#[derive(Debug)]
pub(super) struct Server {
    listener: TcpListener,
    handler: Handler,
}

impl Server {
    pub(super) fn new(listener: TcpListener, mode: Mode, counts: Arc<ExecutionCounts>) -> Server {
        let handler = Handler { mode, counts };
        Server { listener, handler }
    }

    /// Serves until `close` turns true, then finishes the open requests.
    pub(super) async fn run(self, mut close: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = close.wait_for(|closed| *closed) => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, &graceful),
                // Most likely out of file descriptors; others will be closed soon.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    fn serve(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { handler.answer(request).await }
        });
        // Without this option, answers may be delayed but are still correct.
        let _ = stream.set_nodelay(true);
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        // Errors need no handling here: the client sees the broken connection, too.
        tokio::spawn(async move { watched.await.ok() });
    }
}

#[derive(Clone, Debug)]
struct Handler {
    mode: Mode,
    counts: Arc<ExecutionCounts>,
}

impl Handler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Reset> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/executions") => Ok(self.executions()),
            (&Method::POST, _) => self.execute(request).await,
            _ => Ok(plain(
                StatusCode::METHOD_NOT_ALLOWED,
                "POST a task, or GET /executions",
            )),
        }
    }

    fn executions(&self) -> Answer {
        match serde_json::to_vec(&self.counts.summary()) {
            Ok(json) => json_answer(json),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Result<Answer, Reset> {
        let (parts, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return Ok(plain(StatusCode::BAD_REQUEST, "body cut short or too long"));
        };
        let body = body.to_bytes();
        let task = parts
            .headers
            .get(TASK_HEADER)
            .and_then(|task| task.to_str().ok());
        let _running = self.counts.begin(task);
        self.sleep(run_time(&parts.headers, &body)).await;
        match self.mode {
            Mode::Fail => Ok(plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed on purpose",
            )),
            Mode::Reset => Err(Reset),
            Mode::Normal | Mode::Slow => Ok(echo(&parts.headers, body)),
        }
    }

    async fn sleep(&self, run_time: Duration) {
        let run_time = match self.mode {
            Mode::Fail => Duration::ZERO,
            Mode::Slow => run_time * SLOW_FACTOR,
            Mode::Normal | Mode::Reset => run_time,
        };
        if run_time.is_zero() {
            return;
        }
        // Sleeps on a thread, since the runtime's timers round up to whole milliseconds,
        // which would distort the response ratio of short tasks. The join fails only if
        // the thread panics.
        let _ = tokio::task::spawn_blocking(move || std::thread::sleep(run_time)).await;
    }
}

/// The run time from the header or else from the JSON body, limited to [`MAX_RUN_TIME`].
/// Zero if neither names one.
fn run_time(headers: &HeaderMap, body: &[u8]) -> Duration {
    let from_header = headers
        .get(RUN_MS_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let from_body = || serde_json::from_slice(body).map(|body: RunTime| body.run_ms);
    let millis = from_header.or_else(|| from_body().ok()).unwrap_or(0);
    Duration::from_millis(millis).min(MAX_RUN_TIME)
}

fn echo(headers: &HeaderMap, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    for name in [TASK_HEADER, header::CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    answer
}

fn json_answer(json: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(json)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *answer.status_mut() = status;
    answer
}
