//! Model-based tests of view windows, deltas and ages. The model keeps the full
//! member list of every view.

mod common;

use std::collections::BTreeMap;

use common::{check, ensure, member, ms};
use gentian_member::view::{Delta, Event, Members, Reason, ViewAges, Window, MAX_CHANGES};
use gentian_wire::id::{Incarnation, View};
use proptest::prelude::*;

/// The members of every view since view 0.
struct Model(Vec<Members>);

impl Model {
    fn apply(&mut self, event: &Event) {
        let last = self.0.last().expect("view 0").clone();
        let mut next = last.clone();
        match event {
            Event::Join(m) => {
                if next
                    .get(&m.node)
                    .is_none_or(|k| k.incarnation <= m.incarnation)
                {
                    next.insert(m.node.clone(), m.clone());
                }
            }
            Event::Update(m) => {
                if next
                    .get(&m.node)
                    .is_some_and(|k| k.incarnation == m.incarnation)
                {
                    next.insert(m.node.clone(), m.clone());
                }
            }
            Event::Leave {
                node, incarnation, ..
            } => next.retain(|name, m| name != node || m.incarnation > *incarnation),
            Event::Forget(_) => {}
        }
        if next != last {
            self.0.push(next);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Event(Event),
    /// A replica restarts from a snapshot.
    ReplicaRestart,
    /// A node renews; its reply stays in transit until it is delivered.
    Renew,
    /// The oldest reply in transit arrives.
    Deliver,
    /// A copy of the newest reply in transit arrives.
    DeliverCopy,
    NodeRestart,
}

fn step() -> impl Strategy<Value = Step> {
    let agent = || (0u8..4, 1u64..4, 1u32..3);
    let event = prop_oneof![
        4 => agent().prop_map(|(n, i, s)| Event::Join(member(n, i, s))),
        2 => agent().prop_map(|(n, i, s)| Event::Update(member(n, i, s))),
        3 => agent().prop_map(|(n, i, _)| Event::Leave {
            node: member(n, i, 0).node,
            incarnation: Incarnation(i),
            reason: Reason::Expired,
        }),
        1 => (0u64..30).prop_map(|view| Event::Forget(View(view))),
    ];
    prop_oneof![
        8 => event.prop_map(Step::Event),
        1 => Just(Step::ReplicaRestart),
        4 => Just(Step::Renew),
        3 => Just(Step::Deliver),
        1 => Just(Step::DeliverCopy),
        1 => Just(Step::NodeRestart),
    ]
}

/// Converts the delta to a reply message and back.
fn through_message(delta: &Delta) -> Delta {
    let mut reply = gentian_wire::control::RenewReply::default();
    delta.write(&mut reply);
    Delta::read(&reply).expect("a valid reply")
}

/// Checks that the window has exactly the views the model has in its range.
fn check_window(window: &Window, model: &Model) -> Result<(), TestCaseError> {
    for (number, members) in (0..).zip(&model.0) {
        let kept = number >= window.floor().0 && number <= window.number().0;
        let expected = kept.then_some(members);
        ensure(window.members_at(View(number)).as_ref() == expected, || {
            format!("view {number} differs")
        })?;
    }
    let mut visited = BTreeMap::new();
    window.for_each(|view, members| drop(visited.insert(view, members.clone())));
    let all = visited.iter().all(|(v, m)| model.0[v.0 as usize] == *m);
    let count = (window.number().0 - window.floor().0 + 1) as usize;
    ensure(all && visited.len() == count, || {
        "for_each differs".to_owned()
    })
}

#[test]
fn window_and_delivered_copy_match_the_model() {
    check(600, proptest::collection::vec(step(), 1..80), |steps| {
        let mut model = Model(vec![Members::new()]);
        let mut window = Window::default();
        let mut node = Window::default();
        // Deltas in transit to the node.
        let mut replies: Vec<Delta> = Vec::new();
        for step in steps {
            let before = node.number();
            match step {
                Step::Event(event) => {
                    model.apply(&event);
                    window.apply(event);
                    let number = View(model.0.len() as u64 - 1);
                    ensure(window.number() == number, || {
                        "window and model are at different views".to_owned()
                    })?;
                }
                Step::ReplicaRestart => {
                    let restored = Window::try_from(window.snapshot()).expect("a valid snapshot");
                    ensure(restored == window, || "restored window differs".to_owned())?;
                }
                Step::Renew => replies.push(through_message(&window.delta_since(node.number()))),
                Step::Deliver if !replies.is_empty() => {
                    let _ = node.apply_delta(replies.remove(0));
                }
                Step::DeliverCopy => {
                    let _ = replies.last().cloned().map(|delta| node.apply_delta(delta));
                }
                Step::NodeRestart => {
                    node = Window::default();
                    continue;
                }
                Step::Deliver => {}
            }
            ensure(node.number() >= before, || {
                "the node reverted to an older view".to_owned()
            })?;
            check_window(&window, &model)?;
            check_window(&node, &model)?;
        }
        node.apply_delta(window.delta_since(node.number()))
            .expect("the delta applies");
        ensure(node.number() == window.number(), || {
            "the node is behind".to_owned()
        })
    });
}

#[test]
fn a_full_window_keeps_all_views_and_accepts_only_leaves() {
    let mut window = Window::default();
    for slots in 0..MAX_CHANGES as u32 {
        assert!(window.apply(Event::Join(member(1, 1, slots))));
    }
    let events = [member(1, 1, 0), member(2, 1, 0)].map(Event::Join);
    let update = Event::Update(member(1, 1, 0));
    assert!(!events
        .into_iter()
        .chain([update])
        .any(|event| window.apply(event)));
    let leave = Event::Leave {
        node: member(1, 1, 0).node,
        incarnation: Incarnation(1),
        reason: Reason::Leaving,
    };
    assert!(window.apply(leave));
    assert!(window.members_at(View(0)).is_some() && window.members().is_empty());
    window.apply(Event::Forget(View(2)));
    assert!(window.apply(Event::Join(member(2, 1, 0))));
}

#[test]
fn a_view_is_outdated_once_its_successor_is_old_enough() {
    let mut ages = ViewAges::default();
    ages.observe(ms(0), View(3));
    ages.observe(ms(1_000), View(4));
    ages.observe(ms(5_000), View(5));
    ages.observe(ms(9_000), View(5));
    assert_eq!(ages.current_age(ms(9_000)), ms(4_000));
    assert_eq!(ages.take_outdated(ms(10_999), ms(10_000)), None);
    assert_eq!(ages.take_outdated(ms(11_000), ms(10_000)), Some(View(4)));
    assert_eq!(ages.take_outdated(ms(15_000), ms(10_000)), Some(View(5)));
    assert_eq!(ages.take_outdated(ms(99_000), ms(10_000)), None);
}

#[test]
fn repeated_deltas_have_no_effect() {
    let mut window = Window::default();
    window.apply(Event::Join(member(1, 1, 1)));
    let early = window.delta_since(View(0));
    window.apply(Event::Join(member(2, 1, 1)));
    let late = window.delta_since(View(0));
    let mut node = Window::default();
    for delta in [early.clone(), late.clone(), early, late] {
        assert_eq!(node.apply_delta(delta), Ok(()));
    }
    assert_eq!(node, window);
}
