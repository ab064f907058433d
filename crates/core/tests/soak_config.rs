//! A soak test of the configuration: real processes, an operator that adds and drops routes all
//! the time, callers of these routes, and readers, while control instances are killed, stopped,
//! or lose their disks, and entries stand still.
//!
//! It checks what is seen from outside: a route is served, or isn't, as the versions that were
//! acknowledged in time say; no read is older than these; a change that is sent again is not
//! refused; an invalid one is, and is never read back; at the end the newest acknowledged version
//! is there. A seed decides the faults, but not how the processes interleave.
//!
//! `SOAK_SEEDS=20..30 cargo test -p gentiancove --test soak_config` runs other seeds.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};
use support::platform::control::{call_control, config};
use support::platform::Platform;
use support::{try_call, NO_ANSWER};

const ENTRIES: usize = 2;
const CONTROLS: usize = 3;
const FAULTS_PER_SEED: usize = 4;
/// Number of versions for which a route is there.
const ROUTE_LIFE: u64 = 3;
/// Routes that never change, which make the configuration as large as that of a small site.
const CONSTANT_ROUTES: u64 = 60;
/// Time after the acknowledgement of a version from which it is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Time by which that is later while control is disturbed.
const STRETCH: Duration = Duration::from_secs(5);
/// Time after a disturbance until a process counts as undisturbed.
const CONTACT: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What the operator has sent, and what was acknowledged.
#[derive(Debug, Default)]
struct Versions {
    /// Last version that was sent.
    sent: u64,
    /// Each acknowledgement, with its time.
    acknowledged: Vec<(Instant, u64)>,
}

impl Versions {
    /// Newest version that was acknowledged longer ago than `age` at the time `at`.
    fn in_force(&self, at: Instant, age: Duration) -> u64 {
        let old = self
            .acknowledged
            .iter()
            .filter(|(acknowledged, _)| at.saturating_duration_since(*acknowledged) > age);
        old.map(|(_, version)| *version).max().unwrap_or(0)
    }
}

/// What is known to all threads of a run.
#[derive(Debug, Default)]
struct Shared {
    versions: Mutex<Versions>,
    /// When control and each entry were last disturbed.
    control_disturbed: Mutex<Option<Instant>>,
    entry_disturbed: Mutex<[Option<Instant>; ENTRIES]>,
    violation: Mutex<Option<String>>,
    stop: AtomicBool,
}

impl Shared {
    fn report(&self, text: String) {
        self.violation
            .lock()
            .expect("the lock is not poisoned")
            .get_or_insert(text);
    }

    fn goes_on(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    /// Time after which a version is in force at an undisturbed entry, for what is sent now.
    fn bound(&self) -> Duration {
        let disturbed = self
            .control_disturbed
            .lock()
            .expect("the lock is not poisoned");
        match disturbed.is_some_and(|at| at.elapsed() < CONTACT + STRETCH) {
            true => IN_FORCE_WITHIN + STRETCH,
            false => IN_FORCE_WITHIN,
        }
    }

    fn is_entry_disturbed(&self, entry: usize) -> bool {
        let disturbed = self
            .entry_disturbed
            .lock()
            .expect("the lock is not poisoned")[entry];
        disturbed.is_some_and(|at| at.elapsed() < CONTACT)
    }
}

/// The configuration of a version: its own route and those of the versions before.
fn body(version: u64) -> Value {
    let mut config = config(version, 2_000);
    let first = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("a list");
    let constant = (0..CONSTANT_ROUTES).map(|number| format!("c{number}"));
    let own = (version.saturating_sub(ROUTE_LIFE - 1)..=version).map(|added| format!("v{added}"));
    for name in constant.chain(own) {
        let mut route = first.clone();
        route["path-prefix"] = json!(format!("/{name}/"));
        route["name"] = json!(name);
        routes.push(route);
    }
    config
}

/// Sends changes until the run ends; some again, and some that are invalid.
fn operate(seed: u64, controls: &[String], shared: &Shared) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut version = 10;
    while shared.goes_on() {
        let control = controls.choose(&mut rng).expect("a control instance");
        let put =
            |body: &Value| call_control(control, "POST", "/-/config/put", &body.to_string()).0;
        match rng.random_range(0..10) {
            0 => {
                let mut invalid = body(version + 1_000);
                invalid["routes"][0]["service"] = json!("unknown");
                let status = put(&invalid);
                if status == 200 {
                    shared.report(format!("{control} acknowledged an invalid change"));
                }
            }
            1 => {
                let status = put(&body(version));
                if (400..500).contains(&status) && ![408, 429].contains(&status) {
                    shared.report(format!("{version} sent again was refused with {status}"));
                }
                if status == 200 {
                    let mut versions = shared.versions.lock().expect("the lock is not poisoned");
                    versions.acknowledged.push((Instant::now(), version));
                }
            }
            _ => {
                version += 1;
                shared
                    .versions
                    .lock()
                    .expect("the lock is not poisoned")
                    .sent = version;
                let status = put(&body(version));
                if status == 200 {
                    let mut versions = shared.versions.lock().expect("the lock is not poisoned");
                    versions.acknowledged.push((Instant::now(), version));
                }
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..150)));
    }
}

