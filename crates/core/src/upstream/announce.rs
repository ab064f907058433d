//! Announces the upstream to the local agent at intervals, and sends a leave notice at
//! the end.

use std::time::Duration;

use bytes::Bytes;
use http::{header, Request};
use http_body_util::Full;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use gentian_wire::id;
use serde::Serialize;

use super::Announcement;
use crate::client;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LEAVE_ATTEMPTS: u32 = 3;

#[derive(Serialize)]
struct Leave<'a> {
    service: &'a id::Service,
}

/// Announces the upstream until `stop` turns true, then sends the leave notice.
pub(super) async fn announce_until_stopped(
    client: &client::Client,
    agent: &str,
    announcement: &Announcement,
    mut stop: watch::Receiver<bool>,
) {
    let mut tick = tokio::time::interval(ANNOUNCE_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reached = true;
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            _ = tick.tick() => (),
        }
        let answer = post(client, agent, "/v1/announce", announcement).await;
        log_change(&mut reached, agent, answer);
    }
    send_leave(client, agent, announcement).await;
}

async fn send_leave(client: &client::Client, agent: &str, announcement: &Announcement) {
    let notice = Leave {
        service: &announcement.service,
    };
    for _ in 0..LEAVE_ATTEMPTS {
        match post(client, agent, "/v1/leave", &notice).await {
            Ok(()) => return,
            Err(error) => log::warn!("leave notice to agent {agent} failed: {error}"),
        }
    }
}

/// Logs only the first failure and the first success after it.
fn log_change(reached: &mut bool, agent: &str, answer: Result<(), String>) {
    match answer {
        Ok(()) if !*reached => log::info!("agent {agent} accepts announcements again"),
        Err(ref error) if *reached => {
            log::warn!("announcement to agent {agent} failed and will be repeated: {error}")
        }
        _ => (),
    }
    *reached = answer.is_ok();
}

async fn post(
    client: &client::Client,
    agent: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<(), String> {
    let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
    let request = Request::post(format!("{agent}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let answer = client
        .send(request, CALL_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body);
    Err(format!("{}: {}", answer.status, text.trim()))
}
