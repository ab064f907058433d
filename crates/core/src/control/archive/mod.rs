//! The old part of the configuration's history, in a file for each segment.
//!
//! Every instance writes a segment when it applies the entry after which its ledger seals it.
//! Until the files are synced the log keeps the entries that led to them. An instance that was
//! restored from a snapshot gets the segments from the others, beside all else that it does.

mod repair;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use gentian::config::ledger::{Record, Sealed, Segment};
use gentian::quorum::store::disk::{Disk, Folder};
use gentian::wire::id::Version;

use crate::clock;
use crate::panics::Mutex;

pub(super) use repair::repair;

const FOLDER: &str = "history";
/// Time between a failed write, as on a full disk, and the next attempt.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const TEMPORARY_FILE: &str = "next.tmp";

/// The segments in the data folder of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Archive(Arc<Mutex<Files>>);

#[derive(Debug)]
struct Files {
    folder: Folder,
    /// Size of each file, by the last version in it.
    sizes: BTreeMap<u64, u64>,
    /// Segments that could not be written yet.
    unsaved: Vec<Sealed>,
    /// Earliest time at which writing these is tried again.
    retry_at: Duration,
}

impl Archive {
    /// Opens the archive in the data folder `data`.
    pub(crate) fn open(data: &Path) -> io::Result<Archive> {
        let path = data.join(FOLDER);
        let folder = Folder::new(&path)?;
        let mut sizes = BTreeMap::new();
        for name in folder.list()? {
            if let Ok(last) = name.parse() {
                sizes.insert(last, std::fs::metadata(path.join(name))?.len());
            }
        }
        let files = Files {
            folder,
            sizes,
            unsaved: Vec::new(),
            retry_at: Duration::ZERO,
        };
        Ok(Archive(Arc::new(Mutex::new(files))))
    }

    /// Writes a segment. If that fails, [`is_saved`](Self::is_saved) tries again.
    pub(super) fn save(&self, sealed: Sealed) {
        let mut files = self.files();
        files.unsaved.push(sealed);
        files.write_unsaved();
    }

    /// Whether all segments are synced.
    pub(super) fn is_saved(&self) -> bool {
        let mut files = self.files();
        files.write_unsaved();
        files.unsaved.is_empty()
    }

    /// Writes a segment that another instance has sent.
    fn insert(&self, segment: &Segment, content: &[u8]) -> io::Result<()> {
        let checked = segment.check(content);
        checked.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        self.files().write(segment, content)
    }

    /// Returns the content of a segment, unless it is missing here.
    pub(super) fn content(&self, last: Version) -> io::Result<Option<Vec<u8>>> {
        let files = self.files();
        let mut unsaved = files.unsaved.iter();
        if let Some(sealed) = unsaved.find(|sealed| sealed.segment.last == last) {
            return Ok(Some(sealed.content.clone()));
        }
        match files.sizes.contains_key(&last.0) {
            true => files.folder.read(&file_name(last)).map(Some),
            false => Ok(None),
        }
    }

    /// Returns the records of a segment, unless it is missing or damaged here; then it is
    /// fetched anew.
    pub(super) fn records(&self, segment: &Segment) -> Option<Vec<Record>> {
        let last = segment.last;
        let content = match self.content(last) {
            Ok(content) => content?,
            Err(error) => {
                self.forget(last, &error);
                return None;
            }
        };
        let records = segment.read(&content);
        records.inspect_err(|error| self.forget(last, error)).ok()
    }

    /// Counts a segment as missing, since its file can't be used.
    fn forget(&self, last: Version, error: &dyn std::error::Error) {
        log::error!("history up to version {last} is fetched anew: {error}");
        self.files().sizes.remove(&last.0);
    }

    /// Returns the first of the segments that is missing here.
    fn missing(&self, segments: &[Segment]) -> Option<Segment> {
        let files = self.files();
        let is_here = |segment: &Segment| {
            let mut unsaved = files.unsaved.iter();
            files.sizes.get(&segment.last.0) == Some(&segment.bytes)
                || unsaved.any(|sealed| sealed.segment == *segment)
        };
        segments.iter().find(|segment| !is_here(segment)).cloned()
    }

    /// Size of all files in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.files().sizes.values().sum()
    }

    fn files(&self) -> MutexGuard<'_, Files> {
        self.0.lock()
    }
}

impl Files {
    fn write_unsaved(&mut self) {
        if clock::now() < self.retry_at {
            return;
        }
        while let Some(sealed) = self.unsaved.pop() {
            if let Err(error) = self.write(&sealed.segment, &sealed.content) {
                let last = sealed.segment.last;
                log::error!(
                    "history up to version {last} can't be written, trying again in \
                     {RETRY_DELAY:?}: {error}"
                );
                self.unsaved.push(sealed);
                self.retry_at = clock::now() + RETRY_DELAY;
                return;
            }
        }
    }

    fn write(&mut self, segment: &Segment, content: &[u8]) -> io::Result<()> {
        let mut file = self.folder.create(TEMPORARY_FILE)?;
        self.folder.append(&mut file, content)?;
        self.folder.sync(&mut file)?;
        self.folder
            .rename(TEMPORARY_FILE, &file_name(segment.last))?;
        self.folder.sync_folder()?;
        self.sizes.insert(segment.last.0, segment.bytes);
        Ok(())
    }
}

fn file_name(last: Version) -> String {
    format!("{:012}", last.0)
}