/// Reads the configuration at all control instances until the run ends.
fn read(seed: u64, controls: &[String], shared: &Shared) {
    let mut rng = Pcg64::seed_from_u64(seed);
    while shared.goes_on() {
        let control = controls.choose(&mut rng).expect("a control instance");
        let sent_at = Instant::now();
        let (status, text) = call_control(control, "GET", "/-/config/get", "");
        let versions = shared.versions.lock().expect("the lock is not poisoned");
        let oldest = versions.in_force(sent_at, IN_FORCE_WITHIN);
        drop(versions);
        if status == 200 {
            let found: Value = serde_json::from_str(&text).unwrap_or_default();
            let version = found["version"].as_u64().unwrap_or(0);
            if version < oldest || (version >= 10 && found != body(version)) {
                shared.report(format!(
                    "{control} returned version {version}, {oldest} is in force"
                ));
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(10..60)));
    }
}

/// Calls routes of an entry that were just added or dropped until the run ends.
fn call_routes(seed: u64, entry: usize, address: &str, shared: &Shared) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut judged = 0;
    while shared.goes_on() {
        let newest = shared
            .versions
            .lock()
            .expect("the lock is not poisoned")
            .sent;
        let added = newest.saturating_sub(rng.random_range(0..200)).max(10);
        let url = format!("http://{address}/v{added}/");
        let (sent_at, bound) = (Instant::now(), shared.bound());
        let was_disturbed = shared.is_entry_disturbed(entry);
        let answer = try_call("GET", &url, &[], "", CALL_TIMEOUT);
        let status = answer.map_or(NO_ANSWER, |(status, _)| status.as_u16());
        if was_disturbed || shared.is_entry_disturbed(entry) {
            continue;
        }
        let versions = shared.versions.lock().expect("the lock is not poisoned");
        let (in_force, sent) = (versions.in_force(sent_at, bound), versions.sent);
        drop(versions);
        let is_dropped = in_force >= added + ROUTE_LIFE;
        let is_there = in_force >= added && sent < added + ROUTE_LIFE;
        if (is_dropped && status == 200) || (is_there && status == 404) {
            shared.report(format!(
                "entry {entry} answered {status} on the route of {added}; {in_force} is in force"
            ));
        }
        judged += u64::from(is_dropped || is_there);
        thread::sleep(Duration::from_millis(rng.random_range(5..30)));
    }
    judged
}

