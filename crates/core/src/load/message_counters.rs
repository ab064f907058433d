//! Messages that the system has sent, read from its metrics.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::client::{Base, Client};

const TIMEOUT: Duration = Duration::from_secs(3);
const SENT: &str = "gentian_messages_total";
const WASTED: &str = "gentian_messages_wasted_total";

/// Sums of the message counters of all processes asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Messages {
    pub(super) sent: f64,
    pub(super) wasted: f64,
    /// Processes that told their counters.
    pub(super) sources: usize,
}

impl Messages {
    /// Reads the counters of the given processes, as far as they answer.
    pub(super) async fn read(bases: &[Base]) -> Messages {
        let client = Client::new();
        let mut sum = Messages::default();
        for base in bases {
            let request = Request::get(base.join("/metrics")).body(Full::<Bytes>::default());
            let request = request.expect("a base URL makes a valid request");
            let Ok(answer) = client.send(request, TIMEOUT).await else {
                continue;
            };
            sum.add(&String::from_utf8_lossy(&answer.body));
        }
        sum
    }

    fn add(&mut self, metrics: &str) {
        let (sent, wasted) = (total(metrics, SENT), total(metrics, WASTED));
        if sent.is_none() && wasted.is_none() {
            return;
        }
        self.sent += sent.unwrap_or(0.0);
        self.wasted += wasted.unwrap_or(0.0);
        self.sources += 1;
    }
}

/// Sum of a counter over its labels, in the Prometheus text format.
fn total(metrics: &str, name: &str) -> Option<f64> {
    let values = metrics.lines().filter_map(|line| value(line, name));
    values.reduce(|sum, value| sum + value)
}

fn value(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    if !rest.starts_with(['{', ' ']) {
        return None;
    }
    rest.rsplit(' ').next()?.parse().ok()
}
