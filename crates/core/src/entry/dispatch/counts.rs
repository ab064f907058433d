//! Counters of what the dispatcher decided and was told.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// Counters that only grow.
        #[derive(Debug, Default)]
        pub(crate) struct Counts {
            $($(#[$doc])* pub(super) $field: Count,)*
        }

        impl Counts {
            /// Every counter with its name.
            pub(crate) fn all(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($field), self.$field.get()),)*].into_iter()
            }

            /// Writes all counters on one line, when the dispatcher ends.
            pub(super) fn log(&self) {
                let all: Vec<String> = self
                    .all()
                    .map(|(name, count)| format!("{name} {count}"))
                    .collect();
                log::info!("dispatcher ends: {}", all.join(", "));
            }
        }
    };
}

counts! {
    /// Requests that asked for a place, each once.
    demanded,
    /// Places given.
    placed,
    /// Places given to requests that were sent before.
    retried,
    /// Demands given up.
    refused,
    /// Demands cancelled while they waited.
    cancelled,
    /// Places on which an agent refused the task.
    refused_by_agents,
    /// Places whose answer never came.
    lost,
    /// Upstreams ejected.
    ejected,
    /// Upstreams put on trial.
    readmitted,
}

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    /// Counts one more.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
