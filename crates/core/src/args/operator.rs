//! An operator's single calls over HTTP.
//!
//! These use `oxhttp`'s blocking client: a connection for each call is what a
//! command line wants, and it needs no runtime.

use std::time::Duration;

use http::Method;
use oxhttp::model::{header, Body, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use super::{Error, Result};
use crate::client::Base;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Where an operator's calls go.
#[derive(clap::Args, Debug)]
pub(super) struct Control {
    /// Base URLs of control instances, tried in turn
    #[arg(long, value_name = "URL,...", value_delimiter = ',', required = true)]
    control: Vec<Base>,
}

impl Control {
    /// Reads JSON from the first instance that answers.
    pub(super) fn get(&self, path: &str) -> Result<Value> {
        first(&self.control, &Method::GET, path, None)?.json()
    }

    /// Sends JSON to the first instance that answers. Only for requests that
    /// are safe to send twice: the instance before may have acted on it.
    pub(super) fn send(&self, method: &Method, path: &str, body: &Value) -> Result<Answer> {
        first(&self.control, method, path, Some(body))
    }

    /// Sends JSON to the first instance only, answer or not.
    pub(super) fn send_once(&self, method: &Method, path: &str, body: &Value) -> Result<Answer> {
        first(&self.control[..1], method, path, Some(body))
    }
}

/// Any answer, errors included.
#[derive(Debug)]
pub(super) struct Answer {
    url: String,
    pub(super) status: StatusCode,
    body: String,
}

/// The JSON body of an error.
#[derive(Deserialize)]
struct Problem {
    title: String,
    #[serde(default)]
    detail: String,
}

impl Answer {
    /// The JSON body of a good answer.
    pub(super) fn json(self) -> Result<Value> {
        self.parse()
    }

    /// The JSON body of a good answer as a type of its own.
    pub(super) fn parse<T: DeserializeOwned>(self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.refused());
        }
        serde_json::from_str(&self.body).map_err(|error| Error::Answer {
            url: self.url,
            detail: error.to_string(),
        })
    }

    /// The JSON body, whatever the status.
    pub(super) fn any_json(&self) -> Result<Value> {
        serde_json::from_str(&self.body).map_err(|error| Error::Answer {
            url: self.url.clone(),
            detail: error.to_string(),
        })
    }

    /// The error that this answer tells.
    pub(super) fn refused(self) -> Error {
        let detail = match serde_json::from_str::<Problem>(&self.body) {
            Ok(problem) if problem.detail.is_empty() => problem.title,
            Ok(problem) => format!("{}: {}", problem.title, problem.detail),
            Err(_) => self.body.trim().to_owned(),
        };
        Error::Refused {
            url: self.url,
            status: self.status.as_u16(),
            detail,
        }
    }
}

/// Sends one request to one address.
pub(super) fn call(
    base: &Base,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Answer> {
    first(std::slice::from_ref(base), method, path, body)
}

/// Tries the addresses in turn until one answers with anything but 503.
fn first(bases: &[Base], method: &Method, path: &str, body: Option<&Value>) -> Result<Answer> {
    let mut attempts = Vec::new();
    for base in bases {
        match attempt(base, method, path, body) {
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                attempts.push((base.clone(), answer.refused().to_string()));
            }
            Ok(answer) => return Ok(answer),
            Err(error) => attempts.push((base.clone(), error)),
        }
    }
    Err(Error::Unreachable { attempts })
}

fn attempt(
    base: &Base,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> std::result::Result<Answer, String> {
    let url = base.join(path);
    let mut request = Request::builder().method(method).uri(&url);
    if body.is_some() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let body = body.map(Value::to_string).unwrap_or_default();
    let request = request.body(Body::from(body)).map_err(|e| e.to_string())?;
    let client = oxhttp::Client::new().with_global_timeout(TIMEOUT);
    let answer = client.request(request).map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = answer.into_body().to_string().map_err(|e| e.to_string())?;
    Ok(Answer { url, status, body })
}
