//! The settings file, read again when it changes.
//!
//! The control instances to ask are taken over at once. All else needs a
//! restart: it names addresses, files and roles.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::settings::Settings;

/// Time between two looks at the file, which may change without a signal.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the file at every SIGHUP, and looks at it now and then, for as long as
/// the process runs.
pub(crate) async fn watch_file(
    path: PathBuf,
    settings: Settings,
    mut hangups: Signal,
    control: watch::Sender<Vec<SocketAddr>>,
) {
    let mut known = settings.to_json();
    loop {
        let signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(PERIOD) => false,
        };
        match Settings::read(&path) {
            Ok(new) if new.to_json() != known => {
                known = new.to_json();
                log::info!("settings read again: control instances {:?}", new.control);
                control.send_replace(new.control);
            }
            Ok(_) if signalled => log::info!("settings read again: nothing has changed"),
            Ok(_) => {}
            Err(error) if signalled => log::warn!("settings stay as they are: {error}"),
            // A file that is being written is read whole the next time.
            Err(error) => log::debug!("settings can't be read now: {error}"),
        }
    }
}
