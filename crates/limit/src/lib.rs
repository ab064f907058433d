//! Admission, queues, deadlines, quotas and retry budgets.
//!
//! Decisions only: time is a `Duration` since an arbitrary monotonic origin and
//! randomness a generator passed in. What is refused is refused at once and
//! with a time to come back, while that answer is still of use to the caller.

pub mod job_queue;
pub mod queue;
pub mod quota;
pub mod response_weight;
pub mod retry;
pub mod retry_after;
