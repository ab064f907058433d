//! A soak test: real processes with simulated workers, clients and an operator that
//! send all the time, and faults that are injected from outside.
//!
//! It checks what callers and workers observe: no task runs more than once at the same
//! time, a refused job has started no task, a completed job has completed all its
//! tasks, no read returns a configuration older than one that was acknowledged more than
//! two seconds before, and nothing starts in a drained data centre. A seed decides the faults and their times, but not how the
//! processes interleave, so a run with the same seed may end differently.
//!
//! `SOAK_SEEDS=20..30 cargo test -p gentiancove --test soak` runs other seeds.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use support::observations::Observations;
use support::platform::control::{call_control, config, DrainOrder};
use support::platform::{job, Platform};
use support::worker::Behavior;
use support::{try_call, NO_ANSWER};

/// Data centres of the workers; the last one is drained at some time.
const DATA_CENTERS: [&str; WORKERS] = ["d", "d", "e"];
const WORKERS: usize = 3;
const ENTRIES: usize = 2;
const CONTROLS: usize = 3;
const CLIENTS: u64 = 4;
const FAULTS_PER_SEED: usize = 10;
/// Delay after which a client resends a job that got no final answer.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Time after which a client gives up waiting for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the acknowledgement of a version from which no instance may return an
/// older one.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Time after the acknowledgement of a drain from which nothing starts there; the faults
/// may keep agents from control for a part of it.
const DRAINED_WITHIN: Duration = Duration::from_secs(5);

/// Seeds that are run when `SOAK_SEEDS` is not set: a first one, and those that have
/// failed before.
///
/// 53: a worker that had restarted carried out a start that was meant for its former
/// life and had been reported as lost.
const SEEDS: [u64; 2] = [1, 53];

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS must be FROM..TO");
    let from: u64 = from.parse().expect("a seed is a whole number");
    (from..to.parse().expect("a seed is a whole number")).collect()
}

/// A job and the last answer that its client got.
#[derive(Debug)]
struct JobResult {
    id: String,
    tasks: usize,
    last: (u16, String),
    /// Every attempt was refused, so that none of the tasks may have started.
    refused: bool,
}

/// Submits jobs one after the other until `stop` is set.
fn run_client(seed: u64, entries: Vec<String>, stop: Arc<AtomicBool>) -> Vec<JobResult> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut results = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", rng.random::<u64>());
        let (tasks, millis) = (rng.random_range(1..=6), rng.random_range(20..400_u64));
        let job = job(tasks, millis).to_string();
        let mut refused = true;
        let mut last = (NO_ANSWER, String::new());
        for _ in 0..4 {
            let entry = entries.choose(&mut rng).expect("at least one entry");
            let url = format!("http://{entry}/q/{id}");
            let headers = [("deadline-ms", "2500")];
            let answer = try_call("POST", &url, &headers, &job, CLIENT_TIMEOUT);
            let no_answer = |_| (NO_ANSWER, String::new());
            last = answer.map_or_else(no_answer, |(status, body)| (status.as_u16(), body));
            refused &= matches!(last.0, 429 | 503);
            if !matches!(last.0, 502 | 504 | NO_ANSWER) {
                break;
            }
            thread::sleep(RESEND_DELAY);
        }
        results.push(JobResult {
            id,
            tasks,
            last,
            refused,
        });
    }
    results
}

/// Puts and reads configurations until `stop` is set; returns the newest acknowledged
/// version. A read that returns an outdated version is noted in `failure`.
fn run_operator(
    seed: u64,
    controls: Vec<String>,
    stop: Arc<AtomicBool>,
    failure: Arc<Mutex<Option<String>>>,
) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut version = 2;
    let mut acknowledged: Vec<(Instant, u64)> = vec![(Instant::now(), version)];
    while !stop.load(Ordering::Relaxed) {
        let control = controls
            .choose(&mut rng)
            .expect("at least one control instance");
        if rng.random_bool(0.3) {
            version += rng.random_range(1..4);
            let body = config(version, 1_500 + version).to_string();
            if call_control(control, "POST", "/-/config/put", &body).0 == 200 {
                acknowledged.push((Instant::now(), version));
            }
        } else {
            let oldest_allowed = acknowledged
                .iter()
                .filter(|(at, _)| at.elapsed() > IN_FORCE_WITHIN);
            let oldest_allowed = oldest_allowed
                .map(|(_, version)| *version)
                .max()
                .unwrap_or(0);
            let (status, body) = call_control(control, "GET", "/-/config/get", "");
            let read: Value = serde_json::from_str(&body).unwrap_or_default();
            let read = read["version"].as_u64();
            if status == 200 && read.is_none_or(|read| read < oldest_allowed) {
                let message = format!(
                    "{control} returned version {read:?} after {oldest_allowed} had been acknowledged"
                );
                failure
                    .lock()
                    .expect("the lock is not poisoned")
                    .get_or_insert(message);
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..120)));
    }
    acknowledged.last().map_or(0, |(_, version)| *version)
}

