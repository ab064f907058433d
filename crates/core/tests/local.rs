//! The commands `local` and `run` of the real binary.

mod support;

use std::net::TcpListener;

use support::{call, output, text, Process};

const FREE_PORTS: [&str; 6] = [
    "--entry",
    "127.0.0.1:0",
    "--agent",
    "127.0.0.1:0",
    "--control",
    "127.0.0.1:0",
];

/// Arguments of `local` with free ports, followed by `more`.
fn local_args<'a>(data: &'a str, more: &[&'a str]) -> Vec<&'a str> {
    let mut args = vec!["local", "--data", data];
    args.extend(FREE_PORTS);
    args.extend(more);
    args
}

#[test]
fn once_prints_example_requests_with_their_answers() {
    let data = tempfile::tempdir().expect("a temporary folder");
    let output = output(&local_args(
        data.path().to_str().expect("a UTF-8 path"),
        &["--once"],
    ));
    let stdout = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let lines = stdout.lines().filter_map(|line| line.split_once(" {"));
    let bodies = lines.map(|line| serde_json::from_str(&format!("{{{}", line.1)));
    let bodies: Vec<serde_json::Value> = bodies.map(|body| body.expect("valid JSON")).collect();
    let [request, answer, job, job_answer] = &bodies[..] else {
        panic!("{stdout}");
    };
    assert_eq!(request, answer);
    assert_eq!(
        (true, &job["key"]),
        (job_answer["complete"] == true, &job_answer["key"])
    );
    for task in 0..3 {
        assert_eq!(
            job["tasks"][task]["body"],
            job_answer["tasks"][task]["body"]
        );
    }
}

#[test]
fn local_serves_until_terminated() {
    let data = tempfile::tempdir().expect("a temporary folder");
    let mut process = Process::start(&local_args(
        data.path().to_str().expect("a UTF-8 path"),
        &[],
    ));
    let entry = process.listen_address("entry-http");
    let upstream = process.listen_address("upstream");
    support::system::poll(|| {
        let headers = [("x-service", "demo"), ("x-team", "barn")];
        let (status, _) = call(
            "POST",
            &format!("http://{entry}/v1/requests"),
            &headers,
            "{}",
        );
        status.is_success().then_some(())
    });
    process.terminate();
    assert!(process.wait().success());
    for address in [entry, upstream] {
        TcpListener::bind(address).expect("the address is free again");
    }
}

#[test]
fn roles_of_one_process_are_separate_nodes() {
    let data = tempfile::tempdir().expect("a temporary folder");
    let process = Process::start(&local_args(
        data.path().to_str().expect("a UTF-8 path"),
        &[],
    ));
    let control = process.listen_address("control-http");
    let members = support::system::poll(|| {
        let (_, body) = call("GET", &format!("http://{control}/v1/status"), &[], "");
        let status: serde_json::Value = serde_json::from_str(&body).expect("valid JSON");
        let members = status["members"].as_array().cloned()?;
        (!members.is_empty()).then_some(members)
    });
    // The entry has another name, so that its renewals do not make the agent stale.
    assert_eq!("local-agent", members[0]["node"]);
}

#[test]
fn address_in_use_is_named_in_the_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let data = tempfile::tempdir().expect("a temporary folder");
    let more = ["--entry", &address];
    let output = output(&local_args(
        data.path().to_str().expect("a UTF-8 path"),
        &more,
    ));
    assert_eq!(Some(1), output.status.code());
    let expected = format!("listen on entry.http {address}");
    assert!(
        text(&output.stderr).contains(&expected),
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn run_refuses_invalid_settings_before_it_listens() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    std::fs::write(file.path(), r#"{"name":"a b"}"#).expect("settings are written");
    let output = output(&[
        "run",
        "--settings",
        file.path().to_str().expect("a UTF-8 path"),
    ]);
    assert_eq!(Some(2), output.status.code());
    assert_eq!("", text(&output.stdout));
    assert!(text(&output.stderr).contains("5 errors"));
}

#[test]
fn drain_timeout_ends_requests_in_progress() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.json");
    let settings = serde_json::json!({
        "name": "all", "data_center": "beauce", "rack": "r1", "region": "quebec",
        "entry": {"http": "127.0.0.1:0", "drain_timeout": "300ms"},
        "agent": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0", "drain_timeout": "300ms"},
        "controller": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0", "data": folder.path().join("data")},
        "log": {"file": folder.path().join("log")},
    });
    std::fs::write(&path, settings.to_string()).expect("settings are written");
    let mut process = Process::start(&["run", "--settings", path.to_str().expect("a UTF-8 path")]);
    support::system::init_cluster(&process);
    let agent = format!("http://{}", process.listen_address("agent-http"));
    let entry = format!(
        "http://{}/v1/requests",
        process.listen_address("entry-http")
    );
    let upstream = Process::start(&["example-upstream", "--agent", &agent]);
    let executions = format!("http://{}/executions", upstream.listen_address("upstream"));
    let headers = [("x-service", "demo"), ("x-team", "barn")];
    support::system::poll(|| {
        let (status, _) = call("POST", &entry, &headers, "{}");
        status.is_success().then_some(())
    });
    let long = [headers[0], headers[1], ("x-deadline", "1m")];
    let address = entry.clone();
    std::thread::spawn(move || call("POST", &address, &long, r#"{"run_ms":60000}"#));
    support::system::poll(|| {
        let (_, counts) = call("GET", &executions, &[], "");
        counts.contains("\"running\":1").then_some(())
    });
    process.terminate();
    assert!(process.wait().success());
    let log = std::fs::read_to_string(folder.path().join("log")).expect("the log is readable");
    assert!(log.contains("entry: not drained within 300ms"), "{log}");
}
