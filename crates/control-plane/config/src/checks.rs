//! Checks of a field's value after it was read. The error is a text that says what was expected.
use std::time::Duration;

/// Accepts any value that could be read.
pub(crate) fn accept_any<T>(_: &T) -> Result<(), &'static str> {
    Ok(())
}

/// Requires more than white space.
pub(crate) fn not_blank(text: &str) -> Result<(), &'static str> {
    expect(!text.trim().is_empty(), "text that isn't empty")
}

pub(crate) fn positive_time(time: &Duration) -> Result<(), &'static str> {
    expect(!time.is_zero(), "a time above 0")
}

pub(crate) fn share_limit(share: &f64) -> Result<(), &'static str> {
    expect(*share <= 1.0, "a share of 1 at most")
}

pub(crate) fn expect(holds: bool, expected: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(expected)
    }
}
