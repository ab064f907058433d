//! Runs a complete system in one process, with embedded settings and an example
//! upstream, as a demonstration.
//!
//! A production system runs each role in a process of its own, on instances that
//! fail independently.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use gentian::wire::id;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use tokio::sync::watch;

use crate::client::{self, Client};
use crate::logging;
use crate::run::{self, Roles, Signals};
use crate::settings::{self, Settings};
use crate::upstream;

const SETTINGS: &str = include_str!("settings.json");
const EXAMPLE_JOB: &str = include_str!("job.json");
const SERVICE: &str = "demo";
const TEAM: &str = "local";
const EXAMPLE_REQUEST: &str = r#"{"run_ms":80,"text":"refresh the teat-cup alarm of stall 7"}"#;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a local system failed.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The embedded settings are invalid with the given addresses.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// A role failed to start.
    #[error(transparent)]
    Run(#[from] run::Error),
    /// The upstream failed to start.
    #[error(transparent)]
    Upstream(#[from] upstream::Error),
    /// The example request or job was not answered in time.
    #[error(
        "the example was not answered within {}; the last attempt failed: {last_error}",
        humantime::format_duration(READY_TIMEOUT)
    )]
    NoAnswer {
        /// Error or error response of the last attempt.
        last_error: String,
    },
}

/// A result whose error says why a local system failed.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Listen addresses and data directory of a local system.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Listen address for callers.
    pub(crate) entry: SocketAddr,
    /// Listen address for upstreams.
    pub(crate) agent: SocketAddr,
    /// Listen address for operators.
    pub(crate) control: SocketAddr,
    /// Data directory of the control instance.
    pub(crate) data: PathBuf,
}

