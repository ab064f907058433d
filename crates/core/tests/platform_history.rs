//! Control instances with a long history of a large configuration: real processes.

mod support;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::platform::control::config;
use support::platform::Platform;
use support::system::poll;

const ROUTES: usize = 700;
const CHANGES: u64 = 150;

/// Longest time until an instance that lost its disk holds all again and has its vote: the
/// time for which it still counts as lost after its return.
const CATCH_UP: Duration = Duration::from_secs(4);

/// A configuration with many routes beside the one that is served.
fn large_config(version: u64) -> Value {
    let mut config = config(version, 2_000);
    let first = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("a list");
    for number in 0..ROUTES {
        let mut route = first.clone();
        route["name"] = json!(format!("r-{number}"));
        route["path-prefix"] = json!(format!("/more/{number}/"));
        routes.push(route);
    }
    let changed = version as usize % ROUTES;
    routes[1 + changed]["timeout-ms"] = json!(1_000 + version);
    config
}

/// A system whose configuration was changed many times; and that in force.
fn start_with_history() -> (Platform, Value) {
    let platform = Platform::start(1, 1);
    for version in 10..10 + CHANGES {
        platform.put_config_body(&large_config(version));
    }
    (platform, large_config(9 + CHANGES))
}

/// Guards against a log that keeps each change with the whole configuration: after some
/// hundreds of changes control passed its memory at each start.
#[test]
fn many_changes_of_a_large_configuration_take_little_room() {
    let (mut platform, last) = start_with_history();
    let bytes = last.to_string().len() as u64;
    for index in 0..3 {
        let used = platform.control_data_bytes(index);
        assert!(used < 16 * bytes, "{used} bytes of files, {bytes} of text");
    }
    for index in 0..3 {
        platform.restart_control(index);
        assert_eq!(last, platform.read_config());
    }
}

/// Guards against an instance that answers nobody while it applies what it has caught up
/// with: it had its vote already, so the leader lost its majority, and control stood still.
#[test]
fn an_instance_catches_up_in_time_after_many_changes() {
    let (mut platform, last) = start_with_history();
    for index in 0..3 {
        platform.lose_disk(index);
        let begin = Instant::now();
        poll(|| {
            let voters = platform.voters((index + 1) % 3);
            let (_, status) = platform.call_control(index, "GET", "/v1/members", "");
            let status: Value = serde_json::from_str(&status).unwrap_or_default();
            (voters.len() == 3 && voters.contains(&status["id"].to_string())).then_some(())
        });
        assert_eq!(last, platform.read_config());
        let took = begin.elapsed();
        assert!(took < CATCH_UP, "instance {index}: {took:?}");
    }
}
