//! Which jobs a process takes that has less processor than they need.
//!
//! Load: callers send more jobs than the process can handle in time, for seconds or for the
//! whole day. If it took them all, each message would wait behind all others, every job
//! would end late, and none would be worth its cost. The share of the jobs that is taken
//! therefore falls while the process lags by more than it should, and rises again once it
//! doesn't. The other jobs are refused at once, which costs little.

use std::collections::BTreeMap;
use std::time::Duration;

/// Lag at which the share of the jobs that is taken stays as it is. Every message of a job
/// waits for about that time.
pub const TARGET_LAG: Duration = Duration::from_millis(10);

/// By how much the logarithm of the share changes a second for each multiple of the target
/// by which the lag differs from it. Most of the work of a job comes after it was taken, so
/// that a faster change would overshoot.
const GAIN_PER_S: f64 = 0.3;
/// The same once the lag has been small for [`CALM_TIME`], which is longer than most jobs.
const CALM_GAIN_PER_S: f64 = 6.0;
/// Time with a lag below half of the target after which the load must have fallen.
const CALM_TIME: Duration = Duration::from_millis(400);
/// Lag beyond the target, as a multiple of it, above which the share falls no faster.
const MAX_EXCESS: f64 = 5.0;
/// By how much the logarithm of the share is lowered at once for each such multiple, until
/// the lag is back at its target.
const DAMPING: f64 = 0.7;
/// Multiple above which it is lowered no further.
const MAX_DAMPED_EXCESS: f64 = 20.0;
/// The smallest share: enough jobs to find out when the load has fallen.
const MIN_SHARE: f64 = 0.02;
/// Longest time for which the share falls by one lag: a process that stood still for long
/// need not have too little processor.
const MAX_FALL_TIME: Duration = Duration::from_millis(100);

/// Part of the jobs to be taken that is spread over all priorities alike. The rest goes to
/// the most urgent ones.
const EVEN_PART: f64 = 0.5;
/// Time after which the weight of an arrival in the rates of priorities has fallen to 1/e.
const RATE_DECAY: Duration = Duration::from_secs(1);

/// Delay for callers of refused jobs while half of the jobs are taken.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Jobs of one priority.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Decaying number of the jobs that arrived.
    arrivals: f64,
    /// Sum of the shares of the jobs that arrived, less the jobs that were taken.
    credit: f64,
}

impl Default for Class {
    /// A class whose first job is taken: it may be the only one for long.
    fn default() -> Class {
        Class {
            arrivals: 0.0,
            credit: 1.0,
        }
    }
}

/// Decides which jobs are taken, by the lag of the process.
#[derive(Clone, Debug)]
pub struct Throttle {
    /// Share of the jobs that is taken while the lag is at its target.
    base: f64,
    /// Share of the jobs that is taken at the lag of now.
    share: f64,
    /// By priority; smaller is more urgent.
    classes: BTreeMap<u32, Class>,
    updated_at: Duration,
    /// When the lag was last half of the target or more.
    pressed_at: Duration,
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle {
            base: 1.0,
            share: 1.0,
            classes: BTreeMap::new(),
            updated_at: Duration::ZERO,
            pressed_at: Duration::ZERO,
        }
    }
}

impl Throttle {
    /// Whether a job that arrives now is taken; `lag` is that of the process.
    pub fn admit(&mut self, priority: u32, lag: Duration, now: Duration) -> bool {
        self.update(lag, now);
        self.classes.entry(priority).or_default().arrivals += 1.0;
        let share = self.share_of(priority);
        let class = self.classes.entry(priority).or_default();
        class.credit = (class.credit + share).min(1.0 + share);
        let admitted = class.credit >= 1.0;
        if admitted {
            class.credit -= 1.0;
        }
        admitted
    }

    /// After how long the caller of a refused job is to come again: the later, the fewer
    /// jobs are taken.
    pub fn retry_delay(&self) -> Duration {
        RETRY_DELAY.mul_f64(0.5 / self.base)
    }

    /// Adapts the share to a lag, and lets the weight of earlier arrivals decay.
    fn update(&mut self, lag: Duration, now: Duration) {
        let since = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let excess = lag.as_secs_f64() / TARGET_LAG.as_secs_f64() - 1.0;
        if excess > -0.5 {
            self.pressed_at = now;
        }
        let calm = now.saturating_sub(self.pressed_at) > CALM_TIME;
        let gain = if calm { CALM_GAIN_PER_S } else { GAIN_PER_S };
        let step = match excess > 0.0 {
            true => since.min(MAX_FALL_TIME),
            false => since,
        };
        let change = -gain * excess.min(MAX_EXCESS) * step.as_secs_f64();
        self.base = (self.base * change.exp()).clamp(MIN_SHARE, 1.0);
        let damping = DAMPING * excess.clamp(0.0, MAX_DAMPED_EXCESS);
        self.share = (self.base * (-damping).exp()).max(MIN_SHARE);
        let kept = (-since.as_secs_f64() / RATE_DECAY.as_secs_f64()).exp();
        self.classes.retain(|_, class| {
            class.arrivals *= kept;
            class.arrivals > 1e-3
        });
    }

    /// Share of the jobs of one priority that is taken: its even part, and as much of the
    /// rest as more urgent ones leave.
    fn share_of(&self, priority: u32) -> f64 {
        let total: f64 = self.classes.values().map(|class| class.arrivals).sum();
        let even = EVEN_PART * self.share;
        let rest = (1.0 - EVEN_PART) * self.share * total;
        let urgent = self.classes.range(..priority).map(|(_, class)| class);
        let taken: f64 = urgent.map(|class| class.arrivals * (1.0 - even)).sum();
        let own = self
            .classes
            .get(&priority)
            .map_or(1.0, |class| class.arrivals);
        let left = (rest - taken).max(0.0);
        (even + left / own).min(1.0)
    }
}
