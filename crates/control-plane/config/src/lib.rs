//! What a process is told and what the operator asks for: settings, configurations, their checks.
pub mod boot;
pub mod config;
mod field;
pub mod reread;
pub mod rollout;
pub mod sessions;

pub use boot::Boot;
pub use config::{Config, Route, Routes, Service};
pub use field::{duration, written, Fault};
pub use reread::reread;
pub use sessions::Sessions;
