//! Checks that the numbers of several messages have in common.

use crate::ParseError;

/// Checks a number that counts or weighs something: finite and not negative.
pub(crate) fn non_negative(value: f64, field: &str) -> Result<f64, ParseError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(ParseError::invalid(field, value, "a number of 0 or more"))
    }
}
