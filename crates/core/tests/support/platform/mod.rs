//! A system with the `platform` dialect: real control instances, entries and agents,
//! with simulated workers, and calls as its operators and callers make them.

pub(crate) mod control;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use oxhttp::model::StatusCode;
use serde_json::{json, Value};

use super::hosts::Hosts;
use super::observations::Observations;
use super::system::poll;
use super::worker::Worker;
use super::{call, output, text, Process};

/// Host header of the callers, which the HTTP client derives from the address.
const HOST: &str = "127.0.0.1";

/// Answer to a job that is completed.
pub(crate) const COMPLETED: &str = r#"{"state":"completed"}"#;

/// Three control instances that form a cluster without an operator, entries, and
/// workers with an agent each.
pub(crate) struct Platform {
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) observed: Arc<Mutex<Observations>>,
    entry_http_addresses: Vec<String>,
    /// Address at which the last entry serves its readiness and metrics.
    entry_ready_address: String,
    hosts: Hosts,
    control_http_addresses: Vec<String>,
    control_settings: Vec<Value>,
    entry_settings: Vec<Value>,
    data_folders: Vec<tempfile::TempDir>,
    log_folder: tempfile::TempDir,
    /// One in this many requests is logged.
    log_sample: u32,
}

impl Platform {
    /// Starts all processes, puts a configuration and waits until each entry serves.
    pub(crate) fn start(workers: usize, entries: usize) -> Platform {
        Platform::start_with_entry_log(workers, entries, None)
    }

    /// Like [`Platform::start`], but the entries write their logs to `entry_log`.
    pub(crate) fn start_with_entry_log(
        workers: usize,
        entries: usize,
        entry_log: Option<&Path>,
    ) -> Platform {
        Platform::start_with(&vec!["d"; workers], entries, entry_log, 1)
    }

    /// Like [`Platform::start`], but the processes log one in `sample` requests.
    pub(crate) fn start_with_log_sample(workers: usize, entries: usize, sample: u32) -> Platform {
        Platform::start_with(&vec!["d"; workers], entries, None, sample)
    }

    /// Like [`Platform::start`], with one worker in each of these data centres.
    pub(crate) fn start_in(data_centers: &[&str], entries: usize) -> Platform {
        Platform::start_with(data_centers, entries, None, 1)
    }

    fn start_with(
        data_centers: &[&str],
        entries: usize,
        entry_log: Option<&Path>,
        log_sample: u32,
    ) -> Platform {
        let hosts = Hosts::new();
        let [http, peer] = hosts.free_ports();
        let seeds = (0..3).map(|i| format!("{}:{peer}", hosts.get(i)));
        let seeds: Vec<String> = seeds.collect();
        let mut platform = Platform {
            controls: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            observed: Arc::default(),
            entry_http_addresses: Vec::new(),
            entry_ready_address: String::new(),
            control_http_addresses: (0..3).map(|i| format!("{}:{http}", hosts.get(i))).collect(),
            hosts,
            control_settings: Vec::new(),
            entry_settings: Vec::new(),
            data_folders: Vec::new(),
            log_folder: log_folder(),
            log_sample,
        };
        for (index, seed) in seeds.iter().enumerate() {
            let folder = tempfile::tempdir().expect("a temporary folder");
            let settings = json!({
                "name": format!("control-{index}"), "data_center": "d", "rack": "r",
                "region": "x", "control": seeds, "log": platform.log("control", index),
                "controller": {
                    "http": platform.control_http_addresses[index], "peer": seed, "dialect": "platform",
                    "data": folder.path().join("control"), "found": true, "tolerates": 1,
                    "data_centers": data_centers,
                },
            });
            platform
                .controls
                .push(Process::start_with_settings(&settings));
            platform.control_settings.push(settings);
            platform.data_folders.push(folder);
        }
        for (index, data_center) in data_centers.iter().enumerate() {
            let log = platform.log("agent", index);
            let worker = Worker::start(index, data_center, &seeds, &log, &platform.observed);
            platform.workers.push(worker);
        }
        for index in 0..entries {
            let mut log = platform.log("entry", index);
            if let Some(path) = entry_log {
                log["file"] = json!(path);
            }
            let mut settings = json!({
                "name": format!("entry-{index}"), "data_center": "d", "rack": "r", "region": "x",
                "control": seeds, "log": log,
                "entry": {
                    "http": "127.0.0.1:0", "ready": "127.0.0.1:0", "dialect": "platform",
                    "drain_timeout": "6s",
                },
            });
            let entry = Process::start_with_settings(&settings);
            let address = entry.listen_address("entry-http").to_string();
            platform.entry_http_addresses.push(address);
            platform.entry_ready_address = entry.listen_address("entry-ready").to_string();
            settings["entry"]["http"] = json!(platform.entry_http_addresses[index]);
            settings["entry"]["ready"] = json!(platform.entry_ready_address);
            platform.entry_settings.push(settings);
            platform.entries.push(entry);
        }
        platform.put_config(2, 1_500);
        (0..entries).for_each(|entry| platform.wait_until_serving(entry));
        platform
    }

