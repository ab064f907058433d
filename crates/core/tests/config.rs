//! Configuration changes through separate processes: conflicts, history, and when
//! nodes have a version in force.

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::cluster::Cluster;
use support::suspension::Suspension;
use support::system::{poll, start_node, System};
use support::{call, Process};
use uuid::Uuid;

/// Time within which an accepted version is in force on every node, and within which
/// the lease of a node expires that cannot renew it.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Time for which a node waits for the answer to one call.
const SILENT_CALL_TIMEOUT: Duration = Duration::from_millis(600);

fn get(url: &str) -> Value {
    let (status, body) = call("GET", url, &[], "");
    assert_eq!(status.as_u16(), 200, "{body}");
    serde_json::from_str(&body).expect("valid JSON")
}

/// URL of the configuration at a control instance.
fn config_url(control: &str) -> String {
    format!("http://{control}/v1/config")
}

fn patch(url: &str, id: u128, base: u64, merge: &Value) -> (u16, Value) {
    let body = json!({"id": Uuid::from_u128(id), "base": base, "author": "vet", "merge": merge});
    let (status, body) = call("PATCH", url, &[], &body.to_string());
    (
        status.as_u16(),
        serde_json::from_str(&body).expect("valid JSON"),
    )
}

#[test]
fn a_patch_is_in_force_on_every_node_within_a_lease() {
    let system = System::start_with_entries(2, 2);
    let url = config_url(&system.control_http);
    for base in 0..3 {
        let queue = json!({"limits": {"queue": 100 + base}});
        let (status, answer) = patch(&url, base.into(), base, &queue);
        assert_eq!(status, 200, "{answer}");
        let accepted = Instant::now();
        for address in system.agent_addresses.iter().chain(&system.entry_addresses) {
            poll(|| {
                let node = get(&format!("http://{address}/v1/status"));
                let current = node["in_force"] == true && node["version"] == base + 1;
                current.then_some(())
            });
        }
        println!(
            "version {} in force everywhere after {:?}",
            base + 1,
            accepted.elapsed()
        );
        assert!(accepted.elapsed() < IN_FORCE_WITHIN);
    }
}

#[test]
fn one_of_several_racing_patches_wins_and_a_resent_one_gets_its_first_answer() {
    let (_control, http, _) = System::start_control_with_http();
    let url = config_url(&http);
    let send = |id| {
        let url = url.clone();
        std::thread::spawn(move || patch(&url, id, 0, &json!({"limits": {"queue": id as u64}})))
    };
    let racers: Vec<_> = (1..9).map(send).collect();
    let answers: Vec<_> = racers
        .into_iter()
        .map(|r| r.join().expect("the thread does not panic"))
        .collect();
    let won = answers.iter().filter(|answer| answer.0 == 200).count();
    let lost = answers.iter().filter(|answer| answer.0 == 409).count();
    assert_eq!((won, lost), (1, 7), "{answers:?}");
    for (id, first) in (1..9).zip(&answers) {
        let again = patch(&url, id, 0, &json!({"limits": {"queue": id as u64}}));
        assert_eq!(again, *first);
    }
    assert_eq!(patch(&url, 1, 0, &json!({})).1["answer"], "reused");
    let history = get(&format!("{url}/history"));
    assert_eq!(history["versions"].as_array().map(Vec::len), Some(1));
    assert_eq!(history["versions"][0]["digest"], get(&url)["digest"]);
}

#[test]
fn an_invalid_patch_reports_all_problems_and_changes_nothing() {
    let (_control, http, _) = System::start_control_with_http();
    let url = config_url(&http);
    let merge = json!({"limits": {"queue": 0}, "services": {"a": {"candidates": 99}}});
    let (status, answer) = patch(&url, 1, 0, &merge);
    assert_eq!(
        (status, answer["problems"].as_array().map(Vec::len)),
        (422, Some(2))
    );
    assert_eq!(get(&url)["version"], 0);
}

