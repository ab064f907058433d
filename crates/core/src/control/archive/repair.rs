//! Fetches segments that this instance lacks from the other instances.

use std::time::Duration;

use gentian::config::ledger::Segment;
use gentian::wire::control::HistoryRequest;
use tokio::sync::watch;

use crate::control::service::Service;
use crate::control::state::ReplicatedLog;
use crate::renew::connect_control;

/// Time between two looks for segments that are missing.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two segments, so that the transfer leaves room for all else.
const PAUSE: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches missing segments, one at a time, until `stop` turns true.
pub(in crate::control) async fn repair<L: ReplicatedLog>(
    service: Service<L>,
    mut stop: watch::Receiver<bool>,
) {
    let mut wait = CHECK_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let shared = service.shared();
        let missing = {
            let applied = shared.read();
            shared.archive().missing(applied.state.ledger().segments())
        };
        let Some(segment) = missing else {
            wait = CHECK_INTERVAL;
            continue;
        };
        wait = match fetch(&service, &segment).await {
            true => PAUSE,
            false => CHECK_INTERVAL,
        };
    }
}

/// Fetches a segment from the first member that has it. Returns whether one had.
async fn fetch<L: ReplicatedLog>(service: &Service<L>, segment: &Segment) -> bool {
    let last = segment.last;
    for address in service.members() {
        let Ok(address) = address.parse() else {
            continue;
        };
        let mut client = connect_control(address, CALL_TIMEOUT);
        let request = HistoryRequest { last: last.0 };
        let reply = tokio::time::timeout(CALL_TIMEOUT, client.history(request)).await;
        // An instance that is down or lacks the segment is no news; the next one may have it.
        let Ok(Ok(reply)) = reply else {
            continue;
        };
        let content = reply.into_inner().content;
        match service.shared().archive().insert(segment, &content) {
            Ok(()) => {
                log::info!("history up to version {last} fetched from {address}");
                return true;
            }
            Err(error) => log::warn!("history up to version {last} from {address}: {error}"),
        }
    }
    log::warn!("history up to version {last} is missing here and at the other instances");
    false
}
