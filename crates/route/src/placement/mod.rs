//! Placing tasks by the processor and memory that upstreams have left.
//!
//! An entry knows exactly what it has running itself, and from each agent what
//! the other entries had running when the agent last told. A task goes where
//! the larger part of an upstream stays free, and rather to an upstream that
//! works fast: so bursts spread out, and a straggler takes work last. An
//! upstream that ends its tasks badly, or late against the others, takes none
//! for a while (see [`outlier`](crate::outlier)).

mod peer;

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::{Need, Wish};
use rand::Rng;

use crate::outlier::{Detector, Observation, Settings};
use crate::view::Standing;

use peer::Peer;
pub use peer::UpstreamReport;

/// How much of an upstream's room its pace is worth: an upstream that works
/// half as fast counts as if this share of it were taken.
const PACE_WEIGHT: f64 = 0.5;

/// Weight of having failed the last runs, in upstreams: where no more may be
/// ejected, the others that fail all still fill last.
const SUSPECT_WEIGHT: f64 = 10.0;

/// Share of the upstreams that may be ejected or on trial at a time.
const MOST_OUT: f64 = 0.5;

/// Weight of being in another data centre, as a share of an upstream.
const FAR_WEIGHT: f64 = 0.02;

/// Longest time out of an upstream that works badly.
const LONGEST_OUT: Duration = Duration::from_secs(4);
const SHORTEST_OUT: Duration = Duration::from_millis(1_000);

/// Tasks that an upstream on trial may run at once.
const TRIAL_TASKS: u32 = 1;

/// Weight of being away from a task's data, as a share of an upstream.
const AWAY_WEIGHT: f64 = 0.6;

/// A task that wants room.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// What it takes.
    pub need: Need,
    /// What it asks of its upstream beside that.
    pub wish: &'a Wish,
    /// Upstreams to be taken only where no other has room.
    pub avoid: &'a [Node],
    /// Upstreams that must not be taken.
    pub excluded: &'a [Node],
}

/// The upstreams of all services, as one entry knows them.
#[derive(Debug, Default)]
pub struct Placer {
    peers: BTreeMap<Node, Peer>,
    detectors: BTreeMap<Service, Detector>,
}

impl Placer {
    /// Knows no upstream yet.
    pub fn new() -> Placer {
        Placer::default()
    }

    /// Takes in what an agent tells of its upstream.
    pub fn update(
        &mut self,
        node: &Node,
        incarnation: Incarnation,
        near: bool,
        told: UpstreamReport,
    ) {
        let detector = self.detectors.entry(told.service.clone());
        let detector = detector.or_insert_with(|| Detector::new(settings()));
        detector.track(node, incarnation);
        match self.peers.get_mut(node) {
            Some(peer) => peer.take(near, told),
            None => {
                self.peers.insert(node.clone(), Peer::new(near, told));
            }
        }
    }

