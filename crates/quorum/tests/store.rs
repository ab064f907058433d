//! The file store at every point where it may stop, and on damaged disks.

#[path = "common/fake.rs"]
mod fake;

use bytes::Bytes;
use fake::Fake;
use gentian_quorum::{
    store::{Error, FileStore, StoredState, Write},
    Body, Entry, HardState, Snapshot, Store,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn open(disk: &Fake) -> Result<FileStore<Fake>, Error> {
    FileStore::open(disk.clone(), &mut rng(7))
}

/// A random write that is valid after `state`.
fn write(state: &StoredState, rng: &mut Pcg64Mcg) -> Write {
    let last = state
        .entries
        .last()
        .map_or(state.snapshot.index, |e| e.index);
    let from = rng.random_range(state.snapshot.index + 1..=last + 1);
    let term = state.hard_state.term + 1;
    let entries = (from..from + rng.random_range(0..4))
        .map(|index| entry(index, term, rng))
        .collect();
    let hard_state = HardState {
        term,
        ..state.hard_state
    };
    let snapshot = rng.random_bool(0.2).then(|| Snapshot {
        index: last,
        term: state.entries.last().map_or(state.snapshot.term, |e| e.term),
        data: Bytes::from_static(b"state"),
        ..Snapshot::default()
    });
    let entries = if snapshot.is_some() {
        Vec::new()
    } else {
        entries
    };
    Write {
        number: 1,
        hard_state,
        snapshot,
        entries,
    }
}

fn entry(index: u64, term: u64, rng: &mut Pcg64Mcg) -> Entry {
    let len = rng.random_range(0..1500);
    let payload: Vec<u8> = (0..len).map(|_| rng.random_range(1..=255)).collect();
    Entry {
        index,
        term,
        body: Some(Body::Data(Bytes::from(payload))),
    }
}

/// Writes groups until the disk stops; returns the synced state and those that may have survived.
fn fill(store: &mut FileStore<Fake>, groups: usize, rng: &mut Pcg64Mcg) -> Vec<StoredState> {
    let mut model = store.state().clone();
    let mut possible = vec![model.clone()];
    for _ in 0..groups {
        for _ in 0..rng.random_range(1..4) {
            let write = write(&model, rng);
            model.apply(&write);
            possible.push(model.clone());
            if store.write(&write).is_err() {
                return possible;
            }
        }
        if store.sync().is_err() {
            return possible;
        }
        possible = vec![model.clone()];
    }
    possible
}

#[test]
fn power_is_lost_at_every_operation() {
    for seed in 0..40 {
        for step in 1..40 {
            let disk = Fake::default();
            let mut store = open(&disk).unwrap();
            disk.stop_at(step);
            let possible = fill(&mut store, 8, &mut rng(seed));
            let disk = disk.crash(seed + step as u64);
            let recovered = open(&disk).unwrap().state().clone();
            assert!(
                possible.contains(&recovered),
                "seed {seed}, step {step}: {recovered:?}"
            );
            let again = open(&disk.crash(0)).unwrap();
            assert_eq!(again.state(), &recovered, "the repair itself isn't durable");
        }
    }
}

#[test]
fn power_is_lost_during_the_repair() {
    for step in 1..8 {
        let disk = Fake::default();
        let mut store = open(&disk).unwrap();
        let possible = fill(&mut store, 5, &mut rng(1));
        let disk = disk.crash(1);
        disk.stop_at(step);
        let _ = open(&disk);
        let recovered = open(&disk.crash(step as u64)).unwrap();
        assert!(possible.contains(recovered.state()));
    }
}

#[test]
#[should_panic(expected = "seed")]
fn a_disk_that_lies_about_its_syncs_is_found() {
    for seed in 0..40 {
        let disk = Fake::default();
        let mut store = open(&disk).unwrap();
        disk.lie();
        let possible = fill(&mut store, 8, &mut rng(seed));
        if let Ok(recovered) = open(&disk.crash(seed)) {
            assert!(possible.contains(recovered.state()), "seed {seed}");
        }
    }
}

#[test]
fn every_flipped_bit_is_refused_with_its_place() {
    let disk = Fake::default();
    let mut store = open(&disk).unwrap();
    fill(&mut store, 6, &mut rng(3));
    let name = disk.log();
    let len = disk.edit(&name, |bytes| bytes.len());
    for at in 0..len {
        let flip = |bytes: &mut Vec<u8>| bytes[at] ^= 1 << (at % 8);
        disk.exit();
        disk.edit(&name, flip);
        match open(&disk) {
            Err(Error::Damaged {
                name: file, offset, ..
            }) => {
                assert_eq!(file, name);
                assert!(offset <= at as u64);
            }
            other => panic!("byte {at}: {:?}", other.map(|s| s.state().clone())),
        }
        disk.edit(&name, flip);
    }
}

/// A write of more than 2000 bytes.
fn large(state: &StoredState, with_snapshot: bool) -> Write {
    let last = state.entries.last().unwrap();
    let data = Bytes::from(vec![1; 2000]);
    let body = Some(Body::Data(data.clone()));
    let entry = Entry {
        index: last.index + 1,
        term: last.term,
        body,
    };
    let snapshot = Snapshot {
        index: last.index,
        term: last.term,
        data,
        ..Snapshot::default()
    };
    Write {
        number: 1,
        hard_state: state.hard_state,
        snapshot: with_snapshot.then_some(snapshot),
        entries: if with_snapshot {
            Vec::new()
        } else {
            vec![entry]
        },
    }
}

#[test]
fn a_full_disk_is_an_error_and_loses_nothing_synced() {
    for (room, with_snapshot) in [
        (0, false),
        (1, false),
        (30, false),
        (600, false),
        (0, true),
        (600, true),
    ] {
        let disk = Fake::default();
        let mut store = open(&disk).unwrap();
        fill(&mut store, 4, &mut rng(4));
        let synced = store.state().clone();
        disk.room(Some(room));
        let refused = store
            .write(&large(&synced, with_snapshot))
            .and_then(|()| store.sync())
            .unwrap_err();
        assert!(refused.is_full(), "{refused}");
        assert!(matches!(store.sync(), Err(Error::Failed)));
        disk.exit();
        assert_eq!(open(&disk).unwrap().state(), &synced);
    }
}

#[test]
fn a_folder_serves_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let first = FileStore::open_path(folder.path(), &mut rng(1)).unwrap();
    let second = FileStore::open_path(folder.path(), &mut rng(2));
    assert!(matches!(second, Err(Error::Locked)));
    let id = first.state().id;
    drop(first);
    assert_eq!(
        FileStore::open_path(folder.path(), &mut rng(3))
            .unwrap()
            .state()
            .id,
        id
    );
}

