//! A client that has moved to another zone cancels its job there.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::system::{config, System, ZONES};
use crate::worker::Worker;
use crate::Verdict;

/// The bound `cancel_ms` of the site.
const CANCEL: f64 = 3.0;

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    (1..=3).for_each(|i| system.start_control(i, true));
    for (index, zone) in (1..=2).zip(ZONES) {
        system.start_agent(index, zone);
        let Ok(listener) = system.app(index) else {
            return Verdict::NotRun("a worker's port is taken".to_owned());
        };
        Worker::start(
            &format!("i-{index}"),
            "tableau",
            zone,
            &format!("[\"a\",\"r{index}\"]"),
            listener,
            system.agent(index),
            Duration::ZERO,
            system.record.clone(),
        );
        system.start_entry(index, zone);
    }
    if system.put_config(&config(7, 4), Duration::from_secs(20)).is_none()
        || !(1..=2).all(|entry| system.wait_until_ready(entry, Duration::from_secs(20)))
    {
        return Verdict::NotRun("the system does not serve".to_owned());
    }
    // All machines are in touch after `contact-ms` and `catch-up-s`.
    thread::sleep(Duration::from_secs(5));
    let record = system.record.clone();
    let id = "5c0e7a21d94b36f8";
    let steps = "[{\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":4000},\
                 {\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":4000,\"depends-on\":[0]}]";
    let deadline = Duration::from_secs(15);
    let job = client::submit(&record, system.entry(1), id, "4000", steps, deadline);
    thread::sleep(Duration::from_millis(500));
    // An open connection stays with its node; a new one goes to a node of the client's zone.
    let zone = if trouble { 2 } else { 1 };
    record.say(&format!("client: is in zone {} now", ZONES[zone - 1]));
    client::ask(&record, "GET", system.entry(zone as u8), id);
    let mut status = 0;
    for _ in 0..3 {
        status = client::ask(&record, "DELETE", system.entry(zone as u8), id);
        if (200..300).contains(&status) || status == 410 {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    if !(200..300).contains(&status) && status != 410 {
        return Verdict::NotRun(format!("the cancel was answered {status}"));
    }
    let acknowledged_at = record.now();
    let answer = job.join().unwrap_or(0);
    record.line(&format!("the job was answered {answer}"));
    let starts = record.events().into_iter();
    let starts = starts.filter(|e| e.how.is_none() && e.at > acknowledged_at + CANCEL);
    let late: Vec<f64> = starts.map(|event| event.at - acknowledged_at).collect();
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "UNASKED: a task was started {first:.3} s after the job's cancelling was \
             acknowledged with {status}, by a machine in touch; the bound is {CANCEL} s"
        )),
        None => Verdict::Held(format!(
            "no task was started later than {CANCEL} s after the cancel, answered {status}"
        )),
    }
}
