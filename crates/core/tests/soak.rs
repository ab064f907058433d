//! A soak under faults: the real programs on the platform's stand-in, clients
//! and an operator that go on all the while, and faults from outside by a seed.
//!
//! What is checked is what callers and workers see: no task at two places at
//! once, a refusal only of what has not run, a success only of what has, and no
//! configuration that is older than an acknowledged one. The faults and their
//! times come from the seed; what the processes make of them is their own.
//!
//! `SOAK_SEEDS=20..30 cargo test -p gentiancove --test soak` plays other seeds.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use support::platform::{config, job, operate, Platform};
use support::worker::{Mood, Seen};
use support::{try_call, NO_ANSWER};

const WORKERS: usize = 3;
const ENTRIES: usize = 2;
const CONTROLS: usize = 3;
const CLIENTS: u64 = 4;
const FAULTS: usize = 10;
/// Time after which a client sends a job again whose answer broke off.
const RESENT: Duration = Duration::from_millis(1_300);
/// Time after which a client leaves.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time from an acknowledgement until no instance may read an older one.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Which seeds are played where none are named: one, and those that have failed.
///
/// 53: a start was carried out by the next life of a worker and told to be lost.
const SEEDS: [u64; 2] = [1, 53];

fn seeds() -> Vec<u64> {
    let Ok(named) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = named.split_once("..").expect("SOAK_SEEDS: FROM..TO");
    let from: u64 = from.parse().expect("a seed");
    (from..to.parse().expect("a seed")).collect()
}

/// What a job's client was told in the end.
#[derive(Debug)]
struct Told {
    id: String,
    tasks: usize,
    last: (u16, String),
    /// Each try was refused as not run.
    refused: bool,
}

/// Hands jobs in one after the other until it is told to stop.
fn client(seed: u64, entries: Vec<String>, stop: Arc<AtomicBool>) -> Vec<Told> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut told = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", rng.random::<u64>());
        let (tasks, millis) = (rng.random_range(1..=6), rng.random_range(20..400_u64));
        let job = job(tasks, millis).to_string();
        let mut refused = true;
        let mut last = (NO_ANSWER, String::new());
        for _ in 0..4 {
            let entry = entries.choose(&mut rng).expect("entries");
            let url = format!("http://{entry}/q/{id}");
            let headers = [("deadline-ms", "2500")];
            let answer = try_call("POST", &url, &headers, &job, PATIENCE);
            let none = |_| (NO_ANSWER, String::new());
            last = answer.map_or_else(none, |(status, body)| (status.as_u16(), body));
            refused &= matches!(last.0, 429 | 503);
            if !matches!(last.0, 502 | 504 | NO_ANSWER) {
                break;
            }
            thread::sleep(RESENT);
        }
        told.push(Told {
            id,
            tasks,
            last,
            refused,
        });
    }
    told
}

/// Changes the configuration and reads it, until it is told to stop; the newest
/// version that was acknowledged. `failure` tells of an older one that was read.
fn operator(
    seed: u64,
    controls: Vec<String>,
    stop: Arc<AtomicBool>,
    failure: Arc<Mutex<Option<String>>>,
) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut version = 2;
    let mut acknowledged: Vec<(Instant, u64)> = vec![(Instant::now(), version)];
    while !stop.load(Ordering::Relaxed) {
        let control = controls.choose(&mut rng).expect("controls");
        if rng.random_bool(0.3) {
            version += rng.random_range(1..4);
            let body = config(version, 1_500 + version).to_string();
            if operate(control, "POST", "/-/config/put", &body).0 == 200 {
                acknowledged.push((Instant::now(), version));
            }
        } else {
            let due = acknowledged
                .iter()
                .filter(|(at, _)| at.elapsed() > IN_FORCE);
            let due = due.map(|(_, version)| *version).max().unwrap_or(0);
            let (status, body) = operate(control, "GET", "/-/config/get", "");
            let read: Value = serde_json::from_str(&body).unwrap_or_default();
            let read = read["version"].as_u64();
            if status == 200 && read.is_none_or(|read| read < due) {
                let told = format!("{control} read {read:?}, {due} was acknowledged");
                failure.lock().expect("lock").get_or_insert(told);
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..120)));
    }
    acknowledged.last().map_or(0, |(_, version)| *version)
}

