//! Changes that are computed from the configuration in force, whatever that is.
//!
//! A patch names the version that it changes, so it is refused if another change is accepted
//! first. A change that is meant for any version is computed and proposed again then.

use gentian::config::document::{Document, Problem as FieldProblem};
use gentian::config::ledger::Answer;
use gentian::config::patch::{Id, Patch};
use gentian::wire::id::Version;
use serde_json::Value;
use uuid::Uuid;

use super::service::Service;
use super::state::{self, ReplicatedLog};
use crate::serve::Problem;

/// Who accepted versions name as their author.
const AUTHOR: &str = "operator";
/// Maximum number of attempts while other changes are accepted first.
const MAX_ATTEMPTS: usize = 16;

/// Why a change was not accepted, or may not have been.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Log(#[from] state::Error),
    #[error("other changes were accepted first in each of {MAX_ATTEMPTS} attempts")]
    Contended,
    #[error("the generated patch id is already in use")]
    Reused,
    #[error("the change is invalid: {0:?}")]
    Invalid(Vec<FieldProblem>),
    #[error("this release can't read the configuration in force, which a later one accepted")]
    Unreadable,
}

/// The result of a change.
pub(super) type Result<T> = std::result::Result<T, Error>;

impl From<Error> for Problem {
    fn from(error: Error) -> Problem {
        let detail = error.to_string();
        match error {
            Error::Log(state::Error::Unknown | state::Error::Missing) => {
                Problem::new(503, "not known", &detail)
            }
            Error::Invalid(_) => Problem::bad(&detail),
            Error::Log(state::Error::NotLeader)
            | Error::Contended
            | Error::Reused
            | Error::Unreadable => Problem::busy(&detail),
        }
    }
}

impl<L: ReplicatedLog> Service<L> {
    /// Replaces the document in force by the one that `change` returns, which is given it
    /// both parsed and as JSON. Returns the new version, or `None` if `change` returned none
    /// since the document is as wanted.
    pub(super) async fn amend(
        &self,
        change: impl Fn(&Document, &Value) -> Option<Value>,
    ) -> Result<Option<Version>> {
        for _ in 0..MAX_ATTEMPTS {
            let patch = self.read(|applied| {
                let document = applied.document().ok_or(Error::Unreadable)?;
                let ledger = applied.state.ledger();
                let (from, base) = (ledger.document(), ledger.version());
                let to = change(document, from);
                Ok(to.map(|to| Patch::between(Id(Uuid::new_v4()), base, AUTHOR, from, &to)))
            });
            let patch: Result<Option<Patch>> = patch.ok_or(state::Error::NotLeader)?;
            let Some(patch) = patch? else {
                return Ok(None);
            };
            match self.patch(patch).await? {
                Answer::Accepted { version, .. } => return Ok(Some(version)),
                Answer::Conflict { .. } => {}
                Answer::Invalid { problems } => return Err(Error::Invalid(problems)),
                Answer::Reused => return Err(Error::Reused),
            }
        }
        Err(Error::Contended)
    }
}
