//! A store in a data folder.
//!
//! All of a member's state is in one log file: a checkpoint (id, hard state,
//! snapshot and the entries after it), followed by a record for each write since
//! then. A new snapshot starts the next file, which is written under a temporary
//! name, synced and renamed, so that the folder holds a complete file at all times.
//! Appending a group of writes takes one sync. Starting a file copies the entries
//! after the snapshot, which are few.

mod frame;

use std::io;

use prost::Message;
use rand::Rng;

use super::{
    disk::{Disk, Folder},
    Error, Result, Store, StoredState, Write,
};
use crate::{
    entry::{Entry, HardState, Snapshot},
    id,
};
use frame::{Reader, Tail};

const FILE_PREFIX: &str = "log-";
const TEMPORARY_FILE: &str = "next.tmp";

/// The first record of a file: the state when the file was started.
#[derive(Clone, PartialEq, prost::Message)]
struct Checkpoint {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(message, required, tag = "2")]
    hard_state: HardState,
    #[prost(message, required, tag = "3")]
    snapshot: Snapshot,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<Entry>,
}

/// Each later record of a file: one write without a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
struct Record {
    #[prost(message, required, tag = "1")]
    hard_state: HardState,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
}

/// A store in one data folder.
#[derive(Debug)]
pub struct FileStore<D: Disk> {
    disk: D,
    file: D::File,
    name: String,
    /// Number of the file, part of its name.
    generation: u64,
    state: StoredState,
    /// Encoded records that are not appended to the file yet.
    pending: Vec<u8>,
    /// Length of the file, all of which is synced.
    synced_bytes: u64,
    /// Whether an operation failed, after which all others fail.
    failed: bool,
}

impl FileStore<Folder> {
    /// Opens the data folder at `path`, as [`FileStore::open`] does.
    pub fn open_path(path: impl Into<std::path::PathBuf>, rng: &mut impl Rng) -> Result<Self> {
        let path = path.into();
        let name = path.display().to_string();
        let folder = Folder::new(path).map_err(io_error("open", &name))?;
        Self::open(folder, rng)
    }
}

impl<D: Disk> FileStore<D> {
    /// Locks the folder and recovers its state, without an incomplete last record.
    ///
    /// In an empty folder it creates the state of a new member with a random id.
    pub fn open(mut disk: D, rng: &mut impl Rng) -> Result<Self> {
        disk.lock().map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => Error::Locked,
            _ => io_error("lock", "folder")(e),
        })?;
        let mut names = disk.list().map_err(io_error("list", "folder"))?;
        names.sort_by_key(|name| parse_generation(name));
        match names.iter().rev().find_map(|name| parse_generation(name)) {
            Some(newest) => Self::recover(disk, newest, &names),
            None => Self::create(disk, StoredState::empty(id::Member::random(rng)), 1),
        }
    }

    /// The state, including writes that are not synced yet.
    pub fn state(&self) -> &StoredState {
        &self.state
    }

    /// Returns the disk; drops the writes that are not synced.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn create(mut disk: D, state: StoredState, generation: u64) -> Result<Self> {
        let name = file_name(generation);
        let (file, synced_bytes) = write_checkpoint(&mut disk, &state, &name)?;
        Ok(Self {
            disk,
            file,
            name,
            generation,
            state,
            pending: Vec::new(),
            synced_bytes,
            failed: false,
        })
    }

    /// Reads the newest file, copies the state to a new one and removes the old ones.
    ///
    /// The copy is made even if the file is intact: after a failed sync its bytes
    /// may be in the page cache only, and another sync of the same file would not
    /// write them.
    fn recover(disk: D, newest: u64, names: &[String]) -> Result<Self> {
        let name = file_name(newest);
        let bytes = disk.read(&name).map_err(io_error("read", &name))?;
        let state = parse_file(&name, &bytes)?;
        let mut store = Self::create(disk, state, newest + 1)?;
        for old in names.iter().filter(|n| is_superseded(n, newest)) {
            store.disk.remove(old).map_err(io_error("remove", old))?;
        }
        Ok(store)
    }

    /// Starts the next file with the current state and removes the previous one.
    fn rotate(&mut self) -> Result<()> {
        let old = self.name.clone();
        self.generation += 1;
        self.name = file_name(self.generation);
        (self.file, self.synced_bytes) = write_checkpoint(&mut self.disk, &self.state, &self.name)?;
        self.pending.clear();
        self.disk.remove(&old).map_err(io_error("remove", &old))
    }

    /// Appends the pending records to the file and syncs it.
    fn append_pending(&mut self) -> Result<()> {
        let appended = self.disk.append(&mut self.file, &self.pending);
        appended.map_err(io_error("append to", &self.name))?;
        let synced = self.disk.sync(&mut self.file);
        synced.map_err(io_error("sync", &self.name))?;
        self.synced_bytes += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    fn check_usable(&self) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        Ok(())
    }
}

