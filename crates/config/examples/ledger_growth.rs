//! Measures what changes of a whole configuration cost the ledger, by the number of changes so
//! far and of routes: bytes in the log and in the history, and times of a change, a snapshot
//! and a restore.
//!
//! `cargo run --release -p gentian-config --example ledger_growth`

use std::time::{Duration, Instant};

use gentian_config::ledger::{Ledger, Proposal};
use gentian_config::patch::{Id, Patch};
use gentian_wire::id::Version;
use serde_json::{json, Value};
use uuid::Uuid;

const CHANGES: [usize; 4] = [100, 500, 2_700, 18_900];
const ROUTES: [usize; 4] = [10, 350, 1_400, 2_000];

/// Sums over the changes of one line.
#[derive(Default)]
struct Costs {
    log_bytes: usize,
    segment_bytes: usize,
    propose: Duration,
    apply: Duration,
}

fn main() {
    println!("routes  changes  log B  history B  snapshot kB  propose ms  apply ms  restore ms");
    for routes in ROUTES {
        for changes in CHANGES {
            // The cost of a change doesn't depend on the number of changes.
            if routes * changes <= 4_000_000 {
                measure(routes, changes);
            }
        }
    }
}

fn measure(routes: usize, changes: usize) {
    let mut ledger = Ledger::default();
    let mut timeouts = vec![1_500; routes];
    let mut costs = Costs::default();
    change(&mut ledger, &timeouts, 0, &mut Costs::default());
    for number in 1..=changes {
        timeouts[number * 997 % routes] += 1;
        change(&mut ledger, &timeouts, number, &mut costs);
    }
    let snapshot = ledger.snapshot().expect("a snapshot");
    let start = Instant::now();
    let restored = Ledger::restore(&snapshot).expect("a valid snapshot");
    let restore = start.elapsed();
    assert_eq!(restored, ledger);
    let each = |total: Duration| total.as_secs_f64() * 1_000.0 / changes as f64;
    println!(
        "{routes:6}  {changes:7}  {:5}  {:9}  {:11}  {:10.2}  {:8.2}  {:10.2}",
        costs.log_bytes / changes,
        costs.segment_bytes / changes,
        snapshot.len() / 1_000,
        each(costs.propose),
        each(costs.apply),
        restore.as_secs_f64() * 1_000.0,
    );
}

/// Makes the change that leads to a configuration with these timeouts.
fn change(ledger: &mut Ledger, timeouts: &[u32], number: usize, costs: &mut Costs) {
    let to = document(timeouts, number);
    let start = Instant::now();
    let id = Id(Uuid::from_u128(number as u128));
    let base: Version = ledger.version();
    let patch = Patch::between(id, base, "operator", ledger.document(), &to);
    let verdict = ledger.validate(&patch);
    let wall_ms = 1_000 * number as u64;
    let proposal = Proposal {
        patch,
        verdict,
        wall_ms,
    };
    let entry = serde_json::to_vec(&proposal).expect("a proposal is JSON");
    costs.propose += start.elapsed();
    costs.log_bytes += entry.len();
    let start = Instant::now();
    ledger.apply(serde_json::from_slice(&entry).expect("a proposal"));
    costs.apply += start.elapsed();
    assert!(ledger.document() == &to, "the change was refused");
    let sealed = ledger.seal().expect("records can be written");
    costs.segment_bytes += sealed.map_or(0, |sealed| sealed.content.len());
}

/// A whole configuration as the platform's adapter puts it into the document.
fn document(timeouts: &[u32], number: usize) -> Value {
    let mut queues = serde_json::Map::new();
    let mut routes = Vec::new();
    for (route, timeout) in timeouts.iter().enumerate() {
        let (host, prefix) = (format!("h{route}.example"), format!("/p{route}/"));
        queues.insert(
            format!("{host}{prefix}"),
            json!({"name": format!("r-{route}"), "host": host, "prefix": prefix,
                "service": "desk", "priority": 0, "attempts": 4, "stretch": 1.6,
                "target_ms": 60, "timeout_ms": timeout}),
        );
        routes.push(
            json!({"name": format!("r-{route}"), "host": host, "path-prefix": prefix,
            "kind": "unsafe", "timeout-ms": timeout, "target-latency-ms": 60, "priority": 0,
            "service": "desk", "max-attempts": 4, "stretch": 1.6}),
        );
    }
    let body = json!({"version": number, "routes": routes}).to_string();
    json!({"services": {"desk": {}}, "queues": queues,
        "release": {"number": number, "body": body}})
}
