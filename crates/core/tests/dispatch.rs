//! Ejection of faulty upstreams by an entry, through the real binary.

mod support;

use support::system::{poll, System};
use support::Process;

const HEADERS: [(&str, &str); 3] = [
    ("x-service", "demo"),
    ("x-team", "barn"),
    ("x-deadline", "5s"),
];

/// Replaces the upstream that the entry prefers by one with a faulty mode, and waits
/// until a task has been sent to it.
fn replace_preferred_upstream(system: &mut System, mode: &str) {
    system.request(&HEADERS, "{}");
    let total = |upstream: &usize| system.executions(*upstream, "total");
    let preferred = (0..system.upstreams.len()).max_by_key(total);
    let preferred = preferred.expect("some upstreams");
    let url = format!("http://{}", system.agent_addresses[preferred]);
    let faulty = Process::start(&["example-upstream", "--agent", &url, "--mode", mode]);
    system.upstream_addresses[preferred] = faulty.listen_address("upstream").to_string();
    system.upstreams[preferred] = faulty;
    poll(|| {
        system.request(&HEADERS, "{}");
        (system.executions(preferred, "total") > 0).then_some(())
    });
}

#[test]
fn upstream_that_fails_every_task_is_ejected() {
    let mut system = System::start(3);
    replace_preferred_upstream(&mut system, "fail");
    let failed = (0..60)
        .map(|_| system.request(&HEADERS, r#"{"run_ms":5}"#).0)
        .filter(|status| status.as_u16() != 200)
        .count();
    assert!(failed <= 4, "{failed} of 60 failed");
}