/// Injects one fault and ends it; returns its description.
///
/// Restarted processes may not serve yet when this returns.
fn inject_fault(platform: &mut Platform, rng: &mut Pcg64) -> String {
    let (worker, entry) = (rng.random_range(0..WORKERS), rng.random_range(0..ENTRIES));
    let control = rng.random_range(0..CONTROLS);
    let freeze = Duration::from_millis(rng.random_range(100..1_600));
    match rng.random_range(0..11) {
        0 => {
            platform.restart_entry(entry);
            format!("entry {entry} killed")
        }
        1 => {
            freeze_for(&platform.entries[entry], freeze);
            format!("entry {entry} frozen for {freeze:?}")
        }
        2 => {
            platform.workers[worker].restart_agent();
            format!("agent {worker} killed")
        }
        3 => {
            freeze_for(&platform.workers[worker].agent, freeze);
            format!("agent {worker} frozen for {freeze:?}")
        }
        4 => {
            platform.restart_control(control);
            format!("control {control} killed")
        }
        5 => {
            freeze_for(&platform.controls[control], freeze);
            format!("control {control} frozen for {freeze:?}")
        }
        6 => {
            platform.entries[entry].signal(libc::SIGHUP);
            platform.controls[control].signal(libc::SIGHUP);
            "SIGHUP".to_owned()
        }
        7 => {
            platform.workers[worker].set_behavior(Behavior::Crashed);
            thread::sleep(freeze);
            platform.workers[worker].restart_worker();
            format!("worker {worker} crashed for {freeze:?}")
        }
        behavior => {
            let behavior = [Behavior::Late, Behavior::Hangs, Behavior::Fails][behavior - 8];
            platform.workers[worker].set_behavior(behavior);
            thread::sleep(freeze);
            platform.workers[worker].set_behavior(Behavior::Normal);
            format!("worker {worker} {behavior:?} for {freeze:?}")
        }
    }
}

fn freeze_for(process: &support::Process, time: Duration) {
    process.signal(libc::SIGSTOP);
    thread::sleep(time);
    process.signal(libc::SIGCONT);
}

/// Checks the answers that the clients got against what the workers observed.
fn check_answers(observed: &Observations, results: &[JobResult]) -> Result<(), String> {
    if let Some(task) = observed.concurrent.iter().next() {
        return Err(format!("{task} ran more than once at the same time"));
    }
    for job in results {
        let task = |index: usize| format!("{}.0.0.{index}", job.id);
        let mut tasks = (0..job.tasks).map(task);
        let completed = job.last == (200, r#"{"state":"completed"}"#.to_owned());
        if completed && !tasks.clone().all(|task| observed.done.contains(&task)) {
            return Err(format!(
                "{job:?}: answered as completed, but a task was not done"
            ));
        }
        if job.refused && tasks.any(|task| observed.starts.contains_key(&task)) {
            return Err(format!(
                "{job:?}: refused as not run, but a task had started"
            ));
        }
    }
    Ok(())
}

/// Checks that nothing has started in the drained data centre for a while.
fn check_drained(platform: &Platform, drained_at: Instant) -> Result<(), String> {
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    let worker = format!("i-{}", WORKERS - 1);
    let after = observed.last_start.get(&worker);
    let after = after.map(|at| at.saturating_duration_since(drained_at));
    match after.filter(|after| *after > DRAINED_WITHIN) {
        Some(after) => Err(format!("a run began {after:?} after the drain")),
        None => Ok(()),
    }
}

/// Starts a system, runs clients, operator and faults, and checks the outcome.
fn run_seed(seed: u64) -> Result<(), String> {
    let mut platform = Platform::start_in(&DATA_CENTERS, ENTRIES);
    let stop = Arc::new(AtomicBool::new(false));
    let failure = Arc::default();
    let clients: Vec<JoinHandle<Vec<JobResult>>> = (0..CLIENTS)
        .map(|number| {
            let (entries, stop) = (platform.entry_addresses(), stop.clone());
            thread::spawn(move || run_client(seed * CLIENTS + number, entries, stop))
        })
        .collect();
    let operator = {
        let (controls, stop, failure) = (
            platform.control_addresses(),
            stop.clone(),
            Arc::clone(&failure),
        );
        thread::spawn(move || run_operator(seed, controls, stop, failure))
    };
    let mut rng = Pcg64::seed_from_u64(seed);
    let drained_after = Pcg64::seed_from_u64(!seed).random_range(0..FAULTS_PER_SEED / 2);
    let mut drained_at = Instant::now();
    for number in 0..FAULTS_PER_SEED {
        thread::sleep(Duration::from_millis(rng.random_range(50..600)));
        let fault = inject_fault(&mut platform, &mut rng);
        println!("seed {seed}: {fault}");
        if number == drained_after {
            platform.drain("e", DrainOrder::Start);
            drained_at = Instant::now();
        }
    }
    thread::sleep((DRAINED_WITHIN + Duration::from_secs(1)).saturating_sub(drained_at.elapsed()));
    stop.store(true, Ordering::Relaxed);
    let results = clients
        .into_iter()
        .flat_map(|client| client.join().expect("the thread does not panic"));
    let results: Vec<JobResult> = results.collect();
    let acknowledged = operator.join().expect("the thread does not panic");
    check_drained(&platform, drained_at)?;
    platform.drain("e", DrainOrder::End);
    (0..ENTRIES).for_each(|entry| platform.wait_until_serving(entry));
    let read = platform.read_config()["version"].as_u64();
    if read.is_none_or(|read| read < acknowledged) {
        return Err(format!(
            "read back version {read:?} after {acknowledged} had been acknowledged"
        ));
    }
    if let Some(failure) = failure.lock().expect("the lock is not poisoned").take() {
        return Err(failure);
    }
    let served = results.iter().filter(|job| job.last.0 == 200).count();
    println!("seed {seed}: {served} of {} jobs served", results.len());
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    check_answers(&observed, &results)
}

#[test]
fn guarantees_hold_under_faults() {
    let seeds = seeds();
    assert!(!seeds.is_empty(), "SOAK_SEEDS is an empty range");
    for seed in seeds {
        if let Err(failure) = run_seed(seed) {
            panic!("seed {seed}: {failure}");
        }
    }
}
