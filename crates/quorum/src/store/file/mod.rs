//! A store in one data folder.
//!
//! All of a member's state is in one log file: a checkpoint (id, hard state,
//! snapshot) and the writes after it. A new snapshot starts the next file,
//! which is written under a temporary name, synced, and renamed, so that the
//! folder holds a whole one at every instant. Appending needs one sync for a
//! group of writes; starting a file copies the few entries after the snapshot.

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

const PREFIX: &str = "log-";
const TEMPORARY: &str = "next.tmp";

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

#[derive(Clone, PartialEq, prost::Message)]
struct Record {
    #[prost(message, required, tag = "1")]
    hard_state: HardState,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
}

/// A store in one folder of a disk.
#[derive(Debug)]
pub struct FileStore<D: Disk> {
    disk: D,
    file: D::File,
    name: String,
    generation: u64,
    state: StoredState,
    pending: Vec<u8>,
    synced: u64,
    failed: bool,
}

impl FileStore<Folder> {
    /// Opens the data folder at `path`, as [`FileStore::open`] does.
    pub fn open_path(path: impl Into<std::path::PathBuf>, rng: &mut impl Rng) -> Result<Self> {
        let path = path.into();
        let name = path.display().to_string();
        let folder = Folder::new(path).map_err(failed("open", &name))?;
        Self::open(folder, rng)
    }
}

impl<D: Disk> FileStore<D> {
    /// Locks and opens a folder, and repairs a torn tail.
    ///
    /// An empty folder becomes a new member whose id is drawn from `rng`.
    pub fn open(mut disk: D, rng: &mut impl Rng) -> Result<Self> {
        disk.lock().map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => Error::Locked,
            _ => failed("lock", "folder")(e),
        })?;
        let mut names = disk.list().map_err(failed("list", "folder"))?;
        names.sort_by_key(|name| generation(name));
        match names.iter().rev().find_map(|name| generation(name)) {
            Some(newest) => Self::recover(disk, newest, &names),
            None => Self::create(disk, StoredState::empty(id::Member::random(rng)), 1),
        }
    }

    /// What the store held when it was opened and all that was written since.
    pub fn state(&self) -> &StoredState {
        &self.state
    }

    /// Gives the disk back, dropping what was not synced.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn create(mut disk: D, state: StoredState, generation: u64) -> Result<Self> {
        let name = file_name(generation);
        let (file, synced) = start(&mut disk, &state, &name)?;
        Ok(Self {
            disk,
            file,
            name,
            generation,
            state,
            pending: Vec::new(),
            synced,
            failed: false,
        })
    }

    /// Copies the state to a new file even if nothing is torn: bytes whose sync
    /// failed may be in the system's cache only, and a second sync of the same
    /// file would not write them.
    fn recover(disk: D, newest: u64, names: &[String]) -> Result<Self> {
        let name = file_name(newest);
        let bytes = disk.read(&name).map_err(failed("read", &name))?;
        let state = parse(&name, &bytes)?;
        let mut store = Self::create(disk, state, newest + 1)?;
        for old in names.iter().filter(|n| is_leftover(n, newest)) {
            store.disk.remove(old).map_err(failed("remove", old))?;
        }
        Ok(store)
    }

    /// Starts the next file and drops the last one.
    fn rotate(&mut self) -> Result<()> {
        let old = self.name.clone();
        self.generation += 1;
        self.name = file_name(self.generation);
        (self.file, self.synced) = start(&mut self.disk, &self.state, &self.name)?;
        self.pending.clear();
        self.disk.remove(&old).map_err(failed("remove", &old))
    }

    fn append_pending(&mut self) -> Result<()> {
        let appended = self.disk.append(&mut self.file, &self.pending);
        appended.map_err(failed("append to", &self.name))?;
        let synced = self.disk.sync(&mut self.file);
        synced.map_err(failed("sync", &self.name))?;
        self.synced += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    fn check(&self) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        Ok(())
    }
}

impl<D: Disk> Store for FileStore<D> {
    fn write(&mut self, write: &Write) -> Result<()> {
        self.check()?;
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
        frame::encode(&mut self.pending, &record.encode_to_vec(), self.synced);
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        self.check()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let appended = self.append_pending();
        self.failed = appended.is_err();
        appended
    }
}

/// Writes a whole file with the state as its checkpoint and returns its length.
fn start<D: Disk>(disk: &mut D, state: &StoredState, name: &str) -> Result<(D::File, u64)> {
    let checkpoint = Checkpoint {
        id: state.id.get(),
        hard_state: state.hard_state,
        snapshot: state.snapshot.clone(),
        entries: state.entries.clone(),
    };
    let mut bytes = Vec::new();
    frame::encode(&mut bytes, &checkpoint.encode_to_vec(), 0);
    let mut file = disk
        .create(TEMPORARY)
        .map_err(failed("create", TEMPORARY))?;
    disk.append(&mut file, &bytes)
        .map_err(failed("append to", TEMPORARY))?;
    disk.sync(&mut file).map_err(failed("sync", TEMPORARY))?;
    disk.rename(TEMPORARY, name)
        .map_err(failed("rename", TEMPORARY))?;
    disk.sync_folder().map_err(failed("sync", "folder"))?;
    Ok((file, bytes.len() as u64))
}

/// Reads a file's state up to a torn tail.
fn parse(name: &str, bytes: &[u8]) -> Result<StoredState> {
    let damaged = |offset: usize, reason| Error::Damaged {
        name: name.to_owned(),
        offset: offset as u64,
        reason,
    };
    let mut reader = Reader::new(bytes);
    let mut state = reader
        .next()
        .and_then(first_state)
        .ok_or_else(|| damaged(0, "the checkpoint doesn't match its checksum"))?;
    let mut offset = reader.offset();
    while let Some(payload) = reader.next() {
        let record =
            Record::decode(payload).map_err(|_| damaged(offset, "the record doesn't decode"))?;
        state.hard_state = record.hard_state;
        for entry in record.entries {
            if !state.takes(&entry) {
                return Err(damaged(offset, "the entries leave a gap"));
            }
            state.put(entry);
        }
        offset = reader.offset();
    }
    match reader.tail() {
        Tail::Damaged(reason) => Err(damaged(offset, reason)),
        Tail::Clean | Tail::Torn => Ok(state),
    }
}

fn first_state(payload: &[u8]) -> Option<StoredState> {
    let checkpoint = Checkpoint::decode(payload).ok()?;
    Some(StoredState {
        id: id::Member::new(checkpoint.id)?,
        hard_state: checkpoint.hard_state,
        snapshot: checkpoint.snapshot,
        entries: checkpoint.entries,
    })
}

fn file_name(generation: u64) -> String {
    format!("{PREFIX}{generation:08}")
}

fn generation(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

fn is_leftover(name: &str, newest: u64) -> bool {
    generation(name).is_some_and(|g| g <= newest)
}

fn failed(operation: &'static str, name: &str) -> impl FnOnce(io::Error) -> Error + use<> {
    let name = name.to_owned();
    move |source| Error::Io {
        operation,
        name,
        source,
    }
}
