//! The control instances of a system: calls as operators make them, and faults.

use std::time::Duration;

use oxhttp::model::{Body, Request};
use serde_json::{json, Value};

use super::super::system::poll;
use super::super::{Process, NO_ANSWER};
use super::{Platform, HOST};

impl Platform {
    /// Puts a configuration at each control instance in turn until one acknowledges it.
    pub(crate) fn put_config(&self, version: u64, timeout: u64) {
        self.put_config_body(&config(version, timeout));
    }

    /// Like [`Platform::put_config`], with the whole configuration.
    pub(crate) fn put_config_body(&self, config: &Value) {
        let body = config.to_string();
        let mut turn = 0;
        poll(|| {
            turn += 1;
            (self
                .call_control(turn % 3, "POST", "/-/config/put", &body)
                .0
                == 200)
                .then_some(())
        });
    }

    /// Calls a control instance and follows redirections.
    pub(crate) fn call_control(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        call_control(&self.control_http_addresses[index], method, path, body)
    }

    /// Calls the control instances in turn until one answers other than that it doesn't lead.
    pub(crate) fn call_leader(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let indices = 0..self.control_http_addresses.len();
        poll(|| {
            let mut answers = indices
                .clone()
                .map(|i| self.call_control(i, method, path, body));
            answers.find(|(status, _)| ![503, NO_ANSWER].contains(status))
        })
    }

    /// Drains a data centre, or ends its drain, at any control instance, and waits for the
    /// acknowledgement.
    pub(crate) fn drain(&self, data_center: &str, order: DrainOrder) {
        let path = drain_path(data_center, order);
        let mut turn = 0;
        poll(|| {
            turn += 1;
            (self.call_control(turn % 3, "POST", &path, "").0 == 200).then_some(())
        });
    }

    /// Reads the configuration from each control instance in turn until one returns it.
    pub(crate) fn read_config(&self) -> Value {
        let mut turn = 0;
        poll(|| {
            turn += 1;
            let (status, body) = self.call_control(turn % 3, "GET", "/-/config/get", "");
            (status == 200).then(|| serde_json::from_str(&body).expect("valid JSON"))
        })
    }

    /// Kills a control instance and starts it again with its data.
    pub(crate) fn restart_control(&mut self, index: usize) {
        self.controls[index].kill();
        self.controls[index].wait();
        self.controls[index] = Process::start_with_settings(&self.control_settings[index]);
    }

    /// Kills a control instance and starts it again with an empty data folder.
    pub(crate) fn lose_disk(&mut self, index: usize) {
        self.controls[index].kill();
        self.controls[index].wait();
        self.data_folders[index] = tempfile::tempdir().expect("a temporary folder");
        let section = &mut self.control_settings[index]["controller"];
        section["data"] = json!(self.data_folders[index].path().join("control"));
        section["found"] = json!(false);
        self.controls[index] = Process::start_with_settings(&self.control_settings[index]);
    }

    /// Size of the files in the data folder of a control instance.
    pub(crate) fn control_data_bytes(&self, index: usize) -> u64 {
        let folder = self.data_folders[index].path().join("control");
        let files = std::fs::read_dir(folder).expect("a folder");
        let sizes = files.filter_map(|file| file.ok()?.metadata().ok());
        sizes.map(|data| data.len()).sum()
    }

    /// Kills a control instance and starts another in its place, with an empty data
    /// folder and at an address that no settings name.
    pub(crate) fn replace_control(&mut self, index: usize) {
        self.controls[index].kill();
        self.controls[index].wait();
        let next = self.hosts.get(self.controls.len() + index);
        let moved = |address: &str| {
            let (_, port) = address.split_once(':').expect("an address");
            format!("{next}:{port}")
        };
        self.data_folders[index] = tempfile::tempdir().expect("a temporary folder");
        self.control_http_addresses[index] = moved(&self.control_http_addresses[index]);
        let settings = &mut self.control_settings[index];
        settings["name"] = json!(format!("control-{index}-next"));
        let section = &mut settings["controller"];
        section["http"] = json!(self.control_http_addresses[index]);
        section["peer"] = json!(moved(section["peer"].as_str().expect("an address")));
        section["data"] = json!(self.data_folders[index].path().join("control"));
        section["found"] = json!(false);
        self.controls[index] = Process::start_with_settings(settings);
    }

    /// Addresses at which other processes call the control instances.
    pub(crate) fn control_peers(&self) -> Vec<String> {
        let peers = self.control_settings.iter();
        let peers = peers.map(|settings| settings["controller"]["peer"].as_str());
        peers
            .map(|peer| peer.expect("an address").to_owned())
            .collect()
    }

    /// Addresses at which operators call the control instances.
    pub(crate) fn control_addresses(&self) -> Vec<String> {
        self.control_http_addresses.clone()
    }

    /// Ids of the voters that a control instance lists.
    pub(crate) fn voters(&self, index: usize) -> Vec<String> {
        let (_, body) = self.call_control(index, "GET", "/v1/members", "");
        let status: Value = serde_json::from_str(&body).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let voters = members.iter().filter(|member| member["voter"] == true);
        voters.map(|member| member["id"].to_string()).collect()
    }
}

/// Calls the control instance at an address and follows redirections.
pub(crate) fn call_control(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut url = format!("http://{address}{path}");
    for _ in 0..3 {
        let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(2));
        let request = Request::builder().method(method).uri(&url);
        let request = request
            .body(Body::from(body.to_owned()))
            .expect("a valid request");
        let answer = match client.request(request) {
            Ok(answer) => answer,
            Err(error) => return (NO_ANSWER, error.to_string()),
        };
        let status = answer.status().as_u16();
        let location = answer.headers().get("location").cloned();
        match location {
            Some(to) if status == 307 => url = to.to_str().expect("a textual header").to_owned(),
            _ => return (status, answer.into_body().to_string().unwrap_or_default()),
        }
    }
    (
        NO_ANSWER,
        format!("too many redirections, the last to {url}"),
    )
}

/// What an operator orders for a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainOrder {
    Start,
    End,
}

/// Path of an order to drain a data centre.
pub(crate) fn drain_path(data_center: &str, order: DrainOrder) -> String {
    let verb = match order {
        DrainOrder::Start => "start",
        DrainOrder::End => "end",
    };
    format!("/-/evacuation/{data_center}/{verb}")
}

/// A complete configuration with one queue; `timeout` is in milliseconds.
pub(crate) fn config(version: u64, timeout: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "q", "host": HOST, "path-prefix": "/q/", "kind": "unsafe",
            "timeout-ms": timeout, "target-latency-ms": 60, "priority": 0, "service": "desk",
            "max-attempts": 3, "stretch": 1.6,
        }],
        "services": [{
            "name": "desk", "health-path": "/health", "max-conns": 64, "protocol": "h1",
            "tls": false, "admission-control": true, "standby": false,
        }],
        "limits": { "max-header-bytes": 16_384, "max-body-bytes": 262_144 },
    })
}
