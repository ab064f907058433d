//! The state machine that numbers configuration versions.
//!
//! A patch becomes the next version only where it names the version in force.
//! The proposer judges the resulting document and sends its [`Verdict`] along,
//! so that replicas of different releases, whose checks may differ, still come
//! to the same state. A verdict holds only for the document it was made for,
//! and the version that a patch names fixes that document.
//!
//! A resent patch gets its first answer: accepted ones for ever, refused ones
//! while they are among the last [`REFUSALS_KEPT`]. A refusal that was dropped
//! is judged anew; its base is then older still, so a patch that lost against
//! another version can't win later.

mod digest;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::document::{Document, Problem, MAX_DOCUMENT_BYTES};
use crate::patch::{Id, Patch};

pub use digest::Digest;

/// Refused patches whose answer is remembered.
pub const REFUSALS_KEPT: usize = 256;

const MAX_PROBLEMS: usize = 32;
const MAX_TEXT_BYTES: usize = 256;

/// A result whose error is a broken record or snapshot.
pub type Result<T> = std::result::Result<T, Error>;

/// A record or snapshot that can't be trusted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The digest of a version doesn't follow from the versions before it.
    #[error("digest of configuration version {0} does not match its record")]
    Digest(Version),
    /// A patch on record is no JSON.
    #[error("configuration version {0} has an unreadable patch: {1}")]
    Patch(Version, serde_json::Error),
    /// A snapshot can't be read.
    #[error("configuration snapshot is unreadable: {0}")]
    Snapshot(serde_json::Error),
}

/// The proposer's judgement of the document that a patch leads to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The patch names another version than the one in force at the proposer.
    Stale,
    /// The document is good.
    Valid,
    /// The patch or the document has these problems.
    Invalid(Vec<Problem>),
}

/// A patch on its way through the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// The patch as it was sent.
    pub patch: Patch,
    /// Judgement from [`Ledger::validate`] at the proposer.
    pub verdict: Verdict,
    /// Wall time at the proposer, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// What became of a patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    /// It is on record as this version.
    Accepted {
        /// Number of the version.
        version: Version,
        /// Digest of the version and all before it.
        digest: Digest,
    },
    /// It names another version than the one in force.
    Conflict {
        /// The version in force.
        in_force: Version,
        /// The patch that was accepted on the named version instead.
        winner: Option<Winner>,
    },
    /// The patch or the document it leads to has problems.
    Invalid {
        /// All of them, up to a limit.
        problems: Vec<Problem>,
    },
    /// Another patch was sent under this id before.
    Reused,
}

/// The patch that won against another one on the same version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// The version it became.
    pub version: Version,
    /// Its id.
    pub id: Id,
    /// Who sent it.
    pub author: String,
}

/// One accepted version, as the monitor sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Number of the version; its patch names the one before.
    pub version: Version,
    /// Id of the patch.
    pub id: Id,
    /// Who sent the patch.
    pub author: String,
    /// When it was proposed, in milliseconds since the Unix epoch; never before
    /// the version that it follows.
    pub wall_ms: u64,
    /// The merge patch.
    pub merge: Value,
    /// Digest of this version and all before it.
    pub digest: Digest,
}

/// All accepted versions and the document in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ledger {
    document: Value,
    records: Vec<Compact>,
    versions: BTreeMap<Id, Version>,
    refusals: VecDeque<Refusal>,
}

/// A record as it is kept in memory: the patch as text, no spare capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Compact {
    id: Id,
    author: Box<str>,
    wall_ms: u64,
    merge: Box<str>,
    digest: Digest,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Refusal {
    id: Id,
    fingerprint: Digest,
    answer: Answer,
}

impl Default for Ledger {
    /// Version 0: the document in which every field has its default.
    fn default() -> Ledger {
        Ledger {
            document: Value::Object(Map::new()),
            records: Vec::new(),
            versions: BTreeMap::new(),
            refusals: VecDeque::new(),
        }
    }
}

impl Ledger {
    /// The version in force.
    pub fn version(&self) -> Version {
        Version(self.records.len() as u64)
    }

    /// Digest of the version in force and all before it.
    pub fn digest(&self) -> Digest {
        self.records
            .last()
            .map_or(Digest::ORIGIN, |last| last.digest)
    }

    /// The document in force; fields that are absent have their defaults.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// The accepted version with the given number, unless it is 0 or to come.
    pub fn record(&self, version: Version) -> Option<Record> {
        let index = usize::try_from(version.0.checked_sub(1)?).ok()?;
        let compact = self.records.get(index)?;
        Some(Record {
            version,
            id: compact.id,
            author: compact.author.to_string(),
            wall_ms: compact.wall_ms,
            merge: serde_json::from_str(&compact.merge).unwrap_or(Value::Null),
            digest: compact.digest,
        })
    }

