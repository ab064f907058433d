//! Admission, queues, deadlines, quotas and retry budgets.
