//! Patches: what an operator sends to change the configuration.

use std::fmt;
use std::str::FromStr;

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest as _, Sha256};
use uuid::Uuid;

use crate::document::{Problem, MAX_DOCUMENT_BYTES};

/// Longest name of an author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Largest merge patch, as canonical JSON.
pub const MAX_PATCH_BYTES: usize = MAX_DOCUMENT_BYTES;

/// Tells a patch from all others; a resent patch keeps its id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(pub Uuid);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Id {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Id, uuid::Error> {
        Uuid::parse_str(text).map(Id)
    }
}

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Chosen by the sender.
    pub id: Id,
    /// The version that the sender believes to be in force.
    pub base: Version,
    /// Who sent it, for the record.
    pub author: String,
    /// JSON merge patch (RFC 7396): `null` removes a field, so its default
    /// comes back.
    pub merge: Value,
}

impl Patch {
    /// A patch that turns `from` into `to`.
    pub fn between(id: Id, base: Version, author: &str, from: &Value, to: &Value) -> Patch {
        Patch {
            id,
            base,
            author: author.to_owned(),
            merge: difference(from, to).unwrap_or_else(|| Value::Object(Map::new())),
        }
    }

    /// The document that results from this patch.
    pub fn apply(&self, document: &Value) -> Value {
        let mut document = document.clone();
        json_patch::merge(&mut document, &self.merge);
        document
    }

    /// Lists what is wrong with the patch itself.
    pub fn check(&self) -> Vec<Problem> {
        let author = (1..=MAX_AUTHOR_BYTES).contains(&self.author.len());
        let printable = !self.author.chars().any(char::is_control);
        let size = self.merge.to_string().len();
        let faults = [
            (
                author && printable,
                "author",
                format!("{:?}", self.author),
                format!("1 to {MAX_AUTHOR_BYTES} bytes without control characters"),
            ),
            (
                self.merge.is_object(),
                "merge",
                "a value that is no object".to_owned(),
                "a JSON object".to_owned(),
            ),
            (
                size <= MAX_PATCH_BYTES,
                "merge",
                format!("{size} bytes"),
                format!("up to {MAX_PATCH_BYTES} bytes"),
            ),
        ];
        faults
            .into_iter()
            .filter(|(holds, ..)| !holds)
            .map(|(_, path, value, allowed)| Problem {
                path: path.to_owned(),
                value,
                allowed,
            })
            .collect()
    }

    /// Fingerprint that tells a resent patch from another under the same id.
    pub(crate) fn fingerprint(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        hash.update(self.base.0.to_be_bytes());
        hash.update((self.author.len() as u64).to_be_bytes());
        hash.update(self.author.as_bytes());
        hash.update(self.merge.to_string().as_bytes());
        hash.finalize().into()
    }
}

/// The merge patch from one value to another; nothing where they are equal.
fn difference(from: &Value, to: &Value) -> Option<Value> {
    let (Value::Object(from), Value::Object(to)) = (from, to) else {
        return (from != to).then(|| to.clone());
    };
    let gone = from.keys().filter(|name| !to.contains_key(*name));
    let mut merge: Map<_, _> = gone.map(|name| (name.clone(), Value::Null)).collect();
    for (name, value) in to {
        let change = match from.get(name) {
            Some(before) => difference(before, value),
            None => Some(value.clone()),
        };
        merge.extend(change.map(|change| (name.clone(), change)));
    }
    (!merge.is_empty()).then_some(Value::Object(merge))
}
