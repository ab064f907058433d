//! Records of accepted versions.

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Answer, Digest, Error, Result, Winner};
use crate::patch::{edit, Edit, Id, Patch};

/// Estimated size of a record without its patch, in bytes.
const OVERHEAD_BYTES: usize = 256;

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

impl Record {
    /// Returns the answer to a patch with the id of this version.
    pub fn answer(&self, patch: &Patch) -> Answer {
        let first = Patch {
            id: self.id,
            base: Version(self.version.0 - 1),
            author: self.author.clone(),
            merge: self.merge.clone(),
            edits: self.edits.clone(),
        };
        if first.fingerprint() != patch.fingerprint() {
            return Answer::Reused;
        }
        Answer::Accepted {
            version: self.version,
            digest: self.digest,
        }
    }

    /// Returns what a refused patch on top of the preceding version is told.
    pub fn winner(self) -> Winner {
        Winner {
            version: self.version,
            id: self.id,
            author: self.author,
        }
    }
}

/// A [`Record`] in compact form for storage in memory: the patch as text, without
/// spare capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CompactRecord {
    pub(super) id: Id,
    pub(super) author: Box<str>,
    pub(super) wall_ms: u64,
    pub(super) merge: Box<str>,
    /// The edits as JSON; empty if there are none.
    pub(super) edits: Box<str>,
    pub(super) digest: Digest,
}

impl CompactRecord {
    /// Returns the record as reported, or an error if its patch can't be read.
    pub(super) fn record(&self, version: Version) -> Result<Record> {
        let patch = self.patch(version)?;
        Ok(Record {
            version,
            id: patch.id,
            author: patch.author,
            wall_ms: self.wall_ms,
            merge: patch.merge,
            edits: patch.edits,
            digest: self.digest,
        })
    }

    /// Approximate size of the record, in bytes.
    pub(super) fn size(&self) -> usize {
        OVERHEAD_BYTES + self.merge.len() + self.edits.len()
    }

    /// Returns the patch that became `version`.
    pub(super) fn patch(&self, version: Version) -> Result<Patch> {
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
    pub(super) fn chained_digest(&self, previous: Digest, document: &Value) -> Digest {
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

impl From<&Record> for CompactRecord {
    fn from(record: &Record) -> CompactRecord {
        CompactRecord {
            id: record.id,
            author: record.author.as_str().into(),
            wall_ms: record.wall_ms,
            merge: record.merge.to_string().into(),
            edits: edit::text(&record.edits).into(),
            digest: record.digest,
        }
    }
}
