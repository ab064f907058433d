//! One named fault at a time against gate, home, place and coordinator.

use std::net::SocketAddr;
use std::time::Duration;

use super::world::{index, node, Value, World, AGENTS, CANDIDATES, LEASE};
use gentian_claim::coordinator::{Event, Retry, StartResult};
use gentian_claim::home::{self, ClaimOutcome, Claimant, Holder, Home};
use gentian_claim::key_window::{KeyWindow, MAX_CLOCK_SKEW};
use gentian_claim::placement::{Member, View, ViewHistory};
use gentian_claim::refusal::Refusal;
use gentian_wire::id::{self, Job};
use gentian_wire::outcome::Outcome::{self, Done, Failed, NotRun, Unknown};
use test_case::test_case;

const AGE: Duration = Duration::from_secs(10);

/// A world with one job at entry 0, whose claim was answered `First`.
fn claimed(tasks: u32) -> (World, Job) {
    let mut world = World::new();
    let job = world.key(1, AGE);
    world.submit(0, job, tasks).unwrap();
    deliver(&mut world);
    deliver(&mut world);
    (world, job)
}

fn deliver(world: &mut World) {
    for message in std::mem::take(&mut world.net) {
        world.deliver(message);
    }
    world.check();
}

fn outcomes(world: &World, attempt: usize) -> Vec<Outcome> {
    let answer = &world.attempts[attempt].answers[0];
    answer.tasks.iter().map(|(outcome, _)| *outcome).collect()
}

#[test_case(false ; "which is followed")]
#[test_case(true ; "which is out of reach")]
fn resubmission_while_the_first_runs(parted: bool) {
    let (mut world, job) = claimed(3);
    world.start(9);
    deliver(&mut world);
    world.parted = parted;
    world.submit(1, job, 3);
    world.settle();
    assert_eq!(outcomes(&world, 0), [Done; 3]);
    assert_eq!(outcomes(&world, 1), [Done; 3]);
}

#[test_case(0 ; "before the starts")]
#[test_case(9 ; "with the starts under way")]
fn coordinator_killed_after_its_claim(credit: usize) {
    let (mut world, job) = claimed(3);
    world.start(credit);
    let late = std::mem::take(&mut world.net);
    world.restart_entry(0);
    world.submit(1, job, 3);
    world.settle();
    world.net = late;
    world.settle();
    assert_eq!(outcomes(&world, 1), [Done; 3]);
}

#[test_case(true, &[Done] ; "home, which forgets the claim")]
#[test_case(false, &[Unknown] ; "gate, which forgets the task")]
fn restart_between_two_submissions(home: bool, expected: &[Outcome]) {
    let (mut world, job) = claimed(1);
    let claimed = world.attempts[0].id;
    world.settle();
    assert_eq!(world.ran[&job.task(0)], [claimed]);
    let view = world.entries[0].views.current().unwrap();
    let candidates = view.candidates(job.task(0), &"s".parse().unwrap(), CANDIDATES);
    let lost = if home {
        view.home(job).unwrap()
    } else {
        &candidates[0]
    };
    assert_eq!(home, !candidates.contains(lost));
    let lost = index(lost);
    world.restart_agent(lost);
    world.renew_all();
    world.restart_entry(0);
    world.submit(1, job, 1);
    world.settle();
    assert_eq!(outcomes(&world, 1), expected);
}

#[test]
fn coordinator_that_was_taken_over_from_claims_no_proof() {
    let (mut world, job) = claimed(4);
    world.parted = true;
    world.submit(1, job, 4);
    (0..5).for_each(|_| deliver(&mut world));
    world.start(1);
    deliver(&mut world);
    deliver(&mut world);
    assert_eq!(outcomes(&world, 0), [Unknown; 4]);
    world.settle();
    assert_eq!(outcomes(&world, 1), [Done; 4]);
}

