//! Malformed, oversized and slow input: each gets a clear error and starts no task.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use support::system::System;
use support::{call, WAIT_TIMEOUT};

const HEADERS: [(&str, &str); 2] = [("x-service", "demo"), ("x-team", "barn")];

/// Sends raw bytes in parts, with a pause after each, and reads until the connection
/// is closed.
fn send_raw(address: &str, parts: &[&str], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).expect("the connection opens");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("the timeout is set");
    for part in parts {
        // The server may have closed the connection already.
        let _ = stream.write_all(part.as_bytes());
        thread::sleep(pause);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    support::text(&answer)
}

/// A request header up to the body, with additional header lines.
fn request_header(more: &str) -> String {
    format!(
        "POST /v1/requests HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         x-service: demo\r\nx-team: barn\r\n{more}\r\n"
    )
}

/// Defines tests in which one header has a wrong value or is missing: the request is
/// refused with a status and message and runs nothing.
macro_rules! refused {
    ($($name:ident: $field:literal = $value:expr => $status:literal, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let system = System::start(1);
            let before = system.executions(0, "total");
            let kept = HEADERS.into_iter().filter(|pair| pair.0 != $field);
            let value: Option<&str> = $value;
            let headers: Vec<_> = kept.chain(value.map(|value| ($field, value))).collect();
            let (status, body) = system.request(&headers, "{}");
            assert_eq!($status, status.as_u16(), "{body}");
            assert!(body.contains($message), "{body}");
            assert!(body.contains("\"outcome\":\"not_run\""), "{body}");
            assert_eq!(before, system.executions(0, "total"));
        }
    )*};
}

refused! {
    service_missing: "x-service" = None => 400, "header x-service is missing";
    service_malformed: "x-service" = Some("a b") => 400, "header x-service: name";
    team_missing: "x-team" = None => 400, "header x-team is missing";
    deadline_unreadable: "x-deadline" = Some("soon") => 400, "header x-deadline is";
    deadline_of_zero: "x-deadline" = Some("0s") => 400, "1ms to 5m is allowed";
    deadline_too_far: "x-deadline" = Some("1h") => 400, "1ms to 5m is allowed";
    idempotent_unreadable: "x-idempotent" = Some("maybe") => 400, "true and false are allowed";
    service_unknown: "x-service" = Some("nowhere") => 503, "no_upstream";
}

#[test]
fn body_over_the_limit_is_refused() {
    let system = System::start(1);
    let before = system.executions(0, "total");
    let (status, body) = system.request(&HEADERS, &"x".repeat((1 << 20) + 1));
    assert_eq!(413, status.as_u16(), "{body}");
    assert!(body.contains("longer than 1048576 bytes"), "{body}");
    assert_eq!(before, system.executions(0, "total"));
}

#[test]
fn chunked_body_over_the_limit_is_refused() {
    let system = System::start(1);
    let before = system.executions(0, "total");
    let head = request_header("transfer-encoding: chunked\r\n");
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(0x10_0000));
    let parts = [head.as_str(), &chunk, "1\r\nx\r\n0\r\n\r\n"];
    let answer = send_raw(&system.entry_addresses[0], &parts, Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(before, system.executions(0, "total"));
}

#[test]
fn truncated_body_starts_nothing() {
    let system = System::start(1);
    let before = system.executions(0, "total");
    let mut stream = TcpStream::connect(&system.entry_addresses[0]).expect("the connection opens");
    let head = request_header("content-length: 10\r\n");
    stream
        .write_all(format!("{head}{{}}").as_bytes())
        .expect("the request is sent");
    drop(stream);
    let (status, _) = system.request(&HEADERS, "{}");
    assert_eq!(200, status.as_u16());
    assert_eq!(before + 1, system.executions(0, "total"));
}

#[test]
fn slow_body_is_refused_after_the_body_timeout() {
    let system = System::start(1);
    let before = system.executions(0, "total");
    let start = Instant::now();
    let head = request_header("content-length: 10\r\n");
    let answer = send_raw(&system.entry_addresses[0], &[&head, "{"], Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("x-outcome: not_run"), "{answer}");
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(before, system.executions(0, "total"));
}

#[test]
fn missing_length_is_refused() {
    let system = System::start(1);
    let before = system.executions(0, "total");
    for path in ["/v1/requests", "/v1/jobs"] {
        let header = request_header("").replace("/v1/requests", path);
        let answer = send_raw(&system.entry_addresses[0], &[&header], Duration::ZERO);
        assert!(answer.starts_with("HTTP/1.1 411"), "{path}: {answer}");
        assert!(answer.contains("x-outcome: not_run"), "{path}: {answer}");
    }
    assert_eq!(before, system.executions(0, "total"));
}

#[test]
fn malformed_http_is_refused() {
    let system = System::start(1);
    let parts = ["cow cow cow\r\n\r\n"];
    let answer = send_raw(&system.entry_addresses[0], &parts, Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[test]
fn connection_with_a_slow_header_is_closed() {
    let system = System::start(1);
    let start = Instant::now();
    let part = "POST /v1/requests HTTP/1.1\r\nhost: h\r\n";
    send_raw(&system.entry_addresses[0], &[part], Duration::ZERO);
    assert!(start.elapsed() < Duration::from_secs(10));
}

#[test]
fn wrong_method_or_path_is_refused() {
    let system = System::start(1);
    let url = format!("http://{}", system.entry_addresses[0]);
    for (method, path, expected) in [
        ("GET", "/v1/requests", 405),
        ("PUT", "/v1/requests", 405),
        ("POST", "/v2/requests", 404),
        ("DELETE", "/metrics", 404),
    ] {
        let (status, body) = call(method, &format!("{url}{path}"), &HEADERS, "");
        assert_eq!(expected, status.as_u16(), "{method} {path}: {body}");
        assert!(body.contains("\"title\""), "{body}");
    }
}

#[test]
fn announcements_are_validated() {
    let system = System::start(1);
    let url = format!("http://{}/v1/announce", system.agent_addresses[0]);
    let valid = r#"{"service":"other","address":"127.0.0.1:9","slots":8,"connections":64}"#;
    assert_eq!(204, call("POST", &url, &[], valid).0.as_u16());
    for (from, to, expected) in [
        ("\"slots\":8", "\"slots\":0", "slots must be at least 1"),
        (
            "\"connections\":64",
            "\"connections\":4",
            "connections must be at least slots",
        ),
        ("\"slots\":8", "\"slots\":-8", "invalid value"),
        ("127.0.0.1:9", "here", "invalid socket address"),
        (
            "\"service\"",
            "\"colour\":1,\"service\"",
            "unknown field `colour`",
        ),
        ("}", "", "EOF while parsing"),
    ] {
        let (status, body) = call("POST", &url, &[], &valid.replace(from, to));
        assert_eq!(400, status.as_u16(), "{body}");
        assert!(body.contains(expected), "no {expected} in {body}");
    }
}