    /// The accepted versions after the given one, in their order.
    pub fn history(&self, after: Version) -> impl Iterator<Item = Record> + '_ {
        (after.0.saturating_add(1)..=self.version().0)
            .map_while(|version| self.record(Version(version)))
    }

    /// Judges a patch, for its proposal.
    pub fn validate(&self, patch: &Patch) -> Verdict {
        if patch.base != self.version() {
            return Verdict::Stale;
        }
        let mut problems = patch.check();
        if problems.is_empty() {
            problems = check_document(&patch.apply(&self.document));
        }
        if problems.is_empty() {
            Verdict::Valid
        } else {
            Verdict::Invalid(shorten(problems))
        }
    }

    /// The answer that a patch with this content got before, if it is known.
    pub fn first_answer(&self, patch: &Patch) -> Option<Answer> {
        let fingerprint = Digest(patch.fingerprint());
        if let Some(version) = self.versions.get(&patch.id) {
            let record = self.record(*version)?;
            return Some(self.accepted_before(&record, fingerprint));
        }
        let refusal = self.refusals.iter().find(|r| r.id == patch.id)?;
        if refusal.fingerprint == fingerprint {
            Some(refusal.answer.clone())
        } else {
            Some(Answer::Reused)
        }
    }

    /// Applies a proposal from the log.
    pub fn apply(&mut self, proposal: Proposal) -> Answer {
        let Proposal {
            patch,
            verdict,
            wall_ms,
        } = proposal;
        if let Some(answer) = self.first_answer(&patch) {
            return answer;
        }
        match verdict {
            Verdict::Valid if patch.base == self.version() => self.accept(&patch, wall_ms),
            Verdict::Invalid(problems) if patch.base == self.version() => {
                self.refuse(&patch, Answer::Invalid { problems })
            }
            Verdict::Valid | Verdict::Invalid(_) | Verdict::Stale => {
                let answer = self.conflict(patch.base);
                self.refuse(&patch, answer)
            }
        }
    }

    /// Replays every patch and compares the digests.
    pub fn verify(&self) -> Result<()> {
        let mut document = Value::Object(Map::new());
        let mut digest = Digest::ORIGIN;
        for (record, number) in self.records.iter().zip(1..) {
            let version = Version(number);
            let merge = record.parse(version)?;
            json_patch::merge(&mut document, &merge);
            digest = record.chain(digest, &document);
            if digest != record.digest {
                return Err(Error::Digest(version));
            }
        }
        if document == self.document {
            Ok(())
        } else {
            Err(Error::Digest(self.version()))
        }
    }

    fn accept(&mut self, patch: &Patch, wall_ms: u64) -> Answer {
        let before = self.records.last().map_or(0, |last| last.wall_ms);
        json_patch::merge(&mut self.document, &patch.merge);
        let mut record = Compact {
            id: patch.id,
            author: patch.author.as_str().into(),
            wall_ms: wall_ms.max(before),
            merge: patch.merge.to_string().into(),
            digest: Digest::ORIGIN,
        };
        record.digest = record.chain(self.digest(), &self.document);
        let digest = record.digest;
        self.records.push(record);
        let version = self.version();
        self.versions.insert(patch.id, version);
        Answer::Accepted { version, digest }
    }

    fn refuse(&mut self, patch: &Patch, answer: Answer) -> Answer {
        if self.refusals.len() == REFUSALS_KEPT {
            self.refusals.pop_front();
        }
        self.refusals.push_back(Refusal {
            id: patch.id,
            fingerprint: Digest(patch.fingerprint()),
            answer: answer.clone(),
        });
        answer
    }

    fn conflict(&self, base: Version) -> Answer {
        let next = Version(base.0.saturating_add(1));
        let winner = self.record(next).map(|record| Winner {
            version: record.version,
            id: record.id,
            author: record.author,
        });
        Answer::Conflict {
            in_force: self.version(),
            winner,
        }
    }

    fn accepted_before(&self, record: &Record, fingerprint: Digest) -> Answer {
        let first = Patch {
            id: record.id,
            base: Version(record.version.0 - 1),
            author: record.author.clone(),
            merge: record.merge.clone(),
        };
        if Digest(first.fingerprint()) != fingerprint {
            return Answer::Reused;
        }
        Answer::Accepted {
            version: record.version,
            digest: record.digest,
        }
    }
}

impl Compact {
    fn parse(&self, version: Version) -> Result<Value> {
        serde_json::from_str(&self.merge).map_err(|error| Error::Patch(version, error))
    }

    /// Digest of this record, the document it leads to, and all before it.
    fn chain(&self, before: Digest, document: &Value) -> Digest {
        before
            .step()
            .field(self.id.0.as_bytes())
            .field(self.author.as_bytes())
            .field(&self.wall_ms.to_be_bytes())
            .field(self.merge.as_bytes())
            .field(document.to_string().as_bytes())
            .finish()
    }
}

fn check_document(document: &Value) -> Vec<Problem> {
    let size = document.to_string().len();
    if size > MAX_DOCUMENT_BYTES {
        return vec![Problem {
            path: String::new(),
            value: format!("{size} bytes"),
            allowed: format!("up to {MAX_DOCUMENT_BYTES} bytes"),
        }];
    }
    Document::read(document).err().unwrap_or_default()
}

/// Bounds the memory that a remembered refusal takes.
fn shorten(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.truncate(MAX_PROBLEMS);
    for problem in &mut problems {
        cut(&mut problem.path);
        cut(&mut problem.value);
        cut(&mut problem.allowed);
    }
    problems
}

fn cut(text: &mut String) {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text.truncate(end);
}
