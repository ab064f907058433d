//! Clusters of control instances, each in a process of its own.

use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Output;

use oxhttp::model::StatusCode;
use serde_json::{json, Value};
use tempfile::{NamedTempFile, TempDir};

use super::system::poll;
use super::{call, gentiancove, output, Process};

/// A control instance that keeps its addresses and data across restarts.
pub(crate) struct Instance {
    pub(crate) process: Process,
    pub(crate) http: String,
    pub(crate) peer: String,
    data: TempDir,
}

impl Instance {
    /// Starts an instance on free ports and an empty data folder.
    pub(crate) fn start() -> Instance {
        let data = tempfile::tempdir().expect("a temporary folder");
        let process = start_process("127.0.0.1:0", "127.0.0.1:0", &data);
        Instance {
            http: process.listen_address("control-http").to_string(),
            peer: process.listen_address("control-peer").to_string(),
            process,
            data,
        }
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
        self.process.wait();
    }

    /// Starts the process again with the same addresses and data folder.
    pub(crate) fn restart(&mut self) {
        self.process = start_process(&self.http, &self.peer, &self.data);
        self.process.listen_address("control-peer");
    }

    /// Starts the process again while its disk is full, until
    /// [`Process::limit_file_size`] removes the limit.
    pub(crate) fn restart_with_full_disk(&mut self) {
        let limit = libc::rlimit {
            rlim_cur: 1,
            rlim_max: libc::RLIM_INFINITY,
        };
        self.process = start_process_with(&self.http, &self.peer, &self.data, Some(limit));
    }

    /// Kills the process and replaces its data folder by an empty one.
    pub(crate) fn lose_disk(&mut self) {
        self.kill();
        self.data = tempfile::tempdir().expect("a temporary folder");
    }

    /// Overwrites all files of old versions with zeros.
    pub(crate) fn damage_history(&self) {
        for file in self.history_files() {
            let length = std::fs::metadata(&file).expect("a file").len();
            std::fs::write(&file, vec![0; length as usize]).expect("the file is written");
        }
    }

    /// Removes all files of old versions.
    pub(crate) fn remove_history(&self) {
        for file in self.history_files() {
            std::fs::remove_file(&file).expect("the file is removed");
        }
    }

    fn history_files(&self) -> Vec<PathBuf> {
        let files = std::fs::read_dir(self.data.path().join("history")).expect("a folder");
        files.map(|file| file.expect("a file").path()).collect()
    }

    /// Runs another process on the same data folder until it exits.
    pub(crate) fn run_second_process(&self) -> Output {
        let file = write_settings("127.0.0.1:0", "127.0.0.1:0", &self.data);
        output(&["run", "--settings", path_of(&file)])
    }

    /// Calls the HTTP API for operators; returns status and JSON body.
    pub(crate) fn call(&self, method: &str, path: &str, body: &Value) -> (StatusCode, Value) {
        let url = format!("http://{}{path}", self.http);
        let headers = [("content-type", "application/json")];
        let (status, body) = call(method, &url, &headers, &body.to_string());
        (status, serde_json::from_str(&body).unwrap_or(Value::Null))
    }

    /// Numbers of all versions in the history of the instance, from all its pages.
    pub(crate) fn history(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        loop {
            let after = versions.last().copied().unwrap_or(0);
            let path = format!("/v1/config/history?after={after}");
            let (_, page) = self.call("GET", &path, &Value::Null);
            let records = page["versions"].as_array().cloned().unwrap_or_default();
            versions.extend(records.iter().filter_map(|r| r["version"].as_u64()));
            if page["more"] != json!(true) {
                return versions;
            }
        }
    }

    /// The instance's answer about the members of the cluster.
    pub(crate) fn members(&self) -> Value {
        self.call("GET", "/v1/members", &Value::Null).1
    }
}

fn start_process(http: &str, peer: &str, data: &TempDir) -> Process {
    start_process_with(http, peer, data, None)
}

/// Starts a process with this limit of the size of files that it writes.
fn start_process_with(
    http: &str,
    peer: &str,
    data: &TempDir,
    limit: Option<libc::rlimit>,
) -> Process {
    let file = write_settings(http, peer, data);
    let mut command = gentiancove(&["run", "--settings", path_of(&file)]);
    // SAFETY: between fork and exec, only signal(2) and setrlimit(2) are called, which are
    // async-signal-safe.
    unsafe {
        command.pre_exec(move || {
            // By default SIGXFSZ ends a process that writes beyond its file size limit.
            // When ignored, the write fails with an error, which stands in for a
            // full disk.
            libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
            if let Some(limit) = limit {
                libc::setrlimit(libc::RLIMIT_FSIZE, &limit);
            }
            Ok(())
        });
    }
    let mut process = Process::spawn(command);
    process.keep_settings(file);
    process
}

