//! Tests of the crashes under tasks, and of the runs that are told of a crash.

use std::time::Duration;

use gentian_claim::crash::{Crash, CrashedRun, History, Process, StartRates, Verdict};
use gentian_claim::run::{
    Fate, Isolation, ListedEnd, Owner, Refusal, Replacement, Requirement, Run, Runs, Start,
    StartAnswer, MAX_LEASE,
};
use gentian_wire::id::{Incarnation, Node};
use gentian_wire::need::Need;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn agent() -> Node {
    "agent".parse().expect("a valid name")
}

/// A run of a task, named `job.index`.
fn run(task: &str) -> CrashedRun {
    let (job, _) = task.split_once('.').expect("a job and an index");
    CrashedRun {
        run: Run {
            task: task.into(),
            number: 1,
        },
        job: job.into(),
        queue: "q".into(),
        age: ms(10),
    }
}

/// The crash of the process that began at `born_ms`, while these tasks ran there.
fn crash(born_ms: u64, at_ms: u64, tasks: &[&str]) -> Crash {
    Crash {
        agent: agent(),
        process: Process {
            upstream: "i-1".to_owned(),
            born_ms,
        },
        at: ms(at_ms),
        runs: tasks.iter().map(|task| run(task)).collect(),
        rates: Vec::new(),
    }
}

fn history(crashes: &[&[&str]]) -> History {
    let mut history = History::default();
    for (born, tasks) in crashes.iter().enumerate() {
        assert!(history.record(crash(born as u64 + 1, 1_000, tasks), ms(1_000)));
    }
    history
}

#[test_case(&[], Verdict::Clear; "no crash")]
#[test_case(&[&["a.0"]], Verdict::Suspect; "one crash alone")]
#[test_case(&[&["a.0", "b.0"]], Verdict::Suspect; "one crash beside another job")]
#[test_case(&[&["a.0"], &["a.0"]], Verdict::GiveUp; "two crashes alone")]
#[test_case(&[&["a.0", "b.0"], &["a.0", "a.1"]], Verdict::GiveUp; "the second crash alone")]
#[test_case(&[&["a.0", "b.0"], &["a.0", "c.0"]], Verdict::Isolate; "two crashes beside others")]
#[test_case(&[&["a.0", "b.0"], &["a.0", "c.0"], &["a.0", "d.0"]], Verdict::GiveUp; "three crashes")]
#[test_case(&[&["b.0"], &["b.0"], &["a.1"]], Verdict::Clear; "crashes under other tasks")]
fn verdict_after_crashes_at_the_same_point(crashes: &[&[&str]], expected: Verdict) {
    assert_eq!(expected, history(crashes).verdict("a.0"));
}

/// Crashes with another cause come at any time of a run, and fail no task.
#[test_case(&[10, 400], Verdict::Isolate; "two crashes")]
#[test_case(&[150, 410, 410], Verdict::Isolate; "three crashes")]
#[test_case(&[150, 410, 410, 900], Verdict::Isolate; "four crashes")]
#[test_case(&[150, 410, 410, 900, 20], Verdict::GiveUp; "five crashes")]
#[test_case(&[400, 440], Verdict::GiveUp; "two after about the same time")]
fn verdict_after_crashes_alone(ages_ms: &[u64], expected: Verdict) {
    let mut history = History::default();
    for (born, age) in (1..).zip(ages_ms) {
        let mut crash = crash(born, 1_000, &["a.0"]);
        crash.runs[0].age = ms(*age);
        assert!(history.record(crash, ms(1_000)));
    }
    assert_eq!(expected, history.verdict("a.0"));
}

/// Each entry hears of a crash from its agent, and after a restart from entries.
#[test]
fn a_crash_that_is_told_twice_counts_once() {
    let mut history = history(&[&["a.0"]]);
    assert!(!history.record(crash(1, 1_020, &["a.0"]), ms(1_020)));
    assert_eq!(1, history.count("a.0"));
}

#[test]
fn crashes_of_an_upstream_without_a_start_time_are_told_apart_by_time() {
    let mut history = History::default();
    assert!(history.record(crash(0, 1_000, &["a.0"]), ms(1_000)));
    assert!(!history.record(crash(0, 1_030, &["a.0"]), ms(1_030)));
    assert!(history.record(crash(0, 5_000, &["a.0"]), ms(5_000)));
    assert_eq!(Verdict::GiveUp, history.verdict("a.0"));
}

