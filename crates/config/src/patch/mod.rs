//! Patches, by which operators change the configuration.

pub(crate) mod edit;

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use gentian_wire::id::Version;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest as _, Sha256};
use uuid::Uuid;

use crate::document::{Problem, MAX_DOCUMENT_BYTES};

pub use edit::{Edit, Hunk};

/// Maximum length of an author's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Maximum size of a patch's changes, serialized as compact JSON.
pub const MAX_PATCH_BYTES: usize = MAX_DOCUMENT_BYTES;

/// Maximum number of levels of a merge patch. It is well below the limit of a reader of JSON,
/// since the log entry that holds the patch has some levels of its own.
pub const MAX_PATCH_DEPTH: usize = 64;

/// Unique id of a patch. A resent patch keeps its id, so that it is not applied
/// twice.
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

/// A proposed change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Unique id, chosen by the sender.
    pub id: Id,
    /// The version that the patch changes; the patch is refused if another version
    /// is in force.
    pub base: Version,
    /// Who sent the patch, for the history.
    pub author: String,
    /// JSON merge patch (RFC 7396). A `null` removes a field, which restores its
    /// default.
    pub merge: Value,
    /// Changes of long texts, at most one of each, made before the merge patch.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Edit>,
}

impl Patch {
    /// Creates a patch that changes the document `from` to `to`.
    pub fn between(id: Id, base: Version, author: &str, from: &Value, to: &Value) -> Patch {
        let mut edits = Vec::new();
        let merge = difference(from, to, "", &mut edits);
        Patch {
            id,
            base,
            author: author.to_owned(),
            merge: merge.unwrap_or_else(|| Value::Object(Map::new())),
            edits,
        }
    }

    /// Returns the document that results from applying this patch.
    pub fn apply(&self, document: &Value) -> Result<Value, Problem> {
        let mut document = document.clone();
        self.apply_to(&mut document)?;
        Ok(document)
    }

    /// Changes a document as this patch says. If an edit doesn't fit the document, changes
    /// nothing and returns the problem.
    pub(crate) fn apply_to(&self, document: &mut Value) -> Result<(), Problem> {
        let edited = self.edits.iter().map(|edit| edit.edited(document));
        let edited = edited.collect::<Result<Vec<_>, _>>()?;
        for (edit, text) in self.edits.iter().zip(edited) {
            if let Some(value) = document.pointer_mut(&edit.path) {
                *value = Value::String(text);
            }
        }
        json_patch::merge(document, &self.merge);
        Ok(())
    }

    /// Whether the patch is nested too deeply for a log entry. It must not be proposed then:
    /// replicas could not read the entry.
    pub fn is_too_deep(&self) -> bool {
        depth(&self.merge) > MAX_PATCH_DEPTH
    }

    /// Lists the problems of the patch itself, regardless of the document.
    pub fn check(&self) -> Vec<Problem> {
        let valid_length = (1..=MAX_AUTHOR_BYTES).contains(&self.author.len());
        let printable = !self.author.chars().any(char::is_control);
        let edits: usize = self.edits.iter().map(Edit::size).sum();
        let size = self.merge.to_string().len() + edits;
        let mut edited = BTreeSet::new();
        let repeated = self.edits.iter().find(|edit| !edited.insert(&edit.path));
        let checks = [
            (
                valid_length && printable,
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
            (
                repeated.is_none(),
                "edits",
                repeated.map_or_else(String::new, |edit| format!("{:?} twice", edit.path)),
                "one edit of each text".to_owned(),
            ),
            (
                !self.is_too_deep(),
                "merge",
                format!("{} levels", depth(&self.merge)),
                format!("up to {MAX_PATCH_DEPTH} levels"),
            ),
        ];
        checks
            .into_iter()
            .filter(|(passed, ..)| !passed)
            .map(|(_, path, value, allowed)| Problem {
                path: path.to_owned(),
                value,
                allowed,
            })
            .collect()
    }

    /// Returns a hash of the content, which distinguishes a resent patch from a
    /// different one with the same id.
    pub(crate) fn fingerprint(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        hash.update(self.base.0.to_be_bytes());
        hash.update((self.author.len() as u64).to_be_bytes());
        hash.update(self.author.as_bytes());
        hash.update(self.merge.to_string().as_bytes());
        hash.update(edit::text(&self.edits).as_bytes());
        hash.finalize().into()
    }
}

/// Number of levels of a value; 0 if it is neither an array nor an object.
fn depth(value: &Value) -> usize {
    let deepest = match value {
        Value::Array(items) => items.iter().map(depth).max(),
        Value::Object(fields) => fields.values().map(depth).max(),
        _ => return 0,
    };
    1 + deepest.unwrap_or(0)
}

/// Returns the merge patch from one value to another, or `None` if it has nothing to change.
/// Adds the edits of long texts in the value, which is at `path`.
fn difference(from: &Value, to: &Value, path: &str, edits: &mut Vec<Edit>) -> Option<Value> {
    let (from, to) = match (from, to) {
        _ if from == to => return None,
        (Value::Object(from), Value::Object(to)) => (from, to),
        (Value::String(before), Value::String(after)) => {
            let edit = Edit::between(path, before, after);
            let replaced = edit.is_none().then(|| to.clone());
            edits.extend(edit);
            return replaced;
        }
        _ => return Some(to.clone()),
    };
    let removed = from.keys().filter(|name| !to.contains_key(*name));
    let mut merge: Map<_, _> = removed.map(|name| (name.clone(), Value::Null)).collect();
    for (name, value) in to {
        let change = match from.get(name) {
            Some(before) => {
                let path = format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"));
                difference(before, value, &path, edits)
            }
            None => Some(value.clone()),
        };
        merge.extend(change.map(|change| (name.clone(), change)));
    }
    (!merge.is_empty()).then_some(Value::Object(merge))
}
