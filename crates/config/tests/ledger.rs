//! Tests of the ledger, some against a model that keeps every document and every
//! answer.

use std::collections::HashMap;

use gentian_config::ledger::{Answer, Ledger, Proposal, Verdict, REFUSALS_KEPT};
use gentian_config::patch::{Id, Patch};
use gentian_wire::id::Version;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Value};
use uuid::Uuid;

/// An answer to a patch, without details that the model doesn't predict.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    Accepted(u64),
    Conflict(u64),
    Invalid,
    Reused,
}

/// A ledger that stores complete documents and never forgets an answer.
#[derive(Default)]
struct Model {
    documents: Vec<Value>,
    answers: HashMap<Id, (Patch, Outcome)>,
}

impl Model {
    fn apply(&mut self, patch: &Patch) -> Outcome {
        if let Some((first, outcome)) = self.answers.get(&patch.id) {
            let outcome = if first == patch {
                outcome
            } else {
                &Outcome::Reused
            };
            return outcome.clone();
        }
        let outcome = self.decide(patch);
        self.answers
            .insert(patch.id, (patch.clone(), outcome.clone()));
        outcome
    }

    fn decide(&mut self, patch: &Patch) -> Outcome {
        let version = self.documents.len() as u64;
        if patch.base.0 != version {
            return Outcome::Conflict(version);
        }
        let mut document = self.document();
        merge(&mut document, &patch.merge);
        if document["limits"]["queue"] == json!(0) {
            return Outcome::Invalid;
        }
        self.documents.push(document);
        Outcome::Accepted(version + 1)
    }

    fn document(&self) -> Value {
        self.documents.last().cloned().unwrap_or(json!({}))
    }
}

/// Applies a JSON merge patch as specified in RFC 7396.
fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(fields) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = json!({});
    }
    for (name, field) in fields {
        if field.is_null() {
            target.as_object_mut().and_then(|t| t.remove(name));
        } else {
            merge(&mut target[name.as_str()], field);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Applies a new or resent patch, with its id, the distance of its base from
    /// the version in force, and its content.
    Send(u8, u64, Value),
    /// Validates a patch that is applied only by a later `ApplyDelayed`.
    Delay(u8, Value),
    ApplyDelayed,
    /// Applies the last proposal again.
    Duplicate,
    /// Restores the ledger from a snapshot.
    Restart,
    /// Sets the proposer's wall clock.
    SetClock(u64),
}

fn content() -> impl Strategy<Value = Value> {
    prop_oneof![
        (0.0..1.0f64).prop_map(|w| json!({"services": {"a": {"response_weight": w}}})),
        (0u32..3).prop_map(|queue| json!({"limits": {"queue": queue}})),
        Just(json!({"services": null})),
        Just(json!({"services": {"a": {"retry_budget": null}, "b": {}}})),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..40, 0u64..3, content()).prop_map(|(id, lag, c)| Step::Send(id, lag, c)),
        3 => (0u8..40, content()).prop_map(|(id, c)| Step::Delay(id, c)),
        3 => Just(Step::ApplyDelayed),
        2 => Just(Step::Duplicate),
        1 => Just(Step::Restart),
        1 => (0u64..100_000).prop_map(Step::SetClock),
    ]
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn patch(id: u8, base: u64, merge: Value) -> Patch {
    Patch {
        id: Id(Uuid::from_u128(id.into())),
        base: Version(base),
        author: "vet".to_owned(),
        merge,
        edits: Vec::new(),
    }
}

fn propose(ledger: &Ledger, patch: Patch, wall_ms: u64) -> Proposal {
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms,
    }
}

fn outcome(answer: &Answer) -> Outcome {
    match answer {
        Answer::Accepted { version, .. } => Outcome::Accepted(version.0),
        Answer::Conflict { in_force, .. } => Outcome::Conflict(in_force.0),
        Answer::Invalid { .. } => Outcome::Invalid,
        Answer::Reused => Outcome::Reused,
    }
}

