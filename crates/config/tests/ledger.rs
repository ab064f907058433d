//! The ledger against a model that keeps every document and every answer.

use std::collections::HashMap;

use gentian_config::ledger::{Answer, Ledger, Proposal, Verdict, REFUSALS_KEPT};
use gentian_config::patch::{Id, Patch};
use gentian_wire::id::Version;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Value};
use uuid::Uuid;

/// What the naive model says of a patch.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Told {
    Accepted(u64),
    Conflict(u64),
    Invalid,
    Reused,
}

/// Keeps whole documents and never forgets an answer.
#[derive(Default)]
struct Model {
    documents: Vec<Value>,
    answers: HashMap<Id, (Patch, Told)>,
}

impl Model {
    fn apply(&mut self, patch: &Patch) -> Told {
        if let Some((first, told)) = self.answers.get(&patch.id) {
            let told = if first == patch { told } else { &Told::Reused };
            return told.clone();
        }
        let told = self.decide(patch);
        self.answers.insert(patch.id, (patch.clone(), told.clone()));
        told
    }

    fn decide(&mut self, patch: &Patch) -> Told {
        let version = self.documents.len() as u64;
        if patch.base.0 != version {
            return Told::Conflict(version);
        }
        let mut document = self.document();
        merge(&mut document, &patch.merge);
        if document["limits"]["queue"] == json!(0) {
            return Told::Invalid;
        }
        self.documents.push(document);
        Told::Accepted(version + 1)
    }

    fn document(&self) -> Value {
        self.documents.last().cloned().unwrap_or(json!({}))
    }
}

/// RFC 7396, as its text has it.
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
    /// A new or resent patch: id, distance of its base from the version in
    /// force, and content.
    Send(u8, u64, Value),
    /// A patch that is judged now and comes through the log later.
    Hold(u8, Value),
    Late,
    Duplicate,
    Restart,
    ClockJump(u64),
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
        3 => (0u8..40, content()).prop_map(|(id, c)| Step::Hold(id, c)),
        3 => Just(Step::Late),
        2 => Just(Step::Duplicate),
        1 => Just(Step::Restart),
        1 => (0u64..100_000).prop_map(Step::ClockJump),
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
    }
}

fn propose(ledger: &Ledger, patch: Patch, wall_ms: u64) -> Proposal {
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms,
    }
}

fn told(answer: &Answer) -> Told {
    match answer {
        Answer::Accepted { version, .. } => Told::Accepted(version.0),
        Answer::Conflict { in_force, .. } => Told::Conflict(in_force.0),
        Answer::Invalid { .. } => Told::Invalid,
        Answer::Reused => Told::Reused,
    }
}

#[test]
fn ledger_answers_as_the_model_does() {
    let steps = proptest::collection::vec(step(), 1..60);
    let run = |steps: Vec<Step>| {
        let mut model = Model::default();
        let mut ledger = Ledger::default();
        let mut replica = Ledger::default();
        let mut late: Option<Proposal> = None;
        let mut last: Option<Proposal> = None;
        let mut wall_ms = 50_000;
        for step in steps {
            let proposal = match step {
                Step::Send(id, lag, content) => {
                    let base = ledger.version().0.saturating_sub(lag);
                    Some(propose(&ledger, patch(id, base, content), wall_ms))
                }
                Step::Hold(id, content) => {
                    let base = ledger.version().0;
                    late = Some(propose(&ledger, patch(id, base, content), wall_ms));
                    None
                }
                Step::Late => late.take(),
                Step::Duplicate => last.clone(),
                Step::Restart => {
                    let bytes = ledger.snapshot().expect("a snapshot");
                    ledger = Ledger::restore(&bytes).expect("a good snapshot");
                    prop_assert_eq!(ledger.snapshot().expect("a snapshot"), bytes);
                    None
                }
                Step::ClockJump(to) => {
                    wall_ms = to;
                    None
                }
            };
            let Some(proposal) = proposal else { continue };
            let expected = model.apply(&proposal.patch);
            let answer = ledger.apply(proposal.clone());
            prop_assert_eq!(told(&answer), expected);
            prop_assert_eq!(replica.apply(proposal.clone()), answer);
            prop_assert_eq!(ledger.document(), &model.document());
            last = Some(proposal);
        }
        prop_assert_eq!(&ledger, &replica);
        prop_assert!(ledger.verify().is_ok());
        let walls: Vec<u64> = ledger.history(Version(0)).map(|r| r.wall_ms).collect();
        prop_assert!(walls.is_sorted());
        prop_assert_eq!(walls.len(), model.documents.len());
        Ok(())
    };
    runner(512).run(&steps, run).expect("no difference");
}

fn queue(ledger: &mut Ledger, id: u8, base: u64, queue: u32) -> Answer {
    let patch = patch(id, base, json!({"limits": {"queue": queue}}));
    let proposal = propose(ledger, patch, 0);
    ledger.apply(proposal)
}

#[test]
fn loser_of_a_race_is_told_who_won() {
    let mut ledger = Ledger::default();
    queue(&mut ledger, 1, 0, 10);
    queue(&mut ledger, 2, 1, 11);
    let Answer::Conflict { in_force, winner } = queue(&mut ledger, 3, 0, 12) else {
        panic!("the version was taken");
    };
    let winner = winner.expect("the winner is on record");
    assert_eq!((in_force, winner.version), (Version(2), Version(1)));
    assert_eq!(winner.id, Id(Uuid::from_u128(1)));
}

#[test]
fn a_verdict_made_for_another_version_does_not_let_a_patch_in() {
    let mut ledger = Ledger::default();
    let early = propose(&ledger, patch(1, 1, json!({"limits": {"queue": 0}})), 0);
    assert_eq!(early.verdict, Verdict::Stale);
    queue(&mut ledger, 2, 0, 5);
    assert_eq!(told(&ledger.apply(early)), Told::Conflict(1));
}

#[test]
fn a_lost_race_stays_lost_after_its_answer_is_dropped() {
    let mut ledger = Ledger::default();
    queue(&mut ledger, 1, 0, 10);
    for id in 2..=255 {
        queue(&mut ledger, id, 0, 10);
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
    assert_eq!(told(&queue(&mut ledger, 2, 0, 10)), Told::Conflict(1));
    assert_eq!(told(&queue(&mut ledger, 1, 0, 10)), Told::Accepted(1));
}

#[test]
fn a_changed_snapshot_is_refused() {
    let mut ledger = Ledger::default();
    queue(&mut ledger, 1, 0, 10);
    queue(&mut ledger, 2, 1, 11);
    let text = String::from_utf8(ledger.snapshot().expect("a snapshot")).expect("JSON");
    let document = text.replacen("\"queue\":11", "\"queue\":12", 1);
    assert!(Ledger::restore(document.as_bytes()).is_err());
    let author = text.replacen("vet", "cat", 1);
    let forged = Ledger::restore(author.as_bytes()).expect("only the last record is compared");
    assert!(forged.verify().is_err());
}
