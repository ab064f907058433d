//! The history of the configuration on control instances whose state keeps its recent part only:
//! real processes.

mod support;

use serde_json::{json, Value};
use support::cluster::{Cluster, Instance};
use support::system::poll;
use support::{output, text};
use test_case::test_case;

/// Changes of [`PATCH_BYTES`] each after which several segments were sealed.
const CHANGES: u64 = 24;
const PATCH_BYTES: usize = 60_000;

fn patch(base: u64) -> Value {
    let path = format!("/{}", "p".repeat(PATCH_BYTES));
    let id = format!("00000000-0000-4000-8000-{base:012x}");
    let merge = json!({ "services": { "desk": { "path": path, "deadline_ms": 1_000 + base } } });
    json!({ "id": id, "base": base, "author": "ada", "merge": merge })
}

fn send(cluster: &Cluster, patch: &Value) -> (u16, Value) {
    let leader = &cluster.instances[cluster.wait_for_leader()];
    let (status, answer) = leader.call("PATCH", "/v1/config", patch);
    (status.as_u16(), answer)
}

/// A cluster with many large changes, and the answers to them.
fn start_with_history() -> (Cluster, Vec<Value>) {
    let cluster = Cluster::start(3);
    let first = cluster.version();
    let answers = (first..first + CHANGES).map(|base| {
        let (status, answer) = send(&cluster, &patch(base));
        assert_eq!(status, 200, "{answer}");
        answer
    });
    let answers = answers.collect();
    (cluster, answers)
}

fn gauge(cluster: &Cluster, instance: usize, name: &str) -> u64 {
    let url = format!("http://{}/metrics", cluster.instances[instance].http);
    let (_, page) = support::call("GET", &url, &[], "");
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split(' ').nth(1)?.parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {page}"))
}

/// Whether all versions are in the history of an instance, and verify.
fn verifies(cluster: &Cluster, instance: usize) -> bool {
    let address = format!("http://{}", cluster.instances[instance].http);
    let output = output(&["config", "verify", "--control", &address]);
    let version = format!("{CHANGES}:");
    output.status.success() && text(&output.stdout).starts_with(&version)
}

#[test]
fn old_versions_stay_on_record_beside_a_small_state() {
    let (mut cluster, answers) = start_with_history();
    for instance in 0..3 {
        poll(|| verifies(&cluster, instance).then_some(()));
        assert!(
            gauge(&cluster, instance, "gentian_control_history_bytes") > 10 * PATCH_BYTES as u64
        );
        let snapshot = gauge(&cluster, instance, "gentian_control_snapshot_bytes");
        assert!(snapshot < 800_000, "{snapshot} bytes");
    }
    cluster.instances.iter_mut().for_each(|i| i.kill());
    cluster.instances.iter_mut().for_each(|i| i.restart());
    assert_eq!(cluster.version(), CHANGES);
    for instance in 0..3 {
        poll(|| verifies(&cluster, instance).then_some(()));
    }
    for base in [0, 3, CHANGES - 1] {
        let (status, answer) = send(&cluster, &patch(base));
        assert_eq!((status, &answer), (200, &answers[base as usize]));
    }
    let mut other = patch(2);
    other["author"] = json!("eve");
    let (status, answer) = send(&cluster, &other);
    assert_eq!((status, &answer["answer"]), (409, &json!("reused")));
    other["id"] = json!("00000000-0000-4000-8000-00000000ffff");
    let (status, answer) = send(&cluster, &other);
    assert_eq!((status, &answer["answer"]), (409, &json!("conflict")));
    assert_eq!(answer["winner"]["version"], json!(3));
}

/// An instance that lost its disk has its vote before it has the old part of the history again,
/// and gets that from the others.
#[test]
fn an_instance_that_lost_its_disk_gets_the_history_from_the_others() {
    let (mut cluster, _) = start_with_history();
    for lost in 0..3 {
        cluster.instances[lost].lose_disk();
        cluster.instances[lost].restart();
        cluster.replace(lost);
        poll(|| verifies(&cluster, lost).then_some(()));
    }
    assert_eq!(cluster.version(), CHANGES);
}

/// Guards against files that can't be used and stay so, since the instance counts them as there.
#[test_case(Instance::damage_history; "damaged")]
#[test_case(Instance::remove_history; "removed")]
fn files_that_cannot_be_used_are_fetched_anew(spoil: fn(&Instance)) {
    let (cluster, answers) = start_with_history();
    let leader = cluster.wait_for_leader();
    poll(|| verifies(&cluster, leader).then_some(()));
    spoil(&cluster.instances[leader]);
    let (status, answer) = send(&cluster, &patch(0));
    assert_eq!(status, 503, "{answer}");
    poll(|| verifies(&cluster, leader).then_some(()));
    let (status, answer) = send(&cluster, &patch(0));
    assert_eq!((status, &answer), (200, &answers[0]));
}
