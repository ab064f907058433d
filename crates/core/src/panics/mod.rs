//! Panics after which the process must not go on.
//!
//! A panic ends one request or one task of the runtime only. If it came while shared state
//! was being changed, that state can't be trusted, and nobody else could lock it; if it ended
//! a task that the others rely on, they would wait for ever. Such a process would run on and
//! answer nothing. It is aborted instead, so that it is started again.

use std::sync::{self, MutexGuard, RwLockReadGuard, RwLockWriteGuard};

/// A mutex that aborts the process when it is locked after a thread has panicked with it.
#[derive(Debug, Default)]
pub(crate) struct Mutex<T>(sync::Mutex<T>);

impl<T> Mutex<T> {
    pub(crate) fn new(value: T) -> Mutex<T> {
        Mutex(sync::Mutex::new(value))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(|_| abort("shared state"))
    }
}

/// A read-write lock that aborts the process when it is locked after a thread has panicked
/// while writing.
#[derive(Debug, Default)]
pub(crate) struct RwLock<T>(sync::RwLock<T>);

impl<T> RwLock<T> {
    pub(crate) fn new(value: T) -> RwLock<T> {
        RwLock(sync::RwLock::new(value))
    }

    pub(crate) fn read(&self) -> RwLockReadGuard<'_, T> {
        self.0.read().unwrap_or_else(|_| abort("shared state"))
    }

    pub(crate) fn write(&self) -> RwLockWriteGuard<'_, T> {
        self.0.write().unwrap_or_else(|_| abort("shared state"))
    }
}

/// Aborts the process if it is dropped by a panic. A task that others rely on holds one.
#[derive(Debug)]
pub(crate) struct AbortOnPanic(pub(crate) &'static str);

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            abort(self.0);
        }
    }
}

/// The log is written by a thread of its own, so the reason goes to standard error.
fn abort(what: &str) -> ! {
    eprintln!("a panic has ended or damaged {what}; aborting, to be started again");
    std::process::abort()
}