fn write_settings(http: &str, peer: &str, data: &TempDir) -> NamedTempFile {
    let data = data.path();
    let text = json!({
        "name": "control", "data_center": "beauce", "rack": "r1", "region": "quebec",
        "controller": { "http": http, "peer": peer, "data": data },
    });
    let mut file = NamedTempFile::new().expect("a temporary file");
    write!(file, "{text}").expect("settings are written");
    file
}

fn path_of(file: &NamedTempFile) -> &str {
    file.path().to_str().expect("a UTF-8 path")
}

/// Control instances that replicate one configuration.
pub(crate) struct Cluster {
    pub(crate) instances: Vec<Instance>,
    /// Indices of instances that are frozen or dead, which nothing calls.
    pub(crate) unreachable: Vec<usize>,
}

impl Cluster {
    /// Starts and initializes a cluster, and waits until it has a leader.
    pub(crate) fn start(size: usize) -> Cluster {
        let cluster = Cluster::uninitialized(size);
        let peers: Vec<_> = cluster.instances.iter().map(|i| &i.peer).collect();
        let (status, answer) = cluster.change_members(0, &json!({ "init": peers }));
        assert_eq!(status.as_u16(), 200, "{answer}");
        cluster.wait_for_leader();
        cluster
    }

    /// Starts instances with empty data folders, which do not form a cluster yet.
    pub(crate) fn uninitialized(size: usize) -> Cluster {
        Cluster {
            instances: (0..size).map(|_| Instance::start()).collect(),
            unreachable: Vec::new(),
        }
    }

    /// Sends a membership change to one instance.
    pub(crate) fn change_members(&self, instance: usize, body: &Value) -> (StatusCode, Value) {
        self.instances[instance].call("POST", "/v1/members", body)
    }

    /// Index of the instance that reports itself as the leader, if any does now.
    pub(crate) fn find_leader(&self) -> Option<usize> {
        let mut called = (0..self.instances.len()).filter(|i| !self.unreachable.contains(i));
        called.find(|i| self.instances[*i].members()["leads"] == json!(true))
    }

    /// Waits for a leader and returns its index.
    pub(crate) fn wait_for_leader(&self) -> usize {
        poll(|| self.find_leader())
    }

    /// Adds a team by a patch, which is retried until a leader accepts it; returns the
    /// new version.
    pub(crate) fn patch(&self, team: &str) -> u64 {
        let id = uuid();
        poll(|| {
            let leader = &self.instances[self.wait_for_leader()];
            let (status, config) = leader.call("GET", "/v1/config", &Value::Null);
            let base = config["version"].as_u64().filter(|_| status.is_success())?;
            let patch = json!({ "id": id, "base": base, "author": "ada", "merge": { "teams": { team: {} } } });
            let (status, answer) = leader.call("PATCH", "/v1/config", &patch);
            answer["version"].as_u64().filter(|_| status.is_success())
        })
    }

    /// Sends `count` patches one after the other to `leader`, which has version `base`;
    /// returns the last version.
    pub(crate) fn patch_many(&self, leader: usize, base: u64, count: u64) -> u64 {
        let leader = &self.instances[leader];
        for version in base..base + count {
            let merge = json!({ "teams": { "many": { "concurrent": version + 1 } } });
            let patch = json!({ "id": uuid(), "base": version, "author": "ada", "merge": merge });
            let (status, answer) = leader.call("PATCH", "/v1/config", &patch);
            assert_eq!(status.as_u16(), 200, "{answer}");
        }
        base + count
    }

    /// The version of the configuration that the leader returns.
    pub(crate) fn version(&self) -> u64 {
        poll(|| {
            let leader = &self.instances[self.wait_for_leader()];
            let (status, config) = leader.call("GET", "/v1/config", &Value::Null);
            config["version"].as_u64().filter(|_| status.is_success())
        })
    }

    /// Replaces the member of an instance that lost its disk, and waits until all
    /// members are voters.
    pub(crate) fn replace(&self, lost: usize) {
        let peer = &self.instances[lost].peer;
        let body = json!({ "remove": peer, "add": peer });
        poll(|| {
            self.change_members(self.wait_for_leader(), &body)
                .0
                .is_success()
                .then_some(())
        });
        poll(|| {
            let members = self.instances[self.wait_for_leader()].members();
            let members = members["members"].as_array()?.clone();
            let complete = members.len() == self.instances.len();
            (complete && members.iter().all(|m| m["voter"] == json!(true))).then_some(())
        });
    }
}

fn uuid() -> String {
    uuid::Uuid::now_v7().to_string()
}
