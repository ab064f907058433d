//! The HTTP/1.1 server that every role uses.
//!
//! hyper rather than oxhttp: the latter can't be stopped, gives a slow sender a
//! thread for as long as it likes, and stops accepting at its connection limit
//! instead of answering. Here a connection beyond the limit is answered with 503,
//! a header and a body have a time limit each, and a stop lets every request in
//! progress finish.

mod body;
mod page;
mod problem;

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
pub(crate) use page::{json, respond, text};
pub(crate) use problem::Problem;

/// A request as it comes from the network.
pub(crate) type Request = http::Request<Incoming>;
/// A whole response.
pub(crate) type Response = http::Response<Full<Bytes>>;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the requests of one server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; an error is a response too.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// A listening server that has not started to accept.
#[derive(Debug)]
pub(crate) struct Server {
    listener: TcpListener,
    connections: usize,
    header_timeout: Duration,
}

impl Server {
    /// Listens on `address`; port 0 takes a free one.
    pub(crate) async fn bind(address: SocketAddr, connections: usize) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        Ok(Server {
            listener,
            connections,
            header_timeout: HEADER_TIMEOUT,
        })
    }

    /// Sets the longest time for a request's header to come whole.
    pub(crate) fn header_timeout(mut self, timeout: Duration) -> Server {
        self.header_timeout = timeout;
        self
    }

    /// The address that it listens on.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` turns true, then finishes the requests in progress.
    pub(crate) async fn serve<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.connections));
        let time = self.header_timeout;
        loop {
            let stream = tokio::select! {
                accepted = self.listener.accept() => accepted.map(|pair| pair.0),
                _ = stop.wait_for(|stop| *stop) => break,
            };
            match stream {
                Ok(stream) => connect(stream, handler.clone(), time, &graceful, &permits),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

/// The connections of a peer listener.
///
/// tonic's own `tcp_nodelay` has no effect on a listener that is handed in, and
/// without it an answer may wait 40 ms for a delayed acknowledgement.
pub(crate) fn peer_incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

fn connect<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    header_timeout: Duration,
    graceful: &GracefulShutdown,
    permits: &Arc<Semaphore>,
) {
    let permit = permits.clone().try_acquire_owned().ok();
    let full = permit.is_none();
    let service = service_fn(move |request: Request| {
        let handler = handler.clone();
        async move {
            let response = match full {
                true => Problem::busy("too many connections").respond(),
                false => handler.handle(request).await,
            };
            Ok::<_, Infallible>(response)
        }
    });
    // Nothing can be done about a socket that refuses the option.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .keep_alive(!full)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A broken connection is the caller's to notice.
        let _ = connection.await;
        drop(permit);
    });
}
