//! Admission, queues, deadlines, quotas and retry budgets.
//!
//! This crate only decides; it does no I/O. Time is passed in as a `Duration`
//! since an arbitrary monotonic origin, and randomness as a generator. A request
//! that can't be served is refused immediately, with a time after which to
//! retry, so that its caller can still act on the answer.

pub mod backfill;
pub mod headroom;
pub mod job_queue;
pub mod lag;
pub mod queue;
pub mod quota;
pub mod rescan;
pub mod response_weight;
pub mod retry;
pub mod retry_after;
pub mod throttle;
pub mod unread;
pub mod waiting_list;
