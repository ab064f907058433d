//! Tests of edits of long texts: what they cost, and what they refuse.

use gentian_config::ledger::{Answer, Ledger, Proposal, Verdict};
use gentian_config::patch::{Edit, Hunk, Id, Patch};
use gentian_wire::id::Version;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Value};
use test_case::test_case;
use uuid::Uuid;

const ROUTES: usize = 1_050;
const CHANGES: usize = 60;

fn id(number: usize) -> Id {
    Id(Uuid::from_u128(number as u128))
}

/// A whole configuration as an operator sends it, with the name and timeout of each route.
fn release(number: usize, routes: &[(usize, u32)]) -> Value {
    let routes = routes.iter().map(|(name, timeout)| {
        json!({"name": format!("r-{name}"), "host": format!("h{name}.example"),
            "path-prefix": format!("/p{name}/"), "timeout-ms": timeout, "priority": 0})
    });
    let body = json!({"routes": routes.collect::<Vec<_>>(), "version": number}).to_string();
    json!({"release": {"number": number, "body": body}})
}

fn accept(ledger: &mut Ledger, to: &Value) -> usize {
    let base = ledger.version();
    let from = ledger.document();
    let patch = Patch::between(id(base.0 as usize), base, "operator", from, to);
    let verdict = ledger.validate(&patch);
    assert_eq!(verdict, Verdict::Valid);
    let proposal = Proposal {
        patch,
        verdict,
        wall_ms: 0,
    };
    let bytes = serde_json::to_vec(&proposal).expect("a proposal is JSON");
    let answer = ledger.apply(serde_json::from_slice(&bytes).expect("a proposal"));
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    assert_eq!(ledger.document(), to);
    bytes.len()
}

/// Guards against a log, a history and snapshots that grow by the whole configuration with
/// each change: control then passed its memory at a start, and caught up too late.
#[test]
fn a_change_of_a_large_configuration_costs_what_it_changes() {
    let mut ledger = Ledger::default();
    let mut routes: Vec<_> = (0..ROUTES).map(|name| (name, 1_500)).collect();
    let whole = accept(&mut ledger, &release(1, &routes));
    assert!(whole > 100_000, "{whole} bytes");
    let before = ledger.snapshot().expect("a snapshot").len();
    for number in 2..2 + CHANGES {
        let index = number * 997 % routes.len();
        match number % 3 {
            0 => routes[index].1 += 1,
            1 => drop(routes.remove(index)),
            _ => routes.push((ROUTES + number, 1_500)),
        }
        let bytes = accept(&mut ledger, &release(number, &routes));
        assert!(bytes < 1_000, "change {number}: {bytes} bytes");
    }
    let snapshot = ledger.snapshot().expect("a snapshot");
    let growth = snapshot.len() - before;
    assert!(growth < CHANGES * 1_000, "{growth} bytes more");
    let restored = Ledger::restore(&snapshot).expect("a valid snapshot");
    assert_eq!(restored, ledger);
    restored.verify(&[]).expect("the chain of digests holds");
}

fn texts() -> impl Strategy<Value = (String, String)> {
    let piece = prop_oneof!["[a-c]{0,40}[}\n]", "é{1,9}\\}", "[x,]{1,200}"];
    let pieces = proptest::collection::vec(piece, 20..60);
    (pieces.clone(), pieces, 0usize..40).prop_map(|(from, other, kept)| {
        let mut to = from.clone();
        to.splice(
            kept.min(from.len())..,
            other
                .into_iter()
                .take(3)
                .chain(from[kept.min(from.len())..].iter().cloned()),
        );
        (from.concat(), to.concat())
    })
}

#[test]
fn an_edit_leads_from_one_text_to_the_other() {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |(from, to): (String, String)| {
        let mut ledger = Ledger::default();
        for (number, body) in [from, to].into_iter().enumerate() {
            accept(
                &mut ledger,
                &json!({"release": {"number": number, "body": body}}),
            );
        }
        prop_assert!(ledger.verify(&[]).is_ok());
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&texts(), check)
        .expect("every edit fits");
}

fn edit(path: &str, at: usize, remove: usize) -> Edit {
    let insert = String::new();
    Edit {
        path: path.to_owned(),
        hunks: vec![Hunk { at, remove, insert }],
    }
}

#[test_case(vec![edit("/release/number", 0, 0)]; "no text")]
#[test_case(vec![edit("/release/none", 0, 0)]; "no field")]
#[test_case(vec![edit("/release/body", 2, 3)]; "beyond the end")]
#[test_case(vec![edit("/release/body", 1, 1)]; "inside a character")]
#[test_case(vec![edit("/release/body", usize::MAX, 2)]; "beyond all offsets")]
#[test_case(vec![edit("/release/body", 0, 2), edit("/release/body", 0, 2)]; "twice")]
fn an_edit_that_does_not_fit_is_refused_and_changes_nothing(edits: Vec<Edit>) {
    let mut ledger = Ledger::default();
    accept(
        &mut ledger,
        &json!({"release": {"number": 1, "body": "é12"}}),
    );
    let before = ledger.clone();
    let patch = Patch {
        id: id(9),
        base: Version(1),
        author: "operator".to_owned(),
        merge: json!({"release": {"number": 2}}),
        edits,
    };
    let verdict = ledger.validate(&patch);
    assert!(matches!(verdict, Verdict::Invalid(_)), "{verdict:?}");
    let wall_ms = 0;
    let answer = ledger.apply(Proposal {
        patch,
        verdict,
        wall_ms,
    });
    assert!(matches!(answer, Answer::Invalid { .. }), "{answer:?}");
    assert_eq!(ledger.document(), before.document());
    assert_eq!(ledger.version(), before.version());
}
