//! Tests of the order in which free capacity is offered.

use std::time::Duration;

use gentian_limit::waiting_list::WaitingList;
use gentian_wire::need::Need;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn cores(cores: u32) -> Need {
    Need {
        cpu: cores * 1_000,
        ..Need::default()
    }
}

#[test]
fn capacity_is_offered_to_one_after_the_other() {
    let mut list = WaitingList::default();
    for key in ["a", "b", "c"] {
        list.add(key, cores(5), ms(0));
    }
    let offered = (0..4).map(|_| list.take_next(cores(6), ms(1)));
    assert_eq!(
        vec![Some("a"), Some("b"), Some("c"), None],
        offered.collect::<Vec<_>>()
    );
}

#[test]
fn whoever_is_turned_away_again_goes_to_the_end() {
    let mut list = WaitingList::default();
    list.add("a", cores(5), ms(0));
    list.add("b", cores(5), ms(1));
    list.add("a", cores(5), ms(2));
    assert_eq!(Some("b"), list.take_next(cores(5), ms(3)));
    assert_eq!(Some("a"), list.take_next(cores(5), ms(3)));
    assert_eq!(None, list.take_next(cores(5), ms(3)));
}

#[test]
fn capacity_goes_to_the_first_whose_task_fits() {
    let mut list = WaitingList::default();
    list.add("large", cores(7), ms(0));
    list.add("small", cores(3), ms(0));
    assert_eq!(Some("small"), list.take_next(cores(4), ms(1)));
    assert_eq!(None, list.take_next(cores(4), ms(1)));
    assert_eq!(Some("large"), list.take_next(cores(7), ms(1)));
}

#[test]
fn nobody_stays_listed_for_long() {
    let mut list = WaitingList::default();
    list.add("a", cores(5), ms(0));
    list.add("b", cores(5), ms(150));
    assert_eq!(Some("b"), list.take_next(cores(5), ms(250)));
    assert_eq!(None, list.take_next(cores(5), ms(250)));
}
