//! Blocking HTTP client of the operator commands.
//!
//! It uses `oxhttp` instead of `hyper`: a command sends only a few requests, so a
//! new connection for each is enough and no async runtime is needed.

use std::time::Duration;

use http::Method;
use oxhttp::model::{header, Body, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use super::{Error, Result};
use crate::client::BaseUrl;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Control instances that a command sends its requests to.
#[derive(clap::Args, Debug)]
pub(super) struct Control {
    /// Base URLs of control instances, tried in turn
    #[arg(long, value_name = "URL,...", value_delimiter = ',', required = true)]
    control: Vec<BaseUrl>,
}

impl Control {
    /// Gets JSON from the first instance that answers.
    pub(super) fn get(&self, path: &str) -> Result<Value> {
        first_response(&self.control, &Method::GET, path, None)?.json()
    }

    /// Sends JSON to the first instance that answers. Only for idempotent requests:
    /// an instance that was tried before may have carried out the request although
    /// its response was lost.
    pub(super) fn send(&self, method: &Method, path: &str, body: &Value) -> Result<Response> {
        first_response(&self.control, method, path, Some(body))
    }

    /// Sends JSON to the first instance only and never retries at another one.
    pub(super) fn send_once(&self, method: &Method, path: &str, body: &Value) -> Result<Response> {
        first_response(&self.control[..1], method, path, Some(body))
    }
}

/// A response of any status.
#[derive(Debug)]
pub(super) struct Response {
    url: String,
    pub(super) status: StatusCode,
    body: String,
}

/// The parts of an error response's problem document that are printed.
#[derive(Deserialize)]
struct Problem {
    title: String,
    #[serde(default)]
    detail: String,
}

impl Response {
    /// Parses the body as JSON; an error status is an error.
    pub(super) fn json(self) -> Result<Value> {
        self.parse()
    }

    /// Parses the body as JSON into `T`; an error status is an error.
    pub(super) fn parse<T: DeserializeOwned>(self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.into_error());
        }
        serde_json::from_str(&self.body).map_err(|error| Error::InvalidResponse {
            url: self.url,
            detail: error.to_string(),
        })
    }

    /// Parses the body as JSON, whatever the status.
    pub(super) fn json_of_any_status(&self) -> Result<Value> {
        serde_json::from_str(&self.body).map_err(|error| Error::InvalidResponse {
            url: self.url.clone(),
            detail: error.to_string(),
        })
    }

    /// Converts an error response to an error, with the text of its problem document
    /// if it has one.
    pub(super) fn into_error(self) -> Error {
        let detail = match serde_json::from_str::<Problem>(&self.body) {
            Ok(problem) if problem.detail.is_empty() => problem.title,
            Ok(problem) => format!("{}: {}", problem.title, problem.detail),
            Err(_) => self.body.trim().to_owned(),
        };
        Error::Status {
            url: self.url,
            status: self.status.as_u16(),
            detail,
        }
    }
}

/// Sends a request to one address.
pub(super) fn call(
    base: &BaseUrl,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Response> {
    first_response(std::slice::from_ref(base), method, path, body)
}

/// Tries the addresses in turn until one answers. Status 503 counts as no answer:
/// the instance can't handle the request now, but another one may.
fn first_response(
    bases: &[BaseUrl],
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Response> {
    let mut attempts = Vec::new();
    for base in bases {
        match send_request(base, method, path, body) {
            Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                attempts.push((base.clone(), response.into_error().to_string()));
            }
            Ok(response) => return Ok(response),
            Err(error) => attempts.push((base.clone(), error)),
        }
    }
    Err(Error::Unreachable { attempts })
}

fn send_request(
    base: &BaseUrl,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> std::result::Result<Response, String> {
    let url = base.join(path);
    let mut request = Request::builder().method(method).uri(&url);
    if body.is_some() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let body = body.map(Value::to_string).unwrap_or_default();
    let request = request.body(Body::from(body)).map_err(|e| e.to_string())?;
    let client = oxhttp::Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request).map_err(|e| e.to_string())?;
    let status = response.status();
    let body = response
        .into_body()
        .to_string()
        .map_err(|e| e.to_string())?;
    Ok(Response { url, status, body })
}