    /// Whether an agent can be reached; nothing is placed where it can't.
    pub fn set_reachable(&mut self, node: &Node, reachable: bool) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.reachable = reachable;
        }
    }

    /// Forgets an agent.
    pub fn remove(&mut self, node: &Node) {
        let Some(peer) = self.peers.remove(node) else {
            return;
        };
        if let Some(detector) = self.detectors.get_mut(&peer.told.service) {
            detector.untrack(node);
        }
    }

    /// What this entry has of the upstreams of a service, or could take at once.
    pub fn own_share(&self, service: &Service) -> Need {
        let there = self.of(service).filter(|(_, peer)| peer.is_there());
        there.fold(Need::default(), |sum, (_, peer)| sum.plus(peer.own_share()))
    }

    /// Whether any upstream of a service takes such work now.
    pub fn serves(&self, service: &Service, wish: &Wish) -> bool {
        self.of(service)
            .any(|(_, peer)| peer.is_there() && peer.told.suits(wish))
    }

    /// Whether an upstream is where a task would rather run.
    pub fn is_near(&self, node: &Node, wish: &Wish) -> bool {
        let peer = self.peers.get(node);
        peer.is_some_and(|peer| peer.told.is_near(wish))
    }

    /// Whether any agent can be reached.
    pub fn any_reachable(&self) -> bool {
        self.peers.values().any(|peer| peer.reachable)
    }

    /// Whether a task could run at all if nothing else did, or nothing if no
    /// upstream of the service is known.
    pub fn could_ever_fit(&self, service: &Service, need: Need) -> Option<bool> {
        let mut known = self.of(service).peekable();
        known.peek()?;
        Some(known.any(|(_, peer)| need.fits(peer.told.capacity)))
    }

    /// Chooses an upstream for one task and takes its room there.
    pub fn place(&mut self, service: &Service, ask: &PlacementRequest<'_>) -> Option<Node> {
        // Where all that is left has been ejected, bad is better than none.
        let last_resort = !self.of(service).any(|(_, peer)| peer.is_open());
        let known = self.of(service);
        let fitting = known.filter(|(node, peer)| {
            let suits = peer.told.suits(ask.wish) && !ask.excluded.contains(node);
            suits && peer.takes(ask.need, last_resort)
        });
        let ranked = fitting.map(|(node, peer)| {
            let avoided = if ask.avoid.contains(node) {
                AVOIDED
            } else {
                0.0
            };
            let near = peer.told.is_near(ask.wish);
            let away = if near { 0.0 } else { AWAY_WEIGHT };
            (avoided + away + peer.rank(ask.need), node)
        });
        let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let node = best.1.clone();
        self.peers.get_mut(&node)?.start(ask.need);
        Some(node)
    }

    /// Gives the room of a task back.
    pub fn release(&mut self, node: &Node, need: Need) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.end(need);
        }
    }

    /// Takes in how a run ended; the upstream's new standing, if it changes.
    pub fn observe<R: Rng>(
        &mut self,
        node: &Node,
        ending: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        let peer = self.peers.get_mut(node)?;
        if let Observation::Good {
            run,
            expected: Some(expected),
        } = ending
        {
            peer.observe(run, expected);
        }
        let detector = self.detectors.get_mut(&peer.told.service)?;
        let standing = detector.observe(node, ending, now, rng);
        peer.suspect = detector.is_suspect(node);
        let standing = standing?;
        peer.standing = standing;
        Some(standing)
    }

    /// How many times longer runs take at an upstream than at the usual one of
    /// its service, where something has run at both.
    pub fn slowness(&self, node: &Node) -> f64 {
        let Some(peer) = self.peers.get(node) else {
            return 1.0;
        };
        let others = self
            .of(&peer.told.service)
            .filter(|(other, _)| *other != node);
        let mut paces: Vec<f64> = others.filter_map(|(_, peer)| peer.run_time_ratio).collect();
        let (Some(own), false) = (peer.run_time_ratio, paces.is_empty()) else {
            return 1.0;
        };
        let middle = paces.len() / 2;
        let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
        own / *median
    }

    /// An upstream that takes work again, on trial. To be called until there is none.
    pub fn readmit(&mut self, now: Duration) -> Option<Node> {
        let node = self.detectors.values_mut().find_map(|d| d.readmit(now))?;
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.standing = Standing::Trial;
            peer.suspect = false;
        }
        Some(node)
    }

    fn of<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = (&'a Node, &'a Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.told.service == *service)
    }
}

/// Whether a run that takes long had better be stopped and begun elsewhere: it
/// has run for `elapsed` and is `percent` done, at an upstream where runs take
/// `slowness` times what they take elsewhere.
///
/// A run that is long by itself would be as long elsewhere.
pub fn is_worth_moving(elapsed: Duration, percent: u32, slowness: f64) -> bool {
    let done = (f64::from(percent.min(100)) / 100.0).max(LEAST_PROGRESS);
    let whole = elapsed.as_secs_f64() / done;
    let elsewhere = whole / slowness.max(1.0) + MOVE_COST.as_secs_f64();
    whole * (1.0 - done) > elsewhere * MOVE_GAIN
}

/// How many times the time elsewhere must be left for a move to pay.
const MOVE_GAIN: f64 = 1.25;
/// Time that it takes to stop a run and begin it elsewhere.
const MOVE_COST: Duration = Duration::from_millis(60);
/// Progress that a run is believed to have made at least.
const LEAST_PROGRESS: f64 = 0.005;

/// Puts upstreams to be avoided behind all others.
const AVOIDED: f64 = 100.0;

fn settings() -> Settings {
    Settings::builder()
        .min_ejection_time(SHORTEST_OUT)
        .max_ejection_time(LONGEST_OUT)
        .max_out_share(MOST_OUT)
        .build()
}
