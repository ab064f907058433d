//! Serialization of the ledger.
//!
//! A snapshot contains the document in force in addition to the patches, so that
//! restoring it doesn't replay the patches. Old records are not in it (see
//! [`Segment`](super::Segment)). Restoring checks only the last digest,
//! which covers the document; [`Ledger::verify`] checks the whole chain.

use std::borrow::Cow;

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

use super::{CompactRecord, Digest, Error, Ledger, Refusal, Result, Segment};
use crate::patch::Id;

#[derive(Deserialize, Serialize)]
struct Snapshot<'a> {
    document: Cow<'a, Value>,
    /// Absent in snapshots of earlier releases, and if there are none.
    #[serde(default, skip_serializing_if = "is_empty")]
    segments: Cow<'a, [Segment]>,
    #[serde(borrow)]
    records: Vec<SnapshotRecord<'a>>,
    refusals: Cow<'a, [Refusal]>,
}

#[derive(Deserialize, Serialize)]
struct SnapshotRecord<'a> {
    id: Id,
    author: Cow<'a, str>,
    wall_ms: u64,
    #[serde(borrow)]
    merge: Cow<'a, RawValue>,
    /// Absent in snapshots of earlier releases, and if there are none.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    edits: Option<Cow<'a, RawValue>>,
    digest: Digest,
}

fn is_empty(segments: &[Segment]) -> bool {
    segments.is_empty()
}

impl Ledger {
    /// Encodes the ledger. Equal ledgers have equal encodings.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let snapshot = Snapshot {
            document: Cow::Borrowed(&self.document),
            segments: Cow::Borrowed(&self.segments),
            records: self
                .records
                .iter()
                .zip(self.sealed().0 + 1..)
                .map(|(record, number)| record.to_snapshot(Version(number)))
                .collect::<Result<_>>()?,
            refusals: self.refusals.iter().cloned().collect(),
        };
        serde_json::to_vec(&snapshot).map_err(Error::Snapshot)
    }

    /// Decodes a ledger encoded by [`Ledger::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<Ledger> {
        let snapshot: Snapshot<'_> = serde_json::from_slice(bytes).map_err(Error::Snapshot)?;
        let records: Vec<CompactRecord> =
            snapshot.records.iter().map(CompactRecord::from).collect();
        let segments = snapshot.segments.into_owned();
        let sealed = segments.last().map_or(0, |last: &Segment| last.last.0);
        let versions = records
            .iter()
            .zip(sealed + 1..)
            .map(|(record, number)| (record.id, Version(number)))
            .collect();
        let ledger = Ledger {
            document: snapshot.document.into_owned(),
            segments,
            recent_bytes: records.iter().map(CompactRecord::size).sum(),
            records,
            versions,
            refusals: snapshot.refusals.into_owned().into(),
        };
        ledger.check_last_digest()?;
        Ok(ledger)
    }

    fn check_last_digest(&self) -> Result<()> {
        let Some((last, preceding)) = self.records.split_last() else {
            return Ok(());
        };
        let previous = preceding
            .last()
            .map_or_else(|| self.sealed_digest(), |record| record.digest);
        if last.chained_digest(previous, &self.document) == last.digest {
            Ok(())
        } else {
            Err(Error::Digest(self.version()))
        }
    }
}

impl CompactRecord {
    fn to_snapshot(&self, version: Version) -> Result<SnapshotRecord<'_>> {
        let raw = |text| serde_json::from_str(text).map_err(|error| Error::Patch(version, error));
        let merge: &RawValue = raw(&self.merge)?;
        let edits: Option<&RawValue> = match self.edits.is_empty() {
            true => None,
            false => Some(raw(&self.edits)?),
        };
        Ok(SnapshotRecord {
            id: self.id,
            author: Cow::Borrowed(&self.author),
            wall_ms: self.wall_ms,
            merge: Cow::Borrowed(merge),
            edits: edits.map(Cow::Borrowed),
            digest: self.digest,
        })
    }
}

impl From<&SnapshotRecord<'_>> for CompactRecord {
    fn from(record: &SnapshotRecord<'_>) -> CompactRecord {
        CompactRecord {
            id: record.id,
            author: record.author.as_ref().into(),
            wall_ms: record.wall_ms,
            merge: record.merge.get().into(),
            edits: record.edits.as_ref().map_or("", |edits| edits.get()).into(),
            digest: record.digest,
        }
    }
}