#[test]
fn ledger_and_replica_match_the_model() {
    let steps = proptest::collection::vec(step(), 1..60);
    let run = |steps: Vec<Step>| {
        let mut model = Model::default();
        let mut ledger = Ledger::default();
        let mut replica = Ledger::default();
        let mut delayed: Option<Proposal> = None;
        let mut last: Option<Proposal> = None;
        let mut wall_ms = 50_000;
        for step in steps {
            let proposal = match step {
                Step::Send(id, lag, content) => {
                    let base = ledger.version().0.saturating_sub(lag);
                    Some(propose(&ledger, patch(id, base, content), wall_ms))
                }
                Step::Delay(id, content) => {
                    let base = ledger.version().0;
                    delayed = Some(propose(&ledger, patch(id, base, content), wall_ms));
                    None
                }
                Step::ApplyDelayed => delayed.take(),
                Step::Duplicate => last.clone(),
                Step::Restart => {
                    let bytes = ledger.snapshot().expect("a snapshot");
                    ledger = Ledger::restore(&bytes).expect("a valid snapshot");
                    prop_assert_eq!(ledger.snapshot().expect("a snapshot"), bytes);
                    None
                }
                Step::SetClock(to) => {
                    wall_ms = to;
                    None
                }
            };
            let Some(proposal) = proposal else { continue };
            let expected = model.apply(&proposal.patch);
            let answer = ledger.apply(proposal.clone());
            prop_assert_eq!(outcome(&answer), expected);
            prop_assert_eq!(replica.apply(proposal.clone()), answer);
            prop_assert_eq!(ledger.document(), &model.document());
            last = Some(proposal);
        }
        prop_assert_eq!(&ledger, &replica);
        prop_assert!(ledger.verify(&[]).is_ok());
        let times: Vec<u64> = ledger.history(Version(0)).map(|r| r.wall_ms).collect();
        prop_assert!(times.is_sorted());
        prop_assert_eq!(times.len(), model.documents.len());
        Ok(())
    };
    runner(512)
        .run(&steps, run)
        .expect("the ledger matches the model");
}

/// Applies a patch that sets the queue limit.
fn set_queue_limit(ledger: &mut Ledger, id: u8, base: u64, limit: u32) -> Answer {
    let patch = patch(id, base, json!({"limits": {"queue": limit}}));
    let proposal = propose(ledger, patch, 0);
    ledger.apply(proposal)
}

#[test]
fn a_conflict_names_the_patch_that_was_accepted_instead() {
    let mut ledger = Ledger::default();
    set_queue_limit(&mut ledger, 1, 0, 10);
    set_queue_limit(&mut ledger, 2, 1, 11);
    let Answer::Conflict { in_force, winner } = set_queue_limit(&mut ledger, 3, 0, 12) else {
        panic!("a patch to an outdated base must conflict");
    };
    let winner = winner.expect("the winner is recorded");
    assert_eq!((in_force, winner.version), (Version(2), Version(1)));
    assert_eq!(winner.id, Id(Uuid::from_u128(1)));
}

#[test]
fn a_patch_validated_against_another_version_is_not_accepted() {
    let mut ledger = Ledger::default();
    let stale = propose(&ledger, patch(1, 1, json!({"limits": {"queue": 0}})), 0);
    assert_eq!(stale.verdict, Verdict::Stale);
    set_queue_limit(&mut ledger, 2, 0, 5);
    assert_eq!(outcome(&ledger.apply(stale)), Outcome::Conflict(1));
}

#[test]
fn a_conflicting_patch_stays_refused_after_its_answer_is_dropped() {
    let mut ledger = Ledger::default();
    set_queue_limit(&mut ledger, 1, 0, 10);
    for id in 2..=255 {
        set_queue_limit(&mut ledger, id, 0, 10);
    }
    for id in 0..REFUSALS_KEPT as u128 {
        let mut patch = patch(0, 0, json!({}));
        patch.id = Id(Uuid::from_u128(1_000 + id));
        let proposal = propose(&ledger, patch, 0);
        ledger.apply(proposal);
    }
    assert!(ledger
        .first_answer(&patch(2, 0, json!({"limits": {"queue": 10}})))
        .is_none());
    assert_eq!(
        outcome(&set_queue_limit(&mut ledger, 2, 0, 10)),
        Outcome::Conflict(1)
    );
    assert_eq!(
        outcome(&set_queue_limit(&mut ledger, 1, 0, 10)),
        Outcome::Accepted(1)
    );
}

#[test]
fn a_modified_snapshot_fails_its_digest_check() {
    let mut ledger = Ledger::default();
    set_queue_limit(&mut ledger, 1, 0, 10);
    set_queue_limit(&mut ledger, 2, 1, 11);
    let text = String::from_utf8(ledger.snapshot().expect("a snapshot")).expect("JSON");
    let document = text.replacen("\"queue\":11", "\"queue\":12", 1);
    assert!(Ledger::restore(document.as_bytes()).is_err());
    let author = text.replacen("vet", "cat", 1);
    let forged = Ledger::restore(author.as_bytes()).expect("restoring checks the last digest only");
    assert!(forged.verify(&[]).is_err());
}