/// Starts a system, sends it an example request and job, and serves until SIGTERM.
/// With `once` it stops after the example.
pub(crate) fn run(options: &Options, once: bool) -> Result<()> {
    let settings = embedded_settings(options)?;
    let _log = logging::start(&settings.log).map_err(run::Error::Log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(run::Error::Start)?;
    runtime.block_on(serve(&settings, once))
}

fn embedded_settings(options: &Options) -> Result<Settings> {
    let mut settings = Settings::parse("embedded in the program", SETTINGS)?;
    if let Some(section) = &mut settings.entry {
        section.http = options.entry;
    }
    if let Some(section) = &mut settings.agent {
        section.http = options.agent;
    }
    if let Some(section) = &mut settings.controller {
        section.http = options.control;
        section.data.clone_from(&options.data);
    }
    Ok(settings)
}

async fn serve(settings: &Settings, once: bool) -> Result<()> {
    let mut signals = Signals::listen().map_err(run::Error::Start)?;
    let roles = Roles::bind(settings, watch::channel(settings.control.clone()).1).await?;
    let entry = http_url(roles.entry_http());
    let control = roles.control();
    let upstream = bind_upstream(&http_url(roles.agent_http())).await?;
    let (stop, stopped) = watch::channel(false);
    let roles = tokio::spawn(roles.run(stopped.clone()));
    let upstream = tokio::spawn(upstream.serve(stopped));
    let result = tokio::select! {
        result = run_example(control, &entry, once) => result,
        () = signals.wait() => Ok(()),
    };
    stop.send_replace(true);
    // A join error is a panic, which the panic hook has printed already.
    let _ = tokio::join!(roles, upstream);
    result
}

async fn bind_upstream(agent: &str) -> Result<upstream::Upstream> {
    let service = SERVICE.parse().expect("a valid name");
    let upstream = upstream::Builder::new(service, agent.to_owned())
        .bind()
        .await?;
    println!("listening upstream {}", upstream.address());
    Ok(upstream)
}

/// Initializes the cluster if needed, sends the example request and job until they
/// are answered, and prints the answers. Never returns after that unless `once`.
async fn run_example(
    control: Option<(SocketAddr, SocketAddr)>,
    entry: &str,
    once: bool,
) -> Result<()> {
    let client = Client::new();
    let start = Instant::now();
    if let Some((operators, peer)) = control {
        init_cluster(&client, &http_url(Some(operators)), peer).await;
    }
    while !knows_agent(&client, entry).await && start.elapsed() < READY_TIMEOUT {
        tokio::time::sleep(READY_POLL).await;
    }
    let request = format!("{entry}/v1/requests");
    let answer = post_until_answered(&client, &request, EXAMPLE_REQUEST).await?;
    println!("request  {EXAMPLE_REQUEST}\nanswer   {answer}");
    let job = example_job();
    // All attempts have the same job key, so that no task runs twice even if an earlier
    // attempt was accepted but its answer was lost.
    let answer = post_until_answered(&client, &format!("{entry}/v1/jobs"), &job).await?;
    println!("job      {job}\nanswer   {answer}");
    if once {
        return Ok(());
    }
    println!(
        "try      curl -d '{EXAMPLE_REQUEST}' -H 'x-service: {SERVICE}' -H 'x-team: {TEAM}' {request}"
    );
    std::future::pending().await
}

/// The embedded job with a new key, so that no earlier run of it is found.
fn example_job() -> String {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let key = id::Job::new(wall.unwrap_or_default(), rand::random());
    let mut job: Value = serde_json::from_str(EXAMPLE_JOB).expect("the embedded job is JSON");
    job["key"] = Value::from(key.to_string());
    job.to_string()
}

/// Posts a body repeatedly until the answer is a success or the timeout expires.
async fn post_until_answered(client: &Client, url: &str, body: &str) -> Result<String> {
    let start = Instant::now();
    loop {
        match post(client, url, body).await {
            Ok(answer) => return Ok(answer),
            Err(last_error) if start.elapsed() > READY_TIMEOUT => {
                return Err(Error::NoAnswer { last_error })
            }
            Err(_) => tokio::time::sleep(READY_POLL).await,
        }
    }
}

/// Makes the control instance the only member of a new cluster, unless its data
/// directory holds a cluster from an earlier run. A failure is not returned: the
/// example then fails, and its error gives the reason.
async fn init_cluster(client: &Client, control: &str, peer: SocketAddr) {
    let members = format!("{control}/v1/members");
    let status_request = Request::get(&members).body(Full::<Bytes>::default());
    let status_request = status_request.expect("an address makes a valid request");
    let Ok(answer) = client.send(status_request, REQUEST_TIMEOUT).await else {
        return;
    };
    let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if status["initialized"] == true {
        return;
    }
    let init = serde_json::json!({ "init": [peer] }).to_string();
    let init = Request::post(&members).body(Full::new(Bytes::from(init)));
    let init = init.expect("an address makes a valid request");
    if let Err(error) = client.send(init, REQUEST_TIMEOUT).await {
        log::warn!(
            "cannot initialize the cluster at {members}: {error}; the example request will fail"
        );
    }
}

/// Whether the entry knows an agent. The example waits for this, because requests
/// sent earlier would fail and count as unavailable in the report.
async fn knows_agent(client: &Client, entry: &str) -> bool {
    let request = Request::get(format!("{entry}/v1/status")).body(Full::<Bytes>::default());
    let request = request.expect("an address makes a valid request");
    let Ok(answer) = client.send(request, REQUEST_TIMEOUT).await else {
        return false;
    };
    let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    status["members"].as_u64() > Some(0)
}

async fn post(client: &Client, url: &str, body: &str) -> std::result::Result<String, String> {
    let request = Request::post(url)
        .header("x-service", SERVICE)
        .header("x-team", TEAM)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .map_err(|error| error.to_string())?;
    let answer = client.send(request, REQUEST_TIMEOUT).await;
    let answer = answer.map_err(|error: client::Error| error.to_string())?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    match answer.status.is_success() {
        true => Ok(body),
        false => Err(format!("{}: {body}", answer.status)),
    }
}

fn http_url(address: Option<SocketAddr>) -> String {
    address.map_or_else(String::new, |address| format!("http://{address}"))
}
