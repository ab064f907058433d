//! What runs require of their upstream, which may be another one than their owner takes it for.

use gentian_claim::run::{Kind, Refusal, Replacement, Requirement, Runs, Start, MAX_LEASE};
use test_case::test_case;

use super::{ms, owner, run, start, CAPACITY};

fn kind(service: &str, labels: &[&str]) -> Kind {
    Kind {
        service: service.parse().expect("a valid name"),
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
    }
}

/// The start of a run that requires this service and label; empty ones stand for none.
fn requiring(service: &str, label: &str) -> Start {
    Start {
        requirement: Requirement {
            service: service.parse().ok(),
            label: Some(label.to_owned()).filter(|label| !label.is_empty()),
        },
        ..start()
    }
}

/// An open upstream of service `desk` with labels `a` and `r1`, at which the owner holds a lease.
fn upstream() -> Runs {
    let mut runs = Runs::default();
    runs.set_upstream(CAPACITY, true);
    runs.set_kind(kind("desk", &["a", "r1"]));
    runs.renew_lease(&owner("e"), MAX_LEASE, ms(0));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(0));
    runs
}

/// Guards against runs at an upstream of another kind, which has taken the place of the one that
/// their owner chose.
#[test_case("", "", Ok(()); "nothing")]
#[test_case("desk", "", Ok(()); "its service")]
#[test_case("desk", "a", Ok(()); "its first label")]
#[test_case("desk", "r1", Ok(()); "its second label")]
#[test_case("till", "", Err(Refusal::Unsuitable); "another service")]
#[test_case("till", "a", Err(Refusal::Unsuitable); "another service and a label that it has")]
#[test_case("desk", "b", Err(Refusal::Unsuitable); "a label that it lacks")]
fn a_run_that_requires(service: &str, label: &str, expected: Result<(), Refusal>) {
    let mut runs = upstream();
    let start = requiring(service, label);
    assert_eq!(
        expected,
        runs.admit(&owner("e"), &run("t", 1), start, ms(1))
    );
    assert_eq!(usize::from(expected.is_ok()), runs.len());
}

#[test]
fn an_upstream_of_which_nothing_is_known_takes_only_what_requires_nothing() {
    let mut runs = Runs::default();
    runs.set_upstream(CAPACITY, true);
    runs.renew_lease(&owner("e"), MAX_LEASE, ms(0));
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(0));
    let mut admit = |task, start| runs.admit(&owner("e"), &run(task, 1), start, ms(1));
    let refused = Err(Refusal::Unsuitable);
    assert_eq!(refused, admit("t", requiring("desk", "")));
    assert_eq!(Ok(()), admit("u", requiring("", "")));
}

/// Guards against runs that were admitted, waited for a connection, and began at an upstream that
/// had become another one meanwhile.
#[test]
fn an_admitted_run_does_not_start_once_its_upstream_lacks_the_label() {
    let mut runs = upstream();
    let start = requiring("desk", "a");
    assert_eq!(Ok(()), runs.admit(&owner("e"), &run("t", 1), start, ms(1)));
    assert_eq!(Ok(()), runs.check_start(&run("t", 1), ms(2)));
    runs.set_kind(kind("desk", &["b"]));
    let refused = Err(Refusal::Unsuitable);
    assert_eq!(refused, runs.check_start(&run("t", 1), ms(3)));
}

/// Guards against runs that were admitted, waited for a connection, and began long after their
/// upstream had said that it drains.
#[test]
fn an_admitted_run_does_not_start_once_its_upstream_drains() {
    let mut runs = upstream();
    let start = requiring("", "");
    assert_eq!(Ok(()), runs.admit(&owner("e"), &run("t", 1), start, ms(1)));
    runs.set_upstream(CAPACITY, false);
    let refused = Err(Refusal::Closed);
    assert_eq!(refused, runs.check_start(&run("t", 1), ms(2)));
}

#[test]
fn an_admitted_run_does_not_start_at_a_process_that_replaced_its_upstream() {
    let mut runs = upstream();
    let start = requiring("desk", "a");
    assert_eq!(Ok(()), runs.admit(&owner("e"), &run("t", 1), start, ms(1)));
    let replacement = Replacement {
        same_id: false,
        former_ended: true,
    };
    runs.upstream_replaced(replacement, ms(2));
    let refused = Err(Refusal::Closed);
    assert_eq!(refused, runs.check_start(&run("t", 1), ms(3)));
}
