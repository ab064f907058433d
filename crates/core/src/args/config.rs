//! `config`: reads, changes and verifies the versioned configuration.

use std::fs;
use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

use clap::Subcommand;
use gentian_config::ledger::{self, Digest, Ledger, Proposal, Record, Verdict};
use gentian_config::patch as config;
use gentian_wire::id::Version;
use http::Method;
use oxhttp::model::StatusCode;
use serde_json::{json, Value};
use uuid::Uuid;

use super::operator::{Control, Response};
use super::{output, Error, Result};

#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Prints the version in force and its document
    Get {
        #[command(flatten)]
        control: Control,
    },
    /// Changes the configuration, provided that the version in force is --base
    Patch(Patch),
    /// Lists the accepted versions with time, author, digest and patch
    History(History),
    /// Replays all versions and compares the digests, for use in monitoring
    Verify(Verify),
}

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Examples:
  gentiancove config patch --control http://127.0.0.1:7001 --base 4 --author ada \\
      '{\"teams\": {\"barn\": {\"rate\": 200}}}'
  gentiancove config patch --control http://127.0.0.1:7001 --base 5 --author ada @change.json

The id of the patch is printed before it is sent. If the answer is lost, send the same
patch again with this --id: it gets the same answer as the first time.")]
pub(super) struct Patch {
    #[command(flatten)]
    control: Control,
    /// Version that the patch is based on; must be the version in force
    #[arg(long, value_name = "VERSION")]
    base: Version,
    /// Author to record in the history
    #[arg(long)]
    author: String,
    /// Id of an earlier patch whose answer was lost [default: a new one]
    #[arg(long, value_name = "UUID")]
    id: Option<Uuid>,
    /// JSON merge patch (RFC 7396), or @FILE to read it from a file
    #[arg(value_name = "PATCH")]
    merge: String,
}

#[derive(clap::Args, Debug)]
pub(super) struct History {
    #[command(flatten)]
    control: Control,
    /// Lists only versions after this one
    #[arg(long, value_name = "VERSION", default_value_t = Version(0))]
    after: Version,
    /// Prints the records as JSON
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Example:
  gentiancove config verify --control http://127.0.0.1:7001 \\
      --known 41:9f2c54a1b0d3e8f7a6c5b4d3e2f1a0998877665544332211ffeeddccbbaa0099

The digest of a version covers its patch, author and time, the resulting document and all
earlier versions. With --known, a version and digest noted earlier, the command detects a
history that has been rewritten since. The exit code is 5 if a digest differs.")]
pub(super) struct Verify {
    #[command(flatten)]
    control: Control,
    /// Version and digest that were noted earlier
    #[arg(long, value_name = "VERSION:DIGEST")]
    known: Option<KnownDigest>,
}

/// A version and the digest that it had when the operator noted it.
#[derive(Clone, Copy, Debug)]
struct KnownDigest {
    version: Version,
    digest: Digest,
}

impl FromStr for KnownDigest {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<KnownDigest, String> {
        let (version, digest) = text.split_once(':').ok_or("must be VERSION:DIGEST")?;
        Ok(KnownDigest {
            version: version.parse().map_err(|error| format!("{error}"))?,
            digest: digest.parse().map_err(|error| format!("{error}"))?,
        })
    }
}

impl Command {
    pub(super) fn run(self) -> Result<()> {
        match self {
            Command::Get { control } => {
                let config = control.get("/v1/config")?;
                output::print_line(&format!("{config:#}"))
            }
            Command::Patch(patch) => patch.run(),
            Command::History(history) => history.run(),
            Command::Verify(verify) => verify.run(),
        }
    }
}

impl Patch {
    fn run(self) -> Result<()> {
        let merge = self.read_merge_patch()?;
        let id = self.id.unwrap_or_else(Uuid::now_v7);
        eprintln!("patch id {id}");
        let body = json!({
            "id": id,
            "base": self.base,
            "author": self.author,
            "merge": merge,
        });
        let response = self.control.send(&Method::PATCH, "/v1/config", &body)?;
        if response.status == StatusCode::CONFLICT {
            return Err(conflict(&response));
        }
        output::print_line(&format!("{:#}", response.json()?))
    }

