//! Processor time of an entry for each job, at real processes with simulated workers.
//!
//! `COST_LOADS="90 400" cargo test --release -p gentiancove --test entry_cost -- --ignored --nocapture`

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use support::platform::{job, Platform};

const WORKERS: usize = 24;
/// Connections of the callers, each with one job at a time.
const CONNECTIONS: u64 = 256;
const SECONDS: u64 = 8;
/// Time for the line to grow before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// The entry logs one in this many requests.
const LOG_SAMPLE: u32 = 100;
const TASKS: usize = 4;
const TASK_MS: u64 = 200;

/// Numbers the jobs of all measurements.
static LAST_JOB: AtomicU64 = AtomicU64::new(1 << 20);

/// Submits a job on a kept connection; returns the status.
fn submit(stream: &mut BufReader<TcpStream>) -> u16 {
    let id = LAST_JOB.fetch_add(1, Ordering::Relaxed);
    let body = job(TASKS, TASK_MS).to_string();
    let head = format!(
        "POST /q/{id:016x} HTTP/1.1\r\nhost: 127.0.0.1\r\ndeadline-ms: 1500\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream.get_mut().write_all((head + &body).as_bytes());
    sent.expect("the request is sent");
    let (mut status, mut length) = (0, 0);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).expect("the answer arrives");
        let line = line.trim().to_ascii_lowercase();
        if let Some(rest) = line.strip_prefix("http/1.1 ") {
            status = rest[..3].parse().expect("a status");
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("the body arrives");
    status
}

/// Sends jobs at this rate for a time; returns how many were completed and how many were not.
fn send(address: &str, jobs_per_s: u64, time: Duration) -> (u64, u64) {
    let interval = Duration::from_secs_f64(CONNECTIONS as f64 / jobs_per_s as f64);
    let start = Instant::now();
    let callers = (0..CONNECTIONS).map(|number| {
        let address = address.to_owned();
        thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("the connection opens");
            let _ = stream.set_nodelay(true);
            let mut stream = BufReader::new(stream);
            let mut due = interval.mul_f64(number as f64 / CONNECTIONS as f64);
            let mut counts = (0, 0);
            while due < time {
                thread::sleep(due.saturating_sub(start.elapsed()));
                match submit(&mut stream) {
                    200 => counts.0 += 1,
                    _ => counts.1 += 1,
                }
                due = (due + interval).max(start.elapsed());
            }
            counts
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().fold((0, 0), |(done, not), caller| {
        let counts: (u64, u64) = caller.join().expect("the caller ends");
        (done + counts.0, not + counts.1)
    })
}

/// Prints what a job costs without load, at a load with room and at one beyond the capacity.
#[test]
#[ignore = "measures processor time for a minute; run by hand on a release build"]
fn the_processor_time_of_a_job() {
    let loads = std::env::var("COST_LOADS").unwrap_or_else(|_| "90 400".to_owned());
    let platform = Platform::start_with_log_sample(WORKERS, 1, LOG_SAMPLE);
    let entry = &platform.entries[0];
    let address = &platform.entry_addresses()[0];
    println!("entry: process {}", entry.id());
    let before = entry.processor_time();
    thread::sleep(WARM_UP);
    let idle = (entry.processor_time() - before).as_secs_f64() / WARM_UP.as_secs_f64();
    println!("without load: {:.1} ms a second", idle * 1e3);
    for load in loads.split_whitespace() {
        let rate = load.parse().expect("jobs a second");
        send(address, rate, WARM_UP);
        let before = entry.processor_time();
        let (done, refused) = send(address, rate, Duration::from_secs(SECONDS));
        let used = entry.processor_time() - before;
        println!(
            "{rate} jobs a second: {done} done, {refused} refused or given up, {:.0} us each, {:.1} ms a second",
            used.as_secs_f64() * 1e6 / (done + refused) as f64,
            used.as_secs_f64() * 1e3 / SECONDS as f64,
        );
    }
}
