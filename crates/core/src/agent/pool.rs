//! Pool of keep-alive HTTP/1.1 connections to one upstream, limited to the number that
//! the upstream allows.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::panics::Mutex;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

type Body = Full<Bytes>;

/// Why a call to an upstream got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// Nothing was sent.
    Unsent,
    /// At least a part of the request was sent, but no complete answer arrived.
    Lost,
}

/// A result whose error tells whether the request was sent.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// A pool of at most `connections` connections to `address`.
    pub(crate) fn new(address: SocketAddr, connections: u32) -> Pool {
        Pool {
            address,
            permits: Arc::new(Semaphore::new(connections as usize)),
            idle: Mutex::default(),
        }
    }

    /// Sends one request and reads the whole answer. If the future is dropped, its
    /// connection closes, so that no later request can get the wrong answer.
    pub(crate) async fn call(
        &self,
        mut request: http::Request<Body>,
    ) -> Result<http::Response<Bytes>> {
        loop {
            let (mut connection, reused) = self.acquire().await?;
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let response = read_body(response).await?;
                    self.release(connection);
                    return Ok(response);
                }
                Err(mut error) => match error.take_message() {
                    // The upstream closed an idle connection before the request was sent.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(Error::Unsent),
                    None => return Err(Error::Lost),
                },
            }
        }
    }

    /// Returns an idle connection or opens one, and whether the connection was idle.
    async fn acquire(&self) -> Result<(Connection, bool)> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok((connection, true));
            }
        }
        Ok((self.connect().await?, false))
    }

    fn pop_idle(&self) -> Option<Connection> {
        self.idle().pop()
    }

    fn release(&self, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle().push(connection);
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock()
    }

    async fn connect(&self) -> Result<Connection> {
        let permit = self.permits.clone().try_acquire_owned();
        let permit = permit.map_err(|_| Error::Unsent)?;
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| Error::Unsent)?;
        stream.set_nodelay(true).map_err(|_| Error::Unsent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| Error::Unsent)?;
        tokio::spawn(async move {
            // The sender reports a broken connection to its caller.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            _permit: permit,
        })
    }
}

async fn read_body(
    response: http::Response<hyper::body::Incoming>,
) -> Result<http::Response<Bytes>> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| Error::Lost)?;
    Ok(http::Response::from_parts(head, body.to_bytes()))
}
