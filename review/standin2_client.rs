//! Clients, which hand in jobs that need not be stored.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http;
use crate::record::Record;

const HOST: &str = "farm.example";
const PREFIX: &str = "/stalls/";

/// Hands in a job on a connection of its own; returns the status, 0 without an answer.
pub fn submit(
    record: &Record,
    to: SocketAddr,
    id: &str,
    spec: &str,
    steps: &str,
    deadline: Duration,
) -> JoinHandle<u16> {
    let (record, id) = (record.clone(), id.to_owned());
    let body = format!("{{\"best-effort\":true,\"spec\":\"{spec}\",\"steps\":{steps}}}");
    thread::spawn(move || {
        let deadline_ms = deadline.as_millis().to_string();
        let headers = [("host", HOST), ("deadline-ms", deadline_ms.as_str())];
        record.line(&format!("client: POST {id} to {to}: {body}"));
        let path = format!("{PREFIX}{id}");
        match http::call(to, "POST", &path, &headers, &body, deadline) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                record.say(&format!(
                    "client: {id} is answered {}: {text}",
                    answer.status()
                ));
                answer.status()
            }
            Err(error) => {
                record.say(&format!("client: {id} got no answer: {error}"));
                0
            }
        }
    })
}
