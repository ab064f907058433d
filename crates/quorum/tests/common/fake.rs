//! A disk in memory that loses what was not synced.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
};

use gentian_quorum::store::disk::Disk;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECTOR: usize = 512;

#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    pending_names: BTreeSet<String>,
    locked: bool,
    steps: usize,
    stop_at: Option<usize>,
    room: Option<usize>,
    lying: bool,
}

/// Clones share the disk, as two processes would.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake(Rc<RefCell<State>>);

impl Fake {
    /// Stops at the given operation that changes the disk, and at all later ones.
    pub(crate) fn stop_at(&self, step: usize) {
        let mut state = self.0.borrow_mut();
        state.stop_at = Some(state.steps + step);
    }

    /// Has room for that many bytes more.
    pub(crate) fn room(&self, bytes: Option<usize>) {
        self.0.borrow_mut().room = bytes;
    }

    /// Calls a sync done without doing it.
    pub(crate) fn lie(&self) {
        self.0.borrow_mut().lying = true;
    }

    /// Loses power: unsynced sectors and renames survive or not, by chance.
    pub(crate) fn crash(&self, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let state = self.0.borrow();
        let inodes = state.inodes.iter().map(|i| survivor(i, &mut rng)).collect();
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

    /// Ends the process but not the machine: only the lock is gone.
    pub(crate) fn exit(&self) {
        let mut state = self.0.borrow_mut();
        state.locked = false;
        state.room = None;
        state.stop_at = None;
    }

    /// The name of the newest log file.
    pub(crate) fn log(&self) -> String {
        let state = self.0.borrow();
        state
            .names
            .keys()
            .rfind(|n| n.starts_with("log-"))
            .unwrap()
            .clone()
    }

    /// Changes the bytes of a file in place.
    pub(crate) fn edit<T>(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let mut state = self.0.borrow_mut();
        let at = state.names[name];
        edit(&mut state.inodes[at].bytes)
    }

    fn step(&self) -> io::Result<std::cell::RefMut<'_, State>> {
        let mut state = self.0.borrow_mut();
        state.steps += 1;
        if state.stop_at.is_some_and(|at| state.steps >= at) {
            return Err(io::Error::other("stopped"));
        }
        Ok(state)
    }
}

fn survivor(inode: &Inode, rng: &mut Pcg64Mcg) -> Inode {
    let mut bytes = inode.bytes.clone();
    bytes.truncate(rng.random_range(inode.synced..=inode.bytes.len()));
    let mut start = inode.synced;
    while start < bytes.len() {
        let end = ((start / SECTOR + 1) * SECTOR).min(bytes.len());
        if rng.random_bool(0.3) {
            bytes[start..end].fill(0);
        }
        start = end;
    }
    let synced = bytes.len();
    Inode { bytes, synced }
}

impl Disk for Fake {
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
        let mut state = self.step()?;
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(name.to_owned(), inode);
        state.pending_names.insert(name.to_owned());
        Ok(inode)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.step()?;
        let room = state.room.unwrap_or(bytes.len()).min(bytes.len());
        state.inodes[*file].bytes.extend_from_slice(&bytes[..room]);
        if room < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, file: &mut usize) -> io::Result<()> {
        let mut state = self.step()?;
        if !state.lying {
            let inode = &mut state.inodes[*file];
            inode.synced = inode.bytes.len();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.step()?;
        let inode = state.names.remove(from).unwrap();
        state.names.insert(to.to_owned(), inode);
        state.pending_names.insert(from.to_owned());
        state.pending_names.insert(to.to_owned());
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.step()?;
        state.names.remove(name);
        state.pending_names.insert(name.to_owned());
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.step()?;
        state.synced_names = state.names.clone();
        state.pending_names.clear();
        Ok(())
    }
}
