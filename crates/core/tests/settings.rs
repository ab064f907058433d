//! The command `check-settings` of the real binary.

mod support;

use std::io::Write;

use serde_json::{json, Value};
use support::{output, text};

/// Valid settings of a process with all roles.
fn valid_settings() -> Value {
    json!({
        "name": "entry-1",
        "data_center": "beauce",
        "rack": "r1",
        "region": "quebec",
        "control": ["127.0.0.1:7000"],
        "entry": {"http": "127.0.0.1:8080"},
        "agent": {"http": "127.0.0.1:8081", "peer": "127.0.0.1:7081"},
        "controller": {"http": "127.0.0.1:7001", "peer": "127.0.0.1:7000", "data": "data"}
    })
}

/// Checks settings; returns exit code, standard output and standard error.
fn check(settings: &str) -> (i32, String, String) {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(settings.as_bytes())
        .expect("settings are written");
    let path = file.path().to_str().expect("a UTF-8 path");
    let output = output(&["check-settings", "--settings", path]);
    let code = output.status.code().expect("an exit code");
    (code, text(&output.stdout), text(&output.stderr))
}

/// Valid settings with another value at a path such as `entry.http`; null counts as a
/// missing field.
fn settings_with(path: &str, value: Value) -> Value {
    let mut settings = valid_settings();
    let (section, field) = path.rsplit_once('.').unwrap_or(("", path));
    let section = match section {
        "" => &mut settings,
        section => &mut settings[section],
    };
    section[field] = value;
    settings
}

/// Defines tests in which one field has an invalid value, which must be the only
/// error that is reported.
macro_rules! refused {
    ($($name:ident: $path:literal = $value:expr, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let (code, _, stderr) = check(&settings_with($path, json!($value)).to_string());
            assert_eq!(2, code, "{stderr}");
            assert!(stderr.contains($message), "{stderr}");
            assert!(stderr.contains(" 1 error\n"), "{stderr}");
        }
    )*};
}

refused! {
    name_with_a_space: "name" = "entry 1", "name is \"entry 1\"; allowed: a name of 1 to 64";
    name_too_long_for_two_nodes: "name" = "n".repeat(57), "at most 56 bytes for an entry and an";
    name_missing: "name" = Value::Null, "name is missing; allowed: a name";
    name_is_a_number: "name" = 7, "name is 7; allowed";
    control_not_an_address: "control" = ["localhost:7000"], "control is [\"localhost:7000\"]";
    control_repeated: "control" = ["127.0.0.1:7000", "127.0.0.1:7000"], "different addresses";
    control_with_eight_addresses: "control" = (1..9).map(|p| format!("127.0.0.1:{p}")).collect::<Vec<_>>(),
        "a list of 1 to 7";
    http_without_port: "entry.http" = "127.0.0.1", "entry.http is \"127.0.0.1\"; allowed: an IP";
    http_missing: "agent.http" = Value::Null, "agent.http is missing";
    http_address_used_twice: "agent.http" = "127.0.0.1:8080", "allowed: an address that no other field";
    body_size_unreadable: "entry.max_body" = "64 parsecs", "a size from 1KiB to 64MiB";
    body_size_too_large: "entry.max_body" = "1GiB", "entry.max_body is \"1GiB\"";
    duration_without_unit: "entry.body_timeout" = 5, "entry.body_timeout is 5; allowed: a duration";
    duration_too_long: "entry.drain_timeout" = "2h", "from 10ms to 5m";
    connections_negative: "entry.max_connections" = -1, "a whole number from 1 to 100000";
    connections_below_slots: "agent.max_connections" = 4, "at least agent.max_slots, 8";
    slots_of_zero: "agent.max_slots" = 0, "agent.max_slots is 0; allowed: a whole number from 1 to";
    data_empty: "controller.data" = "", "controller.data is \"\"; allowed: a path";
    level_unknown: "log" = {json!({"level": "loud"})}, "log.level is \"loud\"; allowed: one of off";
    field_unknown: "entry.colour" = "red", "entry.colour is \"red\"; allowed: only the fields http";
    section_unknown: "gateway" = {json!({})}, "gateway is {}; allowed: only the fields";
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut settings = settings_with("entry.max_body", json!("x"));
    settings["rack"] = json!("");
    settings["agent"]["peer"] = json!(1);
    let (code, _, stderr) = check(&settings.to_string());
    assert_eq!(2, code);
    for expected in ["3 errors", "entry.max_body", "rack", "agent.peer"] {
        assert!(stderr.contains(expected), "no {expected} in {stderr}");
    }
}

#[test]
fn settings_without_a_role_are_refused() {
    let mut settings = valid_settings();
    for role in ["entry", "agent", "controller"] {
        settings[role] = Value::Null;
    }
    let (code, _, stderr) = check(&settings.to_string());
    assert_eq!(2, code);
    assert!(stderr.contains("at least one of the sections"), "{stderr}");
}

#[test]
fn control_addresses_are_required_without_a_controller() {
    let mut settings = settings_with("controller", Value::Null);
    settings["control"] = Value::Null;
    let (code, _, stderr) = check(&settings.to_string());
    assert_eq!(2, code);
    assert!(stderr.contains("control is missing"), "{stderr}");
}

#[test]
fn malformed_json_is_reported_with_its_position() {
    let (code, _, stderr) = check("{\"name\": \"a\",\n  \"rack\" \"b\"}");
    assert_eq!(2, code);
    assert!(stderr.contains("line 2 column 10"), "{stderr}");
}

#[test]
fn missing_file_is_reported_with_its_path() {
    let output = output(&["check-settings", "--settings", "no/such.json"]);
    assert_eq!(Some(2), output.status.code());
    assert!(text(&output.stderr).contains("no/such.json"));
}

#[test]
fn printed_settings_contain_defaults_and_are_valid_settings() {
    let (code, stdout, stderr) = check(&valid_settings().to_string());
    assert_eq!(0, code, "{stderr}");
    let printed: Value = serde_json::from_str(&stdout).expect("valid JSON");
    assert_eq!("1MiB", printed["entry"]["max_body"]);
    assert_eq!("5s", printed["entry"]["body_timeout"]);
    assert_eq!(8, printed["agent"]["max_slots"]);
    assert_eq!("info", printed["log"]["level"]);
    assert_eq!((0, stdout.clone(), stderr), check(&stdout));
}
