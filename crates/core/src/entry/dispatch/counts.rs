//! Counters of the dispatcher's decisions and of the reports it gets.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// Monotonic counters.
        #[derive(Debug, Default)]
        pub(crate) struct Counts {
            $($(#[$doc])* pub(super) $field: Count,)*
        }

        impl Counts {
            /// Every counter with its name.
            pub(crate) fn all(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($field), self.$field.get()),)*].into_iter()
            }

            /// Logs all counters on one line when the dispatcher stops.
            pub(super) fn log(&self) {
                let all: Vec<String> = self
                    .all()
                    .map(|(name, count)| format!("{name} {count}"))
                    .collect();
                log::info!("dispatcher stops; its counters: {}", all.join(", "));
            }
        }
    };
}

counts! {
    /// Requests that asked for a place, without retries.
    demanded,
    /// Places given, retries included.
    placed,
    /// Places given to retries.
    retried,
    /// Requests refused by the dispatcher.
    refused,
    /// Requests cancelled before they were sent.
    cancelled,
    /// Places whose task the agent refused, or that were given back unused.
    refused_by_agents,
    /// Places whose task got no answer.
    lost,
    /// Upstreams ejected.
    ejected,
    /// Upstreams put on trial after an ejection.
    readmitted,
}

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The present value.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
