//! The simulated network, which loses, duplicates and delays messages.

use gentian_quorum::id::Member;
use gentian_quorum::message::{self, MessageBatch};
use gentian_quorum::Message;
use rand::Rng;

use super::{Event, Simulation};

impl Simulation {
    pub(super) fn send(&mut self, from: Member, to: Member, message: Message) {
        if self.rng.random_bool(self.loss) || self.is_cut_off(from, to) {
            return;
        }
        if self.drop_own_term_entries && has_entry_of_own_term(&message) {
            return;
        }
        let batch = MessageBatch {
            address: from.to_string(),
            messages: vec![message],
        };
        let message = MessageBatch::decode(&batch.encode())
            .unwrap()
            .messages
            .remove(0);
        let copies = if self.rng.random_bool(self.loss / 2.0) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delayed = self.rng.random_bool(self.loss / 4.0);
            let delay = if delayed {
                self.rng.random_range(0..3_000_000)
            } else {
                self.rng.random_range(500..15_000)
            };
            let message = message.clone();
            self.schedule(delay, to, Event::Deliver { from, message });
        }
    }

    /// Delivers a heartbeat of this round that `from` has sent in the term before this one.
    pub(crate) fn deliver_late_heartbeat(&mut self, from: Member, to: Member, round: u64) {
        let replica = &self.nodes[&from].replica;
        let message = Message {
            cluster: replica.cluster().unwrap(),
            term: replica.term() - 1,
            body: message::Body::AppendRequest(message::AppendRequest {
                round,
                ..Default::default()
            }),
        };
        self.schedule(0, to, Event::Deliver { from, message });
    }

    fn is_cut_off(&self, from: Member, to: Member) -> bool {
        let (from_inside, to_inside) = (self.cut_off.contains(&from), self.cut_off.contains(&to));
        from_inside != to_inside && (!self.one_way || from_inside)
    }
}

fn has_entry_of_own_term(message: &Message) -> bool {
    match &message.body {
        message::Body::AppendRequest(append) => {
            append.entries.iter().any(|e| e.term == message.term)
        }
        _ => false,
    }
}
