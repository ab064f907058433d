//! Tests of the throttle: a process with too little processor, in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use gentian_limit::throttle::Throttle;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

/// Processor time of a job when it arrives, and of each of its messages thereafter.
const ARRIVAL: f64 = 0.001;
const MESSAGE: f64 = 0.0005;
const MESSAGES: usize = 4;
/// Processor time of a refusal: a tenth of that of a job.
const REFUSAL: f64 = 0.0003;
/// Range of the run times of tasks, after which their messages come, in seconds.
const RUN: std::ops::Range<f64> = 0.03..0.4;
/// Delay beyond its run time with which a job still ends in time, in seconds.
const SLACK: f64 = 0.09;
/// Time between two measurements of the lag, in seconds.
const PERIOD: f64 = 0.02;

/// What became of the jobs that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    arrived: u32,
    /// Jobs that arrived by priority, and those of them that were taken.
    arrived_by_priority: [u32; 3],
    taken: [u32; 3],
    in_time: u32,
}

/// Work that comes at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Work {
    Job,
    /// The last message of a job that arrived at that time and runs for so long.
    Last {
        arrived: f64,
        run: f64,
    },
    Message,
    Measure,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Event(f64, Work);

impl Eq for Event {}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Jobs a second that the processor allows if none is refused.
fn capacity() -> f64 {
    1.0 / (ARRIVAL + MESSAGES as f64 * MESSAGE)
}

/// Replays jobs that arrive at `load` times the capacity, which differs from second to
/// second, at a process that does one thing after the other.
fn replay(load: &[f64], throttled: bool) -> Vec<Second> {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut throttle = Throttle::default();
    let mut seconds = vec![Second::default(); load.len()];
    let mut events = BinaryHeap::from([Event(0.0, Work::Job), Event(PERIOD, Work::Measure)]);
    let (mut idle_at, mut lag) = (0.0_f64, 0.0);
    while let Some(Event(at, work)) = events.pop() {
        if at >= load.len() as f64 {
            break;
        }
        let begins = idle_at.max(at);
        match work {
            Work::Measure => {
                lag = begins - at;
                events.push(Event(begins + PERIOD, Work::Measure));
            }
            Work::Message => idle_at = begins + MESSAGE,
            Work::Last { arrived, run } => {
                idle_at = begins + MESSAGE;
                if idle_at - arrived <= run + SLACK {
                    seconds[arrived as usize].in_time += 1;
                }
            }
            Work::Job => {
                let rate = load[at as usize] * capacity();
                let gap = -rng.random::<f64>().max(1e-12).ln() / rate;
                events.push(Event(at + gap, Work::Job));
                let priority = rng.random_range(0..3);
                let second = &mut seconds[at as usize];
                second.arrived += 1;
                second.arrived_by_priority[priority] += 1;
                let now = Duration::from_secs_f64(begins);
                let lag = Duration::from_secs_f64(lag);
                if throttled && !throttle.admit(priority as u32, lag, now) {
                    idle_at = begins + REFUSAL;
                    continue;
                }
                second.taken[priority] += 1;
                idle_at = begins + ARRIVAL;
                let runs: [f64; MESSAGES] = std::array::from_fn(|_| rng.random_range(RUN));
                let longest = runs.iter().copied().fold(0.0, f64::max);
                for run in runs {
                    let work = match run == longest {
                        true => Work::Last { arrived: at, run },
                        false => Work::Message,
                    };
                    events.push(Event(idle_at + run, work));
                }
            }
        }
    }
    seconds
}

/// Jobs a second that could end in time at most if the rest is refused.
fn best(load: f64) -> f64 {
    let job = 1.0 / capacity();
    let spared = (1.0 - load * capacity() * REFUSAL) / (job - REFUSAL);
    spared.min(load * capacity())
}

/// Jobs a second that ended in time, without the first seconds and the last, whose jobs
/// have no time to end.
fn in_time(seconds: &[Second]) -> f64 {
    let steady = &seconds[3..seconds.len() - 1];
    let sum: u32 = steady.iter().map(|second| second.in_time).sum();
    f64::from(sum) / steady.len() as f64
}

/// An entry that was asked for more than its processor allows served next to nothing.
#[test_case(1.0 ; "as much")]
#[test_case(2.0 ; "twice")]
#[test_case(4.0 ; "four times")]
fn a_process_that_is_asked_for_more_than_it_can_do_serves_what_it_can(load: f64) {
    let served = in_time(&replay(&[load; 20], true));
    println!("{load}: {served} of {}", best(load));
    assert!(served >= 0.85 * best(load), "{served} of {}", best(load));
}

/// The load is one under which a process without a throttle fails.
#[test]
fn without_a_throttle_nothing_is_served_in_time() {
    let served = in_time(&replay(&[2.0; 20], false));
    assert!(served < 0.05 * best(2.0), "{served}");
}

#[test]
fn a_process_with_processor_to_spare_refuses_next_to_nothing() {
    let seconds = replay(&[0.6; 20], true);
    let arrived: u32 = seconds.iter().map(|second| second.arrived).sum();
    let taken: u32 = seconds.iter().flat_map(|second| second.taken).sum();
    assert!(f64::from(arrived - taken) < 0.005 * f64::from(arrived));
}

/// After a burst, the process takes all jobs again within a second.
#[test]
fn all_jobs_are_taken_a_second_after_a_burst() {
    let load = [&[0.5; 3][..], &[4.0; 5], &[0.5; 6]].concat();
    let seconds = replay(&load, true);
    for second in &seconds[9..13] {
        let taken: u32 = second.taken.iter().sum();
        assert!(second.arrived - taken <= second.arrived / 50, "{second:?}");
    }
}

/// Urgent jobs are taken first, and no priority is left out.
#[test]
fn urgent_jobs_are_taken_first_and_others_are_not_starved() {
    let seconds = replay(&[2.0; 20], true);
    let share = |priority: usize| {
        let taken: u32 = seconds.iter().map(|second| second.taken[priority]).sum();
        let arrived = seconds.iter().map(|s| s.arrived_by_priority[priority]);
        f64::from(taken) / f64::from(arrived.sum::<u32>())
    };
    assert!(share(0) > 0.6, "{}", share(0));
    assert!(share(0) > share(1) + 0.2 && share(1) >= share(2) - 0.02);
    assert!(share(2) > 0.15, "{}", share(2));
}

/// A job of a priority that hardly ever comes costs little.
#[test]
fn rare_jobs_are_taken_beside_many_others() {
    let mut throttle = Throttle::default();
    let lag = Duration::from_millis(60);
    let mut taken = 0;
    for job in 0..10_000 {
        let now = Duration::from_millis(10 * job);
        throttle.admit(0, lag, now);
        taken += u32::from(job % 1_000 == 0 && throttle.admit(9, lag, now));
    }
    assert_eq!(taken, 10);
}
