//! Measures the size of the ledger per version, and the time to restore it, after
//! a day's number of changes.
//!
//! `cargo run --release -p gentian-config --example ledger_growth`

use std::time::Instant;

use gentian_config::ledger::{Ledger, Proposal};
use gentian_config::patch::{Id, Patch};
use serde_json::{json, Value};
use uuid::Uuid;

const CHANGES: u32 = 2_700;
const SERVICES: u32 = 40;

fn main() {
    let mut ledger = Ledger::default();
    let mut log = Vec::new();
    let start = Instant::now();
    for number in 0..CHANGES {
        let proposal = propose(&ledger, number);
        log.push(serde_json::to_vec(&proposal).expect("a proposal is JSON"));
        ledger.apply(proposal);
    }
    let applied = start.elapsed();
    println!("changes {CHANGES}, version {}", ledger.version());
    println!("validate, encode and apply: {:?} each", applied / CHANGES);
    println!("document: {} bytes", ledger.document().to_string().len());
    let log_bytes: usize = log.iter().map(Vec::len).sum();
    println!("log: {} bytes per version", log_bytes / CHANGES as usize);

    let start = Instant::now();
    let snapshot = ledger.snapshot().expect("a snapshot");
    println!(
        "snapshot: {} bytes in {:?}",
        snapshot.len(),
        start.elapsed()
    );
    println!(
        "snapshot: {} bytes per version",
        snapshot.len() / CHANGES as usize
    );

    let start = Instant::now();
    let restored = Ledger::restore(&snapshot).expect("a valid snapshot");
    println!("restore from snapshot: {:?}", start.elapsed());
    assert_eq!(restored, ledger);

    let start = Instant::now();
    let mut replayed = Ledger::default();
    for bytes in &log {
        replayed.apply(serde_json::from_slice(bytes).expect("a proposal"));
    }
    println!("restore from the log alone: {:?}", start.elapsed());
    assert_eq!(replayed, ledger);

    let start = Instant::now();
    ledger.verify(&[]).expect("a valid chain");
    println!("verify the chain: {:?}", start.elapsed());
}

fn propose(ledger: &Ledger, number: u32) -> Proposal {
    let patch = Patch {
        id: Id(Uuid::from_u128(number.into())),
        base: ledger.version(),
        author: "operator@example".to_owned(),
        merge: change(number),
        edits: Vec::new(),
    };
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms: 1_000 * u64::from(number),
    }
}

/// Returns a patch that changes two fields of one service, taking the services in
/// turn.
fn change(number: u32) -> Value {
    let name = format!("service-{}", number % SERVICES);
    let weight = f64::from(number % 101) / 100.0;
    json!({"services": {name: {"response_weight": weight, "deadline_ms": 1_000 + number}}})
}
