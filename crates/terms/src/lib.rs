//! What a process is told and what the operator asks for: settings, configurations, their checks.
pub mod boot;
pub mod config;

pub use boot::Boot;
pub use config::{Config, Route, Service};
