//! Earlier name of [`crate::watch`], kept until the callers name that.
pub use crate::watch::start;
