//! Addresses of the control instances of a test.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};

/// Loopback addresses that no other system of the tests uses, in this process or another
/// one that runs now. The ports of the control instances must be known before they start, so
/// they can't be left to the kernel.
#[derive(Debug)]
pub(super) struct Hosts(String);

impl Hosts {
    pub(super) fn new() -> Hosts {
        static SYSTEMS: AtomicU32 = AtomicU32::new(0);
        let process = std::process::id() % 200;
        let system = SYSTEMS.fetch_add(1, Ordering::Relaxed) % 250;
        Hosts(format!("127.{}.{}", process + 2, system + 1))
    }

    pub(super) fn get(&self, index: usize) -> String {
        format!("{}.{}", self.0, index + 1)
    }

    /// Returns ports that were free at the first host when it looked.
    pub(super) fn free_ports(&self) -> [u16; 2] {
        let listeners = [0; 2].map(|_| TcpListener::bind((self.get(0), 0)).expect("a free port"));
        listeners.map(|listener| listener.local_addr().expect("an address").port())
    }
}
