//! The replicated state machine of the configuration and its history.
//!
//! A patch becomes the next version only if it names the version in force. The
//! proposer validates the resulting document and includes its [`Verdict`] in the
//! proposal, so that replicas of different releases, whose checks may differ,
//! reach the same state. A verdict holds only for the document that the proposer
//! validated, which is determined by the version that the patch names.
//!
//! A resent patch gets the same answer as the first time: forever if it was accepted (see
//! [`Segment`] for old ones), and while it is among the last [`REFUSALS_KEPT`] refusals if
//! it was refused. A patch whose refusal was dropped is processed again when it is resent.
//! If the refusal was a conflict with an accepted patch, the resent patch is refused
//! again, since its base is still outdated.

mod digest;
mod record;
mod segment;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::document::{Document, Problem, MAX_DOCUMENT_BYTES};
use crate::patch::{edit, Id, Patch};

pub use digest::Digest;
pub use record::Record;
pub use segment::{Sealed, Segment, MAX_RECENT_BYTES};

use record::CompactRecord;

/// Number of refused patches whose answers are remembered.
pub const REFUSALS_KEPT: usize = 256;

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
    /// The content of a segment is not what was sealed.
    #[error("configuration versions {first} to {last} don't match the checksum of their segment")]
    Checksum {
        /// First version of the segment.
        first: Version,
        /// Last version of the segment.
        last: Version,
    },
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

/// The accepted versions and the document in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ledger {
    document: Value,
    /// The records that were sealed, in ascending order.
    segments: Vec<Segment>,
    /// The records of the versions after those.
    records: Vec<CompactRecord>,
    /// Approximate size of `records`, in bytes.
    recent_bytes: usize,
    /// The version that each patch of `records` became.
    versions: BTreeMap<Id, Version>,
    refusals: VecDeque<Refusal>,
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
            segments: Vec::new(),
            records: Vec::new(),
            recent_bytes: 0,
            versions: BTreeMap::new(),
            refusals: VecDeque::new(),
        }
    }
}

impl Ledger {
    /// Returns the version in force.
    pub fn version(&self) -> Version {
        Version(self.sealed().0 + self.records.len() as u64)
    }

    /// Returns the digest of the version in force and all preceding ones.
    pub fn digest(&self) -> Digest {
        let last = self.records.last().map(|record| record.digest);
        last.unwrap_or_else(|| self.sealed_digest())
    }

    /// Returns the document in force. Absent fields have their defaults.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Returns the record of a version, or `None` for version 0, versions that were sealed
    /// and those that don't exist yet.
    pub fn record(&self, version: Version) -> Option<Record> {
        self.compact_record(version)?.record(version).ok()
    }

    /// Returns the records of the versions after the given one that are not sealed, in
    /// ascending order, until they have `max_bytes` together, but at least one if there is any.
    pub fn history_page(&self, after: Version, max_bytes: usize) -> Vec<Record> {
        let mut bytes = 0;
        let skipped = after.0.saturating_sub(self.sealed().0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let following = self.records.iter().skip(skipped);
        let fitting = following.take_while(|record| {
            let fits = bytes < max_bytes;
            bytes += record.size();
            fits
        });
        self.history(after).take(fitting.count()).collect()
    }

    /// Returns the records of the versions after the given one that are not sealed, in
    /// ascending order.
    pub fn history(&self, after: Version) -> impl Iterator<Item = Record> + '_ {
        let first = after.0.max(self.sealed().0).saturating_add(1);
        (first..=self.version().0).map_while(|version| self.record(Version(version)))
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
            return Some(self.record(*version)?.answer(patch));
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

    /// Replays every patch and checks the digest of each version, given the records of all
    /// versions that were sealed.
    pub fn verify(&self, sealed: &[Record]) -> Result<()> {
        let mut document = Value::Object(Map::new());
        let mut digest = Digest::ORIGIN;
        let sealed = sealed.iter().map(CompactRecord::from);
        let records: Vec<_> = sealed.chain(self.records.iter().cloned()).collect();
        for (record, number) in records.iter().zip(1..) {
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
            edits: edit::text(&patch.edits).into(),
            digest: Digest::ORIGIN,
        };
        record.digest = record.chained_digest(self.digest(), &self.document);
        let digest = record.digest;
        self.recent_bytes += record.size();
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
        let winner = self.record(next).map(Record::winner);
        Answer::Conflict {
            in_force: self.version(),
            winner,
        }
    }

    fn compact_record(&self, version: Version) -> Option<&CompactRecord> {
        let first = self.sealed().0 + 1;
        let index = usize::try_from(version.0.checked_sub(first)?).ok()?;
        self.records.get(index)
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
