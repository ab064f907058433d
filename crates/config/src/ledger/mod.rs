//! The replicated state machine of the configuration and its history.
//!
//! A patch becomes the next version only if it names the version in force. The
//! proposer validates the resulting document and includes its [`Verdict`] in the
//! proposal, so that replicas of different releases, whose checks may differ,
//! reach the same state. A verdict holds only for the document that the proposer
//! validated, which is determined by the version that the patch names.
//!
//! A resent patch gets the same answer as the first time: forever if it was
//! accepted, and while it is among the last [`REFUSALS_KEPT`] refusals if it was
//! refused. A patch whose refusal was dropped is processed again when it is resent.
//! If the refusal was a conflict with an accepted patch, the resent patch is refused
//! again, since its base is still outdated.

mod digest;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::document::{Document, Problem, MAX_DOCUMENT_BYTES};
use crate::patch::{Edit, Id, Patch};

pub use digest::Digest;

/// Number of refused patches whose answers are remembered.
pub const REFUSALS_KEPT: usize = 256;

/// Estimated size of a record without its patch.
const RECORD_OVERHEAD_BYTES: usize = 256;

const MAX_PROBLEMS: usize = 32;
const MAX_TEXT_BYTES: usize = 256;

/// The result of reading or verifying a ledger.
pub type Result<T> = std::result::Result<T, Error>;

/// A corrupt record or snapshot.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The digest of a version doesn't match its record and the preceding versions.
    #[error("digest of configuration version {0} does not match its record")]
    Digest(Version),
    /// A recorded patch is not valid JSON.
    #[error("configuration version {0} has an unreadable patch: {1}")]
    Patch(Version, serde_json::Error),
    /// A snapshot can't be parsed or written.
    #[error("configuration snapshot is unreadable: {0}")]
    Snapshot(serde_json::Error),
}

/// The proposer's validation of a patch and the document that results from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The patch doesn't name the version in force at the proposer.
    Stale,
    /// The patch and the resulting document are valid.
    Valid,
    /// The patch or the resulting document has these problems.
    Invalid(Vec<Problem>),
}

/// A patch as proposed to the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proposal {
    /// The patch as sent by the operator.
    pub patch: Patch,
    /// Result of [`Ledger::validate`] at the proposer.
    pub verdict: Verdict,
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// The answer to a patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    /// The patch was accepted as a new version.
    Accepted {
        /// Number of the version.
        version: Version,
        /// Digest of this version and all preceding ones.
        digest: Digest,
    },
    /// The patch doesn't name the version in force.
    Conflict {
        /// The version in force.
        in_force: Version,
        /// The patch that was accepted on top of the named version instead, if
        /// any.
        winner: Option<Winner>,
    },
    /// The patch or the resulting document is invalid.
    Invalid {
        /// The problems found, up to a limit.
        problems: Vec<Problem>,
    },
    /// The id was already used for a different patch.
    Reused,
}

/// The patch that was accepted on top of a version to which a refused patch also
/// applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// Version that the patch became.
    pub version: Version,
    /// Id of the patch.
    pub id: Id,
    /// Who sent the patch.
    pub author: String,
}

/// One accepted version, as reported to operators and monitors.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Number of the version, one above the base of its patch.
    pub version: Version,
    /// Id of the patch.
    pub id: Id,
    /// Who sent the patch.
    pub author: String,
    /// Wall-clock time of the proposal, in milliseconds since the Unix epoch. Not
    /// before the time of the preceding version, even if the proposers' clocks differ.
    pub wall_ms: u64,
    /// The merge patch.
    pub merge: Value,
    /// Changes of long texts, made before the merge patch.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Edit>,
    /// Digest of this version and all preceding ones.
    pub digest: Digest,
}

/// The accepted versions and the document in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ledger {
    document: Value,
    records: Vec<CompactRecord>,
    /// The version that each accepted patch became.
    versions: BTreeMap<Id, Version>,
    refusals: VecDeque<Refusal>,
}

/// A [`Record`] in compact form for storage in memory: the patch as text, without
/// spare capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
struct CompactRecord {
    id: Id,
    author: Box<str>,
    wall_ms: u64,
    merge: Box<str>,
    /// The edits as JSON; empty if there are none.
    edits: Box<str>,
    digest: Digest,
}

/// A remembered refusal, for resent patches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Refusal {
    id: Id,
    fingerprint: Digest,
    answer: Answer,
}

impl Default for Ledger {
    /// Version 0, in whose document every field has its default.
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
    /// Returns the version in force.
    pub fn version(&self) -> Version {
        Version(self.records.len() as u64)
    }

    /// Returns the digest of the version in force and all preceding ones.
    pub fn digest(&self) -> Digest {
        self.records
            .last()
            .map_or(Digest::ORIGIN, |last| last.digest)
    }

    /// Returns the document in force. Absent fields have their defaults.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Returns the record of a version, or `None` for version 0 and versions that
    /// don't exist yet.
    pub fn record(&self, version: Version) -> Option<Record> {
        let compact = self.compact_record(version)?;
        let patch = compact.patch(version).ok()?;
        Some(Record {
            version,
            id: patch.id,
            author: patch.author,
            wall_ms: compact.wall_ms,
            merge: patch.merge,
            edits: patch.edits,
            digest: compact.digest,
        })
    }

