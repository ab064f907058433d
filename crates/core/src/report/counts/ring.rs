//! A ring buffer of counts, with one bucket per fixed interval of time.

use std::time::Duration;

use super::Counts;

/// Counts of the most recent intervals. A new bucket replaces the oldest one.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    width: Duration,
    buckets: Box<[Bucket]>,
    /// Index of the newest bucket, counted from time zero.
    newest: u64,
}

impl Ring {
    /// Creates a ring of `length` buckets that cover `width` of time each.
    pub(super) fn new(width: Duration, length: usize) -> Ring {
        Ring {
            width,
            buckets: vec![Bucket::default(); length].into(),
            newest: 0,
        }
    }

    /// Adds to the bucket of `now`. If `now` is earlier than the newest bucket, adds to
    /// the newest one.
    pub(super) fn add(&mut self, now: Duration, counts: Counts) {
        let index = self.bucket_index(now).max(self.newest);
        self.advance(index);
        let bucket = &mut self.buckets[self.newest as usize % self.buckets.len()];
        bucket.add(counts);
    }

    /// Adds up all buckets that overlap the last `length` of time before `now`.
    pub(super) fn sum(&self, now: Duration, length: Duration) -> Counts {
        let last = self.bucket_index(now).max(self.newest);
        let first = self.bucket_index(now.saturating_sub(length));
        let oldest = (self.newest + 1).saturating_sub(self.buckets.len() as u64);
        let buckets = first.max(oldest)..=self.newest.min(last);
        buckets
            .map(|index| self.buckets[index as usize % self.buckets.len()].counts())
            .fold(Counts::default(), Counts::plus)
    }

    /// Makes the bucket of index `newest` the newest one. Clears it and the buckets
    /// that were skipped, which still hold counts of older intervals.
    fn advance(&mut self, newest: u64) {
        let gap = (newest - self.newest).min(self.buckets.len() as u64);
        for passed in 0..gap {
            let index = (newest - passed) as usize % self.buckets.len();
            self.buckets[index] = Bucket::default();
        }
        self.newest = newest;
    }

    fn bucket_index(&self, now: Duration) -> u64 {
        now.as_secs() / self.width.as_secs()
    }
}

/// Counts of one interval, as `u32` to halve the memory. An entry answers fewer than
/// four billion requests in ten minutes, so they don't overflow.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    total: u32,
    unavailable: u32,
    slow: u32,
}

impl Bucket {
    fn add(&mut self, counts: Counts) {
        let add = |sum: &mut u32, more: u64| {
            *sum = sum.saturating_add(u32::try_from(more).unwrap_or(u32::MAX));
        };
        add(&mut self.total, counts.total);
        add(&mut self.unavailable, counts.unavailable);
        add(&mut self.slow, counts.slow);
    }

    fn counts(self) -> Counts {
        Counts {
            total: self.total.into(),
            unavailable: self.unavailable.into(),
            slow: self.slow.into(),
        }
    }
}