#[test]
fn view_changes_between_two_submissions() {
    for gone in 0..AGENTS {
        let (mut world, job) = claimed(3);
        world.start(9);
        world.accept(gone);
        (0..=AGENTS + 1).for_each(|node| world.renew(node));
        world.parted = true;
        world.submit(1, job, 3);
        world.settle();
        assert_eq!(outcomes(&world, 0), [Done; 3]);
        assert_eq!(outcomes(&world, 1), [Done; 3]);
    }
}

#[test]
fn agent_dies_with_one_of_830_tasks() {
    let (mut world, _) = claimed(830);
    world.start(830);
    deliver(&mut world);
    (1..830).for_each(|_| world.finish(1, Done));
    deliver(&mut world);
    let agent = node(world.running[0].agent);
    world.event(0, Event::AgentLost { agent });
    world.check();
    let told = outcomes(&world, 0);
    assert_eq!(told.iter().filter(|told| **told == Done).count(), 829);
    assert_eq!(told.iter().filter(|told| **told == Unknown).count(), 1);
}

#[test]
fn one_failed_task_fails_the_job_at_once() {
    let (mut world, _) = claimed(4);
    world.start(2);
    deliver(&mut world);
    world.finish(0, Failed);
    deliver(&mut world);
    assert_eq!(outcomes(&world, 0), [Failed, Unknown, NotRun, NotRun]);
}

#[test_case(false ; "cancel arrives first")]
#[test_case(true ; "cancel arrives last")]
fn frozen_agent_thaws_past_the_deadline(last: bool) {
    let (mut world, job) = claimed(2);
    world.start(1);
    world.event(0, Event::Abandoned);
    assert_eq!(outcomes(&world, 0), [Unknown, NotRun]);
    if !last {
        world.net.reverse();
    }
    deliver(&mut world);
    assert_eq!(world.ran.contains_key(&job.task(0)), last);
}

#[test]
fn refusal_is_lost() {
    let (mut world, _) = claimed(1);
    world.now += LEASE;
    world.start(1);
    deliver(&mut world);
    world.net.clear();
    let lost = Event::StartEnded {
        task: 0,
        agent: first(&world),
        reply: StartResult::NoReply,
    };
    world.event(0, lost);
    assert_eq!(outcomes(&world, 0), [Unknown]);
}

fn first(world: &World) -> id::Node {
    let view = world.entries[0].views.current().unwrap();
    let task = world.attempts[0].job.task(0);
    view.candidates(task, &"s".parse().unwrap(), CANDIDATES)[0].clone()
}

#[test]
fn replies_that_belong_elsewhere_are_strays() {
    let (mut world, job) = claimed(2);
    world.start(1);
    let other = (0..AGENTS).map(node).find(|n| *n != first(&world)).unwrap();
    for (task, agent) in [(0, other), (1, first(&world)), (9, first(&world))] {
        let reply = StartResult::Finished {
            outcome: Done,
            answer: Value(job.task(7)),
        };
        world.event(0, Event::StartEnded { task, agent, reply });
    }
    assert_eq!(world.attempts[0].coordinator.unexpected_replies(), 3);
    world.settle();
    assert_eq!(outcomes(&world, 0), [Done; 2]);
}

#[test]
fn starts_keep_within_the_credit() {
    let (mut world, _) = claimed(10);
    world.start(3);
    assert_eq!(
        (world.net.len(), world.attempts[0].coordinator.waiting()),
        (3, 7)
    );
}

#[test_case(2, &[Done] ; "for a while")]
#[test_case(20, &[NotRun] ; "for long")]
fn all_candidates_refuse(rounds: usize, expected: &[Outcome]) {
    let (mut world, _) = claimed(1);
    world.now += LEASE;
    for _ in 0..rounds * CANDIDATES {
        world.now = world.now.max(
            world.attempts[0]
                .coordinator
                .next_retry()
                .unwrap_or_default(),
        );
        world.start(1);
        deliver(&mut world);
        deliver(&mut world);
    }
    world.renew_all();
    world.now += LEASE / 2;
    world.settle();
    assert_eq!(outcomes(&world, 0), expected);
}

