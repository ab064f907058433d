//! How long requests may have waited before this process read them.

use std::sync::LazyLock;
use std::time::Duration;

use gentian::limit::unread::Unread;

use crate::clock;
use crate::panics::Mutex;

static UNREAD: LazyLock<Mutex<Unread>> = LazyLock::new(|| Mutex::new(Unread::new(clock::now())));

/// Records that this process runs.
pub(crate) fn record() {
    UNREAD.lock().record(clock::now());
}

/// Longest time that a request may have waited which is read now.
pub(crate) fn longest_wait() -> Duration {
    UNREAD.lock().longest_wait(clock::now())
}
