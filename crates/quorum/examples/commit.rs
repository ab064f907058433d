//! Measures the latency of a synced write alone, of the store's write and sync, and
//! from a proposal to its application on 1, 3, 5 and 7 members.
//!
//!     cargo run --release -p gentian-quorum --example commit [-- FOLDER]
//!
//! Each member is a thread with its own store on the same disk. Messages go through
//! channels instead of a network, so the figures cover only the disk and the protocol.

use std::{
    env,
    error::Error,
    fs,
    io::Write as _,
    path::{Path, PathBuf},
    sync::mpsc::{self, Receiver, RecvTimeoutError, Sender},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gentian_quorum::{
    id::Member,
    members::Peer,
    replica::Settings,
    store::{FileStore, Write},
    Action, Body, Entry, Message, Replica, Store,
};
use rand::{rngs::StdRng, SeedableRng};

const ROUNDS: usize = 300;
const PAYLOAD_BYTES: usize = 512;
const TICK_INTERVAL: Duration = Duration::from_millis(10);

type Result<T> = std::result::Result<T, Box<dyn Error>>;

enum Event {
    Message { from: Member, message: Message },
    Propose { at: Instant },
}

fn main() -> Result<()> {
    let folder = env::args().nth(1).map_or_else(env::temp_dir, PathBuf::from);
    let folder = tempfile::tempdir_in(folder)?;
    print_percentiles("synced write alone", measure_write(folder.path())?);
    print_percentiles("store write and sync", measure_store(folder.path())?);
    for members in [1, 3, 5, 7] {
        let times = measure_commit(&folder.path().join(members.to_string()), members)?;
        print_percentiles(&format!("commit on {members}"), times);
    }
    Ok(())
}

fn print_percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{name:22} p50 {:>9.3?}  p99 {:>9.3?}  n {}",
        at(50),
        at(99),
        times.len()
    );
}

fn measure_write(folder: &Path) -> Result<Vec<Duration>> {
    let mut file = fs::File::create(folder.join("raw"))?;
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        file.write_all(&[1; PAYLOAD_BYTES])?;
        file.sync_data()?;
        times.push(start.elapsed());
    }
    Ok(times)
}

fn measure_store(folder: &Path) -> Result<Vec<Duration>> {
    let mut store = FileStore::open_path(folder.join("store"), &mut StdRng::seed_from_u64(1))?;
    let mut times = Vec::new();
    for number in 1..=ROUNDS as u64 {
        let entry = Entry {
            index: number,
            term: 1,
            body: Some(Body::Data(payload())),
        };
        let write = Write {
            number,
            hard_state: store.state().hard_state,
            snapshot: None,
            entries: vec![entry],
        };
        let start = Instant::now();
        store.write(&write)?;
        store.sync()?;
        times.push(start.elapsed());
    }
    Ok(times)
}

fn payload() -> Bytes {
    Bytes::from(vec![1; PAYLOAD_BYTES])
}

fn measure_commit(folder: &Path, members: usize) -> Result<Vec<Duration>> {
    let mut stores = Vec::new();
    let mut inboxes = Vec::new();
    for number in 0..members {
        let mut rng = StdRng::seed_from_u64(number as u64);
        stores.push(FileStore::open_path(
            folder.join(number.to_string()),
            &mut rng,
        )?);
        inboxes.push(mpsc::channel());
    }
    let ids: Vec<_> = stores.iter().map(|s| s.state().id).collect();
    let senders: Vec<_> = inboxes.iter().map(|(s, _)| s.clone()).collect();
    let routes: Vec<_> = ids.iter().copied().zip(senders.iter().cloned()).collect();
    let (applied, times) = mpsc::channel();
    let origin = Instant::now();
    for (number, (store, (_, inbox))) in stores.into_iter().zip(inboxes).enumerate() {
        let rng = StdRng::seed_from_u64(100 + number as u64);
        let state = store.state().clone();
        let mut replica = Replica::new(Settings::default(), state, rng, origin.elapsed());
        if number == 0 {
            let peers = ids.iter().map(|id| Peer::voter(*id, id.to_string()));
            replica.init(origin.elapsed(), peers.collect())?;
        }
        let member = Driver {
            replica,
            store,
            origin,
            routes: routes.clone(),
            applied: applied.clone(),
            proposed: None,
        };
        thread::spawn(move || member.run(&inbox));
    }
    thread::sleep(Duration::from_secs(4));
    let mut samples = Vec::new();
    for _ in 0..ROUNDS {
        for sender in &senders {
            sender.send(Event::Propose { at: Instant::now() })?;
        }
        samples.push(times.recv_timeout(Duration::from_secs(10))?);
    }
    Ok(samples)
}

struct Driver {
    replica: Replica<StdRng>,
    store: FileStore<gentian_quorum::store::disk::Folder>,
    origin: Instant,
    routes: Vec<(Member, Sender<Event>)>,
    applied: Sender<Duration>,
    proposed: Option<(u64, Instant)>,
}

impl Driver {
    fn run(mut self, inbox: &Receiver<Event>) {
        self.carry_out_actions();
        loop {
            let event = inbox.recv_timeout(TICK_INTERVAL);
            let now = self.origin.elapsed();
            match event {
                Ok(Event::Message { from, message }) => self.replica.receive(now, from, message),
                Ok(Event::Propose { at }) => {
                    if let Ok(position) = self.replica.propose(now, payload()) {
                        self.proposed = Some((position.index, at));
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.replica.tick(now),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.carry_out_actions();
        }
    }

    fn carry_out_actions(&mut self) {
        loop {
            let actions = self.replica.take_actions();
            if actions.is_empty() {
                return;
            }
            let mut written = None;
            for action in actions {
                match action {
                    Action::Send { to, message, .. } => self.send(to, message),
                    Action::Write(write) => {
                        self.store.write(&write).expect("store");
                        written = Some(write.number);
                    }
                    Action::Apply(entry) => self.apply(entry.index),
                    Action::Restore(_) | Action::Role(_) => {}
                }
            }
            if let Some(number) = written {
                self.store.sync().expect("store");
                self.replica.synced(self.origin.elapsed(), number);
            }
        }
    }

    fn send(&self, to: Member, message: Message) {
        let from = self.replica.id();
        if let Some((_, route)) = self.routes.iter().find(|(id, _)| *id == to) {
            // Fails only if the receiver's thread has ended.
            let _ = route.send(Event::Message { from, message });
        }
    }

    fn apply(&mut self, index: u64) {
        if let Some((_, at)) = self.proposed.take_if(|(proposed, _)| *proposed == index) {
            let _ = self.applied.send(at.elapsed());
        }
    }
}
