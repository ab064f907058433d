//! Clusters of control instances that crash, freeze, lose their disks and recover.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::{json, Value};
use support::cluster::Cluster;
use support::system::poll;

#[test]
fn instances_with_empty_data_folders_wait_to_be_initialized() {
    let cluster = Cluster::uninitialized(3);
    thread::sleep(Duration::from_secs(4));
    assert_eq!(cluster.find_leader(), None);
    for instance in &cluster.instances {
        let (status, _) = instance.call("GET", "/v1/config", &Value::Null);
        assert_eq!(status.as_u16(), 503);
    }
}

#[test]
fn an_accepted_version_survives_the_death_of_the_leader() {
    let mut cluster = Cluster::start(3);
    for round in 0..3 {
        let version = cluster.patch(&format!("team-{round}"));
        let leader = cluster.wait_for_leader();
        cluster.instances[leader].kill();
        cluster.unreachable = vec![leader];
        assert_eq!(cluster.version(), version);
        cluster.instances[leader].restart();
        cluster.unreachable.clear();
    }
}

#[test]
fn an_accepted_version_survives_the_death_of_all_instances() {
    let mut cluster = Cluster::start(3);
    let version = cluster.patch("team");
    cluster.instances.iter_mut().for_each(|i| i.kill());
    cluster.instances.iter_mut().for_each(|i| i.restart());
    assert_eq!(cluster.version(), version);
}

#[test]
fn a_thawed_leader_returns_no_outdated_version() {
    let mut cluster = Cluster::start(3);
    cluster.patch("before");
    let frozen = cluster.wait_for_leader();
    cluster.instances[frozen].process.signal(libc::SIGSTOP);
    cluster.unreachable = vec![frozen];
    let version = cluster.patch("after");
    // The call must be waiting in the frozen instance's socket when it thaws.
    let url = format!("http://{}/v1/config", cluster.instances[frozen].http);
    let call = thread::spawn(move || support::call("GET", &url, &[], ""));
    thread::sleep(Duration::from_millis(200));
    cluster.instances[frozen].process.signal(libc::SIGCONT);
    let (status, body) = call.join().expect("the thread does not panic");
    let answer: Value = serde_json::from_str(&body).expect("valid JSON");
    assert!(
        status.as_u16() == 503 || answer["version"] == json!(version),
        "{status} {answer}"
    );
    cluster.unreachable.clear();
    poll(|| (cluster.instances[frozen].members()["leads"] == json!(false)).then_some(()));
    assert_eq!(cluster.version(), version);
}

#[test]
fn a_patch_that_arrives_while_the_only_instance_stands_still_is_accepted() {
    let cluster = Cluster::start(1);
    let instance = &cluster.instances[0];
    for version in 0..8 {
        let term = instance.members()["term"].clone();
        let merge = json!({ "teams": { "late": { "concurrent": version + 1 } } });
        let patch =
            json!({ "id": uuid::Uuid::now_v7(), "base": version, "author": "ada", "merge": merge });
        let url = format!("http://{}/v1/config", instance.http);
        instance.process.signal(libc::SIGSTOP);
        let call = thread::spawn(move || {
            let headers = [("content-type", "application/json")];
            support::call("PATCH", &url, &headers, &patch.to_string())
        });
        thread::sleep(Duration::from_millis(700));
        instance.process.signal(libc::SIGCONT);
        let (status, body) = call.join().expect("the thread does not panic");
        assert_eq!(status.as_u16(), 200, "{body}");
        assert_eq!(instance.members()["term"], term);
    }
}

#[test]
fn a_version_survives_the_loss_of_one_disk_after_another() {
    let mut cluster = Cluster::start(3);
    let mut version = cluster.patch("start");
    for lost in [0, 1, 2, 0] {
        let before = cluster.instances[lost].members()["id"].clone();
        cluster.instances[lost].lose_disk();
        cluster.unreachable = vec![lost];
        version = version.max(cluster.patch(&format!("lost-{lost}-{version}")));
        cluster.instances[lost].restart();
        let answer = cluster.instances[lost].members();
        assert_ne!(answer["id"], before);
        assert_eq!(answer["initialized"], json!(false));
        cluster.replace(lost);
        cluster.unreachable.clear();
        assert_eq!(cluster.version(), version);
    }
}

