//! Tests of the replicated state: log entries, snapshots and restarts.

mod common;

use common::member;
use gentian_config::ledger::{Answer, Proposal};
use gentian_config::patch::{Id, Patch, MAX_PATCH_DEPTH};
use gentian_member::state::{Command, Reply, State};
use gentian_member::view::Event;
use gentian_wire::id::{Version, View};
use serde_json::json;

fn patch(state: &State, number: u128) -> Command {
    let patch = Patch {
        id: Id(uuid::Uuid::from_u128(number)),
        base: state.ledger().version(),
        author: "vet".to_owned(),
        merge: json!({"services": {"dashboard": {"response_weight": 0.1 * number as f64}}}),
        edits: Vec::new(),
    };
    Command::Patch(Proposal {
        verdict: state.ledger().validate(&patch),
        patch,
        wall_ms: 7,
    })
}

#[test]
fn restoring_a_snapshot_at_any_log_index_leads_to_the_same_state() {
    let mut state = State::default();
    let mut log = Vec::new();
    for number in 1..9 {
        let join = Command::View(Event::Join(member(number, 1, 8)));
        let commands = [
            patch(&state, number.into()),
            join,
            Command::View(Event::Forget(View(3))),
        ];
        for command in commands {
            let payload = command.encode().expect("a command");
            let reply = state.apply(log.len() as u64, &payload).expect("readable");
            log.push((payload, reply));
        }
    }
    for restore_index in 0..log.len() {
        let mut replica = State::default();
        for (index, (payload, reply)) in log.iter().enumerate() {
            if index == restore_index {
                let bytes = replica.snapshot().expect("a snapshot");
                replica = State::restore(&bytes).expect("a valid snapshot");
            }
            assert_eq!(
                replica.apply(index as u64, payload).expect("readable"),
                *reply
            );
        }
        assert_eq!(replica, state);
        assert_eq!(replica.snapshot().ok(), state.snapshot().ok());
    }
}

#[test]
fn a_resent_patch_gets_its_first_answer_after_a_restore() {
    let mut state = State::default();
    let resent = patch(&state, 1);
    let first = state.execute(resent.clone());
    assert!(matches!(
        &first,
        Reply::Patch(Answer::Accepted {
            version: Version(1),
            ..
        })
    ));
    state.execute(patch(&state, 2));
    let mut state =
        State::restore(&state.snapshot().expect("a snapshot")).expect("a valid snapshot");
    assert_eq!(state.execute(resent), first);
    assert_eq!(state.ledger().version(), Version(2));
}

#[test]
fn unreadable_log_entries_and_snapshots_are_errors() {
    assert!(State::default().apply(4, b"{\"grow\":1}").is_err());
    assert!(State::restore(b"{}").is_err());
}

/// A replica that can't read an entry of the log must stop, and reads it again when it starts.
#[test]
fn every_patch_that_may_be_proposed_is_readable_in_the_log() {
    for (levels, may_be_proposed) in [(1, true), (MAX_PATCH_DEPTH, true), (126, false)] {
        let mut state = State::default();
        let merge = (1..levels).fold(json!({}), |inner, _| json!({ "services": inner }));
        let patch = Patch {
            id: Id(uuid::Uuid::from_u128(1)),
            base: Version(0),
            author: "vet".to_owned(),
            merge,
            edits: Vec::new(),
        };
        assert_eq!(may_be_proposed, !patch.is_too_deep(), "{levels} levels");
        assert_eq!(may_be_proposed, patch.check().is_empty());
        let command = Command::Patch(Proposal {
            verdict: state.ledger().validate(&patch),
            patch,
            wall_ms: 7,
        });
        let applied = state.apply(1, &command.encode().expect("a command"));
        assert_eq!(may_be_proposed, applied.is_ok(), "{levels} levels");
    }
}
