//! One heartbeat of another writer, with fields missing, reaches each agent.

use std::thread;
use std::time::{Duration, SystemTime};

use crate::client;
use crate::http;
use crate::system::{config, System, ZONES};
use crate::worker::Worker;
use crate::Verdict;

/// Requests, one after the other.
const REQUESTS: u64 = 60;

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
            Duration::ZERO,
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
    // All machines are in touch, and each worker has sent some heartbeats.
    thread::sleep(Duration::from_secs(6));
    let record = system.record.clone();
    if trouble {
        for worker in &workers {
            let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            // Without zone, version, slots, cold-remaining-ms, labels, mem-mb and gpu.
            let body = format!(
                "{{\"service\":\"tableau\",\"address\":\"{}\",\"state\":\"ready\",\
                 \"capacity\":{{\"cpu\":32000}},\"clock-ms\":1000,\"born\":{},\"seq\":1}}",
                worker.address,
                wall.map_or(0, |wall| wall.as_millis()),
            );
            let path = format!("/-/instances/x-{}/heartbeat", worker.id);
            let timeout = Duration::from_secs(1);
            let answer = http::call(worker.agent, "POST", &path, &[], &body, timeout);
            let status = answer.map_or(0, |answer| answer.status());
            let agent = worker.agent;
            record.say(&format!(
                "other writer: heartbeat to {agent}: {status}: {body}"
            ));
        }
    }
    // Every worker sends four heartbeats or more in this time.
    thread::sleep(Duration::from_secs(7));
    let steps = "[{\"count\":2,\"cpu\":3100,\"mem-mb\":64,\"estimate-ms\":200}]";
    let mut served = 0;
    for n in 0..REQUESTS {
        let id = format!("00000000000002{n:02x}");
        let deadline = Duration::from_millis(1_500);
        let job = client::submit(&record, system.entry(1), &id, "200", steps, deadline);
        served += usize::from(job.join().unwrap_or(0) == 200);
        thread::sleep(Duration::from_millis(300));
    }
    match served {
        0 => Verdict::Broken(format!(
            "Fault: none of {REQUESTS} requests is served; all workers are up and send heartbeats"
        )),
        served => Verdict::Held(format!("{served} of {REQUESTS} requests were served")),
    }
}
