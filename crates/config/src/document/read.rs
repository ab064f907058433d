//! Parsing of documents from JSON, which reports every unreadable field.

use serde_json::{Map, Value};

use super::{Document, Problem, Result};

impl Document {
    /// Parses and validates a document.
    ///
    /// The error lists every unreadable field. If there are none, it lists every
    /// problem that [`Document::check`] finds.
    pub fn read(value: &Value) -> Result<Document> {
        let document = match serde_json::from_value::<Document>(value.clone()) {
            Ok(document) => document,
            Err(error) => return Err(unreadable_fields(value, &error)),
        };
        let problems = document.check();
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }
}

/// Lists the fields that can't be parsed.
///
/// Every field has a default, so a document that contains a single field can be
/// parsed unless that field is invalid. If each field can be parsed by itself, the
/// error of the whole document is reported.
fn unreadable_fields(value: &Value, document_error: &serde_json::Error) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut path = Vec::new();
    probe_fields(value, &mut path, &mut problems);
    if problems.is_empty() {
        problems.push(problem(&[], value, document_error));
    }
    problems
}

/// Parses each leaf of `value` as the only field of a document.
fn probe_fields<'a>(value: &'a Value, path: &mut Vec<&'a str>, problems: &mut Vec<Problem>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                path.push(name);
                probe_fields(field, path, problems);
                path.pop();
            }
        }
        leaf => {
            if let Err(error) = serde_json::from_value::<Document>(document_with(path, leaf)) {
                problems.push(problem(path, leaf, &error));
            }
        }
    }
}

/// Returns a document that contains only the field at the given path.
fn document_with(path: &[&str], leaf: &Value) -> Value {
    path.iter().rev().fold(leaf.clone(), |inner, name| {
        Value::Object(Map::from_iter([((*name).to_owned(), inner)]))
    })
}

fn problem(path: &[&str], value: &Value, error: &serde_json::Error) -> Problem {
    Problem {
        path: path.join("."),
        value: value.to_string(),
        allowed: error.to_string(),
    }
}
