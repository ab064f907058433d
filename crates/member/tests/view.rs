//! Views against a model that keeps the members of every view.

mod common;

use std::collections::BTreeMap;

use common::{check, ensure, member, ms};
use gentian_member::view::{Delta, Event, Members, Reason, ViewAges, Window, MAX_CHANGES};
use gentian_wire::id::{Incarnation, View};
use proptest::prelude::*;

/// Keeps every view.
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
    /// A replica restarts from its snapshot.
    Restart,
    /// A node renews; its reply may come late, or twice.
    Ask,
    Deliver,
    DeliverAgain,
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
        1 => Just(Step::Restart),
        4 => Just(Step::Ask),
        3 => Just(Step::Deliver),
        1 => Just(Step::DeliverAgain),
        1 => Just(Step::NodeRestart),
    ]
}

/// The delta as it comes out of a message.
fn carried(delta: &Delta) -> Delta {
    let mut reply = gentian_wire::control::RenewReply::default();
    delta.write(&mut reply);
    Delta::read(&reply).expect("a good reply")
}

fn equal(window: &Window, model: &Model) -> Result<(), TestCaseError> {
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
    ensure(all && visited.len() == count, || "each differs".to_owned())
}

#[test]
fn windows_hold_what_the_model_holds() {
    check(600, proptest::collection::vec(step(), 1..80), |steps| {
        let mut model = Model(vec![Members::new()]);
        let mut window = Window::default();
        let mut node = Window::default();
        let mut replies: Vec<Delta> = Vec::new();
        for step in steps {
            let before = node.number();
            match step {
                Step::Event(event) => {
                    model.apply(&event);
                    window.apply(event);
                    let number = View(model.0.len() as u64 - 1);
                    ensure(window.number() == number, || "number".to_owned())?;
                }
                Step::Restart => {
                    let restored = Window::try_from(window.snapshot()).expect("a good snapshot");
                    ensure(restored == window, || "restart".to_owned())?;
                }
                Step::Ask => replies.push(carried(&window.delta_since(node.number()))),
                Step::Deliver if !replies.is_empty() => {
                    let _ = node.apply_delta(replies.remove(0));
                }
                Step::DeliverAgain => {
                    let _ = replies.last().cloned().map(|delta| node.apply_delta(delta));
                }
                Step::NodeRestart => {
                    node = Window::default();
                    continue;
                }
                Step::Deliver => {}
            }
            ensure(node.number() >= before, || "a view reverted".to_owned())?;
            equal(&window, &model)?;
            equal(&node, &model)?;
        }
        node.apply_delta(window.delta_since(node.number()))
            .expect("it fits");
        ensure(node.number() == window.number(), || "behind".to_owned())
    });
}

#[test]
fn a_full_window_drops_nothing_and_lets_members_only_leave() {
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
fn a_view_is_outdated_only_after_its_successor_has_aged() {
    let mut age = ViewAges::default();
    age.observe(ms(0), View(3));
    age.observe(ms(1_000), View(4));
    age.observe(ms(5_000), View(5));
    age.observe(ms(9_000), View(5));
    assert_eq!(age.current_age(ms(9_000)), ms(4_000));
    assert_eq!(age.take_outdated(ms(10_999), ms(10_000)), None);
    assert_eq!(age.take_outdated(ms(11_000), ms(10_000)), Some(View(4)));
    assert_eq!(age.take_outdated(ms(15_000), ms(10_000)), Some(View(5)));
    assert_eq!(age.take_outdated(ms(99_000), ms(10_000)), None);
}

#[test]
fn a_repeated_delta_changes_nothing() {
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
