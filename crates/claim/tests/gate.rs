//! Tests of the gate, among others against a reference model that never drops a
//! record.

use std::collections::HashMap;
use std::time::Duration;

use gentian_claim::gate::{ByteSize, Gate, TaskStatus, Waiter};
use gentian_claim::key_window::KeyWindow;
use gentian_claim::refusal::Refusal;
use gentian_wire::id::{Ballot, Job, Task, View};
use gentian_wire::outcome::Outcome;
use gentian_wire::size::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

const START: Duration = Duration::from_secs(1000);
const RETENTION: Duration = Duration::from_secs(60);
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
const VIEW: View = View(1);

#[derive(Clone, Debug, PartialEq)]
struct Value(u32);

impl ByteSize for Value {
    fn byte_size(&self) -> Bytes {
        Bytes(10)
    }
}

fn gate(max_answer_bytes: u64) -> Gate<Value> {
    let mut gate = Gate::new(
        KeyWindow::with_limits(START, RETENTION, MAX_CLOCK_SKEW),
        Bytes(max_answer_bytes),
    );
    gate.advance(START + 2 * MAX_CLOCK_SKEW);
    gate
}

fn job(secs: u64) -> Job {
    Job::new(Duration::from_secs(secs), [1; 10])
}

fn ballot(epoch: u64) -> Ballot {
    Ballot {
        epoch,
        coordinator: 7,
    }
}

/// Reference model of the gate, which never drops a record.
#[derive(Default)]
struct Model {
    /// Wall-clock time.
    wall: Duration,
    /// Largest ballot under which each task that had not started was asked about.
    promised: HashMap<Task, Ballot>,
    /// Started tasks, with the value of their answer once they have finished.
    started: HashMap<Task, Option<u32>>,
}

impl Model {
    fn check(&self, job: Job) -> Result<(), Refusal> {
        let created = job.created();
        if created + RETENTION <= self.wall || created > self.wall + 2 * MAX_CLOCK_SKEW {
            Err(Refusal::Expired)
        } else if created < START + MAX_CLOCK_SKEW {
            Err(Refusal::Forgotten)
        } else {
            Ok(())
        }
    }

    fn start(&mut self, task: Task, ballot: Ballot) -> Result<(), Refusal> {
        self.check(task.job)?;
        if self.started.contains_key(&task) {
            return Err(Refusal::Duplicate);
        }
        if self.promised.get(&task).is_some_and(|p| ballot < *p) {
            return Err(Refusal::Tombstoned);
        }
        self.started.insert(task, None);
        Ok(())
    }

    fn ask(&mut self, task: Task, ballot: Ballot) -> TaskStatus<Value> {
        if self.check(task.job).is_err() {
            return TaskStatus::Forgotten;
        }
        match self.started.get(&task) {
            Some(None) => return TaskStatus::Running,
            Some(Some(value)) => {
                let (outcome, answer) = (Outcome::Done, Some(Value(*value)));
                return TaskStatus::Finished { outcome, answer };
            }
            None => {}
        }
        let promised = self.promised.entry(task).or_insert(ballot);
        if ballot < *promised {
            return TaskStatus::Superseded;
        }
        *promised = ballot;
        TaskStatus::Tombstoned
    }

    fn finish(&mut self, task: Task, value: u32) {
        if let Some(answer @ None) = self.started.get_mut(&task) {
            *answer = Some(value);
        }
    }
}

#[test]
fn gate_behaves_like_the_model() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u8..5, 0u64..9, 0u32..3, 0u64..4), 1..200);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut gate, mut model) = (gate(u64::MAX), Model::default());
            model.wall = START + 2 * MAX_CLOCK_SKEW;
            for (value, (op, age, index, epoch)) in (0..).zip(steps) {
                let created =
                    (model.wall + MAX_CLOCK_SKEW).saturating_sub(Duration::from_secs(age * 9));
                let task = job(created.as_secs() / 5 * 5).task(index);
                match op {
                    0 => {
                        model.wall += Duration::from_secs(epoch * 2);
                        gate.advance(model.wall);
                        gate.advance(model.wall - MAX_CLOCK_SKEW);
                    }
                    1 => prop_assert_eq!(
                        gate.start(task, ballot(epoch), VIEW),
                        model.start(task, ballot(epoch))
                    ),
                    2 if gate.ask(task.job, &[index], ballot(0), VIEW) == [TaskStatus::Running] => {
                        gate.finish(task, Outcome::Done, Value(value));
                        model.finish(task, value);
                    }
                    _ => {
                        // The `ask` in the guard of the arm above has tombstoned the
                        // task under ballot 0.
                        model.ask(task, ballot(if op == 2 { 0 } else { epoch }));
                        let asked = gate.ask(task.job, &[index], ballot(epoch), VIEW);
                        prop_assert_eq!(asked, [model.ask(task, ballot(epoch))]);
                    }
                }
            }
            let oldest = model.wall - RETENTION;
            prop_assert!(gate.len() <= 3 * (oldest.as_secs()..model.wall.as_secs() + 11).count());
            Ok(())
        })
        .unwrap();
}

