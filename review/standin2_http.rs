//! HTTP/1.1 over blocking sockets: a client for one call a connection, and a server with a
//! thread for each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request's or an answer's first line, headers and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
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
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").unwrap_or("0").parse();
    let mut body = vec![0; length.map_err(|_| io::ErrorKind::InvalidData)?];
    stream.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let length = body.len();
    head += &format!("content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Serves a listener; `answer` returns status and body, or none to close the connection.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    let Some((status, body)) = answer(&request) else {
                        return;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
