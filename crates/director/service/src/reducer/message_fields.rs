//! Names and numbers in messages, resolved to the ids that the decisions use.

use coppersail::interface::{ProxyId, SliceId};
use coppersail_protocol::ParseError;
use std::fmt::Display;

/// The error for a field whose value is not what was expected.
pub(super) fn unexpected(field: &str, expected: impl Display) -> ParseError {
    ParseError::expected(field, expected)
}

/// The id for a name in a message. The error of the lookup is the text of what was expected.
pub(super) fn resolved<T>(field: &str, found: Result<T, impl Display>) -> Result<T, ParseError> {
    found.map_err(|expected| unexpected(field, expected))
}

/// The valid slice and proxy numbers.
pub(super) struct IdRanges {
    /// Slices are numbered below this.
    pub(super) slices: u64,
    /// Proxies are numbered below this; 0 means that any number is valid.
    pub(super) proxies: u64,
}

impl IdRanges {
    pub(super) fn slice(&self, number: u16) -> Result<SliceId, ParseError> {
        if u64::from(number) < self.slices {
            Ok(SliceId(number))
        } else {
            Err(unexpected("partition", format_args!("a slice below {}", self.slices)))
        }
    }

    pub(super) fn proxy(&self, number: u16) -> Result<ProxyId, ParseError> {
        if self.proxies == 0 || u64::from(number) < self.proxies {
            Ok(ProxyId(number))
        } else {
            Err(unexpected("sidecar", format_args!("a proxy below {}", self.proxies)))
        }
    }
}
