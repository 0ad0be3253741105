//! Validation of numbers, shared by several messages.

use crate::ParseError;

/// Returns the number if it is finite and not negative, and an error that names the field otherwise.
pub(crate) fn non_negative(value: f64, field: &str) -> Result<f64, ParseError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(ParseError::invalid(field, value, "a number of 0 or more"))
    }
}
