//! What became of the jobs of a replay, and what that took.

/// What became of all jobs, as shares of them, and what it took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) in_time: f64,
    /// Share of the jobs of the most urgent kind that ended in time.
    pub(crate) urgent_in_time: f64,
    /// Core-seconds a second of the jobs that ended in time.
    pub(crate) work_in_time: f64,
    pub(crate) late: f64,
    pub(crate) refused: f64,
    /// Share of the starts that full upstreams turned away.
    pub(crate) turned_away: f64,
    /// Messages that an entry received, on average.
    pub(crate) messages_per_s: f64,
    /// Reports to an entry that may have made room for waiting jobs, on average.
    pub(crate) gains_per_s: f64,
    /// Reports after which an entry looked at its waiting jobs, on average.
    pub(crate) scans_per_s: f64,
    /// Share of its time for which the busiest entry was busy.
    pub(crate) busiest: f64,
}

impl Outcome {
    pub(crate) fn mean(outcomes: Vec<Outcome>) -> Outcome {
        let count = outcomes.len() as f64;
        let mean = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
        Outcome {
            in_time: mean(|outcome| outcome.in_time),
            urgent_in_time: mean(|outcome| outcome.urgent_in_time),
            work_in_time: mean(|outcome| outcome.work_in_time),
            late: mean(|outcome| outcome.late),
            refused: mean(|outcome| outcome.refused),
            turned_away: mean(|outcome| outcome.turned_away),
            messages_per_s: mean(|outcome| outcome.messages_per_s),
            gains_per_s: mean(|outcome| outcome.gains_per_s),
            scans_per_s: mean(|outcome| outcome.scans_per_s),
            busiest: mean(|outcome| outcome.busiest),
        }
    }
}