#[test]
fn crashes_are_forgotten_after_two_minutes() {
    let mut history = history(&[&["a.0", "b.0"], &["a.0"]]);
    history.prune(ms(121_001));
    assert_eq!(Verdict::Clear, history.verdict("a.0"));
    assert_eq!(0, history.count("b.0"));
    assert_eq!(0, history.iter().count());
}

/// Many crashes with many runs, which may come from a faulty peer, take bounded memory.
#[test]
fn the_history_is_bounded() {
    let mut history = History::default();
    let tasks: Vec<String> = (0..1_000).map(|index| format!("a.{index}")).collect();
    let tasks: Vec<&str> = tasks.iter().map(String::as_str).collect();
    for born in 1..=2_000 {
        history.record(crash(born, 1_000, &tasks), ms(1_000));
    }
    assert_eq!(512, history.iter().count());
    assert!(history.iter().all(|crash| crash.runs.len() == 256));
}

#[test]
fn a_crash_survives_the_wire() {
    let told = crash(7, 1_000, &["a.0", "b.1"]);
    let message = told.to_wire(ms(1_400));
    // The receiver's clock has another zero.
    let heard = Crash::from_wire(&message, &agent(), ms(50_400));
    let expected = Crash {
        at: ms(50_000),
        ..told
    };
    assert_eq!(expected, heard);
}

#[test]
fn start_rates_follow_the_starts_of_the_last_seconds() {
    let mut rates = StartRates::default();
    for tenth in 0..300 {
        rates.record(&"q".into(), ms(100 * tenth));
    }
    let rate = rates.rates(ms(30_000))[0].starts_per_s;
    assert!((9.0..11.0).contains(&rate), "{rate}");
    assert!(rates.rates(ms(90_000)).is_empty());
}

const TASK: Need = Need {
    cpu: 1_000,
    memory: 64,
    accelerators: 0,
};

fn owner(name: &str) -> Owner {
    Owner {
        entry: name.parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn numbered(task: &str) -> Run {
    run(task).run
}

/// Admits a task of the job that its name begins with.
fn admit(runs: &mut Runs, entry: &str, task: &str, isolation: Isolation) -> Result<(), Refusal> {
    let start = Start {
        need: TASK,
        job: run(task).job,
        queue: "q".into(),
        isolation,
        requirement: Requirement::default(),
    };
    runs.admit(&owner(entry), &numbered(task), start, ms(10))
}

fn upstream() -> Runs {
    let mut runs = Runs::default();
    let capacity = Need {
        cpu: 10_000,
        memory: 10_000,
        accelerators: 0,
    };
    runs.set_upstream(capacity, true);
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(0));
    for entry in ["e", "f"] {
        runs.renew_lease(&owner(entry), MAX_LEASE, ms(0));
    }
    runs
}

#[test]
fn a_run_that_must_be_alone_is_kept_apart_from_other_jobs() {
    let mut runs = upstream();
    assert_eq!(Ok(()), admit(&mut runs, "e", "a.0", Isolation::Alone));
    assert_eq!(Ok(()), admit(&mut runs, "e", "a.1", Isolation::Alone));
    assert_eq!(
        Err(Refusal::Full),
        admit(&mut runs, "e", "b.0", Isolation::Shared)
    );
    assert_eq!(
        Err(Refusal::Full),
        admit(&mut runs, "f", "c.0", Isolation::Alone)
    );
    assert_eq!(runs.capacity(), runs.used());
    assert_eq!(runs.capacity(), runs.used_by_others(&owner("f")));
}

#[test]
fn a_run_that_must_be_alone_is_refused_while_another_job_runs() {
    let mut runs = upstream();
    assert_eq!(Ok(()), admit(&mut runs, "f", "b.0", Isolation::Shared));
    assert_eq!(
        Err(Refusal::Full),
        admit(&mut runs, "e", "a.0", Isolation::Alone)
    );
    assert_eq!(TASK, runs.used());
}

/// What an agent tells of a crash: only what had been sent to the upstream by then.
#[test]
fn runs_that_had_not_been_sent_are_not_blamed() {
    let mut runs = upstream();
    for task in ["a.0", "b.0", "c.0", "d.0"] {
        admit(&mut runs, "e", task, Isolation::Shared).expect("capacity is free");
    }
    runs.start_sent(&numbered("a.0"), ms(20));
    runs.apply_start_answer(&numbered("a.0"), StartAnswer::Running, ms(21));
    runs.start_sent(&numbered("b.0"), ms(30));
    runs.start_sent(&numbered("c.0"), ms(60));
    let crashed = runs.crashed(ms(50));
    let told = crashed.iter().map(|run| (&*run.run.task, run.age));
    assert_eq!(
        vec![("a.0", ms(30)), ("b.0", ms(20))],
        told.collect::<Vec<_>>()
    );
}

/// A crash that shows only when the next process reports: until then the upstream was
/// silent, and its runs have been counted as lost.
#[test]
fn runs_that_were_lost_in_silence_are_told_of_a_crash() {
    let mut runs = upstream();
    admit(&mut runs, "e", "a.0", Isolation::Shared).expect("capacity is free");
    let grant = runs.begin_grant(MAX_LEASE, ms(10));
    runs.end_grant(grant, true);
    runs.start_sent(&numbered("a.0"), ms(10));
    runs.apply_start_answer(&numbered("a.0"), StartAnswer::Running, ms(11));
    assert_eq!(1, runs.end_lapsed(ms(2_000)).len());
    assert_eq!(1, runs.crashed(ms(3_000)).len());
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(3_100));
    assert!(runs.crashed(ms(3_200)).is_empty());
}

