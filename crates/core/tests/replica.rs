//! Control instances that die, freeze, lose their disks and come back.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::{json, Value};
use support::cluster::Cluster;
use support::system::poll;

#[test]
fn an_empty_folder_waits_for_an_operator() {
    let cluster = Cluster::empty(3);
    thread::sleep(Duration::from_secs(4));
    assert_eq!(cluster.find_leader(), None);
    for instance in &cluster.instances {
        let (status, _) = instance.call("GET", "/v1/config", &Value::Null);
        assert_eq!(status.as_u16(), 503);
    }
}

#[test]
fn an_accepted_version_outlives_the_death_of_the_leader() {
    let mut cluster = Cluster::start(3);
    for round in 0..3 {
        let version = cluster.patch(&format!("team-{round}"));
        let leader = cluster.leader();
        cluster.instances[leader].kill();
        cluster.silent = vec![leader];
        assert_eq!(cluster.version(), version);
        cluster.instances[leader].restart();
        cluster.silent.clear();
    }
}

#[test]
fn an_accepted_version_outlives_the_death_of_all() {
    let mut cluster = Cluster::start(3);
    let version = cluster.patch("team");
    cluster.instances.iter_mut().for_each(|i| i.kill());
    cluster.instances.iter_mut().for_each(|i| i.restart());
    assert_eq!(cluster.version(), version);
}

#[test]
fn a_thawed_leader_tells_nothing_old() {
    let mut cluster = Cluster::start(3);
    cluster.patch("before");
    let old = cluster.leader();
    cluster.instances[old].process.signal(libc::SIGSTOP);
    cluster.silent = vec![old];
    let version = cluster.patch("after");
    // The call is in the frozen instance's socket before it thaws.
    let url = format!("http://{}/v1/config", cluster.instances[old].http);
    let call = thread::spawn(move || support::call("GET", &url, &[], ""));
    thread::sleep(Duration::from_millis(200));
    cluster.instances[old].process.signal(libc::SIGCONT);
    let (status, body) = call.join().expect("call");
    let told: Value = serde_json::from_str(&body).expect("JSON");
    assert!(
        status.as_u16() == 503 || told["version"] == json!(version),
        "{status} {told}"
    );
    cluster.silent.clear();
    poll(|| (cluster.instances[old].members()["leads"] == json!(false)).then_some(()));
    assert_eq!(cluster.version(), version);
}

#[test]
fn a_second_disk_is_lost_right_after_the_repair_of_the_first() {
    let mut cluster = Cluster::start(3);
    let mut version = cluster.patch("start");
    for lost in [0, 1, 2, 0] {
        let before = cluster.instances[lost].members()["id"].clone();
        cluster.instances[lost].lose_disk();
        cluster.silent = vec![lost];
        version = version.max(cluster.patch(&format!("lost-{lost}-{version}")));
        cluster.instances[lost].restart();
        let told = cluster.instances[lost].members();
        assert_ne!(told["id"], before);
        assert_eq!(told["initialized"], json!(false));
        cluster.replace(lost);
        cluster.silent.clear();
        assert_eq!(cluster.version(), version);
    }
}

#[test]
fn a_resent_change_of_the_members_changes_nothing() {
    let mut cluster = Cluster::start(3);
    let peers: Vec<_> = cluster.instances.iter().map(|i| i.peer.clone()).collect();
    assert_eq!(cluster.change(0, &json!({ "init": peers })).0.as_u16(), 200);
    assert_eq!(
        cluster.change(1, &json!({ "init": [peers[1]] })).0.as_u16(),
        409
    );
    let lost = (cluster.leader() + 1) % 3;
    cluster.instances[lost].lose_disk();
    cluster.instances[lost].restart();
    cluster.replace(lost);
    let before = cluster.instances[cluster.leader()].members()["members"].clone();
    cluster.replace(lost);
    let after = cluster.instances[cluster.leader()].members()["members"].clone();
    assert_eq!(before, after);
}

#[test]
fn a_folder_in_use_is_refused() {
    let cluster = Cluster::start(1);
    let output = cluster.instances[0].run_beside();
    assert!(!output.status.success());
    let told = support::text(&output.stderr);
    assert!(told.contains("in use by another process"), "{told}");
}

#[test]
fn a_replaced_instance_catches_up_from_a_snapshot() {
    let mut cluster = Cluster::start(3);
    let version = cluster.version();
    let version = cluster.patch_many(cluster.leader(), version, 1100);
    let lost = (cluster.leader() + 1) % 3;
    cluster.instances[lost].lose_disk();
    cluster.instances[lost].restart();
    cluster.replace(lost);
    let leader = cluster.leader();
    cluster.instances[leader].kill();
    cluster.silent = vec![leader];
    assert_eq!(cluster.version(), version);
    let status = |i: usize| {
        cluster.instances[i]
            .call("GET", "/v1/status", &Value::Null)
            .1
    };
    let digest = status(cluster.leader())["digest"].clone();
    assert!(digest.is_string());
    // A follower hears with the next heartbeat what is committed.
    poll(|| {
        let told = status(lost);
        let same = told["version"] == json!(version) && told["digest"] == digest;
        let history = cluster.instances[lost].history();
        (same && history.eq(&(1..=version).collect::<Vec<_>>())).then_some(())
    });
}

#[test]
fn a_full_disk_stops_the_instance_and_room_starts_it_again() {
    let cluster = Cluster::start(1);
    let instance = &cluster.instances[0];
    let version = cluster.patch("before");
    instance.process.limit_files(Some(1));
    let merge = json!({ "teams": { "late": {} } });
    let patch =
        json!({ "id": uuid::Uuid::now_v7(), "base": version, "author": "ada", "merge": merge });
    let (status, told) = instance.call("PATCH", "/v1/config", &patch);
    assert_eq!(status.as_u16(), 503, "{told}");
    poll(|| (instance.members()["role"] == json!("halted")).then_some(()));
    assert_eq!(
        instance.call("GET", "/v1/config", &Value::Null).0.as_u16(),
        503
    );
    instance.process.limit_files(None);
    assert_eq!(cluster.version(), version);
    assert_eq!(cluster.patch("after"), version + 1);
}
