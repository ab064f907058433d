//! Control instances with a long history of a large configuration: real processes.

mod support;

use serde_json::{json, Value};
use support::platform::control::config;
use support::platform::Platform;

const ROUTES: usize = 700;
const CHANGES: u64 = 150;

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

/// Guards against a log that keeps each change with the whole configuration: after some
/// hundreds of changes control passed its memory at each start.
#[test]
fn many_changes_of_a_large_configuration_take_little_room() {
    let mut platform = Platform::start(1, 1);
    for version in 10..10 + CHANGES {
        platform.put_config_body(&large_config(version));
    }
    let last = large_config(9 + CHANGES);
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
