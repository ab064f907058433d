//! When the log is compacted, and what it holds at most.

use bytes::Bytes;
use gentian_quorum::log::Log;
use gentian_quorum::{Body, Entry};
use test_case::test_case;

fn entry(index: u64, bytes: usize) -> Entry {
    Entry {
        index,
        term: 1,
        body: Some(Body::Data(Bytes::from(vec![0; bytes]))),
    }
}

/// Guards against a log that is compacted by the number of its entries alone: 264 of 400 kB each
/// were sent one by one to an instance that had lost its disk, and 554 filled the memory.
#[test_case(400_000, 500_000; "large entries")]
#[test_case(400_000, 5_000_000; "a state larger than the entries")]
#[test_case(300, 500_000; "small entries")]
#[test_case(300, 0; "no state")]
fn the_log_holds_a_bounded_number_of_bytes_and_entries(entry_bytes: usize, state_bytes: usize) {
    let mut log = Log::default();
    let mut written = 0;
    for index in 1..=3_000 {
        log.push(entry(index, entry_bytes));
        if log.is_compaction_due(index) {
            assert!(log.compact(index, Bytes::from(vec![0; state_bytes])));
            written += state_bytes;
        }
        let entries = log.entries_from(0);
        let bytes: usize = entries.iter().map(Entry::size).sum();
        assert_eq!(log.bytes(), bytes);
        assert!(entries.len() <= 128, "{} entries", entries.len());
        let bound = state_bytes.max(1 << 20) + entry_bytes;
        assert!(bytes <= bound, "{bytes} bytes of entries");
    }
    let per_change = written / 3_000;
    let bound = 2 * entry_bytes + state_bytes / 100;
    assert!(
        per_change <= bound,
        "{per_change} bytes of snapshots a change"
    );
}

#[test]
fn entries_that_are_not_applied_do_not_make_a_compaction_due() {
    let mut log = Log::default();
    (1..=9).for_each(|index| log.push(entry(index, 400_000)));
    assert!(!log.is_compaction_due(0));
    assert!(!log.is_compaction_due(2), "800 kB are applied");
    assert!(log.is_compaction_due(3));
}

#[test]
fn dropped_entries_no_longer_count() {
    let mut log = Log::default();
    (1..=9).for_each(|index| log.push(entry(index, 400_000)));
    log.truncate(3);
    assert_eq!(log.bytes(), 2 * entry(1, 400_000).size());
    log.truncate(3);
    assert_eq!(log.last_index(), 2);
}
