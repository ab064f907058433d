//! Tests of which waiting jobs are tried after others have found no room.

use gentian_limit::backfill::Backfill;
use gentian_wire::need::Need;
use test_case::test_case;

fn need(cpu: u32, memory: u32) -> Need {
    Need {
        cpu,
        memory,
        accelerators: 0,
    }
}

#[test_case(need(3_000, 64), true ; "less processor")]
#[test_case(need(5_000, 32), true ; "less memory")]
#[test_case(need(4_000, 64), false ; "the same")]
#[test_case(need(5_000, 64), false ; "more processor")]
fn only_what_needs_less_of_something_is_tried(tried: Need, expected: bool) {
    let mut pass = Backfill::default();
    assert!(pass.may_fit(tried));
    pass.record_no_room(need(4_000, 64));
    assert_eq!(expected, pass.may_fit(tried));
}

#[test]
fn a_pass_ends_after_many_jobs_or_a_few_searches() {
    let mut pass = Backfill::default();
    let jobs = (1..1_000).find(|_| !pass.pass_over());
    assert_eq!(Some(64), jobs);
    let mut pass = Backfill::default();
    let searches = (1..1_000).find(|cpu| {
        pass.record_no_room(need(1_000 - cpu, 64));
        !pass.pass_over()
    });
    assert_eq!(Some(6), searches);
    let mut pass = Backfill::default();
    let searches = (1..1_000).find(|_| {
        pass.record_late();
        !pass.pass_over()
    });
    assert_eq!(Some(6), searches);
    assert!(pass.may_fit(need(4_000, 64)), "it says nothing of others");
}