    /// Log settings of a process, with a file of its own.
    fn log(&self, role: &str, index: usize) -> Value {
        let path = self.log_folder.path().join(format!("{role}-{index}.log"));
        json!({ "format": "json", "sample": self.log_sample, "file": path })
    }

    /// Runs `explain` on the logs of all processes until a line has the given `event`;
    /// returns the lines about the request in the order that `explain` prints.
    pub(crate) fn explain(&self, id: &str, event: &str) -> Vec<Value> {
        let files = std::fs::read_dir(self.log_folder.path()).expect("the log folder");
        let files = files.map(|file| file.expect("a log file").path().display().to_string());
        let files: Vec<String> = files.collect();
        let mut args = vec!["explain", id];
        args.extend(files.iter().map(String::as_str));
        poll(|| {
            let output = output(&args);
            let lines = text(&output.stdout);
            let lines = lines
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            let lines: Vec<Value> = lines.collect();
            lines
                .iter()
                .any(|line| line["event"] == event)
                .then_some(lines)
        })
    }

    /// URL of the last entry's metrics.
    pub(crate) fn entry_metrics_url(&self) -> String {
        format!("http://{}/metrics", self.entry_ready_address)
    }

    /// The metrics of the first agent and of the last entry.
    pub(crate) fn metrics(&self) -> String {
        let agent = format!("http://{}/metrics", self.workers[0].agent_http);
        let pages = [agent, self.entry_metrics_url()].map(|url| call("GET", &url, &[], ""));
        pages.map(|(_, page)| page).concat()
    }

    /// Waits until an entry serves a job that needs the capacity of all workers.
    pub(crate) fn wait_until_serving(&self, entry: usize) {
        let enough = 10 * self.workers.len();
        poll(|| {
            // Long enough that the interval of the ticks does not make the simulated
            // worker look slow.
            let (status, _) = self.submit(entry, "00000000000000aa", enough, 200);
            (status == 200).then_some(())
        });
    }

    /// Submits a job of `count` tasks that take `millis` each; returns status and body.
    pub(crate) fn submit(
        &self,
        entry: usize,
        id: &str,
        count: usize,
        millis: u64,
    ) -> (u16, String) {
        let job = job(count, millis).to_string();
        self.call(entry, "POST", &format!("/q/{id}"), &job)
    }

    /// Like [`Platform::submit`], from a new thread.
    pub(crate) fn spawn_submit(
        &self,
        entry: usize,
        id: &'static str,
        count: usize,
        millis: u64,
    ) -> JoinHandle<(u16, String)> {
        self.spawn_submit_id(entry, id.to_owned(), count, millis)
    }

    /// Like [`Platform::spawn_submit`], for an id that is made up.
    pub(crate) fn spawn_submit_id(
        &self,
        entry: usize,
        id: String,
        count: usize,
        millis: u64,
    ) -> JoinHandle<(u16, String)> {
        self.spawn_submit_steps(entry, &id, millis, job(count, millis)["steps"].take())
    }

    /// Submits a job of several steps, whose tasks take `millis` each, from a new thread.
    pub(crate) fn spawn_submit_steps(
        &self,
        entry: usize,
        id: &str,
        millis: u64,
        steps: Value,
    ) -> JoinHandle<(u16, String)> {
        let address = self.entry_http_addresses[entry].clone();
        let job = json!({ "spec": millis.to_string(), "best-effort": true, "steps": steps });
        let url = format!("http://{address}/q/{id}");
        thread::spawn(move || {
            let headers = [("deadline-ms", "10000")];
            let (status, body): (StatusCode, String) =
                call("POST", &url, &headers, &job.to_string());
            (status.as_u16(), body)
        })
    }

    /// Submits a job and closes the connection once a task runs.
    pub(crate) fn submit_and_disconnect(&self, entry: usize, id: &str, job: &Value) {
        let _stream = self.send(entry, id, job, 10_000);
        poll(|| (self.running() > 0).then_some(()));
    }