#[test]
fn a_repeated_membership_change_changes_nothing() {
    let mut cluster = Cluster::start(3);
    let peers: Vec<_> = cluster.instances.iter().map(|i| i.peer.clone()).collect();
    assert_eq!(
        cluster
            .change_members(0, &json!({ "init": peers }))
            .0
            .as_u16(),
        200
    );
    assert_eq!(
        cluster
            .change_members(1, &json!({ "init": [peers[1]] }))
            .0
            .as_u16(),
        409
    );
    let lost = (cluster.wait_for_leader() + 1) % 3;
    cluster.instances[lost].lose_disk();
    cluster.instances[lost].restart();
    cluster.replace(lost);
    let before = cluster.instances[cluster.wait_for_leader()].members()["members"].clone();
    cluster.replace(lost);
    let after = cluster.instances[cluster.wait_for_leader()].members()["members"].clone();
    assert_eq!(before, after);
}

#[test]
fn a_data_folder_in_use_by_another_process_is_refused() {
    let cluster = Cluster::start(1);
    let output = cluster.instances[0].run_second_process();
    assert!(!output.status.success());
    let stderr = support::text(&output.stderr);
    assert!(stderr.contains("in use by another process"), "{stderr}");
}

#[test]
fn a_replaced_instance_catches_up_from_a_snapshot() {
    let mut cluster = Cluster::start(3);
    let version = cluster.version();
    let version = cluster.patch_many(cluster.wait_for_leader(), version, 1100);
    let lost = (cluster.wait_for_leader() + 1) % 3;
    cluster.instances[lost].lose_disk();
    cluster.instances[lost].restart();
    cluster.replace(lost);
    let leader = cluster.wait_for_leader();
    cluster.instances[leader].kill();
    cluster.unreachable = vec![leader];
    assert_eq!(cluster.version(), version);
    let status = |i: usize| {
        cluster.instances[i]
            .call("GET", "/v1/status", &Value::Null)
            .1
    };
    let digest = status(cluster.wait_for_leader())["digest"].clone();
    assert!(digest.is_string());
    // A follower learns the commit index from the next heartbeat.
    poll(|| {
        let answer = status(lost);
        let same = answer["version"] == json!(version) && answer["digest"] == digest;
        let history = cluster.instances[lost].history();
        (same && history.eq(&(1..=version).collect::<Vec<_>>())).then_some(())
    });
}

#[test]
fn a_full_disk_halts_the_instance_until_space_is_free() {
    let cluster = Cluster::start(1);
    let instance = &cluster.instances[0];
    let version = cluster.patch("before");
    instance.process.limit_file_size(Some(1));
    let merge = json!({ "teams": { "late": {} } });
    let patch =
        json!({ "id": uuid::Uuid::now_v7(), "base": version, "author": "ada", "merge": merge });
    let (status, answer) = instance.call("PATCH", "/v1/config", &patch);
    assert_eq!(status.as_u16(), 503, "{answer}");
    poll(|| (instance.members()["role"] == json!("halted")).then_some(()));
    assert_eq!(
        instance.call("GET", "/v1/config", &Value::Null).0.as_u16(),
        503
    );
    instance.process.limit_file_size(None);
    assert_eq!(cluster.version(), version);
    assert_eq!(cluster.patch("after"), version + 1);
}

/// A patch within the limits of a request was nested too deeply for the log entry that holds it,
/// so every instance ended as it applied the entry, and again after each restart.
#[test]
fn a_deeply_nested_patch_ends_no_instance() {
    let cluster = Cluster::start(3);
    let version = cluster.patch("before");
    for depth in [20, 100, 118, 120, 122, 124, 126, 1_000, 100_000] {
        let merge = r#"{"services":"#.repeat(depth) + "{}" + &"}".repeat(depth);
        let id = uuid::Uuid::now_v7();
        let patch = format!(r#"{{"id":"{id}","base":{version},"author":"ada","merge":{merge}}}"#);
        let leader = &cluster.instances[cluster.wait_for_leader()];
        let url = format!("http://{}/v1/config", leader.http);
        let (status, body) = support::call("PATCH", &url, &[], &patch);
        assert!(
            [400, 422].contains(&status.as_u16()),
            "depth {depth}: {status} {body}"
        );
    }
    assert_eq!(version, cluster.version());
    assert_eq!(version + 1, cluster.patch("after"));
}
