//! Parses and checks submitted jobs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::wire::id::{Job, Service, Team};
use gentian::wire::size;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::Result;
use crate::serve::Problem;

/// Most tasks in one job.
const MAX_TASKS: usize = 830;
const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// A submitted job whose fields have been checked.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) job: Job,
    pub(super) service: Service,
    pub(super) team: Team,
    pub(super) deadline: Instant,
    pub(super) tasks: Vec<Arc<Task>>,
}

/// One task as it is sent to the upstream.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) path: String,
    pub(super) content_type: &'static str,
    pub(super) body: Bytes,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Message {
    key: Job,
    service: Service,
    team: Team,
    #[serde(default, deserialize_with = "optional_duration")]
    deadline: Option<Duration>,
    tasks: Vec<TaskMessage>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskMessage {
    /// The caller's estimate of the task's size; validated but not used.
    #[serde(default, rename = "size")]
    _size: Option<size::Bytes>,
    /// The caller's estimate of the run time; validated but not used.
    #[serde(default, rename = "run_time", deserialize_with = "optional_duration")]
    _run_time: Option<Duration>,
    #[serde(default = "root_path")]
    path: String,
    body: Box<RawValue>,
}

impl Submission {
    /// Parses the JSON body of a job that arrived at `arrived`. `default` is the
    /// deadline of a job that sets none, counted from its arrival.
    pub(super) fn read(body: &[u8], arrived: Instant, default: Duration) -> Result<Submission> {
        let message: Message =
            serde_json::from_slice(body).map_err(|error| Problem::bad(&error.to_string()))?;
        let count = message.tasks.len();
        if !(1..=MAX_TASKS).contains(&count) {
            let detail = format!("tasks has {count} entries; 1 to {MAX_TASKS} are allowed");
            return Err(Problem::bad(&detail));
        }
        let deadline = message.deadline.unwrap_or(default);
        if deadline.is_zero() || deadline > MAX_DEADLINE {
            let detail = format!("deadline is {deadline:?}; 1ms to 5m is allowed");
            return Err(Problem::bad(&detail));
        }
        let tasks = message.tasks.into_iter().map(Task::read);
        Ok(Submission {
            job: message.key,
            service: message.service,
            team: message.team,
            deadline: arrived + deadline,
            tasks: tasks.collect::<Result<_>>()?,
        })
    }
}

impl Task {
    /// Parses one task: a JSON string is sent as plain text, any other value as JSON.
    fn read(message: TaskMessage) -> Result<Arc<Task>> {
        let path = message.path;
        if !path.starts_with('/') || path.parse::<http::Uri>().is_err() {
            return Err(Problem::bad(&format!(
                "path {path:?} is not a valid URL path starting with /"
            )));
        }
        let json = message.body.get();
        let (content_type, body) = match serde_json::from_str::<String>(json) {
            Ok(text) => ("text/plain; charset=utf-8", text.into_bytes()),
            Err(_) => ("application/json", json.as_bytes().to_vec()),
        };
        Ok(Arc::new(Task {
            path,
            content_type,
            body: body.into(),
        }))
    }
}

fn optional_duration<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Option<Duration>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let time = humantime::parse_duration(&text);
    time.map(Some).map_err(|error| {
        serde::de::Error::custom(format!("{text:?} is not a duration such as 800ms: {error}"))
    })
}

fn root_path() -> String {
    "/".to_owned()
}
