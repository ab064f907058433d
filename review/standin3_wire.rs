//! HTTP/1.1 and JSON for the stand-ins of this review, with the standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_micros(200);

/// A JSON value. Numbers are kept as `f64`: all that are read here are below 2^53.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn read(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let length = rest
            .iter()
            .take_while(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
            .count();
        self.at += length;
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.take(b':')?;
            fields.insert(key, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            self.at += 4;
                            let char = char::from_u32(code)?;
                            text.extend(char.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                _ => text.push(byte),
            }
        }
    }
}

/// Text as a JSON string.
pub fn quoted(text: &str) -> String {
    format!("{text:?}")
}

/// A request as read. No case needs its method.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    /// With names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// An answer, or why there is none, for the record.
pub fn told(answer: &io::Result<Response>) -> String {
    match answer {
        Ok(Response { status, body }) => format!("{status} {}", body.trim_end()),
        Err(error) => format!("no answer: {error}"),
    }
}

/// The lines up to the empty one, and the body that `content-length` tells.
fn read_message(
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<(String, BTreeMap<String, String>, String)>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// A server, until it is closed.
#[derive(Clone, Debug, Default)]
pub struct Server {
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves connections with a thread each. No answer closes the connection.
    pub fn start(
        listener: TcpListener,
        handle: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let server = Server::default();
        let accepting = server.clone();
        let handle = Arc::new(handle);
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !accepting.closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                accepting.keep(&stream);
                let handle = handle.clone();
                // Whoever called notices a failed connection itself.
                thread::spawn(move || serve_connection(stream, &*handle));
            }
        });
        Ok(server)
    }

    fn keep(&self, stream: &TcpStream) {
        let Ok(stream) = stream.try_clone() else {
            return;
        };
        let mut open = self.open.lock().expect("no thread panics with the lock");
        // Those of callers that have left.
        open.retain(|stream| stream.peer_addr().is_ok());
        open.push(stream);
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let mut open = self.open.lock().expect("no thread panics with the lock");
        for stream in open.drain(..) {
            // The caller may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handle: &impl Fn(Request) -> Option<(u16, String)>,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let request = Request {
            path: first.split(' ').nth(1).unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handle(request) else {
            return Ok(());
        };
        let length = body.len();
        let message = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        writer.write_all(message.as_bytes())?;
    }
    Ok(())
}

/// Opens a connection and sends a request on it.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut message = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        message += &format!("host: {to}\r\n");
    }
    for (name, value) in headers {
        message += &format!("{name}: {value}\r\n");
    }
    let length = body.len();
    message += &format!("content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(message.as_bytes())?;
    Ok(stream)
}

/// Waits for the response on a connection, at most for `timeout` in all.
pub fn receive(stream: TcpStream, timeout: Duration) -> io::Result<Response> {
    stream.set_read_timeout(Some(timeout))?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader)?;
    let (first, _, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Response { status, body })
}

/// One request and its response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    receive(send(to, method, path, headers, body)?, timeout)
}

/// Asks every 20 ms until there is an answer, at most for `timeout`.
pub fn wait_for<T>(timeout: Duration, mut ask: impl FnMut() -> Option<T>) -> Option<T> {
    let give_up_at = Instant::now() + timeout;
    loop {
        if let Some(answer) = ask() {
            return Some(answer);
        }
        if Instant::now() >= give_up_at {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