/// Disturbs one process or more, ends that, and leaves the system alone for a while.
fn disturb(platform: &mut Platform, rng: &mut Pcg64, shared: &Shared) -> String {
    let (entry, control) = (rng.random_range(0..ENTRIES), rng.random_range(0..CONTROLS));
    let time = Duration::from_millis(rng.random_range(300..2_500));
    let note_control = || {
        let mut disturbed = shared
            .control_disturbed
            .lock()
            .expect("the lock is not poisoned");
        *disturbed = Some(Instant::now());
    };
    let note_entry = |at: Instant| {
        shared
            .entry_disturbed
            .lock()
            .expect("the lock is not poisoned")[entry] = Some(at);
    };
    note_control();
    let fault = match rng.random_range(0..4) {
        0 => {
            platform.restart_control(control);
            format!("control {control} killed")
        }
        1 => {
            platform.lose_disk(control);
            format!("control {control} lost its disk")
        }
        2 => {
            platform.controls[control].signal(libc::SIGSTOP);
            thread::sleep(time);
            platform.controls[control].signal(libc::SIGCONT);
            format!("control {control} stopped for {time:?}")
        }
        _ => {
            // Not judged while it stands still.
            note_entry(Instant::now() + time);
            platform.entries[entry].signal(libc::SIGSTOP);
            thread::sleep(time);
            platform.entries[entry].signal(libc::SIGCONT);
            note_entry(Instant::now());
            format!("entry {entry} stopped for {time:?}")
        }
    };
    note_control();
    thread::sleep(CONTACT + Duration::from_millis(rng.random_range(1_500..3_500)));
    fault
}

fn spawn<T: Send + 'static>(
    shared: &Arc<Shared>,
    run: impl FnOnce(&Shared) -> T + Send + 'static,
) -> JoinHandle<T> {
    let shared = Arc::clone(shared);
    thread::spawn(move || run(&shared))
}

fn run_seed(seed: u64) -> Result<(), String> {
    let mut platform = Platform::start(1, ENTRIES);
    let shared = Arc::<Shared>::default();
    let (controls, entries) = (platform.control_addresses(), platform.entry_addresses());
    let writer = {
        let controls = controls.clone();
        spawn(&shared, move |shared| operate(seed, &controls, shared))
    };
    let reader = spawn(&shared, move |shared| read(!seed, &controls, shared));
    let callers = entries.into_iter().enumerate().map(|(entry, address)| {
        let seed = seed.rotate_left(8) + entry as u64;
        spawn(&shared, move |shared| {
            call_routes(seed, entry, &address, shared)
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut rng = Pcg64::seed_from_u64(seed);
    for _ in 0..FAULTS_PER_SEED {
        let fault = disturb(&mut platform, &mut rng, &shared);
        println!("seed {seed}: {fault}");
    }
    shared.stop.store(true, Ordering::Relaxed);
    writer.join().expect("the thread does not panic");
    reader.join().expect("the thread does not panic");
    let judged = callers.into_iter().map(|caller| caller.join());
    let judged: u64 = judged
        .map(|judged| judged.expect("the thread does not panic"))
        .sum();
    let versions = shared.versions.lock().expect("the lock is not poisoned");
    let newest = versions.in_force(Instant::now(), Duration::ZERO);
    println!("seed {seed}: {newest} is in force, {judged} answers judged");
    let found = platform.read_config();
    let version = found["version"].as_u64().unwrap_or(0);
    if version < newest || version > versions.sent || found != body(version) {
        return Err(format!(
            "read back {version} after {newest} was acknowledged"
        ));
    }
    if let Some(text) = shared
        .violation
        .lock()
        .expect("the lock is not poisoned")
        .take()
    {
        return Err(text);
    }
    match judged > 100 && versions.acknowledged.len() > 20 {
        true => Ok(()),
        false => Err(format!("{judged} answers judged of {newest} versions")),
    }
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return vec![1];
    };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS must be FROM..TO");
    let from: u64 = from.parse().expect("a seed is a whole number");
    (from..to.parse().expect("a seed is a whole number")).collect()
}

#[test]
fn the_configuration_in_force_is_obeyed_under_faults() {
    for seed in seeds() {
        if let Err(failure) = run_seed(seed) {
            panic!("seed {seed}: {failure}");
        }
    }
}
