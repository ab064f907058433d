//! Old records outside of the ledger's state.

use gentian_config::ledger::{Answer, Ledger, Proposal, Record, Sealed, MAX_RECENT_BYTES};
use gentian_config::patch::{Id, Patch};
use gentian_wire::id::Version;
use serde_json::json;
use uuid::Uuid;

/// Changes of a day, by the users' figure for two years from now.
const CHANGES: u64 = 2_700;
const MERGE_BYTES: usize = 2_000;

fn patch(base: u64) -> Patch {
    let path = format!("/{}", "p".repeat(MERGE_BYTES));
    Patch {
        id: Id(Uuid::from_u128(base.into())),
        base: Version(base),
        author: "operator".to_owned(),
        merge: json!({"services": {"desk": {"path": path, "deadline_ms": 1_000 + base}}}),
        edits: Vec::new(),
    }
}

fn accept(ledger: &mut Ledger, base: u64) -> Option<Sealed> {
    let patch = patch(base);
    let verdict = ledger.validate(&patch);
    let wall_ms = base;
    let answer = ledger.apply(Proposal {
        patch,
        verdict,
        wall_ms,
    });
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    ledger.seal().expect("records can be written")
}

/// A ledger after all changes, and what was sealed meanwhile.
fn after_changes() -> (Ledger, Vec<Sealed>) {
    let mut ledger = Ledger::default();
    let sealed = (0..CHANGES).filter_map(|base| accept(&mut ledger, base));
    let sealed = sealed.collect();
    (ledger, sealed)
}

fn records(sealed: &[Sealed]) -> Vec<Record> {
    let parts = sealed.iter().map(|part| {
        let records = part.segment.read(&part.content);
        records.expect("the content is what was sealed")
    });
    parts.flatten().collect()
}

/// Guards against a state that grows with the number of changes.
#[test]
fn the_state_stays_small_and_the_history_complete() {
    let (ledger, sealed) = after_changes();
    let snapshot = ledger.snapshot().expect("a snapshot");
    assert!(CHANGES as usize * MERGE_BYTES > 8 * MAX_RECENT_BYTES);
    let bound = 2 * MAX_RECENT_BYTES;
    assert!(snapshot.len() < bound, "{} bytes", snapshot.len());

    let sealed_records = records(&sealed);
    let versions = sealed_records.iter().map(|record| record.version.0);
    let versions = versions.chain(ledger.history(Version(0)).map(|record| record.version.0));
    assert!(versions.eq(1..=CHANGES));
    ledger.verify(&sealed_records).expect("the chain holds");
    assert!(ledger.verify(&[]).is_err(), "without the sealed records");

    let segments: Vec<_> = sealed.iter().map(|part| part.segment.clone()).collect();
    assert_eq!(ledger.segments(), segments);
    for record in &sealed_records {
        let segment = ledger.segment(record.version).expect("it was sealed");
        assert!((segment.first..=segment.last).contains(&record.version));
        assert_eq!(ledger.record(record.version), None);
    }
    assert_eq!(ledger.segment(Version(0)), None);
    assert_eq!(ledger.segment(ledger.version()), None);
}

#[test]
fn a_restored_ledger_goes_on_like_the_others() {
    let (mut ledger, _) = after_changes();
    let snapshot = ledger.snapshot().expect("a snapshot");
    let mut restored = Ledger::restore(&snapshot).expect("a valid snapshot");
    assert_eq!(restored, ledger);
    for base in CHANGES..CHANGES + 400 {
        assert_eq!(accept(&mut restored, base), accept(&mut ledger, base));
    }
    assert_eq!(restored, ledger);
}

/// A patch whose record was sealed is answered from there; the ledger itself refuses it, since
/// its base is outdated.
#[test]
fn a_patch_that_is_sent_again_after_long_gets_its_first_answer_from_its_record() {
    let (mut ledger, sealed) = after_changes();
    let records = records(&sealed);
    let again = patch(7);
    let record = &records[7];
    let digest = record.digest;
    let version = Version(8);
    assert_eq!(record.answer(&again), Answer::Accepted { version, digest });
    let mut other = again.clone();
    other.merge = json!({});
    assert_eq!(record.answer(&other), Answer::Reused);
    let verdict = ledger.validate(&again);
    let answer = ledger.apply(Proposal {
        patch: again,
        verdict,
        wall_ms: 0,
    });
    let in_force = Version(CHANGES);
    let winner = None;
    assert_eq!(answer, Answer::Conflict { in_force, winner });
}

/// A history that an earlier release kept whole is sealed part by part.
#[test]
fn a_long_history_of_an_earlier_release_is_sealed_in_bounded_parts() {
    let mut ledger = Ledger::default();
    for base in 0..CHANGES {
        let patch = patch(base);
        let verdict = ledger.validate(&patch);
        let wall_ms = 0;
        ledger.apply(Proposal {
            patch,
            verdict,
            wall_ms,
        });
    }
    let mut sealed = Vec::new();
    while let Some(part) = ledger.seal().expect("records can be written") {
        assert!(part.content.len() < 2 * MAX_RECENT_BYTES);
        sealed.push(part);
    }
    assert!(sealed.len() > 5);
    ledger.verify(&records(&sealed)).expect("the chain holds");
}

#[test]
fn content_that_was_changed_is_noticed() {
    let (_, sealed) = after_changes();
    let Sealed { segment, content } = &sealed[0];
    let mut changed = content.clone();
    changed[100] ^= 1;
    assert!(segment.read(&changed).is_err());
    assert!(segment.read(&content[..content.len() - 1]).is_err());
}
