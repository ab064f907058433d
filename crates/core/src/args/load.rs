//! `load`: sends open-loop load to entries.

use std::env;
use std::time::Duration;

use gentian_wire::id;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;

use super::{output, Error, Result};
use crate::client::BaseUrl;
use crate::load::{self, DurationRange, Plan, RunTimes};

#[derive(clap::Args, Debug)]
#[command(
    args_override_self = true,
    after_help = "\
Example:
  gentiancove load --entries http://127.0.0.1:8080 --service demo --rate 50 --duration 20s

Latency is measured from the time a request is scheduled to start. The response ratio is the
latency divided by the ideal latency, which is the run time of the task plus --network; for a
job, that of its longest task. An answer must repeat the body of its request. If one does
not, it is counted as wrong and the exit code is 5."
)]
pub(super) struct Args {
    /// Base URLs of entries, used in turn
    #[arg(long, value_name = "URL,...", value_delimiter = ',', required = true)]
    entries: Vec<BaseUrl>,
    /// Base URLs of agents whose message counters are read too, besides those of the entries
    #[arg(long, value_name = "URL,...", value_delimiter = ',')]
    agents: Vec<BaseUrl>,
    /// Service that the requests are for
    #[arg(long, default_value = "demo")]
    service: id::Service,
    /// Team that the requests are from
    #[arg(long, default_value = "load")]
    team: id::Team,
    /// Mean number of requests per second; the gaps between them are exponential
    #[arg(long, default_value = "10", value_parser = parse_rate)]
    rate: PerSecond,
    /// Duration of the measurement, after the warm-up
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Duration of the warm-up, whose requests are sent but not counted
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
    warmup: Duration,
    /// Seed of arrival times and run times
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run times of short tasks
    #[arg(long, value_name = "SPAN", default_value = "50ms..1s")]
    run: DurationRange,
    /// Run times of long tasks
    #[arg(long, value_name = "SPAN", default_value = "2s..6s")]
    long_run: DurationRange,
    /// Fraction of tasks that are long
    #[arg(long, value_name = "0..1", default_value = "0.02", value_parser = parse_share)]
    long_share: f64,
    /// Network round-trip time to include in the ideal latency
    #[arg(long, value_name = "TIME", default_value = "0s", value_parser = humantime::parse_duration)]
    network: Duration,
    /// Deadline of each request
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    deadline: Duration,
    /// Marks requests as idempotent: they may run more than once
    #[arg(long)]
    idempotent: bool,
    /// Sends jobs of this many tasks instead of single requests
    #[arg(long, value_name = "TASKS", value_parser = clap::value_parser!(u16).range(1..=830))]
    jobs: Option<u16>,
    /// Size of the body of each single request
    #[arg(long, default_value = "256B")]
    body: Bytes,
    /// Prints the result as JSON
    #[arg(long)]
    json: bool,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let json = self.json;
        let summary = load::run(self.plan())?;
        match json {
            true => output::print_line(&summary.to_json())?,
            false => output::print_line(&summary.to_string())?,
        }
        match summary.wrong() {
            0 => Ok(()),
            wrong => Err(Error::Check(format!(
                "{wrong} answers were not those of their requests"
            ))),
        }
    }

    fn plan(self) -> Plan {
        let run_times = RunTimes {
            short: self.run,
            long: self.long_run,
            long_share: self.long_share,
        };
        load::Builder::new(self.entries, self.service, run_times)
            .metrics_sources(self.agents)
            .team(self.team)
            .rate(self.rate)
            .duration(self.duration)
            .warmup(self.warmup)
            .seed(self.seed)
            .network(self.network)
            .deadline(self.deadline)
            .idempotent(self.idempotent)
            .tasks(self.jobs.map_or(0, usize::from))
            .body(self.body)
            .command(command_line())
            .build()
    }
}

/// The command line of this process, quoted for a shell.
fn command_line() -> String {
    let arguments = env::args().skip(1).map(|argument| quote(&argument));
    let arguments: Vec<_> = arguments.collect();
    format!("gentiancove {}", arguments.join(" "))
}

fn quote(argument: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_=./:,".contains(c);
    if !argument.is_empty() && argument.chars().all(plain) {
        return argument.to_owned();
    }
    format!("'{}'", argument.replace('\'', r"'\''"))
}

fn parse_rate(text: &str) -> std::result::Result<PerSecond, String> {
    let rate: PerSecond = text.parse().map_err(|error| format!("{error}"))?;
    let usable = (0.01..=100_000.0).contains(&rate.get());
    usable
        .then_some(rate)
        .ok_or_else(|| "must be a number from 0.01 to 100000".to_owned())
}

fn parse_share(text: &str) -> std::result::Result<f64, String> {
    let share = text
        .parse()
        .ok()
        .filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| "must be a number from 0 to 1".to_owned())
}