    /// Sends a job that its caller gives up after `deadline` milliseconds; doesn't wait for
    /// the answer.
    pub(crate) fn send(&self, entry: usize, id: &str, job: &Value, deadline: u64) -> TcpStream {
        let body = job.to_string();
        let mut stream =
            TcpStream::connect(&self.entry_http_addresses[entry]).expect("the connection opens");
        let length = body.len();
        let head = format!(
            "POST /q/{id} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\
             deadline-ms: {deadline}\r\ncontent-length: {length}\r\n\r\n"
        );
        stream
            .write_all((head + &body).as_bytes())
            .expect("the request is sent");
        stream
    }

    /// Reads a path of an entry from a new thread, which returns the status.
    pub(crate) fn spawn_get(&self, entry: usize, path: &str) -> JoinHandle<u16> {
        let url = format!("http://{}{path}", self.entry_http_addresses[entry]);
        thread::spawn(move || call("GET", &url, &[], "").0.as_u16())
    }

    /// Calls an entry; returns status and body.
    pub(crate) fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_with(entry, method, path, &[("deadline-ms", "10000")], body)
    }

    /// Calls an entry with these headers; returns status and body.
    pub(crate) fn call_with(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> (u16, String) {
        let url = format!("http://{}{path}", self.entry_http_addresses[entry]);
        let (status, answer) = call(method, &url, headers, body);
        (status.as_u16(), answer)
    }

    /// Asserts that no task ran more than once at the same time.
    pub(crate) fn assert_no_concurrent_runs(&self) {
        let observed = self.observed.lock().expect("the lock is not poisoned");
        assert!(
            observed.concurrent.is_empty(),
            "ran more than once at the same time: {:?}",
            observed.concurrent
        );
    }

    /// Number of runs that have ended in the given way.
    pub(crate) fn count_ends(&self, ending: &str) -> u64 {
        let observed = self.observed.lock().expect("the lock is not poisoned");
        observed.ends.get(ending).copied().unwrap_or(0)
    }

    /// Number of tasks that run at the workers.
    pub(crate) fn running(&self) -> usize {
        self.workers.iter().map(Worker::running).sum()
    }

    /// Kills an entry and starts it again at the same addresses.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        self.restart_entry_prepared(index, |_| {});
    }

    /// Like [`Platform::restart_entry`], with the command changed by `prepare`.
    pub(crate) fn restart_entry_prepared(
        &mut self,
        index: usize,
        prepare: impl FnOnce(&mut Command),
    ) {
        self.entries[index].kill();
        self.entries[index].wait();
        self.entries[index] = Process::start_prepared(&self.entry_settings[index], prepare);
    }

    /// Kills an entry and all control instances, and starts the entry again. It holds each
    /// job for up to `config_wait` until it has a configuration.
    pub(crate) fn restart_entry_without_control(&mut self, index: usize, config_wait: &str) {
        for control in &mut self.controls {
            control.kill();
            control.wait();
        }
        self.entry_settings[index]["entry"]["config_wait"] = json!(config_wait);
        self.restart_entry(index);
        self.entries[index].listen_address("entry-http");
    }

    /// Settings of an additional entry, with free ports.
    pub(crate) fn additional_entry_settings(&self) -> Value {
        let mut settings = self.entry_settings[0].clone();
        settings["name"] = json!("entry-further");
        settings["log"] = self.log("entry", self.entries.len());
        for address in ["http", "ready"] {
            settings["entry"][address] = json!("127.0.0.1:0");
        }
        settings
    }

    /// Addresses of the entries' HTTP API.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        self.entry_http_addresses.clone()
    }
}

/// Prints what the control instances have logged if the test fails.
impl Drop for Platform {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for index in 0..self.controls.len() {
            let name = format!("control-{index}.log");
            let log = std::fs::read_to_string(self.log_folder.path().join(&name));
            eprintln!("{name}:\n{}", log.unwrap_or_else(|error| error.to_string()));
        }
    }
}

/// A folder for logs, which is kept after the test if `GENTIAN_KEEP_LOGS` is set.
fn log_folder() -> tempfile::TempDir {
    let mut folder = tempfile::tempdir().expect("a temporary folder");
    folder.disable_cleanup(std::env::var_os("GENTIAN_KEEP_LOGS").is_some());
    folder
}

/// A job with one step, of `count` tasks that take `millis` each.
pub(crate) fn job(count: usize, millis: u64) -> Value {
    json!({
        "spec": millis.to_string(), "best-effort": true,
        "steps": [{ "count": count, "cpu": 3_000, "mem-mb": 64, "estimate-ms": millis }],
    })
}
