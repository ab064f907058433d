//! Segments: old records that are kept outside of the replicated state.
//!
//! The state of a ledger is sent whole to an instance that has lost its disk, and is read at
//! each start, so it must not grow with the number of changes. Once the recent records take
//! [`MAX_RECENT_BYTES`], the older half of them becomes a segment. The ledger keeps a line for
//! each segment, with its checksum; whoever applies the log keeps the content.

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::record::{CompactRecord, Record};
use super::{Digest, Error, Ledger, Result};

/// Approximate size of the recent records from which on older ones are sealed, in bytes.
pub const MAX_RECENT_BYTES: usize = 512 * 1024;

/// What a ledger keeps of records that were sealed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Version of the first record.
    pub first: Version,
    /// Version of the last record.
    pub last: Version,
    /// Digest of the last version and all preceding ones.
    pub digest: Digest,
    /// SHA-256 of the content.
    pub checksum: Digest,
    /// Size of the content in bytes.
    pub bytes: u64,
}

/// A segment and its content, to be kept durably.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sealed {
    /// What the ledger keeps.
    pub segment: Segment,
    /// The records as JSON.
    pub content: Vec<u8>,
}

impl Segment {
    /// Checks that `content` is what was sealed.
    pub fn check(&self, content: &[u8]) -> Result<()> {
        if checksum(content) == self.checksum {
            return Ok(());
        }
        let (first, last) = (self.first, self.last);
        Err(Error::Checksum { first, last })
    }

    /// Checks the content and returns its records in ascending order.
    pub fn read(&self, content: &[u8]) -> Result<Vec<Record>> {
        self.check(content)?;
        serde_json::from_slice(content).map_err(Error::Snapshot)
    }
}

impl Ledger {
    /// Returns the segments in ascending order.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Returns the last version whose record was sealed, or 0.
    pub fn sealed(&self) -> Version {
        self.segments.last().map_or(Version(0), |last| last.last)
    }

    /// Returns the segment that has the record of a version.
    pub fn segment(&self, version: Version) -> Option<&Segment> {
        let index = self
            .segments
            .partition_point(|segment| segment.last < version);
        let segment = self.segments.get(index)?;
        (segment.first <= version).then_some(segment)
    }

    /// Seals the older half of the recent records if they take much room. To be called after
    /// each entry of the log on every replica, so that their states stay the same.
    pub fn seal(&mut self) -> Result<Option<Sealed>> {
        if self.recent_bytes <= MAX_RECENT_BYTES {
            return Ok(None);
        }
        // A ledger of an earlier release may have much more; it is sealed part by part.
        let excess = self.recent_bytes - MAX_RECENT_BYTES / 2;
        let limit = excess.min(MAX_RECENT_BYTES);
        let mut bytes = 0;
        let is_old = |record: &&CompactRecord| {
            let is_old = bytes < limit;
            bytes += record.size();
            is_old
        };
        let count = self.records.iter().take_while(is_old).count();
        // The last record is needed for what follows it.
        let count = count.min(self.records.len() - 1);
        if count == 0 {
            return Ok(None);
        }
        let first = self.sealed().0 + 1;
        let numbered = self.records[..count].iter().zip(first..);
        let records = numbered.map(|(record, number)| record.record(Version(number)));
        let records = records.collect::<Result<Vec<Record>>>()?;
        let content = serde_json::to_vec(&records).map_err(Error::Snapshot)?;
        let segment = Segment {
            first: Version(first),
            last: Version(first + count as u64 - 1),
            digest: self.records[count - 1].digest,
            checksum: checksum(&content),
            bytes: content.len() as u64,
        };
        for record in self.records.drain(..count) {
            self.recent_bytes -= record.size();
            self.versions.remove(&record.id);
        }
        self.segments.push(segment.clone());
        Ok(Some(Sealed { segment, content }))
    }

    /// Digest of the last version that was sealed.
    pub(super) fn sealed_digest(&self) -> Digest {
        let last = self.segments.last();
        last.map_or(Digest::ORIGIN, |last| last.digest)
    }
}

fn checksum(content: &[u8]) -> Digest {
    Digest(Sha256::digest(content).into())
}
