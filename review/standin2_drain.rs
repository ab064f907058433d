//! A worker says that it drains while starts of large jobs still wait at its agent.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::system::{config, System, ZONES};
use crate::worker::Worker;
use crate::Verdict;

/// The bound `drain-ms` of the site.
const DRAIN: f64 = 2.0;
/// Time that a worker takes to begin a task, after which it answers the order.
const START_TIME: Duration = Duration::from_millis(20);
/// The letter speaks of jobs of up to 830 tasks.
const TASKS: usize = 830;
/// Work of a task: the largest that the site names.
const WORK_MS: u64 = 3_600;

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    (1..=3).for_each(|i| system.start_control(i, true));
    let mut workers = Vec::new();
    for (index, zone) in (1..=3).zip(ZONES) {
        system.start_agent(index, zone);
        let Ok(listener) = system.app(index) else {
            return Verdict::NotRun("a worker's port is taken".to_owned());
        };
        workers.push(Worker::start(
            &format!("i-{index}"),
            "tableau",
            zone,
            &format!("[\"a\",\"r{index}\"]"),
            listener,
            system.agent(index),
            START_TIME,
            system.record.clone(),
        ));
    }
    system.start_entry(1, ZONES[0]);
    if system
        .put_config(&config(7, 4), Duration::from_secs(20))
        .is_none()
        || !system.wait_until_ready(1, Duration::from_secs(20))
    {
        return Verdict::NotRun("the system does not serve".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let record = system.record.clone();
    let steps =
        format!("[{{\"count\":{TASKS},\"cpu\":30,\"mem-mb\":16,\"estimate-ms\":{WORK_MS}}}]");
    let deadline = Duration::from_secs(20);
    let jobs: Vec<_> = (1..=3)
        .map(|n| {
            let id = format!("00000000000000{n:02x}");
            client::submit(
                &record,
                system.entry(1),
                &id,
                &WORK_MS.to_string(),
                &steps,
                deadline,
            )
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let leaving = workers[0].clone();
    let mut drained_at = None;
    if trouble {
        leaving.drain();
        drained_at = Some(record.now());
        record.say(&format!("worker {}: draining is acknowledged", leaving.id));
        // It goes on for `drain-ms` and a little longer, at times many seconds.
        thread::sleep(Duration::from_secs(8));
        leaving.leave();
        record.say(&format!("worker {}: leaves", leaving.id));
    }
    let statuses: Vec<u16> = jobs
        .into_iter()
        .map(|job| job.join().unwrap_or(0))
        .collect();
    let Some(drained_at) = drained_at else {
        return match statuses.iter().all(|status| *status == 200) {
            true => Verdict::Held("nobody drained, and all jobs were completed".to_owned()),
            false => Verdict::NotRun(format!("jobs were answered {statuses:?}")),
        };
    };
    let starts = record.events().into_iter().filter(|event| {
        event.how.is_none() && event.worker == leaving.id && event.at > drained_at + DRAIN
    });
    let late: Vec<f64> = starts.map(|event| event.at - drained_at).collect();
    match late.iter().copied().reduce(f64::max) {
        Some(last) => Verdict::Broken(format!(
            "DRAIN: {} tasks were started at the worker more than {DRAIN} s after a machine in \
             touch had acknowledged that it drains, the last after {last:.3} s",
            late.len()
        )),
        None => Verdict::Held(format!(
            "no start came later than {DRAIN} s; jobs {statuses:?}"
        )),
    }
}
