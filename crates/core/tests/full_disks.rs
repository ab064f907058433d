//! Control instances whose disks are full for a few seconds.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::cluster::Cluster;
use support::system::poll;

/// Time for which a disk is full.
const FULL: Duration = Duration::from_secs(3);
/// Time within which a change is accepted once all disks have room: a store is opened again
/// after 2 s at the latest, and a leader is elected.
const RECOVERY: Duration = Duration::from_secs(6);

/// Proposes a change at each instance that runs; whether one has accepted it.
fn try_patch(cluster: &Cluster, number: u64) -> bool {
    cluster.instances.iter().any(|instance| {
        let get = |path: &str| instance.call("GET", path, &Value::Null);
        let (status, config) = get("/v1/config");
        if !status.is_success() {
            return false;
        }
        let merge = json!({ "teams": { "many": { "concurrent": number } } });
        let id = uuid::Uuid::now_v7();
        let patch = json!({ "id": id, "base": config["version"], "author": "ada", "merge": merge });
        let (status, _) = instance.call("PATCH", "/v1/config", &patch);
        status.is_success()
    })
}

/// Lets the disks of the given instances be full one after another, never two at once, under
/// constant changes.
fn fill_in_turn(cluster: &Cluster, turn: &[usize]) {
    let mut number = 1;
    for at in turn {
        cluster.instances[*at].process.limit_file_size(Some(1));
        let begin = Instant::now();
        while begin.elapsed() < FULL {
            number += 1;
            try_patch(cluster, number);
            thread::sleep(Duration::from_millis(50));
        }
        cluster.instances[*at].process.limit_file_size(None);
    }
}

/// Asserts that a change is accepted soon, and reaches all instances.
fn assert_recovers(cluster: &Cluster) {
    let begin = Instant::now();
    while !try_patch(cluster, 100_000) {
        assert!(begin.elapsed() < RECOVERY, "no change is accepted");
        thread::sleep(Duration::from_millis(50));
    }
    let version = cluster.version();
    poll(|| {
        let status = |at: usize| {
            let instance = &cluster.instances[at];
            instance.call("GET", "/v1/status", &Value::Null).1["version"].clone()
        };
        let mut all = 0..cluster.instances.len();
        all.all(|at| status(at) == json!(version)).then_some(())
    });
}

macro_rules! turns {
    ($($name:ident: $voters:literal voters, $rounds:literal rounds, leader $first:literal;)*) => {
        $(#[test]
        fn $name() {
            let cluster = Cluster::start($voters);
            let leader = cluster.wait_for_leader();
            let turn = (0..$rounds * $voters).map(|n| (leader + n + usize::from(!$first)) % $voters);
            fill_in_turn(&cluster, &turn.collect::<Vec<_>>());
            assert_recovers(&cluster);
        })*
    };
}

turns! {
    three_accept_changes_after_each_disk_was_full_in_turn: 3 voters, 1 rounds, leader true;
    three_accept_changes_though_the_leader_was_full_last: 3 voters, 1 rounds, leader false;
    five_accept_changes_after_each_disk_was_full_in_turn: 5 voters, 1 rounds, leader true;
}

/// A process used to end as it started with a full disk.
#[test]
fn an_instance_that_starts_with_a_full_disk_serves_once_it_has_room() {
    let mut cluster = Cluster::start(3);
    let version = cluster.patch("before");
    let started = (cluster.wait_for_leader() + 1) % 3;
    cluster.instances[started].kill();
    cluster.instances[started].restart_with_full_disk();
    thread::sleep(FULL);
    assert!(
        cluster.instances[started].process.is_running(),
        "the process has ended"
    );
    cluster.instances[started].process.limit_file_size(None);
    // With another one gone, a majority needs it.
    let other = (started + 1) % 3;
    cluster.instances[other].process.signal(libc::SIGSTOP);
    cluster.unreachable = vec![other];
    cluster.instances[started]
        .process
        .listen_address("control-http");
    assert_eq!(version + 1, cluster.patch("after"));
    cluster.instances[other].process.signal(libc::SIGCONT);
}
