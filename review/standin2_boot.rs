//! One machine with a disk loses power and its disk while the whole system starts for the
//! first time.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::system::{config, System, ZONES};
use crate::worker::Worker;
use crate::Verdict;

/// Between the start of the first machine and that of the others; 0.3 s at most.
const STAGGER: Duration = Duration::from_millis(280);
/// After the start of the first machine.
const LOST_AFTER: Duration = Duration::from_millis(600);
/// Time for which the machine is dark.
const DARK: Duration = Duration::from_secs(3);
/// For how long the operator and the clients go on.
const PATIENCE: Duration = Duration::from_secs(75);

pub fn play(system: &mut System, trouble: bool) -> Verdict {
    let began = Instant::now();
    system.start_control(1, true);
    thread::sleep(STAGGER);
    (2..=3).for_each(|i| system.start_control(i, true));
    system.start_agent(1, ZONES[0]);
    let Ok(listener) = system.app(1) else {
        return Verdict::NotRun("a worker's port is taken".to_owned());
    };
    Worker::start(
        "i-1",
        "tableau",
        ZONES[0],
        "[\"a\",\"r1\"]",
        listener,
        system.agent(1),
        Duration::ZERO,
        system.record.clone(),
    );
    system.start_entry(1, ZONES[0]);
    let record = system.record.clone();
    if trouble {
        thread::sleep(LOST_AFTER.saturating_sub(began.elapsed()));
        system.kill("core-1");
        // Its disk doesn't come back with it.
        let _ = fs::remove_dir_all(system.data(1));
        record.say("core-1: its disk is lost");
        thread::sleep(DARK);
        system.start_control(1, false);
        record.say("core-1: is back at its address, with an empty disk");
    }
    let acknowledged = system.put_config(&config(7, 4), PATIENCE);
    let steps = "[{\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":60}]";
    let mut served = 0;
    for n in 0..20 {
        let id = format!("00000000000001{n:02x}");
        let deadline = Duration::from_millis(1_500);
        let job = client::submit(&record, system.entry(1), &id, "60", steps, deadline);
        served += usize::from(job.join().unwrap_or(0) == 200);
        thread::sleep(Duration::from_millis(200));
    }
    match (acknowledged, served) {
        (None, 0) => Verdict::Broken(format!(
            "Fault: no request is served, and no configuration was acknowledged in {PATIENCE:?}"
        )),
        (_, served) => Verdict::Held(format!("{served} of 20 requests were served")),
    }
}
