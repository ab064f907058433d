//! Tests of document parsing and validation, queue lookup and patch creation.

use gentian_config::document::Document;
use gentian_config::patch::Patch;
use gentian_wire::id::Version;
use serde_json::{json, Value};
use test_case::test_case;

#[test_case(json!({"service": {}}), &["service"] ; "unknown section")]
#[test_case(json!({"services": {"a": {"pth": "/"}}}), &["services.a.pth"] ; "unknown field")]
#[test_case(json!({"services": {"a": {"hedge": "no"}}, "limits": {"queue": -1}}),
    &["limits.queue", "services.a.hedge"] ; "two unreadable fields")]
#[test_case(json!({"services": {"a b": {}}}), &["services.a b"] ; "invalid service name")]
#[test_case(json!({"services": []}), &["services"] ; "section is not an object")]
#[test_case(json!({"services": {"a": {"max_body": "1 parsec"}}}), &["services.a.max_body"] ; "invalid size")]
#[test_case(json!({"services": {"a": {"candidates": 17, "path": "x", "response_weight": 1.5}}}),
    &["services.a.path", "services.a.candidates", "services.a.response_weight"] ; "three out of range")]
#[test_case(json!({"services": {"a": {"retry_budget": -0.1, "max_body": "1B", "deadline_ms": 0}}}),
    &["services.a.max_body", "services.a.deadline_ms", "services.a.retry_budget"] ; "below the lower bounds")]
#[test_case(json!({"services": {"a": {"objectives": {"availability": 1, "latency_ms": 0}}}}),
    &["services.a.objectives.availability", "services.a.objectives.latency_ms"] ; "objectives out of range")]
#[test_case(json!({"teams": {"t": {"services": ["a"], "concurrent": 2_000_000}}}),
    &["teams.t.concurrent", "teams.t.services"] ; "invalid team")]
#[test_case(json!({"limits": {"queue": 0}}), &["limits.queue"] ; "limit out of range")]
#[test_case(json!(7), &[""] ; "document is not an object")]
fn problems_name_the_invalid_fields(document: Value, paths: &[&str]) {
    let problems = Document::read(&document).expect_err("the document has problems");
    let found: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    assert_eq!(found, paths, "{problems:?}");
    assert!(problems.iter().all(|problem| !problem.allowed.is_empty()));
}

#[test]
fn defaults_are_valid_and_survive_a_round_trip() {
    let document = Document::read(&json!({"services": {"a": {}}, "teams": {"t": {}}}));
    let document = document.expect("defaults are valid");
    let value = serde_json::to_value(&document).expect("a document is JSON");
    assert_eq!(Document::read(&value), Ok(document));
}

#[test_case(json!({}), true ; "allowed by default")]
#[test_case(json!({"allow": {"racks": ["r1"]}}), true ; "allowed by rack")]
#[test_case(json!({"allow": {"racks": ["r2"]}}), false ; "not allowed")]
#[test_case(json!({"allow": {"nodes": ["n1"]}, "deny": {"data_centers": ["d1"]}}), false ; "deny takes precedence")]
#[test_case(json!({"allow": {"nodes": ["n1"]}, "drained": ["d1"]}), false ; "drained")]
#[test_case(json!({"drained": ["d2"]}), true ; "another data centre is drained")]
fn upstreams_are_admitted_by_selectors(upstreams: Value, admitted: bool) {
    let document = Document::read(&json!({ "upstreams": upstreams })).expect("a valid document");
    let parse = |text: &str| text.parse().expect("a valid name");
    let admits = document.upstreams.admits(
        &parse("n1"),
        &"d1".parse().expect("a valid name"),
        &"r1".parse().expect("a valid name"),
    );
    assert_eq!(admits, admitted);
}

/// Returns a document with one service and a queue for each host and prefix.
fn document_with_queues(addresses: &[(&str, &str)]) -> Value {
    let mut queues = serde_json::Map::new();
    for (index, (host, prefix)) in addresses.iter().enumerate() {
        let queue =
            json!({ "name": index.to_string(), "host": host, "prefix": prefix, "service": "desk" });
        queues.insert(index.to_string(), queue);
    }
    json!({ "services": { "desk": {} }, "queues": queues })
}

#[test_case("a.example", "/x/y/1", Some("1"); "longest prefix")]
#[test_case("A.Example", "/x/z", Some("0"); "host in another case")]
#[test_case("b.example", "/x/y/1", Some("2"); "same path at another host")]
#[test_case("a.example", "/y", None; "no matching prefix")]
#[test_case("c.example", "/x/", None; "no matching host")]
fn a_request_belongs_to_the_queue_with(host: &str, path: &str, expected: Option<&str>) {
    let addresses = [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/x/"),
    ];
    let document = Document::read(&document_with_queues(&addresses)).expect("a valid document");
    let found = document
        .queue_for(host, path)
        .map(|queue| queue.name.as_str());
    assert_eq!(expected, found);
}

#[test_case(json!({ "queues": { "q": { "service": "none" } } }), "queues.q.service"; "unknown service")]
#[test_case(document_with_queues(&[("a", "/"), ("a", "/")]), "queues.1"; "duplicate host and prefix")]
#[test_case(document_with_queues(&[("a", "x")]), "queues.0.prefix"; "prefix without a slash")]
fn a_queue_is_refused_with(document: Value, path: &str) {
    let problems = Document::read(&document).expect_err("an invalid document");
    let paths: Vec<_> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert_eq!(vec![path], paths);
}

#[test_case(json!({}), json!({ "a": 1 }); "added field")]
#[test_case(json!({ "a": 1, "b": { "c": 2, "d": 3 } }), json!({ "b": { "c": 4 } }); "changed and removed fields")]
#[test_case(json!({ "a": [1] }), json!({ "a": [1, 2] }); "changed array")]
#[test_case(json!({ "a": 1 }), json!({ "a": 1 }); "no change")]
fn a_patch_between_two_documents_turns_one_into_the_other(from: Value, to: Value) {
    let id = "00000000-0000-0000-0000-000000000001"
        .parse()
        .expect("a valid id");
    let patch = Patch::between(id, Version(0), "test", &from, &to);
    assert_eq!(Ok(to), patch.apply(&from));
}