impl<D: Disk> Store for FileStore<D> {
    fn write(&mut self, write: &Write) -> Result<()> {
        self.check_usable()?;
        self.state.apply(write);
        if write.snapshot.is_some() {
            let rotated = self.rotate();
            self.failed = rotated.is_err();
            return rotated;
        }
        let record = Record {
            hard_state: write.hard_state,
            entries: write.entries.clone(),
        };
        frame::encode(
            &mut self.pending,
            &record.encode_to_vec(),
            self.synced_bytes,
        );
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        self.check_usable()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let appended = self.append_pending();
        self.failed = appended.is_err();
        appended
    }
}

/// Writes and syncs a new file with a checkpoint of `state`; returns the file and
/// its length.
fn write_checkpoint<D: Disk>(
    disk: &mut D,
    state: &StoredState,
    name: &str,
) -> Result<(D::File, u64)> {
    let checkpoint = Checkpoint {
        id: state.id.get(),
        hard_state: state.hard_state,
        snapshot: state.snapshot.clone(),
        entries: state.entries.clone(),
    };
    let mut bytes = Vec::new();
    frame::encode(&mut bytes, &checkpoint.encode_to_vec(), 0);
    let mut file = disk
        .create(TEMPORARY_FILE)
        .map_err(io_error("create", TEMPORARY_FILE))?;
    disk.append(&mut file, &bytes)
        .map_err(io_error("append to", TEMPORARY_FILE))?;
    disk.sync(&mut file)
        .map_err(io_error("sync", TEMPORARY_FILE))?;
    disk.rename(TEMPORARY_FILE, name)
        .map_err(io_error("rename", TEMPORARY_FILE))?;
    disk.sync_folder().map_err(io_error("sync", "folder"))?;
    Ok((file, bytes.len() as u64))
}

/// Parses a file's content and returns its state, without an incomplete last record.
fn parse_file(name: &str, bytes: &[u8]) -> Result<StoredState> {
    let damaged = |offset: usize, reason| Error::Damaged {
        name: name.to_owned(),
        offset: offset as u64,
        reason,
    };
    let mut reader = Reader::new(bytes);
    let mut state = reader
        .next()
        .and_then(decode_checkpoint)
        .ok_or_else(|| damaged(0, "the checkpoint is missing or invalid"))?;
    let mut offset = reader.offset();
    while let Some(payload) = reader.next() {
        let record =
            Record::decode(payload).map_err(|_| damaged(offset, "the record can't be decoded"))?;
        state.hard_state = record.hard_state;
        for entry in record.entries {
            if !state.accepts(&entry) {
                return Err(damaged(offset, "the entries leave a gap in the log"));
            }
            state.put_entry(entry);
        }
        offset = reader.offset();
    }
    match reader.tail() {
        Tail::Damaged(reason) => Err(damaged(offset, reason)),
        Tail::Clean | Tail::Torn => Ok(state),
    }
}

fn decode_checkpoint(payload: &[u8]) -> Option<StoredState> {
    let checkpoint = Checkpoint::decode(payload).ok()?;
    Some(StoredState {
        id: id::Member::new(checkpoint.id)?,
        hard_state: checkpoint.hard_state,
        snapshot: checkpoint.snapshot,
        entries: checkpoint.entries,
    })
}

fn file_name(generation: u64) -> String {
    format!("{FILE_PREFIX}{generation:08}")
}

/// The generation of a log file, or `None` if the name is not that of a log file.
fn parse_generation(name: &str) -> Option<u64> {
    name.strip_prefix(FILE_PREFIX)?.parse().ok()
}

/// Whether `name` is a log file that is superseded once a file after `newest` exists.
fn is_superseded(name: &str, newest: u64) -> bool {
    parse_generation(name).is_some_and(|g| g <= newest)
}

fn io_error(operation: &'static str, name: &str) -> impl FnOnce(io::Error) -> Error + use<> {
    let name = name.to_owned();
    move |source| Error::Io {
        operation,
        name,
        source,
    }
}
