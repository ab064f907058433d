//! Messages that tell what the gate and the home have decided.

use gentian::claim::home::{self, ClaimOutcome, Claimant};
use gentian::claim::refusal::Refusal;
use gentian::wire::agent::ask_reply::{self, answer};
use gentian::wire::agent::claim_reply::Kind;
use gentian::wire::agent::{ClaimReply, ClaimRequest, Outcome, Reason, StartReply};
use gentian::wire::id::Job;
use gentian::wire::Malformed;

use super::claims::Ask;

/// Time after which another view or another slot may take a refused task.
const RETRY_AFTER_MS: u32 = 100;

/// A result whose error is a message that can't be understood.
type Result<T> = std::result::Result<T, Malformed>;

/// The job and the claimant that a claim names.
pub(super) fn claimant(request: &ClaimRequest) -> Result<(Job, Claimant)> {
    let address = request.coordinator_address.parse();
    let address = address.map_err(|_| Malformed::Missing("coordinator_address"))?;
    let id = request.coordinator;
    Ok((Job::try_from(&request.job[..])?, Claimant { id, address }))
}

/// The reply to a claim.
pub(super) fn claim(claim: home::Result<ClaimOutcome>) -> ClaimReply {
    let kind = |kind: Kind| ClaimReply {
        kind: kind.into(),
        ..ClaimReply::default()
    };
    match claim {
        Ok(ClaimOutcome::First) => kind(Kind::First),
        Ok(ClaimOutcome::Forgotten) => kind(Kind::Forgotten),
        Ok(ClaimOutcome::Claimed(holder)) => ClaimReply {
            ballot: Some(holder.ballot.into()),
            coordinator_address: holder.address.to_string(),
            ..kind(Kind::Claimed)
        },
        Err(refusal) => ClaimReply {
            reason: Reason::from(refusal).into(),
            ..kind(Kind::Refused)
        },
    }
}

/// The reply to a start that the gate refused.
pub(super) fn refused(refusal: Refusal) -> StartReply {
    let outcome = match refusal.proves_not_run() {
        true => Outcome::NotRun,
        false => Outcome::Unknown,
    };
    StartReply {
        outcome: outcome.into(),
        reason: Reason::from(refusal).into(),
        retry_after_ms: RETRY_AFTER_MS,
        ..StartReply::default()
    }
}

/// What is told of one task that was asked about.
pub(super) fn asked(index: u32, ask: Ask) -> ask_reply::Answer {
    let (kind, reply) = match ask {
        Ask::Tombstoned => (answer::Kind::Tombstoned, None),
        Ask::Running => (answer::Kind::Running, None),
        Ask::Forgotten => (answer::Kind::Forgotten, None),
        Ask::Superseded => (answer::Kind::Superseded, None),
        Ask::Finished { outcome, answer } => {
            let lost = || StartReply {
                outcome: Outcome::from(outcome).into(),
                reason: Reason::Forgotten.into(),
                ..StartReply::default()
            };
            let reply = answer.map_or_else(lost, |kept| kept.0);
            (answer::Kind::Finished, Some(reply))
        }
    };
    ask_reply::Answer {
        index,
        kind: kind.into(),
        reply,
    }
}
