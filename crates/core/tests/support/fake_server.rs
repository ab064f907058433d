//! An HTTP server that stands in for another process.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;

use super::{text, WAIT_TIMEOUT};

/// Status that makes a [`FakeServer`] close the connection without an answer, and that
/// stands for a call that got none.
pub(crate) const NO_ANSWER: u16 = 0;

/// An HTTP server that records requests as `METHOD PATH BODY` and answers each
/// with the status and body that a function returns for it.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    pub(crate) requests: mpsc::Receiver<String>,
    listener: Listener,
}

/// Accepts connections at one address while it is open.
#[derive(Clone)]
pub(crate) struct Listener {
    address: SocketAddr,
    /// Whether connections are accepted.
    open: Arc<AtomicBool>,
    /// The connections that were accepted since the last [`Listener::disconnect`].
    accepted: Arc<Mutex<Vec<Arc<TcpStream>>>>,
    /// Serves one connection.
    serve: Arc<dyn Fn(TcpStream) + Send + Sync>,
}

impl Listener {
    fn accept_from(&self, listener: TcpListener) {
        let (open, serve) = (self.open.clone(), self.serve.clone());
        let accepted = self.accepted.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !open.load(Ordering::SeqCst) {
                    return;
                }
                let kept = Arc::new(stream.try_clone().expect("the stream is cloned"));
                accepted
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(kept.clone());
                let serve = serve.clone();
                thread::spawn(move || {
                    serve(stream);
                    // The peer may have closed it.
                    let _ = kept.shutdown(Shutdown::Both);
                });
            }
        });
    }

    /// Refuses further connections, like a process that has ended.
    pub(crate) fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Closes all connections, as the end of their process does.
    pub(crate) fn disconnect(&self) {
        let mut accepted = self.accepted.lock().expect("the lock is not poisoned");
        for stream in accepted.drain(..) {
            // The peer may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections at the same address again.
    pub(crate) fn reopen(&self) {
        let listener = TcpListener::bind(self.address).expect("the address is free again");
        self.open.store(true, Ordering::SeqCst);
        self.accept_from(listener);
    }
}

impl FakeServer {
    /// Starts the server on a free port.
    pub(crate) fn start(
        answer: impl Fn(&str) -> (u16, String) + Send + Sync + 'static,
    ) -> FakeServer {
        FakeServer::start_with_headers(move |request| {
            let (status, body) = answer(request);
            (status, String::new(), body)
        })
    }

    /// Starts a server whose answers have additional header lines, each of which ends
    /// in CRLF.
    pub(crate) fn start_with_headers(
        answer: impl Fn(&str) -> (u16, String, String) + Send + Sync + 'static,
    ) -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = mpsc::channel();
        let accepting = Listener {
            address,
            open: Arc::new(AtomicBool::new(true)),
            accepted: Arc::default(),
            serve: Arc::new(move |stream| serve(stream, &sender, &answer)),
        };
        accepting.accept_from(listener);
        FakeServer {
            address,
            requests,
            listener: accepting,
        }
    }

    /// The server's listener, with which it can be taken down and up again.
    pub(crate) fn listener(&self) -> Listener {
        self.listener.clone()
    }

    /// Waits for the next request that starts with `prefix`; discards others.
    pub(crate) fn next_request(&self, prefix: &str) -> String {
        loop {
            let request = self
                .requests
                .recv_timeout(WAIT_TIMEOUT)
                .expect("a request arrives in time");
            if request.starts_with(prefix) {
                return request;
            }
        }
    }
}

/// Answers the requests of one connection.
fn serve(
    stream: TcpStream,
    sender: &mpsc::Sender<String>,
    answer: &(impl Fn(&str) -> (u16, String, String) + ?Sized),
) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let (status, headers, body) = answer(&request);
        let _ = sender.send(request);
        if status == NO_ANSWER {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a request as `METHOD PATH BODY`; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = first.trim().trim_end_matches(" HTTP/1.1");
    Some(format!("{line} {}", text(&body)))
}
