//! Capacity of several upstreams together.

use gentian_wire::need::Need;

/// Cores of several upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// All cores.
    pub total: f64,
    /// Those that no task uses.
    pub free: f64,
}

impl Capacity {
    /// The capacity of one more upstream added.
    pub(super) fn plus(self, total: Need, free: Need) -> Capacity {
        Capacity {
            total: self.total + cores(total),
            free: self.free + cores(free),
        }
    }
}

fn cores(need: Need) -> f64 {
    f64::from(need.cpu) / 1e3
}
