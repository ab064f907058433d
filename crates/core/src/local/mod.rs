//! A whole system in one process, with an example upstream.
//!
//! It shows on one machine what the system does, on embedded settings. A real
//! one has a process for each role, on instances that fail apart.

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
const JOB: &str = include_str!("job.json");
const SERVICE: &str = "demo";
const TEAM: &str = "local";
const EXAMPLE: &str = r#"{"run_ms":80,"text":"refresh the teat-cup alarm of stall 7"}"#;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Why no local system runs.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The embedded settings can't be used with the given addresses.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// A role can't be started.
    #[error(transparent)]
    Run(#[from] run::Error),
    /// The upstream can't be started.
    #[error(transparent)]
    Upstream(#[from] upstream::Error),
    /// The example request was not answered.
    #[error(
        "the example was not answered within {}: {last}",
        humantime::format_duration(READY_TIMEOUT)
    )]
    Silent {
        /// What was answered last.
        last: String,
    },
}

/// A result whose error tells why no local system runs.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Where a local system listens and keeps its data.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    /// Address for callers.
    pub(crate) entry: SocketAddr,
    /// Address for upstreams.
    pub(crate) agent: SocketAddr,
    /// Address for operators.
    pub(crate) control: SocketAddr,
    /// Folder of the control instance.
    pub(crate) data: PathBuf,
}

/// Starts a system, sends it an example, and serves until SIGTERM; with `once`
/// it stops after the example.
pub(crate) fn run(places: &Places, once: bool) -> Result<()> {
    let settings = settings(places)?;
    let _log = logging::start(&settings.log).map_err(run::Error::Log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(run::Error::Start)?;
    runtime.block_on(serve(&settings, once))
}

fn settings(places: &Places) -> Result<Settings> {
    let mut settings = Settings::parse("embedded in the program", SETTINGS)?;
    if let Some(section) = &mut settings.entry {
        section.http = places.entry;
    }
    if let Some(section) = &mut settings.agent {
        section.http = places.agent;
    }
    if let Some(section) = &mut settings.controller {
        section.http = places.control;
        section.data.clone_from(&places.data);
    }
    Ok(settings)
}

async fn serve(settings: &Settings, once: bool) -> Result<()> {
    let mut signals = Signals::listen().map_err(run::Error::Start)?;
    let roles = Roles::bind(settings, watch::channel(settings.control.clone()).1).await?;
    let entry = url(roles.entry_http());
    let control = roles.control();
    let upstream = upstream(&url(roles.agent_http())).await?;
    let (stop, stopped) = watch::channel(false);
    let roles = tokio::spawn(roles.run(stopped.clone()));
    let upstream = tokio::spawn(upstream.serve(stopped));
    let result = tokio::select! {
        result = show(control, &entry, once) => result,
        () = signals.wait() => Ok(()),
    };
    stop.send_replace(true);
    // A panic in either has been printed already.
    let _ = tokio::join!(roles, upstream);
    result
}

async fn upstream(agent: &str) -> Result<upstream::Upstream> {
    let service = SERVICE.parse().expect("a valid name");
    let upstream = upstream::Builder::new(service, agent.to_owned())
        .bind()
        .await?;
    println!("listening upstream {}", upstream.address());
    Ok(upstream)
}

/// Sends a request and a job until they are answered, and prints the answers.
/// Returns then with `once`, and never without.
async fn show(control: Option<(SocketAddr, SocketAddr)>, entry: &str, once: bool) -> Result<()> {
    let client = Client::new();
    let start = Instant::now();
    if let Some((operators, peer)) = control {
        found(&client, &url(Some(operators)), peer).await;
    }
    while !hears_agent(&client, entry).await && start.elapsed() < READY_TIMEOUT {
        tokio::time::sleep(READY_POLL).await;
    }
    let request = format!("{entry}/v1/requests");
    let answer = ask(&client, &request, EXAMPLE).await?;
    println!("request  {EXAMPLE}\nanswer   {answer}");
    let job = job();
    // The same key each time: whatever became of the last try, no task runs twice.
    let answer = ask(&client, &format!("{entry}/v1/jobs"), &job).await?;
    println!("job      {job}\nanswer   {answer}");
    if once {
        return Ok(());
    }
    println!(
        "try      curl -d '{EXAMPLE}' -H 'x-service: {SERVICE}' -H 'x-team: {TEAM}' {request}"
    );
    std::future::pending().await
}

/// The embedded job under a new key.
fn job() -> String {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let key = id::Job::new(wall.unwrap_or_default(), rand::random());
    let mut job: Value = serde_json::from_str(JOB).expect("the embedded job is JSON");
    job["key"] = Value::from(key.to_string());
    job.to_string()
}

/// Sends a body until it is answered.
async fn ask(client: &Client, url: &str, body: &str) -> Result<String> {
    let start = Instant::now();
    loop {
        match post(client, url, body).await {
            Ok(answer) => return Ok(answer),
            Err(last) if start.elapsed() > READY_TIMEOUT => return Err(Error::Silent { last }),
            Err(_) => tokio::time::sleep(READY_POLL).await,
        }
    }
}

/// Makes the control instance the only member of a cluster, unless its data
/// folder holds one from an earlier run. Where that fails, the example is not
/// answered and the last answer tells why.
async fn found(client: &Client, control: &str, peer: SocketAddr) {
    let members = format!("{control}/v1/members");
    let known = Request::get(&members).body(Full::<Bytes>::default());
    let known = known.expect("an address makes a valid request");
    let Ok(answer) = client.send(known, REQUEST_TIMEOUT).await else {
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
        log::warn!("the control instance can't be initialised: {error}");
    }
}

/// Whether the entry knows an agent, so that requests sent before count for
/// nothing in the report.
async fn hears_agent(client: &Client, entry: &str) -> bool {
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

fn url(address: Option<SocketAddr>) -> String {
    address.map_or_else(String::new, |address| format!("http://{address}"))
}
