//! Reading and checking of documents.

use gentian_config::document::Document;
use gentian_config::patch::Patch;
use gentian_wire::id::Version;
use serde_json::{json, Value};
use test_case::test_case;

#[test_case(json!({"service": {}}), &["service"] ; "unknown section")]
#[test_case(json!({"services": {"a": {"pth": "/"}}}), &["services.a.pth"] ; "unknown field")]
#[test_case(json!({"services": {"a": {"hedge": "no"}}, "limits": {"queue": -1}}),
    &["limits.queue", "services.a.hedge"] ; "two unreadable fields")]
#[test_case(json!({"services": {"a b": {}}}), &["services.a b"] ; "name")]
#[test_case(json!({"services": []}), &["services"] ; "no object")]
#[test_case(json!({"services": {"a": {"max_body": "1 parsec"}}}), &["services.a.max_body"] ; "size")]
#[test_case(json!({"services": {"a": {"candidates": 17, "path": "x", "response_weight": 1.5}}}),
    &["services.a.path", "services.a.candidates", "services.a.response_weight"] ; "three out of range")]
#[test_case(json!({"services": {"a": {"retry_budget": -0.1, "max_body": "1B", "deadline_ms": 0}}}),
    &["services.a.max_body", "services.a.deadline_ms", "services.a.retry_budget"] ; "lower bounds")]
#[test_case(json!({"services": {"a": {"objectives": {"availability": 1, "latency_ms": 0}}}}),
    &["services.a.objectives.availability", "services.a.objectives.latency_ms"] ; "objectives")]
#[test_case(json!({"teams": {"t": {"services": ["a"], "concurrent": 2_000_000}}}),
    &["teams.t.concurrent", "teams.t.services"] ; "team")]
#[test_case(json!({"limits": {"queue": 0}}), &["limits.queue"] ; "limits")]
#[test_case(json!(7), &[""] ; "number")]
fn problems_name_their_fields(document: Value, paths: &[&str]) {
    let problems = Document::read(&document).expect_err("the document has problems");
    let found: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    assert_eq!(found, paths, "{problems:?}");
    assert!(problems.iter().all(|problem| !problem.allowed.is_empty()));
}

#[test]
fn defaults_pass_and_survive_a_round_trip() {
    let document = Document::read(&json!({"services": {"a": {}}, "teams": {"t": {}}}));
    let document = document.expect("defaults are good");
    let value = serde_json::to_value(&document).expect("a document is JSON");
    assert_eq!(Document::read(&value), Ok(document));
}

#[test_case(json!({}), true ; "all by default")]
#[test_case(json!({"allow": {"racks": ["r1"]}}), true ; "allowed by rack")]
#[test_case(json!({"allow": {"racks": ["r2"]}}), false ; "not allowed")]
#[test_case(json!({"allow": {"nodes": ["n1"]}, "deny": {"data_centers": ["d1"]}}), false ; "deny first")]
fn upstreams_admit(upstreams: Value, admitted: bool) {
    let document = Document::read(&json!({ "upstreams": upstreams })).expect("readable");
    let parse = |text: &str| text.parse().expect("a name");
    let admits = document.upstreams.admits(
        &parse("n1"),
        &"d1".parse().expect("a name"),
        &"r1".parse().expect("a name"),
    );
    assert_eq!(admits, admitted);
}

/// A document with one service and queues at the given places.
fn queues(places: &[(&str, &str)]) -> Value {
    let mut queues = serde_json::Map::new();
    for (index, (host, prefix)) in places.iter().enumerate() {
        let queue =
            json!({ "name": index.to_string(), "host": host, "prefix": prefix, "service": "desk" });
        queues.insert(index.to_string(), queue);
    }
    json!({ "services": { "desk": {} }, "queues": queues })
}

#[test_case("a.example", "/x/y/1", Some("1"); "the longest prefix")]
#[test_case("A.Example", "/x/z", Some("0"); "in any case of the host")]
#[test_case("b.example", "/x/y/1", Some("2"); "of the named host")]
#[test_case("a.example", "/y", None; "no prefix fits")]
#[test_case("c.example", "/x/", None; "no host fits")]
fn a_request_belongs_to_the_queue_of(host: &str, path: &str, expected: Option<&str>) {
    let places = [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/x/"),
    ];
    let document = Document::read(&queues(&places)).expect("a valid document");
    let found = document
        .queue_for(host, path)
        .map(|queue| queue.name.as_str());
    assert_eq!(expected, found);
}

#[test_case(json!({ "queues": { "q": { "service": "none" } } }), "queues.q.service"; "an unknown service")]
#[test_case(queues(&[("a", "/"), ("a", "/")]), "queues.1"; "the same place twice")]
#[test_case(queues(&[("a", "x")]), "queues.0.prefix"; "a prefix without a slash")]
fn a_queue_is_refused_with(document: Value, path: &str) {
    let problems = Document::read(&document).expect_err("an invalid document");
    let paths: Vec<_> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert_eq!(vec![path], paths);
}

#[test_case(json!({}), json!({ "a": 1 }); "a new field")]
#[test_case(json!({ "a": 1, "b": { "c": 2, "d": 3 } }), json!({ "b": { "c": 4 } }); "fields that change and go")]
#[test_case(json!({ "a": [1] }), json!({ "a": [1, 2] }); "a list")]
#[test_case(json!({ "a": 1 }), json!({ "a": 1 }); "nothing")]
fn a_patch_leads_from_one_document_to_another(from: Value, to: Value) {
    let id = "00000000-0000-0000-0000-000000000001"
        .parse()
        .expect("an id");
    let patch = Patch::between(id, Version(0), "test", &from, &to);
    assert_eq!(to, patch.apply(&from));
}
