//! Agreement on a replicated log, with its durable store.
