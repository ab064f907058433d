//! Commands for operators, against fake and real control instances.

mod support;

use serde_json::{json, Value};
use support::system::System;
use support::{output, text, FakeServer, Process};
use test_case::test_case;

fn base_url(fake: &FakeServer) -> String {
    format!("http://{}", fake.address)
}

/// A control instance that gives the same answer to every request.
fn fake_answering(status: u16, body: &Value) -> FakeServer {
    let body = body.to_string();
    FakeServer::start(move |_| (status, body.clone()))
}

/// Runs `config patch`; returns exit code, standard output and standard error.
fn patch(control: &str, id: &str) -> (Option<i32>, String, String) {
    let merge = r#"{"teams":{"barn":{}}}"#;
    let args = [
        "config",
        "patch",
        "--control",
        control,
        "--base",
        "4",
        "--author",
        "ada",
        "--id",
        id,
        merge,
    ];
    let output = output(&args);
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

const ID: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

#[test]
fn config_get_prints_the_answer() {
    let fake = fake_answering(200, &json!({"version": 3, "document": {}}));
    let output = output(&["config", "get", "--control", &base_url(&fake)]);
    let printed: Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(3, printed["version"]);
    assert_eq!("GET /v1/config ", fake.next_request("GET"));
}

#[test]
fn patch_sends_base_author_and_id() {
    let fake = fake_answering(200, &json!({"answer": "accepted", "version": 5}));
    let (code, stdout, stderr) = patch(&base_url(&fake), ID);
    assert_eq!(
        (Some(0), true),
        (code, stdout.contains("accepted")),
        "{stderr}"
    );
    let request = fake.next_request("PATCH /v1/config ");
    let sent: Value =
        serde_json::from_str(&request["PATCH /v1/config ".len()..]).expect("valid JSON");
    let merge = json!({"teams": {"barn": {}}});
    assert_eq!(
        json!({"id": ID, "base": 4, "author": "ada", "merge": merge}),
        sent
    );
    assert!(stderr.contains(ID));
}

#[test]
fn patch_is_retried_at_the_next_instance_with_the_same_id() {
    let follower = fake_answering(503, &json!({"title": "not the leader", "detail": ""}));
    let leader = fake_answering(200, &json!({"answer": "accepted"}));
    let both = format!(
        "http://127.0.0.1:1,{},{}",
        base_url(&follower),
        base_url(&leader)
    );
    assert_eq!(Some(0), patch(&both, ID).0);
    assert_eq!(follower.next_request("PATCH"), leader.next_request("PATCH"));
}

#[test_case(409, 3, "in_force"; "conflict exits with 3")]
#[test_case(422, 1, "invalid: teams.barn"; "invalid exits with 1")]
#[test_case(503, 4, "no address answered"; "unavailable exits with 4")]
fn refused_patch_reports_the_reason(status: u16, code: i32, message: &str) {
    let body = json!({"title": "invalid", "detail": "teams.barn", "answer": "x", "in_force": 6});
    let fake = fake_answering(status, &body);
    let (found, _, stderr) = patch(&base_url(&fake), ID);
    assert_eq!(Some(code), found, "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}

#[test_case(&["config", "patch", "--control", "http://127.0.0.1:9", "--base", "x"]; "base is not a number")]
#[test_case(&["config", "get", "--control", "127.0.0.1:9"]; "control without scheme")]
#[test_case(&["config", "get"]; "missing control")]
#[test_case(&["config", "patch", "--control", "http://127.0.0.1:9", "--base", "1",
    "--author", "a", "[1]"]; "patch is not an object")]
#[test_case(&["example-upstream", "--agent", "http://127.0.0.1:9", "--mode", "lazy"]; "unknown mode")]
#[test_case(&["members", "add", "--control", "http://127.0.0.1:9", "here"]; "peer is not an address")]
#[test_case(&["dance"]; "unknown command")]
fn usage_error_exits_with_2(args: &[&str]) {
    assert_eq!(Some(2), output(args).status.code());
}

