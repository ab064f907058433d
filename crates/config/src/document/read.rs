//! Reading of a document from JSON, which reports every unreadable field.

use serde_json::{Map, Value};

use super::{Document, Problem, Result};

impl Document {
    /// Reads a document and checks it.
    ///
    /// Returns every problem found: those of unreadable fields, or else those
    /// that [`Document::check`] finds.
    pub fn read(value: &Value) -> Result<Document> {
        let document = match serde_json::from_value::<Document>(value.clone()) {
            Ok(document) => document,
            Err(error) => return Err(unreadable(value, &error)),
        };
        let problems = document.check();
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }
}

/// Tells which fields can't be read.
///
/// Every field has a default, so a document that holds a single field is
/// readable unless that field is at fault.
fn unreadable(value: &Value, whole: &serde_json::Error) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut path = Vec::new();
    probe(value, &mut path, &mut problems);
    if problems.is_empty() {
        problems.push(problem(&[], value, whole));
    }
    problems
}

fn probe<'a>(value: &'a Value, path: &mut Vec<&'a str>, problems: &mut Vec<Problem>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                path.push(name);
                probe(field, path, problems);
                path.pop();
            }
        }
        leaf => {
            if let Err(error) = serde_json::from_value::<Document>(alone(path, leaf)) {
                problems.push(problem(path, leaf, &error));
            }
        }
    }
}

/// The document that holds only the field at the given path.
fn alone(path: &[&str], leaf: &Value) -> Value {
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
