//! A single keep-alive connection, for requests that must all reach the same process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, HOST};
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::{read_answer, Answer, Error, Result};

/// An open connection. It is closed when dropped.
///
/// A process that ends takes its connections with it, so that all answers on one connection
/// come from the same process, and a request on it reaches that process or none.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Value of the `Host` header.
    host: HeaderValue,
    /// Moves the bytes.
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address` within `timeout`.
    pub(crate) async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        tokio::time::timeout(timeout, Connection::connect(address))
            .await
            .unwrap_or_else(|elapsed| Err(Error::Connect(elapsed.into())))
    }

    async fn connect(address: SocketAddr) -> Result<Connection> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| Error::Connect(error.into()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| Error::Connect(error.into()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::Connect(error.into()))?;
        let driver = tokio::spawn(async move {
            // The request in progress gets the same error.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        let host = HeaderValue::try_from(address.to_string());
        Ok(Connection {
            sender,
            host: host.expect("an address is a valid header value"),
            driver,
        })
    }

    /// Whether the peer has not closed it, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends the request, whose URI is a path, and reads the complete answer. `timeout` covers
    /// both. After an error the connection must not be used any more.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Answer> {
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn exchange(&mut self, request: Request<Bytes>) -> Result<Answer> {
        let ready = self.sender.ready().await;
        ready.map_err(|error| Error::Connect(error.into()))?;
        let mut request = request.map(Full::new);
        request.headers_mut().insert(HOST, self.host.clone());
        match self.sender.try_send_request(request).await {
            Ok(answer) => read_answer(answer).await,
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let error = error.into_error().into();
                Err(match was_sent {
                    true => Error::Broken(error),
                    false => Error::Connect(error),
                })
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
