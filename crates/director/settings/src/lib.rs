//! The settings that a director receives at its start: their parsing by path, the names that they define, and their
//! conversion to the input of the decisions.
//!
//! The text format of single values, and of lines of `name=value` fields, is shared with the benchmark's codec.

pub mod boot;
mod clock;
mod decisions;
mod error;
mod line;
mod load;
mod names;
mod value;

pub use boot::DirectorSettings;
pub use clock::{seconds, Clock};
pub use decisions::{decision_settings, known_names};
pub use error::InvalidField;
pub use line::{Fields, LineField};
pub use load::load_from_report;
pub use names::{NameKind, Names, UnknownName};
pub use value::Value;
