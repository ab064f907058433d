//! The HTTP/1.1 server that every role uses.
//!
//! Connections beyond the limit are answered with 503, headers and bodies have a
//! time limit each, and a graceful shutdown lets the requests in progress finish.
//!
//! It uses hyper rather than oxhttp, which can't be shut down, occupies a thread for
//! each slow sender without a time limit, and stops accepting at its connection
//! limit instead of answering.

mod body;
mod problem;
mod response;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tonic::transport::server::TcpIncoming;

pub(crate) use body::{read_body, require_length};
pub(crate) use problem::Problem;
pub(crate) use response::{json, respond, text};

/// A request whose body has not been read yet.
pub(crate) type Request = http::Request<Incoming>;
/// A response with its complete body.
pub(crate) type Response = http::Response<Full<Bytes>>;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed `accept`, for example if the process has run out of file
/// descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to one request; errors are responses as well.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// A server that is bound but doesn't accept connections yet.
#[derive(Debug)]
pub(crate) struct Server {
    listener: TcpListener,
    max_connections: usize,
    header_timeout: Duration,
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    pub(crate) async fn bind(address: SocketAddr, max_connections: usize) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        Ok(Server {
            listener,
            max_connections,
            header_timeout: HEADER_TIMEOUT,
        })
    }

    /// Sets the time within which a request's header must be complete.
    pub(crate) fn header_timeout(mut self, timeout: Duration) -> Server {
        self.header_timeout = timeout;
        self
    }

    /// Returns the address it listens on.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` turns true, then finishes the requests in progress.
    pub(crate) async fn serve<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.max_connections));
        let header_timeout = self.header_timeout;
        loop {
            let stream = tokio::select! {
                accepted = self.listener.accept() => accepted.map(|pair| pair.0),
                _ = stop.wait_for(|stop| *stop) => break,
            };
            match stream {
                Ok(stream) => {
                    serve_connection(stream, handler.clone(), header_timeout, &graceful, &permits)
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

/// Accepts the gRPC connections of a peer listener, with `TCP_NODELAY` set.
///
/// tonic's own `tcp_nodelay` has no effect on a listener that is passed in. Without
/// the option a response may wait 40 ms for a delayed acknowledgement.
pub(crate) fn peer_incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    header_timeout: Duration,
    graceful: &GracefulShutdown,
    permits: &Arc<Semaphore>,
) {
    let permit = permits.clone().try_acquire_owned().ok();
    let over_limit = permit.is_none();
    let service = service_fn(move |request: Request| {
        let handler = handler.clone();
        async move {
            let response = match over_limit {
                true => Problem::busy("too many connections").respond(),
                false => handler.handle(request).await,
            };
            Ok::<_, Infallible>(response)
        }
    });
    // Without the option the connection is only slower.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .keep_alive(!over_limit)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The client notices a failed connection itself.
        let _ = connection.await;
        drop(permit);
    });
}
