//! Reloads the settings file when it changes.
//!
//! Only the list of control instances takes effect without a restart. The other
//! settings determine listen addresses, files and roles, which are set up once
//! at the start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::settings::Settings;

/// Interval at which the file is polled, since it may change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the file on every SIGHUP and by polling, as long as the process runs.
/// `settings` are those in force; a new list of control instances is sent to
/// `control`.
pub(crate) async fn watch_file(
    path: PathBuf,
    settings: Settings,
    mut hangups: Signal,
    control: watch::Sender<Vec<SocketAddr>>,
) {
    let mut current = settings.to_json();
    loop {
        let signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        match Settings::read(&path) {
            Ok(new) if new.to_json() != current => {
                current = new.to_json();
                log::info!(
                    "settings file reloaded; control instances are now {:?}",
                    new.control
                );
                control.send_replace(new.control);
            }
            Ok(_) if signalled => {
                log::info!("settings file reloaded after SIGHUP; nothing has changed")
            }
            Ok(_) => {}
            Err(error) if signalled => log::warn!(
                "settings file rejected after SIGHUP; keeping the current settings: {error}"
            ),
            // The file may be only partly written; the next poll reads it again.
            Err(error) => {
                log::debug!("settings file can't be used, trying again at the next poll: {error}")
            }
        }
    }
}
