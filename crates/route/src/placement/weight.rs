//! Weights of the penalties that are added up to an upstream's score.
//!
//! A score is a share of the upstream's capacity that counts as in use; the smallest is best.

/// Score penalty for slowness: an upstream whose runs take twice as long as expected ranks
/// as if this additional share of its capacity were in use.
pub(super) const SLOWNESS_WEIGHT: f64 = 0.5;

/// Score penalty for an upstream whose last runs failed, as a multiple of its capacity.
/// Once no more upstreams may be ejected, further ones that fail every task stay in
/// rotation; the penalty makes them the last to be given tasks.
pub(super) const SUSPECT_WEIGHT: f64 = 10.0;

/// Score penalty of the last upstream in an entry's own order, as a share of an
/// upstream's capacity: an entry fills its first upstreams before it uses the last.
pub(super) const ORDER_WEIGHT: f64 = 1.0;

/// Score penalty for being apart from the tasks that a task is to run beside. It exceeds
/// the entry's own order.
pub(super) const APART_WEIGHT: f64 = 5.0;

/// Score penalty for being in another data centre, as a share of an upstream's capacity,
/// for tasks that prefer a label.
pub(super) const REMOTE_WEIGHT: f64 = 0.02;

/// Score penalty for being away from a task's data, as a share of an upstream's capacity.
pub(super) const AWAY_FROM_DATA_WEIGHT: f64 = 0.6;

/// Score penalty for an upstream whose label other tasks prefer, for a task that prefers
/// none. It exceeds the entry's own order, so that such upstreams fill last.
pub(super) const WANTED_LABEL_WEIGHT: f64 = 1.5;

/// Score penalty for an upstream at which the task would end too late. It exceeds what the
/// entry's own order, load and labels add together, but not the penalties for upstreams
/// that fail or are apart from a task's job.
pub(super) const LATE_WEIGHT: f64 = 3.0;

/// Score penalty for an upstream to avoid; exceeds the sum of all other penalties.
pub(super) const AVOIDED_WEIGHT: f64 = 100.0;