#[test]
fn expired_records_are_dropped() {
    let mut gate = gate(100);
    for index in 0..10 {
        gate.start(job(1010).task(index), ballot(0), VIEW).unwrap();
        gate.finish(job(1010).task(index), Outcome::Done, Value(index));
    }
    gate.advance(Duration::from_secs(1069));
    assert_eq!((gate.len(), gate.answer_bytes()), (10, Bytes(100)));
    gate.advance(Duration::from_secs(1070));
    assert_eq!((gate.len(), gate.answer_bytes()), (0, Bytes(0)));
}

#[test]
fn answer_of_a_single_request_is_not_kept_and_evicts_none() {
    let mut gate = gate(10);
    let (kept, single) = (job(1010).task(0), job(1011).task(0));
    gate.start(kept, ballot(0), VIEW).unwrap();
    gate.finish(kept, Outcome::Done, Value(0));
    gate.start_single(single, VIEW).unwrap();
    gate.finish_single(single, Outcome::Done);
    let status = |task: Task, gate: &mut Gate<Value>| gate.ask(task.job, &[0], ballot(1), VIEW);
    let finished = |answer| {
        vec![TaskStatus::Finished {
            outcome: Outcome::Done,
            answer,
        }]
    };
    assert_eq!(status(kept, &mut gate), finished(Some(Value(0))));
    assert_eq!(status(single, &mut gate), finished(None));
    assert_eq!(gate.start_single(single, VIEW), Err(Refusal::Duplicate));
}

#[test]
fn task_whose_answer_was_evicted_starts_no_second_time() {
    let mut gate = gate(10);
    for index in 0..2 {
        gate.start(job(1010).task(index), ballot(0), VIEW).unwrap();
        gate.finish(job(1010).task(index), Outcome::Done, Value(index));
    }
    let outcome = Outcome::Done;
    let statuses = gate.ask(job(1010), &[0, 1], ballot(1), VIEW);
    let kept = TaskStatus::Finished {
        outcome,
        answer: Some(Value(1)),
    };
    assert_eq!(
        statuses,
        [
            TaskStatus::Finished {
                outcome,
                answer: None
            },
            kept
        ]
    );
    let again = gate.start(job(1010).task(0), ballot(2), VIEW);
    assert_eq!(again, Err(Refusal::Duplicate));
}

#[test_case(0, Err(Refusal::Tombstoned) ; "by the cancelled coordinator is refused")]
#[test_case(1, Ok(()) ; "by the coordinator that takes over is accepted")]
fn start_that_arrives_after_a_cancel(epoch: u64, expected: Result<(), Refusal>) {
    let mut gate = gate(100);
    assert_eq!(gate.cancel(job(1010), &[0], ballot(0)), []);
    let task = job(1010).task(0);
    assert_eq!(gate.start(task, ballot(epoch), VIEW), expected);
}

#[test]
fn cancel_returns_the_starts_of_its_own_coordinator_only() {
    let mut gate = gate(100);
    let jobs: Vec<Job> = (0..10_000)
        .map(|n: u32| {
            let mut random = [0; 10];
            random[6..].copy_from_slice(&n.to_be_bytes());
            Job::new(Duration::from_secs(1010), random)
        })
        .collect();
    for job in &jobs {
        gate.start(job.task(0), ballot(1), VIEW).unwrap();
        assert_eq!(gate.cancel(*job, &[0], ballot(0)), []);
    }
    for job in &jobs {
        assert_eq!(gate.cancel(*job, &[0], ballot(1)), [job.task(0)]);
    }
}

#[test]
fn retracted_start_may_be_repeated_by_its_coordinator_but_no_earlier_one() {
    let mut gate = gate(100);
    let task = job(1010).task(0);
    gate.start(task, ballot(1), VIEW).unwrap();
    assert!(gate.wait(task, Waiter(4)));
    assert_eq!(gate.retract(task), [Waiter(4)]);
    assert_eq!(gate.start(task, ballot(0), VIEW), Err(Refusal::Tombstoned));
    assert_eq!(gate.start(task, ballot(1), VIEW), Ok(()));
    assert!(gate.wait(task, Waiter(5)));
    assert_eq!(gate.finish(task, Outcome::Done, Value(1)), [Waiter(5)]);
}

#[test_case(1004, Refusal::Forgotten ; "created before the agent started")]
#[test_case(1021, Refusal::Expired ; "created too far in the future")]
fn key_outside_of_the_window_is_refused(created: u64, refusal: Refusal) {
    let mut gate = gate(100);
    let task = job(created).task(0);
    assert_eq!(gate.start(task, ballot(0), VIEW), Err(refusal));
    assert_eq!(
        gate.ask(task.job, &[0], ballot(1), VIEW),
        [TaskStatus::Forgotten]
    );
    assert!(gate.is_empty());
}

#[test]
fn ask_under_an_older_view_is_superseded() {
    let mut gate = gate(100);
    gate.ask(job(1010), &[0], ballot(1), View(2));
    let statuses = gate.ask(job(1010), &[0, 1], ballot(2), View(1));
    assert_eq!(statuses, [TaskStatus::Superseded, TaskStatus::Superseded]);
}

#[test]
fn single_request_starts_once_at_a_restarted_agent() {
    let mut gate = gate(100);
    let task = job(1004).task(0);
    assert_eq!(gate.start_single(task, VIEW), Ok(()));
    assert_eq!(gate.start_single(task, VIEW), Err(Refusal::Duplicate));
}