#[test]
fn history_lists_versions() {
    let record = json!({"version": 1, "wall_ms": 0, "author": "ada", "merge": {"a": 1},
        "digest": "0123456789abcdef"});
    let fake = fake_answering(200, &json!({"versions": [record]}));
    let output = output(&[
        "config",
        "history",
        "--control",
        &base_url(&fake),
        "--after",
        "7",
    ]);
    let line = "1\t1970-01-01T00:00:00.000Z\tada\t0123456789ab\t{\"a\":1}\n";
    assert_eq!(line, text(&output.stdout));
    fake.next_request("GET /v1/config/history?after=7 ");
}

#[test]
fn status_prints_each_process() {
    let fake = fake_answering(200, &json!({"role": "entry"}));
    let output = output(&["status", &base_url(&fake), "http://127.0.0.1:9"]);
    assert!(text(&output.stdout).contains("\"role\": \"entry\""));
    assert_eq!(Some(4), output.status.code());
}

#[test_case(&["add", "127.0.0.1:7"], r#"{"add":"127.0.0.1:7"}"#; "add")]
#[test_case(&["remove", "127.0.0.1:7"], r#"{"remove":"127.0.0.1:7"}"#; "remove")]
#[test_case(&["replace", "127.0.0.1:7", "127.0.0.1:8"],
    r#"{"add":"127.0.0.1:8","remove":"127.0.0.1:7"}"#; "replace")]
fn members_commands_send_the_change(args: &[&str], sent: &str) {
    let fake = fake_answering(200, &json!({"members": []}));
    let control = base_url(&fake);
    let mut all = vec!["members", args[0], "--control", &control];
    all.extend(&args[1..]);
    assert!(output(&all).status.success());
    assert_eq!(
        format!("POST /v1/members {sent}"),
        fake.next_request("POST")
    );
}

/// Starts a control instance and patches it to version 2; returns its base URL too.
fn control_with_two_versions() -> (Process, String) {
    let (process, http, _) = System::start_control_with_http();
    let control = format!("http://{http}");
    for (base, queue) in [("0", "100"), ("1", "200")] {
        let merge = format!(r#"{{"limits":{{"queue":{queue}}}}}"#);
        let args = [
            "config",
            "patch",
            "--control",
            &control,
            "--base",
            base,
            "--author",
            "ada",
        ];
        let output = output(&[&args[..], &[merge.as_str()]].concat());
        assert!(output.status.success(), "{}", text(&output.stderr));
    }
    (process, control)
}

/// Exit code and standard output of `config verify`.
fn verify(control: &str, known: &[&str]) -> (Option<i32>, String) {
    let args = [&["config", "verify", "--control", control], known].concat();
    let output = output(&args);
    (output.status.code(), text(&output.stdout))
}

#[test]
fn verify_accepts_the_history_of_a_control_instance() {
    let (_process, control) = control_with_two_versions();
    let (code, stdout) = verify(&control, &[]);
    assert_eq!(Some(0), code);
    let known = stdout.trim();
    assert!(known.starts_with("2:"), "{known}");
    assert_eq!(Some(0), verify(&control, &["--known", known]).0);
    let other = known.replace("2:", "1:");
    assert_eq!(Some(5), verify(&control, &["--known", &other]).0);
    let later = known.replace("2:", "3:");
    assert_eq!(Some(5), verify(&control, &["--known", &later]).0);
    assert_eq!(Some(2), verify(&control, &["--known", "2"]).0);
}

#[test_case("author", json!("eve"); "changed author")]
#[test_case("merge", json!({"limits": {"queue": 300}}); "changed patch")]
#[test_case("wall_ms", json!(1); "changed time")]
#[test_case("version", json!(3); "changed version number")]
fn verify_detects_a_changed_record(field: &str, value: Value) {
    let (_process, control) = control_with_two_versions();
    let output = output(&["config", "history", "--json", "--control", &control]);
    let mut history: Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    let unchanged = fake_answering(200, &history);
    assert_eq!(Some(0), verify(&base_url(&unchanged), &[]).0);
    history["versions"][0][field] = value;
    let changed = fake_answering(200, &history);
    assert_eq!(Some(5), verify(&base_url(&changed), &[]).0);
}

#[test]
fn patch_on_an_old_version_exits_with_3_and_names_the_version_in_force() {
    let (_process, control) = control_with_two_versions();
    let (code, _, stderr) = patch(&control, ID);
    assert_eq!(Some(3), code, "{stderr}");
    assert!(stderr.contains("in_force"), "{stderr}");
}
