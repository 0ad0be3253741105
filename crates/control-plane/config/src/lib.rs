//! What a process is told and what the operator asks for: settings, configurations, their checks.
pub mod boot;
pub mod config;
mod field;
pub mod reload;
pub mod rollout;
pub mod sessions;

pub use boot::ProcessSettings;
pub use config::{Config, Route, Routes, Service};
pub use field::{duration, format_duration, FieldError};
pub use reload::reload;
pub use sessions::SessionSettings;