/// Status of a node: whether its lease is in force, and the version that it holds.
fn node(address: &str) -> (bool, u64) {
    let node = get(&format!("http://{address}/v1/status"));
    let version = node["version"].as_u64().expect("a number");
    (node["in_force"] == true, version)
}

#[test]
fn a_thawed_node_has_no_outdated_version_in_force() {
    let system = System::start(1);
    let agent = &system.agent_addresses[0];
    system.agents[0].signal(libc::SIGSTOP);
    let url = config_url(&system.control_http);
    let (status, _) = patch(&url, 1, 0, &json!({"limits": {"queue": 7}}));
    assert_eq!(status, 200);
    std::thread::sleep(IN_FORCE_WITHIN);
    // With control frozen, the node cannot renew its lease before its status is read.
    system.control.signal(libc::SIGSTOP);
    system.agents[0].signal(libc::SIGCONT);
    assert_eq!(node(agent), (false, 0));
    system.control.signal(libc::SIGCONT);
    poll(|| (node(agent) == (true, 1)).then_some(()));
}

/// A node that went on after a suspension still counted the version that it held as in force.
#[test]
fn a_resumed_node_has_no_outdated_version_in_force() {
    let (control, _, peer) = System::start_control_with_http();
    let mut suspension = Suspension::new();
    let settings = json!({
        "name": "agent", "data_center": "beauce", "rack": "r1", "region": "quebec",
        "control": [peer], "agent": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0" },
    });
    let agent = Process::start_prepared(&settings, |command| suspension.prepare(command));
    let address = agent.listen_address("agent-http").to_string();
    poll(|| node(&address).0.then_some(()));
    suspension.suspend(&agent);
    // With control frozen, the node cannot renew its lease before its status is read.
    control.signal(libc::SIGSTOP);
    std::thread::sleep(IN_FORCE_WITHIN);
    suspension.resume(&agent);
    assert!(!node(&address).0, "the lease has ended meanwhile");
    control.signal(libc::SIGCONT);
    poll(|| node(&address).0.then_some(()));
}

