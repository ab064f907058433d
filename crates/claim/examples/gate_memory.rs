//! Prints the memory that a gate takes after ten minutes at 24 starts a second,
//! and the time that a start and the expiry of a record take.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use gentian_claim::gate::{ByteSize, Gate};
use gentian_claim::key_window::{KeyWindow, MAX_CLOCK_SKEW, RETENTION};
use gentian_wire::id::{Ballot, Job, View};
use gentian_wire::outcome::Outcome;
use gentian_wire::size::Bytes;

const STARTS_PER_SECOND: u32 = 24;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system allocator, with a count of the bytes allocated.
struct CountingAllocator;

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[derive(Clone)]
struct EmptyAnswer;

impl ByteSize for EmptyAnswer {
    fn byte_size(&self) -> Bytes {
        Bytes(1)
    }
}

fn main() {
    let start = Duration::from_secs(1_700_000_000);
    let mut gate = Gate::new(KeyWindow::new(start), Bytes(0));
    let before = ALLOCATED.load(Ordering::Relaxed);
    let mut wall = start + MAX_CLOCK_SKEW;
    let begin = Instant::now();
    let total = STARTS_PER_SECOND * u32::try_from(RETENTION.as_secs()).unwrap_or(u32::MAX);
    for number in 0..total {
        let mut random = [0; 10];
        random[6..].copy_from_slice(&number.to_be_bytes());
        let task = Job::new(wall, random).task(0);
        gate.advance(wall);
        gate.start(task, Ballot::default(), View(1))
            .expect("a fresh key starts");
        gate.finish(task, Outcome::Done, EmptyAnswer);
        wall += Duration::from_secs(1) / STARTS_PER_SECOND;
    }
    let spent = begin.elapsed();
    let held = ALLOCATED.load(Ordering::Relaxed) - before;
    let records = gate.len();
    println!("{records} records in {held} bytes, {} each", held / records);
    println!(
        "{} ns a start with its end",
        spent.as_nanos() / u128::from(total)
    );
    let begin = Instant::now();
    gate.advance(wall + RETENTION);
    println!(
        "{} ns an expired record",
        begin.elapsed().as_nanos() / records as u128
    );
}