    /// Returns the records of the versions after the given one, in ascending order, until
    /// their patches have `max_bytes` together, but at least one if there is any.
    pub fn history_page(&self, after: Version, max_bytes: usize) -> Vec<Record> {
        let mut bytes = 0;
        let first = usize::try_from(after.0).unwrap_or(usize::MAX);
        let following = self.records.iter().skip(first);
        let fitting = following.take_while(|record| {
            let fits = bytes < max_bytes;
            bytes += RECORD_OVERHEAD_BYTES + record.merge.len() + record.edits.len();
            fits
        });
        self.history(after).take(fitting.count()).collect()
    }

    /// Returns the records of the versions after the given one, in ascending order.
    pub fn history(&self, after: Version) -> impl Iterator<Item = Record> + '_ {
        (after.0.saturating_add(1)..=self.version().0)
            .map_while(|version| self.record(Version(version)))
    }

    /// Validates a patch against the version in force, for its proposal.
    pub fn validate(&self, patch: &Patch) -> Verdict {
        if patch.base != self.version() {
            return Verdict::Stale;
        }
        let mut problems = patch.check();
        if problems.is_empty() {
            problems = match patch.apply(&self.document) {
                Ok(document) => check_document(&document),
                Err(problem) => vec![problem],
            };
        }
        if problems.is_empty() {
            Verdict::Valid
        } else {
            Verdict::Invalid(truncate_problems(problems))
        }
    }

    /// Returns the answer that this patch got before, if it is still known, or
    /// [`Answer::Reused`] if its id belongs to a different patch.
    pub fn first_answer(&self, patch: &Patch) -> Option<Answer> {
        if let Some(version) = self.versions.get(&patch.id) {
            return self.answer_from_record(*version, patch);
        }
        let refusal = self.refusals.iter().find(|r| r.id == patch.id)?;
        if refusal.fingerprint == Digest(patch.fingerprint()) {
            Some(refusal.answer.clone())
        } else {
            Some(Answer::Reused)
        }
    }

    /// Applies a proposal from the replicated log and returns the answer.
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
                let answer = self.conflict_answer(patch.base);
                self.refuse(&patch, answer)
            }
        }
    }

    /// Replays every patch and checks the digest of each version.
    pub fn verify(&self) -> Result<()> {
        let mut document = Value::Object(Map::new());
        let mut digest = Digest::ORIGIN;
        for (record, number) in self.records.iter().zip(1..) {
            let version = Version(number);
            let patch = record.patch(version)?;
            let applied = patch.apply_to(&mut document);
            applied.map_err(|_| Error::Digest(version))?;
            digest = record.chained_digest(digest, &document);
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
        let previous_wall_ms = self.records.last().map_or(0, |last| last.wall_ms);
        if let Err(problem) = patch.apply_to(&mut self.document) {
            let problems = vec![problem];
            return self.refuse(patch, Answer::Invalid { problems });
        }
        let mut record = CompactRecord {
            id: patch.id,
            author: patch.author.as_str().into(),
            wall_ms: wall_ms.max(previous_wall_ms),
            merge: patch.merge.to_string().into(),
            edits: patch.edits_text().into(),
            digest: Digest::ORIGIN,
        };
        record.digest = record.chained_digest(self.digest(), &self.document);
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

    fn conflict_answer(&self, base: Version) -> Answer {
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

    /// The answer to a patch whose id is that of an accepted version.
    fn answer_from_record(&self, version: Version, patch: &Patch) -> Option<Answer> {
        let record = self.compact_record(version)?;
        let first = record.patch(version).ok()?;
        if first.fingerprint() != patch.fingerprint() {
            return Some(Answer::Reused);
        }
        Some(Answer::Accepted {
            version,
            digest: record.digest,
        })
    }

    fn compact_record(&self, version: Version) -> Option<&CompactRecord> {
        let index = usize::try_from(version.0.checked_sub(1)?).ok()?;
        self.records.get(index)
    }
}

impl CompactRecord {
    /// Returns the patch that became `version`.
    fn patch(&self, version: Version) -> Result<Patch> {
        let error = |error| Error::Patch(version, error);
        let edits = match self.edits.is_empty() {
            true => Vec::new(),
            false => serde_json::from_str(&self.edits).map_err(error)?,
        };
        Ok(Patch {
            id: self.id,
            base: Version(version.0 - 1),
            author: self.author.to_string(),
            merge: serde_json::from_str(&self.merge).map_err(error)?,
            edits,
        })
    }

    /// Returns the digest of this record, the resulting document, and the digest of
    /// the preceding version.
    fn chained_digest(&self, previous: Digest, document: &Value) -> Digest {
        let mut digest = previous
            .start_successor()
            .field(self.id.0.as_bytes())
            .field(self.author.as_bytes())
            .field(&self.wall_ms.to_be_bytes())
            .field(self.merge.as_bytes());
        // Versions without edits keep the digests that earlier releases gave them.
        if !self.edits.is_empty() {
            digest = digest.field(self.edits.as_bytes());
        }
        digest.field(document.to_string().as_bytes()).finish()
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

/// Limits the number of problems and the length of their texts, to bound the memory
/// that remembered refusals take.
fn truncate_problems(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.truncate(MAX_PROBLEMS);
    for problem in &mut problems {
        truncate_text(&mut problem.path);
        truncate_text(&mut problem.value);
        truncate_text(&mut problem.allowed);
    }
    problems
}

fn truncate_text(text: &mut String) {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text.truncate(end);
}
