//! Repeated announcement to the local agent, and the leave at the end.

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

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
const LEAVE_ATTEMPTS: u32 = 3;

#[derive(Serialize)]
struct Leave<'a> {
    service: &'a id::Service,
}

/// Announces the upstream until `stop` turns true, then tells that it leaves.
pub(super) async fn until_stopped(
    client: &client::Client,
    agent: &str,
    announcement: &Announcement,
    mut stop: watch::Receiver<bool>,
) {
    let mut tick = tokio::time::interval(INTERVAL);
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
    leave(client, agent, announcement).await;
}

async fn leave(client: &client::Client, agent: &str, announcement: &Announcement) {
    let leave = Leave {
        service: &announcement.service,
    };
    for _ in 0..LEAVE_ATTEMPTS {
        match post(client, agent, "/v1/leave", &leave).await {
            Ok(()) => return,
            Err(error) => log::warn!("leave at agent {agent} failed: {error}"),
        }
    }
}

fn log_change(reached: &mut bool, agent: &str, answer: Result<(), String>) {
    match answer {
        Ok(()) if !*reached => log::info!("agent {agent} takes announcements again"),
        Err(ref error) if *reached => log::warn!("agent {agent} takes no announcement: {error}"),
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
        .send(request, TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body);
    Err(format!("{}: {}", answer.status, text.trim()))
}
