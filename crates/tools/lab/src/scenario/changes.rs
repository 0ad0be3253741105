//! Operators' changes during a play.

use super::errors::EditError;
use coppersail_operator_config::{Edits, Field};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that operators submit: fields as their files and commands name them, with values as they are typed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// When it is submitted, in seconds.
    pub at: f64,
    /// The fields with their values.
    pub set: BTreeMap<String, String>,
    /// Seconds for which it is tried; the director's own choice if absent.
    #[serde(default)]
    pub trial: Option<f64>,
}

impl Change {
    /// The fields with their values, as operators' configuration has them.
    ///
    /// # Errors
    /// [`EditError`]: a field is unknown, or does not take its value.
    pub fn edits(&self) -> Result<Edits, EditError> {
        let mut edits = Edits::default();
        for (path, value) in &self.set {
            let field: Field = path.parse().map_err(|unknown| EditError::Field(Box::from(unknown)))?;
            let value = field.parse_value(value).map_err(|expected| EditError::Value {
                path: path.clone(),
                expected: expected.to_string(),
            })?;
            edits.insert(field, value);
        }
        Ok(edits)
    }
}