/// Completes a job of one task, admitted and started before.
fn complete(runs: &mut Runs, number: u64, task: &str) {
    runs.start_sent(&numbered(task), ms(20));
    runs.apply_start_answer(&numbered(task), StartAnswer::Running, ms(21));
    let end = ListedEnd {
        number,
        run: numbered(task),
        fate: Fate::Done,
    };
    let poll = runs.begin_poll();
    let ends = runs.apply_poll(poll, &[], &[end], ms(30));
    assert!(ends
        .iter()
        .any(|end| end.run == numbered(task) && end.fate == Fate::Done));
}

/// An upstream under which tasks may crash runs one job at first, and one more with each
/// that was completed.
#[test]
fn jobs_of_limited_isolation_are_few_until_some_are_completed() {
    let limited = Isolation::Limited;
    let mut runs = upstream();
    assert_eq!(Ok(()), admit(&mut runs, "e", "first.0", limited));
    assert_eq!(Ok(()), admit(&mut runs, "e", "first.1", limited));
    assert_eq!(
        Err(Refusal::Full),
        admit(&mut runs, "f", "other.0", limited)
    );
    assert_eq!(runs.capacity(), runs.used_by_others(&owner("e")));
    complete(&mut runs, 1, "first.0");
    assert_eq!(
        Err(Refusal::Full),
        admit(&mut runs, "f", "other.0", limited)
    );
    complete(&mut runs, 2, "first.1");
    assert_eq!(Ok(()), admit(&mut runs, "e", "a.0", limited));
    assert_eq!(Ok(()), admit(&mut runs, "f", "b.0", limited));
    assert_eq!(Err(Refusal::Full), admit(&mut runs, "f", "c.0", limited));
    let restarted = Replacement {
        same_id: true,
        former_ended: true,
    };
    runs.upstream_replaced(restarted, ms(40));
    for task in ["a.0", "b.0"] {
        let refused = StartAnswer::Refused(Refusal::Closed);
        runs.apply_start_answer(&numbered(task), refused, ms(41));
    }
    assert_eq!(
        Err(Refusal::Closed),
        admit(&mut runs, "e", "d.0", limited),
        "before the new process has answered a poll"
    );
    let poll = runs.begin_poll();
    runs.apply_poll(poll, &[], &[], ms(42));
    assert_eq!(Ok(()), admit(&mut runs, "e", "d.0", limited));
    assert_eq!(Err(Refusal::Full), admit(&mut runs, "f", "e.0", limited));
}
