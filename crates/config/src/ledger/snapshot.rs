//! The ledger as bytes.
//!
//! A snapshot holds the document in force beside the patches, so that a restart
//! replays none of them. The last digest covers the document and is compared;
//! [`Ledger::verify`] replays the whole chain where that is asked for.

use std::borrow::Cow;

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

use super::{Compact, Digest, Error, Ledger, Refusal, Result};
use crate::patch::Id;

#[derive(Deserialize, Serialize)]
struct Snapshot<'a> {
    document: Cow<'a, Value>,
    #[serde(borrow)]
    records: Vec<Entry<'a>>,
    refusals: Cow<'a, [Refusal]>,
}

#[derive(Deserialize, Serialize)]
struct Entry<'a> {
    id: Id,
    author: Cow<'a, str>,
    wall_ms: u64,
    #[serde(borrow)]
    merge: Cow<'a, RawValue>,
    digest: Digest,
}

impl Ledger {
    /// The whole state as bytes; equal states give equal bytes.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let snapshot = Snapshot {
            document: Cow::Borrowed(&self.document),
            records: self
                .records
                .iter()
                .zip(1..)
                .map(|(record, number)| record.entry(Version(number)))
                .collect::<Result<_>>()?,
            refusals: self.refusals.iter().cloned().collect(),
        };
        serde_json::to_vec(&snapshot).map_err(Error::Snapshot)
    }

    /// Rebuilds a ledger from [`Ledger::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<Ledger> {
        let snapshot: Snapshot<'_> = serde_json::from_slice(bytes).map_err(Error::Snapshot)?;
        let records: Vec<Compact> = snapshot.records.iter().map(Compact::from).collect();
        let versions = records
            .iter()
            .zip(1..)
            .map(|(record, number)| (record.id, Version(number)))
            .collect();
        let ledger = Ledger {
            document: snapshot.document.into_owned(),
            records,
            versions,
            refusals: snapshot.refusals.into_owned().into(),
        };
        ledger.check_last()?;
        Ok(ledger)
    }

    fn check_last(&self) -> Result<()> {
        let Some((last, before)) = self.records.split_last() else {
            return Ok(());
        };
        let before = before.last().map_or(Digest::ORIGIN, |record| record.digest);
        if last.chain(before, &self.document) == last.digest {
            Ok(())
        } else {
            Err(Error::Digest(self.version()))
        }
    }
}

impl Compact {
    fn entry(&self, version: Version) -> Result<Entry<'_>> {
        let merge: &RawValue =
            serde_json::from_str(&self.merge).map_err(|error| Error::Patch(version, error))?;
        Ok(Entry {
            id: self.id,
            author: Cow::Borrowed(&self.author),
            wall_ms: self.wall_ms,
            merge: Cow::Borrowed(merge),
            digest: self.digest,
        })
    }
}

impl From<&Entry<'_>> for Compact {
    fn from(entry: &Entry<'_>) -> Compact {
        Compact {
            id: entry.id,
            author: entry.author.as_ref().into(),
            wall_ms: entry.wall_ms,
            merge: entry.merge.get().into(),
            digest: entry.digest,
        }
    }
}