#[test_case(Retry::GiveUp, 1, &[NotRun] ; "which is given up")]
#[test_case(Retry::NextRound, 6, &[NotRun] ; "in all rounds")]
#[test_case(Retry::NextRound, 5, &[Done] ; "but in the last round")]
#[test_case(Retry::At(Duration::ZERO), 99, &[Done] ; "for a while")]
fn no_place_for_a_task(retry: Retry, times: u32, expected: &[Outcome]) {
    let (mut world, _) = claimed(1);
    for _ in 0..times {
        world.now += LEASE / 40;
        let now = world.now;
        let coordinator = &mut world.attempts[0].coordinator;
        let offer = coordinator.offer(now).unwrap();
        let actions = coordinator.decline(offer.task, retry, now);
        world.act(0, actions);
    }
    world.renew_all();
    world.now += LEASE / 2;
    world.settle();
    assert_eq!(outcomes(&world, 0), expected);
}

#[test]
fn home_tells_the_first_from_the_rest() {
    let start = Duration::from_secs(1000);
    let mut views = ViewHistory::new(LEASE);
    views.push(View::new(
        id::View(1),
        start,
        vec![Member::new(node(0), Vec::new())],
    ));
    let mut home = Home::new(node(0), KeyWindow::new(start));
    home.advance(start + AGE);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut claim = |job, id, view| home.claim(job, Claimant { id, address }, view, &views);
    let (young, old) = (
        Job::new(start + MAX_CLOCK_SKEW, [0; 10]),
        Job::new(start, [0; 10]),
    );
    let first = Holder {
        ballot: home::first_ballot(7),
        address,
    };
    let second = Holder {
        ballot: first.next_ballot(8),
        address,
    };
    assert_eq!(claim(young, 7, id::View(1)), Ok(ClaimOutcome::First));
    assert_eq!(claim(young, 7, id::View(1)), Ok(ClaimOutcome::First));
    assert_eq!(
        claim(young, 8, id::View(1)),
        Ok(ClaimOutcome::Claimed(first))
    );
    assert_eq!(
        claim(young, 9, id::View(1)),
        Ok(ClaimOutcome::Claimed(second))
    );
    assert_eq!(claim(old, 7, id::View(1)), Ok(ClaimOutcome::Forgotten));
    assert_eq!(
        claim(Job::new(start + MAX_CLOCK_SKEW, [1; 10]), 7, id::View(2)),
        Ok(ClaimOutcome::Forgotten)
    );
    assert_eq!(claim(young, 9, id::View(1)), Err(Refusal::OldView));
}

#[test_case(1000, Some(2) ; "created under view 3")]
#[test_case(1109, Some(2) ; "at the end of the grace of view 3")]
#[test_case(1110, Some(1) ; "past the grace of view 3")]
#[test_case(900, None ; "under a view that is not known")]
fn views_since(created: u64, expected: Option<usize>) {
    let mut views = ViewHistory::new(LEASE);
    for (number, from) in [(1, 100), (3, 950), (4, 1100)] {
        views.push(View::new(
            id::View(number),
            Duration::from_secs(from),
            Vec::new(),
        ));
    }
    let job = Job::new(Duration::from_secs(created), [0; 10]);
    assert_eq!(views.since_creation(job).map(Iterator::count), expected);
    let mut told = views.clone();
    told.reset(View::new(
        id::View(9),
        Duration::from_secs(1100),
        Vec::new(),
    ));
    assert_eq!(told.since_creation(job).map(Iterator::count), Some(1));
    views.advance(Duration::from_secs(1109 + 605));
    assert_eq!(views.since_creation(job).map(Iterator::count), expected);
}