#[test]
fn nodes_run_nothing_after_their_leases_expire_without_control() {
    let system = System::start(1);
    system.control.signal(libc::SIGSTOP);
    std::thread::sleep(IN_FORCE_WITHIN);
    for address in [&system.agent_addresses[0], &system.entry_addresses[0]] {
        assert!(!node(address).0, "{address} still holds a lease");
    }
    let headers = [("x-service", "demo"), ("x-team", "barn")];
    let (status, answer) = system.request(&headers, "{}");
    assert_eq!(status.as_u16(), 503);
    assert!(answer.contains(r#""outcome":"not_run""#), "{answer}");
    system.control.signal(libc::SIGCONT);
    poll(|| node(&system.entry_addresses[0]).0.then_some(()));
}

#[test]
fn history_is_complete_over_several_pages() {
    let (_control, http, _) = System::start_control_with_http();
    let url = config_url(&http);
    let nodes: Vec<String> = (0..1_500)
        .map(|n| format!("{}-{n}", "n".repeat(50)))
        .collect();
    for base in 0..9 {
        let merge = json!({"upstreams": {"deny": {"nodes": nodes[base..]}}});
        let (status, answer) = patch(&url, base as u128, base as u64, &merge);
        assert_eq!(status, 200, "{answer}");
    }
    let first = get(&format!("{url}/history"));
    assert_eq!(
        (&first["more"], &first["complete"]),
        (&json!(true), &json!(false))
    );
    let control = format!("http://{http}");
    let history = support::output(&["config", "history", "--json", "--control", &control]);
    let history: Value = serde_json::from_slice(&history.stdout).expect("valid JSON");
    let versions = history["versions"].as_array().expect("a list");
    let numbers = versions.iter().map(|record| record["version"].as_u64());
    assert!(numbers.eq((1..=9).map(Some)), "{} versions", versions.len());
    let verified = support::output(&["config", "verify", "--control", &control]);
    let digest = get(&url)["digest"].as_str().expect("a digest").to_owned();
    assert_eq!(
        support::text(&verified.stdout).trim(),
        format!("9:{digest}")
    );
}

/// Starts an agent and an entry of a cluster; returns their HTTP addresses too.
fn start_nodes(cluster: &Cluster) -> (Vec<Process>, Vec<String>) {
    let peers: Vec<_> = cluster.instances.iter().map(|i| i.peer.as_str()).collect();
    let peers = peers.join(",");
    let agent = r#""agent":{"http":"127.0.0.1:0","peer":"127.0.0.1:0"}"#;
    let entry = r#""entry":{"http":"127.0.0.1:0"}"#;
    let processes = vec![
        start_node("agent", &peers, agent),
        start_node("entry", &peers, entry),
    ];
    let addresses = ["agent-http", "entry-http"].iter().zip(&processes);
    let addresses = addresses.map(|(name, process)| process.listen_address(name).to_string());
    let addresses = addresses.collect();
    (processes, addresses)
}

#[test]
fn no_node_acts_on_an_outdated_version_while_leaders_freeze_and_die() {
    let mut cluster = Cluster::start(3);
    let (_processes, addresses) = start_nodes(&cluster);
    for round in 0..4 {
        let leader = cluster.wait_for_leader();
        match round % 2 {
            0 => cluster.instances[leader].process.signal(libc::SIGSTOP),
            _ => cluster.instances[leader].kill(),
        }
        cluster.unreachable = vec![leader];
        let version = cluster.patch(&format!("team-{round}"));
        let accepted = Instant::now();
        for address in &addresses {
            poll(|| {
                let (in_force, held) = node(address);
                let late = accepted.elapsed() > IN_FORCE_WITHIN;
                assert!(
                    !(late && in_force && held < version),
                    "{address} acts on version {held}, not on {version}"
                );
                (in_force && held == version).then_some(())
            });
        }
        println!("round {round}: in force after {:?}", accepted.elapsed());
        match round % 2 {
            0 => cluster.instances[leader].process.signal(libc::SIGCONT),
            _ => cluster.instances[leader].restart(),
        }
        cluster.unreachable.clear();
        assert_eq!(cluster.version(), version);
    }
}

#[test]
fn a_thawed_leader_grants_no_lease_on_an_outdated_version() {
    let mut cluster = Cluster::start(3);
    cluster.patch("before");
    let frozen = cluster.wait_for_leader();
    cluster.instances[frozen].process.signal(libc::SIGSTOP);
    cluster.unreachable = vec![frozen];
    let version = cluster.patch("after");
    // The entry's renewals wait in the frozen instance's socket until it thaws.
    let section = r#""entry":{"http":"127.0.0.1:0"}"#;
    let entry = start_node("entry", &cluster.instances[frozen].peer, section);
    let address = entry.listen_address("entry-http").to_string();
    std::thread::sleep(Duration::from_millis(1_500));
    cluster.instances[frozen].process.signal(libc::SIGCONT);
    poll(|| {
        let (in_force, held) = node(&address);
        assert!(!in_force || held == version, "version {held} is in force");
        in_force.then_some(())
    });
}

/// Instances whose machines are down answer nothing, not even that nobody listens. A node that
/// starts has to find the one that runs, and no call may hold it up for long.
#[test]
fn a_node_finds_control_behind_instances_that_answer_nothing() {
    let (_control, _, peer) = System::start_control_with_http();
    let silent: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses = silent.iter().map(|listener| listener.local_addr());
    let mut control: Vec<String> = addresses
        .map(|address| address.expect("a bound socket").to_string())
        .collect();
    control.push(peer);
    let begin = Instant::now();
    let entry = System::start_entry(&control.join(","));
    let status = format!("http://{}/v1/status", entry.listen_address("entry-http"));
    poll(|| (get(&status)["in_force"] == true).then_some(()));
    println!("in force after {:?}", begin.elapsed());
    assert!(begin.elapsed() < SILENT_CALL_TIMEOUT * 4);
}