/// One fault, which is over when this returns or at the next for that worker.
fn fault(platform: &mut Platform, rng: &mut Pcg64) -> String {
    let (worker, entry) = (rng.random_range(0..WORKERS), rng.random_range(0..ENTRIES));
    let control = rng.random_range(0..CONTROLS);
    let freeze = Duration::from_millis(rng.random_range(100..1_600));
    match rng.random_range(0..11) {
        0 => {
            platform.restart_entry(entry);
            format!("entry {entry} killed")
        }
        1 => {
            frozen(&platform.entries[entry], freeze);
            format!("entry {entry} frozen for {freeze:?}")
        }
        2 => {
            platform.workers[worker].restart_agent();
            format!("agent {worker} killed")
        }
        3 => {
            frozen(&platform.workers[worker].agent, freeze);
            format!("agent {worker} frozen for {freeze:?}")
        }
        4 => {
            platform.restart_control(control);
            format!("control {control} killed")
        }
        5 => {
            frozen(&platform.controls[control], freeze);
            format!("control {control} frozen for {freeze:?}")
        }
        6 => {
            platform.entries[entry].signal(libc::SIGHUP);
            platform.controls[control].signal(libc::SIGHUP);
            "SIGHUP".to_owned()
        }
        7 => {
            platform.workers[worker].set(Mood::Dead);
            thread::sleep(freeze);
            platform.workers[worker].revive();
            format!("worker {worker} crashed for {freeze:?}")
        }
        mood => {
            let mood = [Mood::Late, Mood::Hangs, Mood::Fails][mood - 8];
            platform.workers[worker].set(mood);
            thread::sleep(freeze);
            platform.workers[worker].set(Mood::Sound);
            format!("worker {worker} {mood:?} for {freeze:?}")
        }
    }
}

fn frozen(process: &support::Process, time: Duration) {
    process.signal(libc::SIGSTOP);
    thread::sleep(time);
    process.signal(libc::SIGCONT);
}

/// What workers have seen against what callers were told.
fn verdict(seen: &Seen, told: &[Told]) -> Result<(), String> {
    if let Some(task) = seen.twice.iter().next() {
        return Err(format!("{task} ran at two places at once"));
    }
    for job in told {
        let task = |index: usize| format!("{}.0.0.{index}", job.id);
        let mut tasks = (0..job.tasks).map(task);
        let completed = job.last == (200, r#"{"state":"completed"}"#.to_owned());
        if completed && !tasks.clone().all(|task| seen.done.contains(&task)) {
            return Err(format!("{job:?}: completed, and a task was not done"));
        }
        if job.refused && tasks.any(|task| seen.starts.contains_key(&task)) {
            return Err(format!(
                "{job:?}: not run, it was said, and a task had started"
            ));
        }
    }
    Ok(())
}

fn play(seed: u64) -> Result<(), String> {
    let mut platform = Platform::start(WORKERS, ENTRIES);
    let stop = Arc::new(AtomicBool::new(false));
    let failure = Arc::default();
    let clients: Vec<JoinHandle<Vec<Told>>> = (0..CLIENTS)
        .map(|number| {
            let (entries, stop) = (platform.entry_addresses(), stop.clone());
            thread::spawn(move || client(seed * CLIENTS + number, entries, stop))
        })
        .collect();
    let operating = {
        let (controls, stop, failure) = (
            platform.control_addresses(),
            stop.clone(),
            Arc::clone(&failure),
        );
        thread::spawn(move || operator(seed, controls, stop, failure))
    };
    let mut rng = Pcg64::seed_from_u64(seed);
    for _ in 0..FAULTS {
        thread::sleep(Duration::from_millis(rng.random_range(50..600)));
        let told = fault(&mut platform, &mut rng);
        println!("seed {seed}: {told}");
    }
    stop.store(true, Ordering::Relaxed);
    let told = clients
        .into_iter()
        .flat_map(|client| client.join().expect("client"));
    let told: Vec<Told> = told.collect();
    let acknowledged = operating.join().expect("operator");
    (0..ENTRIES).for_each(|entry| platform.wait_until_served(entry));
    let read = platform.read_back()["version"].as_u64();
    if read.is_none_or(|read| read < acknowledged) {
        return Err(format!(
            "read back {read:?}, {acknowledged} was acknowledged"
        ));
    }
    if let Some(failure) = failure.lock().expect("lock").take() {
        return Err(failure);
    }
    let served = told.iter().filter(|job| job.last.0 == 200).count();
    println!("seed {seed}: {served} of {} jobs served", told.len());
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    let seen = platform.seen.lock().expect("lock");
    verdict(&seen, &told)
}

#[test]
fn promises_hold_under_faults() {
    let seeds = seeds();
    assert!(!seeds.is_empty(), "no seed was named");
    for seed in seeds {
        if let Err(told) = play(seed) {
            panic!("seed {seed}: {told}");
        }
    }
}
