//! Patches of the configuration: first answers, proposals, and answers from old records.

use std::time::SystemTime;

use gentian::config::ledger::{Answer, Ledger, Proposal, Record, Segment};
use gentian::config::patch::Patch;
use gentian::member::state::{Command, Reply};
use gentian::wire::id::Version;

use super::Service;
use crate::control::state::{Error, ReplicatedLog};

/// Whether a patch was answered before.
enum PatchState {
    Answered(Answer),
    /// The record of the version after its base is in a segment; also holds the version in
    /// force.
    Old(Segment, Version, Patch),
    New(Proposal),
}

fn proposal(ledger: &Ledger, patch: Patch) -> Proposal {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

impl<L: ReplicatedLog> Service<L> {
    /// Proposes a patch and returns the answer to it. A repeated patch gets its first
    /// answer again. One that no replica could read is refused without being proposed.
    pub(crate) async fn patch(&self, patch: Patch) -> Result<Answer, Error> {
        if patch.is_too_deep() {
            let problems = patch.check();
            return Ok(Answer::Invalid { problems });
        }
        let known = self.read(|applied| {
            let ledger = applied.state.ledger();
            if let Some(segment) = ledger.segment(Version(patch.base.0.saturating_add(1))) {
                return PatchState::Old(segment.clone(), ledger.version(), patch);
            }
            match ledger.first_answer(&patch) {
                Some(answer) => PatchState::Answered(answer),
                None => PatchState::New(proposal(ledger, patch)),
            }
        });
        match known.ok_or(Error::NotLeader)? {
            PatchState::Answered(answer) => Ok(answer),
            PatchState::Old(segment, in_force, patch) => {
                self.answer_old(&segment, in_force, &patch)
            }
            PatchState::New(proposal) => match self.commit(Command::Patch(proposal)).await? {
                Reply::Patch(answer) => Ok(answer),
                Reply::View(_) => Err(Error::Unknown),
            },
        }
    }

    /// Returns the answer to a patch to a version whose successor was sealed: that patch sent
    /// again, or one that comes too late.
    fn answer_old(
        &self,
        segment: &Segment,
        in_force: Version,
        patch: &Patch,
    ) -> Result<Answer, Error> {
        let records = self.shared.archive().records(segment);
        let mut records = records.ok_or(Error::Missing)?.into_iter();
        let accepted = records.find(|record| record.version.0 == patch.base.0 + 1);
        match accepted {
            Some(record) if record.id == patch.id => Ok(record.answer(patch)),
            other => Ok(Answer::Conflict {
                in_force,
                winner: other.map(Record::winner),
            }),
        }
    }
}
