//! What an entry does about bad upstreams, through the real binary.

mod support;

use support::system::{poll, System};
use support::Process;

const HEADERS: [(&str, &str); 3] = [
    ("x-service", "demo"),
    ("x-team", "barn"),
    ("x-deadline", "5s"),
];

/// Replaces the upstream that the entry likes best by one that does its tasks
/// badly, and waits until it has been sent one.
fn spoil(system: &mut System, mode: &str) {
    system.request(&HEADERS, "{}");
    let total = |upstream: &usize| system.executions(*upstream, "total");
    let best = (0..system.upstreams.len()).max_by_key(total);
    let best = best.expect("some upstreams");
    let url = format!("http://{}", system.agent_addresses[best]);
    let bad = Process::start(&["example-upstream", "--agent", &url, "--mode", mode]);
    system.upstream_addresses[best] = bad.listening("upstream").to_string();
    system.upstreams[best] = bad;
    poll(|| {
        system.request(&HEADERS, "{}");
        (system.executions(best, "total") > 0).then_some(())
    });
}

#[test]
fn upstream_that_fails_every_task_is_ejected() {
    let mut system = System::start(3);
    spoil(&mut system, "fail");
    let failed = (0..60)
        .map(|_| system.request(&HEADERS, r#"{"run_ms":5}"#).0)
        .filter(|status| status.as_u16() != 200)
        .count();
    assert!(failed <= 4, "{failed} of 60 failed");
}
