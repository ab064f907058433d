//! Counters of messages between processes of the system, read from their metrics.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::client::{BaseUrl, Client};

const TIMEOUT: Duration = Duration::from_secs(3);
const SENT_METRIC: &str = "gentian_messages_total";
const WASTED_METRIC: &str = "gentian_messages_wasted_total";

/// Message counters, summed over processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MessageCounters {
    pub(super) sent: f64,
    pub(super) wasted: f64,
    /// Number of processes whose counters are included.
    pub(super) sources: usize,
}

impl MessageCounters {
    /// Reads and sums the counters of the given processes; skips those that do not
    /// answer or have no such counters.
    pub(super) async fn read(bases: &[BaseUrl]) -> MessageCounters {
        let client = Client::new();
        let mut sum = MessageCounters::default();
        for base in bases {
            let request = Request::get(base.join("/metrics")).body(Full::<Bytes>::default());
            let request = request.expect("a base URL makes a valid request");
            let Ok(response) = client.send(request, TIMEOUT).await else {
                continue;
            };
            sum.add(&String::from_utf8_lossy(&response.body));
        }
        sum
    }

    fn add(&mut self, metrics: &str) {
        let (sent, wasted) = (
            counter_sum(metrics, SENT_METRIC),
            counter_sum(metrics, WASTED_METRIC),
        );
        if sent.is_none() && wasted.is_none() {
            return;
        }
        self.sent += sent.unwrap_or(0.0);
        self.wasted += wasted.unwrap_or(0.0);
        self.sources += 1;
    }
}

/// Sums a counter over all its label values in a page of the Prometheus text format;
/// none if the page does not have the counter.
fn counter_sum(metrics: &str, name: &str) -> Option<f64> {
    let values = metrics.lines().filter_map(|line| sample_value(line, name));
    values.reduce(|sum, value| sum + value)
}

fn sample_value(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    if !rest.starts_with(['{', ' ']) {
        return None;
    }
    rest.rsplit(' ').next()?.parse().ok()
}
