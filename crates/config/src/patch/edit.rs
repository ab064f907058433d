//! Edits of long texts in a document.
//!
//! A merge patch can only replace a text as a whole. Where an operator sends a complete
//! configuration each time, most of its text is the same as before: an edit holds only what
//! differs, so that a change costs the log and the history as much as it says.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use similar::{Algorithm, DiffOp};

use crate::document::Problem;

/// Shortest text that is edited rather than replaced, in bytes.
const MIN_TEXT_BYTES: usize = 512;
/// Number of pieces of a text above which only its start and end are compared.
const MAX_PIECES: usize = 20_000;
/// Last bytes of a piece: those that end an item of JSON, and a line.
const PIECE_ENDS: [char; 2] = ['}', '\n'];

/// A change of one text of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// JSON pointer (RFC 6901) to the text.
    pub path: String,
    /// What is replaced, in ascending order and without overlaps.
    pub hunks: Vec<Hunk>,
}

/// A part of a text that is replaced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hunk {
    /// Offset in the text before the edit, in bytes.
    pub at: usize,
    /// Number of bytes that are removed there.
    pub remove: usize,
    /// The text that takes their place.
    pub insert: String,
}

impl Edit {
    /// Returns the edit from one text to another, or `None` if replacing the text takes no
    /// more bytes.
    pub(super) fn between(path: &str, from: &str, to: &str) -> Option<Edit> {
        if from.len().min(to.len()) < MIN_TEXT_BYTES {
            return None;
        }
        let edit = Edit {
            path: path.to_owned(),
            hunks: hunks(from, to),
        };
        (edit.size() < to.len()).then_some(edit)
    }

    /// Returns the text of the document after the edit, or why the edit doesn't fit.
    pub(super) fn edited(&self, document: &Value) -> Result<String, Problem> {
        let problem = |value: String, allowed: &str| Problem {
            path: "edits".to_owned(),
            value,
            allowed: allowed.to_owned(),
        };
        let text = document.pointer(&self.path).and_then(Value::as_str);
        let text = text.ok_or_else(|| problem(format!("{:?}", self.path), "a path to a text"))?;
        self.edited_text(text).ok_or_else(|| {
            let value = format!("a hunk in {:?}", self.path);
            problem(value, "ranges of whole characters of the text, in order")
        })
    }

    /// Size of the edit as compact JSON, in bytes, but for what escapes add.
    pub(super) fn size(&self) -> usize {
        /// Size of a hunk's numbers and names.
        const HUNK_BYTES: usize = 48;
        let hunks = self.hunks.iter().map(|hunk| HUNK_BYTES + hunk.insert.len());
        self.path.len() + hunks.sum::<usize>()
    }

    fn edited_text(&self, text: &str) -> Option<String> {
        let mut edited = String::with_capacity(text.len());
        let mut copied = 0;
        for hunk in &self.hunks {
            edited.push_str(text.get(copied..hunk.at)?);
            edited.push_str(&hunk.insert);
            copied = hunk.at.checked_add(hunk.remove)?;
        }
        edited.push_str(text.get(copied..)?);
        Some(edited)
    }
}

/// Edits as JSON; empty if there are none, as in patches of earlier releases.
pub(crate) fn text(edits: &[Edit]) -> String {
    if edits.is_empty() {
        return String::new();
    }
    serde_json::to_string(edits).expect("edits can be written as JSON")
}

/// What differs between two texts. Whole pieces are compared first, and then the start and
/// the end of each run of pieces that differ.
fn hunks(from: &str, to: &str) -> Vec<Hunk> {
    let before: Vec<&str> = from.split_inclusive(PIECE_ENDS).collect();
    let after: Vec<&str> = to.split_inclusive(PIECE_ENDS).collect();
    if before.len().max(after.len()) > MAX_PIECES {
        return vec![middle(from, to)];
    }
    let (from_offsets, to_offsets) = (offsets(&before), offsets(&after));
    let operations = similar::capture_diff_slices(Algorithm::Patience, &before, &after);
    let changes = operations.iter().filter_map(|operation| match operation {
        DiffOp::Equal { .. } => None,
        _ => Some((operation.old_range(), operation.new_range())),
    });
    let hunk = |(old, new): (std::ops::Range<usize>, std::ops::Range<usize>)| {
        let (old_start, old_end) = (from_offsets[old.start], from_offsets[old.end]);
        let (new_start, new_end) = (to_offsets[new.start], to_offsets[new.end]);
        let within = middle(&from[old_start..old_end], &to[new_start..new_end]);
        Hunk {
            at: old_start + within.at,
            ..within
        }
    };
    changes.map(hunk).collect()
}

/// The hunk between what two texts have in common at their start and at their end.
fn middle(from: &str, to: &str) -> Hunk {
    let pairs = from.chars().zip(to.chars());
    let equal = pairs.take_while(|(old, new)| old == new);
    let start = equal.map(|(char, _)| char.len_utf8()).sum();
    let (old, new) = (&from[start..], &to[start..]);
    let pairs = old.chars().rev().zip(new.chars().rev());
    let equal = pairs.take_while(|(old, new)| old == new);
    let end: usize = equal.map(|(char, _)| char.len_utf8()).sum();
    Hunk {
        at: start,
        remove: old.len() - end,
        insert: new[..new.len() - end].to_owned(),
    }
}

/// Offset of each piece, and that of the end.
fn offsets(pieces: &[&str]) -> Vec<usize> {
    let mut offsets = vec![0];
    offsets.extend(pieces.iter().scan(0, |end, piece| {
        *end += piece.len();
        Some(*end)
    }));
    offsets
}
