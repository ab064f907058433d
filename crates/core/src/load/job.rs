//! Jobs of the load: what is sent, and whether the answer is whole.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use gentian_wire::id::{Job, Service, Team};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::arrivals::Arrival;
use super::Plan;

/// Sets the run times of a job's tasks apart from the arrivals.
const STREAM: u64 = 0x9e37_79b9_7f4a_7c15;

/// One job, ready to be sent.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) body: Bytes,
    /// Time that the job takes where all its tasks start at once.
    pub(super) ideal: Duration,
    tasks: Vec<Value>,
}

#[derive(Serialize)]
struct Message<'a> {
    key: Job,
    service: &'a Service,
    team: &'a Team,
    deadline: String,
    tasks: Vec<TaskMessage<'a>>,
}

#[derive(Serialize)]
struct TaskMessage<'a> {
    run_time: String,
    body: &'a Value,
}

#[derive(Deserialize)]
struct Answer {
    complete: bool,
    tasks: Vec<TaskAnswer>,
}

#[derive(Deserialize)]
struct TaskAnswer {
    #[serde(default)]
    body: Value,
}

impl Submission {
    /// Writes the job that starts at `arrival`.
    pub(super) fn new(plan: &Plan, arrival: Arrival) -> Submission {
        let seed = plan.seed() ^ arrival.number.wrapping_add(1).wrapping_mul(STREAM);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let draw = |_| plan.mixture().draw(&mut rng);
        let runs: Vec<Duration> = (0..plan.tasks()).map(draw).collect();
        let numbers = 0..runs.len() as u64;
        let tasks = runs.iter().zip(numbers);
        let tasks = tasks.map(|(run, task)| task_body(*run, arrival.number, task));
        let tasks: Vec<Value> = tasks.collect();
        Submission {
            body: write(plan, &runs, &tasks),
            ideal: runs.into_iter().max().unwrap_or_default(),
            tasks,
        }
    }

    /// Whether an answer is complete and each task got its own.
    pub(super) fn is_answered_by(&self, body: &[u8]) -> bool {
        let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
            return false;
        };
        let told = answer.tasks.iter().map(|task| &task.body);
        answer.complete && told.eq(&self.tasks)
    }
}

fn task_body(run: Duration, number: u64, task: u64) -> Value {
    let run_ms = u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
    serde_json::json!({ "run_ms": run_ms, "number": number, "task": task })
}

fn write(plan: &Plan, runs: &[Duration], tasks: &[Value]) -> Bytes {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let tasks = runs.iter().zip(tasks);
    let message = Message {
        key: Job::new(wall.unwrap_or_default(), rand::random()),
        service: plan.service(),
        team: plan.team(),
        deadline: humantime::format_duration(plan.deadline()).to_string(),
        tasks: tasks
            .map(|(run, body)| TaskMessage {
                run_time: humantime::format_duration(*run).to_string(),
                body,
            })
            .collect(),
    };
    let body = serde_json::to_vec(&message).expect("a job has text keys only");
    body.into()
}
