//! Wire replies for the decisions of an agent's gate and home; see [`super::claims`].

use gentian::claim::home::{self, ClaimOutcome, Claimant};
use gentian::claim::refusal::Refusal;
use gentian::wire::agent::ask_reply::{self, answer};
use gentian::wire::agent::claim_reply::Kind;
use gentian::wire::agent::{ClaimReply, ClaimRequest, Outcome, Reason, StartReply};
use gentian::wire::id::Job;
use gentian::wire::Malformed;

use super::claims::TaskStatus;

/// Delay after which a refused task is worth retrying: by then the agent may have
/// another view or a free slot.
const RETRY_AFTER_MS: u32 = 100;

/// A result whose error is a malformed message.
type Result<T> = std::result::Result<T, Malformed>;

/// Reads the job and the claimant from a claim.
pub(super) fn parse_claimant(request: &ClaimRequest) -> Result<(Job, Claimant)> {
    let address = request.coordinator_address.parse();
    let address = address.map_err(|_| Malformed::Missing("coordinator_address"))?;
    let id = request.coordinator;
    Ok((Job::try_from(&request.job[..])?, Claimant { id, address }))
}

/// The reply to a claim.
pub(super) fn claim_reply(claim: home::Result<ClaimOutcome>) -> ClaimReply {
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
pub(super) fn start_refusal(refusal: Refusal) -> StartReply {
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

/// The answer about one task of an ask.
pub(super) fn ask_answer(index: u32, status: TaskStatus) -> ask_reply::Answer {
    let (kind, reply) = match status {
        TaskStatus::Tombstoned => (answer::Kind::Tombstoned, None),
        TaskStatus::Running => (answer::Kind::Running, None),
        TaskStatus::Forgotten => (answer::Kind::Forgotten, None),
        TaskStatus::Superseded => (answer::Kind::Superseded, None),
        TaskStatus::Finished { outcome, answer } => {
            let answer_dropped = || StartReply {
                outcome: Outcome::from(outcome).into(),
                reason: Reason::Forgotten.into(),
                ..StartReply::default()
            };
            let reply = answer.map_or_else(answer_dropped, |kept| kept.0);
            (answer::Kind::Finished, Some(reply))
        }
    };
    ask_reply::Answer {
        index,
        kind: kind.into(),
        reply,
    }
}
