//! A system of separate processes on loopback: control, agents, upstreams, entries.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oxhttp::model::StatusCode;

use super::{call, output, text, Process, WAIT_TIMEOUT};

/// A control instance, agents with an example upstream each, and entries.
pub(crate) struct System {
    pub(crate) control: Process,
    pub(crate) control_http: String,
    pub(crate) agents: Vec<Process>,
    pub(crate) agent_addresses: Vec<String>,
    pub(crate) upstreams: Vec<Process>,
    pub(crate) upstream_addresses: Vec<String>,
    pub(crate) entries: Vec<Process>,
    pub(crate) entry_addresses: Vec<String>,
}

impl System {
    /// Starts a system with `agents` agents and one entry, and waits until it serves.
    pub(crate) fn start(agents: usize) -> System {
        System::start_with_entries(agents, 1)
    }

    /// Starts a system with `agents` agents and `entries` entries, and waits until it
    /// serves.
    pub(crate) fn start_with_entries(agents: usize, entries: usize) -> System {
        let (control, control_http, peer) = System::start_control_with_http();
        let mut system = System {
            control,
            control_http,
            agents: Vec::new(),
            agent_addresses: Vec::new(),
            upstreams: Vec::new(),
            upstream_addresses: Vec::new(),
            entries: Vec::new(),
            entry_addresses: Vec::new(),
        };
        (0..agents).for_each(|index| system.add_agent(index, &peer));
        for index in 0..entries {
            let entry = System::start_named_entry(&format!("entry-{index}"), &peer);
            let address = entry.listen_address("entry-http").to_string();
            system.entries.push(entry);
            system.entry_addresses.push(address);
        }
        system.wait_until_serving();
        system
    }

    /// Starts a control instance; returns the process and its peer address.
    pub(crate) fn start_control() -> (Process, String) {
        let (control, _, peer) = System::start_control_with_http();
        (control, peer)
    }

    /// Starts a control instance; returns the process, its HTTP and its peer address.
    pub(crate) fn start_control_with_http() -> (Process, String, String) {
        let data = tempfile::tempdir().expect("a temporary folder");
        let section = format!(
            r#""controller":{{"http":"127.0.0.1:0","peer":"127.0.0.1:0","data":{:?}}}"#,
            data.path()
        );
        let mut control = start_node("control", "", &section);
        control.keep_data_folder(data);
        let (http, peer) = init_cluster(&control);
        (control, http, peer)
    }

    /// Starts an entry that renews its lease at the given control instance.
    pub(crate) fn start_entry(control: &str) -> Process {
        System::start_named_entry("entry", control)
    }

    /// Entries need different names: two nodes with one name cannot both hold a lease.
    fn start_named_entry(name: &str, control: &str) -> Process {
        let section = r#""entry":{"http":"127.0.0.1:0"}"#;
        start_node(name, control, section)
    }

    fn add_agent(&mut self, index: usize, control: &str) {
        let section = r#""agent":{"http":"127.0.0.1:0","peer":"127.0.0.1:0"}"#;
        let agent = start_node(&format!("agent-{index}"), control, section);
        let http = agent.listen_address("agent-http").to_string();
        let url = format!("http://{http}");
        let upstream = Process::start(&["example-upstream", "--agent", &url]);
        let address = upstream.listen_address("upstream").to_string();
        self.agents.push(agent);
        self.agent_addresses.push(http);
        self.upstreams.push(upstream);
        self.upstream_addresses.push(address);
    }

    /// Sends one request through the first entry.
    pub(crate) fn request(&self, headers: &[(&str, &str)], body: &str) -> (StatusCode, String) {
        call("POST", &self.url(0), headers, body)
    }

    /// Sends one request through the first entry from a new thread.
    pub(crate) fn spawn_request(
        &self,
        headers: &'static [(&'static str, &'static str)],
        body: &'static str,
    ) -> JoinHandle<(StatusCode, String)> {
        let url = self.url(0);
        thread::spawn(move || call("POST", &url, headers, body))
    }

    /// Waits until some upstream runs a task; returns its index.
    pub(crate) fn wait_for_running(&self) -> usize {
        poll(|| {
            let running = |upstream: &usize| self.executions(*upstream, "running") > 0;
            (0..self.upstreams.len()).find(running)
        })
    }

    /// One of the execution counts of an upstream, such as `total` or `running`.
    pub(crate) fn executions(&self, upstream: usize, count: &str) -> u64 {
        let url = format!("http://{}/executions", self.upstream_addresses[upstream]);
        let (_, body) = call("GET", &url, &[], "");
        let counts: serde_json::Value = serde_json::from_str(&body).expect("JSON counts");
        counts[count].as_u64().expect("a count of that name")
    }

    /// Waits until each entry knows all agents and has served a request.
    fn wait_until_serving(&self) {
        let headers = [("x-service", "demo"), ("x-team", "start")];
        for entry in 0..self.entries.len() {
            poll(|| {
                let url = format!("http://{}/v1/status", self.entry_addresses[entry]);
                let status: serde_json::Value =
                    serde_json::from_str(&call("GET", &url, &[], "").1).ok()?;
                (status["members"].as_u64() == Some(self.agents.len() as u64)).then_some(())
            });
            poll(|| {
                let (status, _) = call("POST", &self.url(entry), &headers, "{}");
                (status.as_u16() == 200).then_some(())
            });
        }
    }

    fn url(&self, entry: usize) -> String {
        format!("http://{}/v1/requests", self.entry_addresses[entry])
    }
}

/// Initializes a cluster that consists of one control instance, and waits until it
/// serves the configuration; returns its HTTP and peer addresses.
pub(crate) fn init_cluster(control: &Process) -> (String, String) {
    let http = control.listen_address("control-http").to_string();
    let peer = control.listen_address("control-peer").to_string();
    let url = format!("http://{http}");
    let init = output(&["members", "init", "--control", &url, &peer]);
    assert!(init.status.success(), "{}", text(&init.stderr));
    let config = format!("{url}/v1/config");
    poll(|| (call("GET", &config, &[], "").0.as_u16() == 200).then_some(()));
    (http, peer)
}

/// Starts a node that renews its lease at the control instances at the
/// comma-separated addresses in `control`; `section` holds the settings of its role.
pub(crate) fn start_node(name: &str, control: &str, section: &str) -> Process {
    let control = control.split(',').filter(|address| !address.is_empty());
    let control: Vec<_> = control.map(|address| format!("{address:?}")).collect();
    let control = control.join(",");
    let text = format!(
        r#"{{"name":"{name}","data_center":"beauce","rack":"r1","region":"quebec","control":[{control}],{section}}}"#
    );
    Process::start_with_settings(&text)
}

/// Calls `check` until it returns a value; panics after [`WAIT_TIMEOUT`].
#[track_caller]
pub(crate) fn poll<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition was not met in time"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
