//! Settings and configurations, with their checks: the settings file of a process, the operator's
//! configuration of routes and services, rollout plans, and the settings of session affinity.
//!
//! Everything is read from JSON. The names in JSON are part of the interface for operators and never change.
//! An error names the field by them, the value that was found and what was expected, in one line.
pub mod boot;
mod checks;
pub mod config;
mod error;
mod readers;
pub mod reload;
mod reloadable;
pub mod rollout;
pub mod sessions;
mod source;
mod table;
mod time;

pub use boot::ProcessSettings;
pub use config::{Config, Route, Routes, Service};
pub use error::FieldError;
pub use reload::reload;
pub use sessions::SessionSettings;
pub use time::{format_duration, parse_duration};
