//! The file store when it is interrupted at any operation, and on full and damaged
//! disks.

#[path = "common/fake_disk.rs"]
mod fake_disk;

use bytes::Bytes;
use fake_disk::FakeDisk;
use gentian_quorum::{
    store::{Error, FileStore, StoredState, Write},
    Body, Entry, HardState, Snapshot, Store,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn open(disk: &FakeDisk) -> Result<FileStore<FakeDisk>, Error> {
    FileStore::open(disk.clone(), &mut rng(7))
}

/// A random write that is valid after `state`.
fn random_write(state: &StoredState, rng: &mut Pcg64Mcg) -> Write {
    let last = state
        .entries
        .last()
        .map_or(state.snapshot.index, |e| e.index);
    let from = rng.random_range(state.snapshot.index + 1..=last + 1);
    let term = state.hard_state.term + 1;
    let entries = (from..from + rng.random_range(0..4))
        .map(|index| random_entry(index, term, rng))
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

fn random_entry(index: u64, term: u64, rng: &mut Pcg64Mcg) -> Entry {
    let len = rng.random_range(0..1500);
    let payload: Vec<u8> = (0..len).map(|_| rng.random_range(1..=255)).collect();
    Entry {
        index,
        term,
        body: Some(Body::Data(Bytes::from(payload))),
    }
}

/// Writes and syncs groups of random writes until the disk fails. Returns the states
/// that may be recovered: the last synced one and those of each write since.
fn write_groups(
    store: &mut FileStore<FakeDisk>,
    groups: usize,
    rng: &mut Pcg64Mcg,
) -> Vec<StoredState> {
    let mut model = store.state().clone();
    let mut possible = vec![model.clone()];
    for _ in 0..groups {
        for _ in 0..rng.random_range(1..4) {
            let write = random_write(&model, rng);
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
            let disk = FakeDisk::default();
            let mut store = open(&disk).unwrap();
            disk.fail_from(step);
            let possible = write_groups(&mut store, 8, &mut rng(seed));
            let disk = disk.crash(seed + step as u64);
            let recovered = open(&disk).unwrap().state().clone();
            assert!(
                possible.contains(&recovered),
                "seed {seed}, step {step}: {recovered:?}"
            );
            let again = open(&disk.crash(0)).unwrap();
            assert_eq!(
                again.state(),
                &recovered,
                "the recovered state isn't durable"
            );
        }
    }
}

#[test]
fn power_is_lost_during_recovery() {
    for step in 1..8 {
        let disk = FakeDisk::default();
        let mut store = open(&disk).unwrap();
        let possible = write_groups(&mut store, 5, &mut rng(1));
        let disk = disk.crash(1);
        disk.fail_from(step);
        let _ = open(&disk);
        let recovered = open(&disk.crash(step as u64)).unwrap();
        assert!(possible.contains(recovered.state()));
    }
}

#[test]
#[should_panic(expected = "seed")]
fn a_disk_that_ignores_syncs_is_detected() {
    for seed in 0..40 {
        let disk = FakeDisk::default();
        let mut store = open(&disk).unwrap();
        disk.ignore_syncs();
        let possible = write_groups(&mut store, 8, &mut rng(seed));
        if let Ok(recovered) = open(&disk.crash(seed)) {
            assert!(possible.contains(recovered.state()), "seed {seed}");
        }
    }
}

#[test]
fn every_flipped_bit_is_reported_as_damage() {
    let disk = FakeDisk::default();
    let mut store = open(&disk).unwrap();
    write_groups(&mut store, 6, &mut rng(3));
    let name = disk.newest_log_file();
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
fn large_write(state: &StoredState, with_snapshot: bool) -> Write {
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
        let disk = FakeDisk::default();
        let mut store = open(&disk).unwrap();
        write_groups(&mut store, 4, &mut rng(4));
        let synced = store.state().clone();
        disk.limit_room(Some(room));
        let refused = store
            .write(&large_write(&synced, with_snapshot))
            .and_then(|()| store.sync())
            .unwrap_err();
        assert!(refused.is_full(), "{refused}");
        assert!(matches!(store.sync(), Err(Error::Failed)));
        disk.exit();
        assert_eq!(open(&disk).unwrap().state(), &synced);
    }
}

#[test]
fn a_data_folder_is_locked_by_one_process() {
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
        let write = random_write(store.state(), &mut rng);
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
fn a_zeroed_sector_before_the_last_sync_is_reported_as_damage() {
    let disk = FakeDisk::default();
    let mut store = open(&disk).unwrap();
    let mut state = append_first_entry(&mut store);
    for _ in 0..2 {
        store.write(&large_write(&state, false)).unwrap();
        store.sync().unwrap();
        state = store.state().clone();
    }
    let name = disk.newest_log_file();
    disk.edit(&name, |bytes| bytes[512..1024].fill(0));
    disk.exit();
    assert!(matches!(open(&disk), Err(Error::Damaged { .. })));
}

/// Appends the first entry and returns the state with it.
fn append_first_entry(store: &mut FileStore<FakeDisk>) -> StoredState {
    let write = Write {
        number: 1,
        hard_state: HardState::default(),
        snapshot: None,
        entries: vec![random_entry(1, 1, &mut rng(1))],
    };
    store.write(&write).unwrap();
    store.sync().unwrap();
    store.state().clone()
}