#[test]
fn a_real_folder_keeps_what_was_synced() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = FileStore::open_path(folder.path(), &mut rng(1)).unwrap();
    let mut rng = rng(5);
    for _ in 0..50 {
        let write = write(store.state(), &mut rng);
        store.write(&write).unwrap();
        store.sync().unwrap();
    }
    let state = store.state().clone();
    drop(store);
    assert_eq!(
        FileStore::open_path(folder.path(), &mut rng)
            .unwrap()
            .state(),
        &state
    );
}

#[test]
fn a_lost_sector_below_the_last_sync_is_refused() {
    let disk = Fake::default();
    let mut store = open(&disk).unwrap();
    let mut state = first(&mut store);
    for _ in 0..2 {
        store.write(&large(&state, false)).unwrap();
        store.sync().unwrap();
        state = store.state().clone();
    }
    let name = disk.log();
    disk.edit(&name, |bytes| bytes[512..1024].fill(0));
    disk.exit();
    assert!(matches!(open(&disk), Err(Error::Damaged { .. })));
}

/// Appends the first entry and returns the state with it.
fn first(store: &mut FileStore<Fake>) -> StoredState {
    let write = Write {
        number: 1,
        hard_state: HardState::default(),
        snapshot: None,
        entries: vec![entry(1, 1, &mut rng(1))],
    };
    store.write(&write).unwrap();
    store.sync().unwrap();
    store.state().clone()
}
