//! `--set` and `--unset` as edits of fields.

use crate::arguments::EditArguments;
use coppersail_operator_config::{Edits, Field, Value};
use std::str::FromStr;

/// An argument that cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArgumentError {
    #[error("--socket or COPPERSAIL_SOCKET: expected the director's socket")]
    MissingSocket,
    #[error("--set {argument}: expected FIELD=VALUE")]
    NoAssignment { argument: String },
    /// The field's own text names it and the fields that there are.
    #[error("{reason}")]
    UnknownField { reason: String },
    #[error("field {field}: expected {expected}")]
    InvalidValue { field: Field, expected: String },
    #[error("--set or --unset: expected at least one")]
    NoEdits,
}

/// A field by its path, such as `hosts.h-7.weight`.
pub(crate) fn parse_field(path: &str) -> Result<Field, ArgumentError> {
    let unknown = |error: <Field as FromStr>::Err| ArgumentError::UnknownField { reason: error.to_string() };
    path.parse().map_err(unknown)
}

/// Edits by field; a field that stands in both flags is unset.
pub(crate) fn parse_edits(arguments: &EditArguments) -> Result<Edits, ArgumentError> {
    let mut edits = Edits::new();
    for argument in &arguments.set {
        let (field, value) = parse_assignment(argument)?;
        edits.insert(field, value);
    }
    for path in &arguments.unset {
        edits.insert(parse_field(path)?, None);
    }
    if edits.is_empty() {
        return Err(ArgumentError::NoEdits);
    }
    Ok(edits)
}

/// `FIELD=VALUE`; the value `null` unsets the field.
fn parse_assignment(argument: &str) -> Result<(Field, Option<Value>), ArgumentError> {
    let no_assignment = || ArgumentError::NoAssignment { argument: argument.to_string() };
    let (path, text) = argument.split_once('=').ok_or_else(no_assignment)?;
    let field = parse_field(path)?;
    match field.parse_value(text) {
        Ok(value) => Ok((field, value)),
        Err(expected) => Err(ArgumentError::InvalidValue { field, expected: expected.to_string() }),
    }
}
