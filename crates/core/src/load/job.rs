//! Jobs of the load: builds their messages and checks their answers.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use gentian_wire::id::{Job, Service, Team};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::arrivals::Arrival;
use super::Plan;

/// Derives a seed for each job from the seed of the load, so that the run times of
/// its tasks are independent of the arrivals and of other jobs.
const JOB_SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The message of one job, and the results that its answer must have.
#[derive(Debug)]
pub(super) struct JobRequest {
    pub(super) body: Bytes,
    /// Latency if all tasks started at once: the longest run time of the tasks.
    pub(super) ideal_latency: Duration,
    task_bodies: Vec<Value>,
}

#[derive(Serialize)]
struct JobMessage<'a> {
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
struct JobAnswer {
    complete: bool,
    tasks: Vec<TaskAnswer>,
}

#[derive(Deserialize)]
struct TaskAnswer {
    #[serde(default)]
    body: Value,
}

impl JobRequest {
    /// Builds the job that starts at `arrival`.
    pub(super) fn new(plan: &Plan, arrival: Arrival) -> JobRequest {
        let seed = plan.seed() ^ arrival.index.wrapping_add(1).wrapping_mul(JOB_SEED_FACTOR);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let draw = |_| plan.run_times().draw(&mut rng);
        let run_times: Vec<Duration> = (0..plan.tasks()).map(draw).collect();
        let task_indices = 0..run_times.len() as u64;
        let tasks = run_times.iter().zip(task_indices);
        let bodies = tasks.map(|(run_time, task)| task_body(*run_time, arrival.index, task));
        let task_bodies: Vec<Value> = bodies.collect();
        JobRequest {
            body: job_body(plan, &run_times, &task_bodies),
            ideal_latency: run_times.into_iter().max().unwrap_or_default(),
            task_bodies,
        }
    }

    /// Whether the answer is complete and each task was answered with its own body.
    pub(super) fn is_own_answer(&self, body: &[u8]) -> bool {
        let Ok(answer) = serde_json::from_slice::<JobAnswer>(body) else {
            return false;
        };
        let bodies = answer.tasks.iter().map(|task| &task.body);
        answer.complete && bodies.eq(&self.task_bodies)
    }
}

fn task_body(run_time: Duration, job: u64, task: u64) -> Value {
    let run_ms = u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX);
    serde_json::json!({ "run_ms": run_ms, "number": job, "task": task })
}

fn job_body(plan: &Plan, run_times: &[Duration], task_bodies: &[Value]) -> Bytes {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let tasks = run_times.iter().zip(task_bodies);
    let message = JobMessage {
        key: Job::new(wall.unwrap_or_default(), rand::random()),
        service: plan.service(),
        team: plan.team(),
        deadline: humantime::format_duration(plan.deadline()).to_string(),
        tasks: tasks
            .map(|(run_time, body)| TaskMessage {
                run_time: humantime::format_duration(*run_time).to_string(),
                body,
            })
            .collect(),
    };
    let body = serde_json::to_vec(&message).expect("a job has only string keys");
    body.into()
}
