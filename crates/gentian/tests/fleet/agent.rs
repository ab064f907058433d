//! One agent: the capacity of its upstream, and what the entries were told of it.

use std::time::Duration;

use gentian::limit::waiting_list::WaitingList;
use gentian::wire::need::Need;

/// An upstream's processor, in thousandths of a core, and its memory in MiB.
pub(crate) const CPU: u32 = 32_000;
const MEMORY: u32 = 131_072;

/// One kind of upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Kind {
    /// How much faster than declared it runs tasks.
    pub(crate) speed: f64,
    /// Its capacity, as a multiple of the usual.
    pub(crate) size: f64,
}

impl Kind {
    pub(crate) const USUAL: Kind = Kind {
        speed: 1.0,
        size: 1.0,
    };

    /// Capacity of an upstream of this kind.
    pub(crate) fn capacity(self) -> Need {
        Need {
            cpu: (f64::from(CPU) * self.size) as u32,
            memory: MEMORY,
            accelerators: 0,
        }
    }
}

/// The state of one agent. Entries are named by their index.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) data_center: usize,
    pub(crate) kind: Kind,
    pub(crate) waiting: WaitingList<usize>,
    used: Need,
    used_by_entry: Vec<Need>,
    /// What each entry was told last about the tasks of the others.
    told: Vec<Need>,
    /// Whether a periodic report is due.
    pub(crate) report_due: bool,
}

impl Agent {
    pub(crate) fn new(data_center: usize, kind: Kind, entries: usize) -> Agent {
        Agent {
            data_center,
            kind,
            waiting: WaitingList::default(),
            used: Need::default(),
            used_by_entry: vec![Need::default(); entries],
            told: vec![Need::default(); entries],
            report_due: false,
        }
    }

    /// Takes a task if it fits; otherwise lists its entry as waiting.
    pub(crate) fn admit(&mut self, entry: usize, need: Need, now: Duration) -> bool {
        let admitted = need.fits(self.free());
        match admitted {
            true => {
                self.used = self.used.plus(need);
                self.used_by_entry[entry] = self.used_by_entry[entry].plus(need);
            }
            false => self.waiting.add(entry, need, now),
        }
        admitted
    }

    pub(crate) fn release(&mut self, entry: usize, need: Need) {
        self.used = self.used.minus(need);
        self.used_by_entry[entry] = self.used_by_entry[entry].minus(need);
    }

    pub(crate) fn free(&self) -> Need {
        self.kind.capacity().minus(self.used)
    }

    /// How long a task runs here that takes `usual` at a usual upstream.
    pub(crate) fn run_time(&self, usual: Duration) -> Duration {
        usual.div_f64(self.kind.speed)
    }

    fn used_by_others(&self, entry: usize) -> Need {
        self.used.minus(self.used_by_entry[entry])
    }

    /// What an entry is told now.
    pub(crate) fn tell(&mut self, entry: usize) -> Need {
        self.told[entry] = self.used_by_others(entry);
        self.told[entry]
    }

    /// The entries that were told something else than would be told now.
    pub(crate) fn outdated(&self) -> Vec<usize> {
        let entries = 0..self.told.len();
        let outdated = entries.filter(|entry| self.told[*entry] != self.used_by_others(*entry));
        outdated.collect()
    }
}
