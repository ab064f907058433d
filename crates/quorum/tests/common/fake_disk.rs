//! A disk in memory that can lose what was not synced, run full, and fail.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
};

use gentian_quorum::store::disk::Disk;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECTOR_BYTES: usize = 512;

/// Content of a file.
#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    /// Number of bytes that are synced.
    synced: usize,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    /// Index into `inodes` of each file.
    names: BTreeMap<String, usize>,
    /// `names` at the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    /// Names that were created, renamed or removed since then.
    pending_names: BTreeSet<String>,
    locked: bool,
    /// Number of operations that changed the disk.
    operations: usize,
    fail_from: Option<usize>,
    free_bytes: Option<usize>,
    ignore_syncs: bool,
}

/// A handle to the disk; clones share it, as two processes would.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk(Rc<RefCell<State>>);

impl FakeDisk {
    /// Fails the `step`th operation from now that changes the disk, and all later ones.
    pub(crate) fn fail_from(&self, step: usize) {
        let mut state = self.0.borrow_mut();
        state.fail_from = Some(state.operations + step);
    }

    /// Sets how many more bytes fit on the disk; `None` for no limit.
    pub(crate) fn limit_room(&self, bytes: Option<usize>) {
        self.0.borrow_mut().free_bytes = bytes;
    }

    /// Makes syncs succeed without any effect.
    pub(crate) fn ignore_syncs(&self) {
        self.0.borrow_mut().ignore_syncs = true;
    }

    /// The disk after a power failure: unsynced sectors and names survive at random.
    pub(crate) fn crash(&self, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let state = self.0.borrow();
        let inodes = state
            .inodes
            .iter()
            .map(|i| after_power_loss(i, &mut rng))
            .collect();
        let mut names = state.synced_names.clone();
        for name in &state.pending_names {
            if rng.random() {
                match state.names.get(name) {
                    Some(inode) => names.insert(name.clone(), *inode),
                    None => names.remove(name),
                };
            }
        }
        let synced_names = names.clone();
        Self(Rc::new(RefCell::new(State {
            inodes,
            names,
            synced_names,
            ..State::default()
        })))
    }

    /// Ends the process that uses the disk: releases the lock and ends injected failures.
    pub(crate) fn exit(&self) {
        let mut state = self.0.borrow_mut();
        state.locked = false;
        state.free_bytes = None;
        state.fail_from = None;
    }

    /// Name of the newest log file.
    pub(crate) fn newest_log_file(&self) -> String {
        let state = self.0.borrow();
        state
            .names
            .keys()
            .rfind(|n| n.starts_with("log-"))
            .unwrap()
            .clone()
    }

    /// Reads or changes the bytes of a file in place.
    pub(crate) fn edit<T>(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let mut state = self.0.borrow_mut();
        let at = state.names[name];
        edit(&mut state.inodes[at].bytes)
    }

    fn count_operation(&self) -> io::Result<std::cell::RefMut<'_, State>> {
        let mut state = self.0.borrow_mut();
        state.operations += 1;
        if state.fail_from.is_some_and(|at| state.operations >= at) {
            return Err(io::Error::other("stopped"));
        }
        Ok(state)
    }
}

/// Keeps a random part of the unsynced bytes, with some of their sectors zeroed.
fn after_power_loss(inode: &Inode, rng: &mut Pcg64Mcg) -> Inode {
    let mut bytes = inode.bytes.clone();
    bytes.truncate(rng.random_range(inode.synced..=inode.bytes.len()));
    let mut start = inode.synced;
    while start < bytes.len() {
        let end = ((start / SECTOR_BYTES + 1) * SECTOR_BYTES).min(bytes.len());
        if rng.random_bool(0.3) {
            bytes[start..end].fill(0);
        }
        start = end;
    }
    let synced = bytes.len();
    Inode { bytes, synced }
}

impl Disk for FakeDisk {
    type File = usize;

    fn lock(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.locked {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        state.locked = true;
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        Ok(state.inodes[state.names[name]].bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.count_operation()?;
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(name.to_owned(), inode);
        state.pending_names.insert(name.to_owned());
        Ok(inode)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.count_operation()?;
        let room = state.free_bytes.unwrap_or(bytes.len()).min(bytes.len());
        state.inodes[*file].bytes.extend_from_slice(&bytes[..room]);
        if room < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, file: &mut usize) -> io::Result<()> {
        let mut state = self.count_operation()?;
        if !state.ignore_syncs {
            let inode = &mut state.inodes[*file];
            inode.synced = inode.bytes.len();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.count_operation()?;
        let inode = state.names.remove(from).unwrap();
        state.names.insert(to.to_owned(), inode);
        state.pending_names.insert(from.to_owned());
        state.pending_names.insert(to.to_owned());
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.count_operation()?;
        state.names.remove(name);
        state.pending_names.insert(name.to_owned());
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.count_operation()?;
        state.synced_names = state.names.clone();
        state.pending_names.clear();
        Ok(())
    }
}