    fn read_merge_patch(&self) -> Result<Value> {
        let text = match self.merge.strip_prefix('@') {
            Some(path) => fs::read_to_string(path).map_err(output::file_error(path))?,
            None => self.merge.clone(),
        };
        let merge: Option<Value> = serde_json::from_str(&text).ok();
        merge.filter(Value::is_object).ok_or(Error::Argument {
            argument: "PATCH",
            value: text,
            allowed: "must be a JSON object, or @FILE that holds one".to_owned(),
        })
    }
}

fn conflict(response: &Response) -> Error {
    let detail = match response.json_of_any_status() {
        Ok(reason) => format!("the patch is not accepted: {reason}"),
        Err(_) => "the patch is not accepted".to_owned(),
    };
    Error::Conflict { detail }
}

impl History {
    fn run(self) -> Result<()> {
        let versions = fetch_history(&self.control, self.after)?;
        if self.json {
            return output::print_line(&format!("{:#}", json!({ "versions": versions })));
        }
        output::print(&versions.iter().map(format_record).collect::<String>())
    }
}

/// Fetches all records after the given version, page by page.
fn fetch_history(control: &Control, mut after: Version) -> Result<Vec<Value>> {
    let mut versions = Vec::new();
    loop {
        let mut page = control.get(&format!("/v1/config/history?after={after}"))?;
        if let Some(found) = page["versions"].as_array_mut() {
            versions.append(found);
        }
        let last = versions.last().and_then(|last| last["version"].as_u64());
        let next = last.map_or(after, Version);
        if page["more"] == true && next > after {
            after = next;
            continue;
        }
        if page["complete"] == false {
            eprintln!("the list may lack the newest versions: the instance that answered is not the leader");
        }
        return Ok(versions);
    }
}

impl Verify {
    fn run(self) -> Result<()> {
        let mut ledger = Ledger::default();
        for record in fetch_history(&self.control, Version(0))? {
            let record = parse_record(record)?;
            replay(&mut ledger, &record)?;
            self.check_known_digest(&record)?;
        }
        if let Some(known) = self.known.filter(|known| known.version > ledger.version()) {
            let version = known.version;
            return Err(Error::Check(format!(
                "version {version}, given with --known, is not in the history"
            )));
        }
        let (version, digest) = (ledger.version(), ledger.digest());
        output::print_line(&format!("{version}:{digest}"))
    }

    fn check_known_digest(&self, record: &Record) -> Result<()> {
        match self.known {
            Some(known) if known.version == record.version && known.digest != record.digest => {
                Err(Error::Check(format!(
                    "version {} has the digest {}, but --known gives {}",
                    record.version, record.digest, known.digest
                )))
            }
            _ => Ok(()),
        }
    }
}

fn parse_record(record: Value) -> Result<Record> {
    let version = record["version"].clone();
    serde_json::from_value(record).map_err(|error| {
        Error::Check(format!(
            "the record of version {version} can't be parsed: {error}"
        ))
    })
}

/// Applies the patch of `record` and checks that it gives the same version and
/// digest as the record.
fn replay(ledger: &mut Ledger, record: &Record) -> Result<()> {
    let patch = config::Patch {
        id: record.id,
        base: ledger.version(),
        author: record.author.clone(),
        merge: record.merge.clone(),
        edits: record.edits.clone(),
    };
    let answer = ledger.apply(Proposal {
        patch,
        verdict: Verdict::Valid,
        wall_ms: record.wall_ms,
    });
    let expected = ledger::Answer::Accepted {
        version: record.version,
        digest: record.digest,
    };
    if answer == expected {
        return Ok(());
    }
    let version = record.version;
    let detail =
        format!("the record of version {version} does not match a replay of the earlier versions");
    Err(Error::Check(detail))
}

fn format_record(record: &Value) -> String {
    let text = |field: &str| record[field].as_str().unwrap_or("?").to_owned();
    let wall = Duration::from_millis(record["wall_ms"].as_u64().unwrap_or(0));
    let time = humantime::format_rfc3339_millis(UNIX_EPOCH + wall);
    let digest: String = text("digest").chars().take(12).collect();
    format!(
        "{}\t{time}\t{}\t{digest}\t{}\n",
        record["version"],
        text("author"),
        record["merge"]
    )
}
