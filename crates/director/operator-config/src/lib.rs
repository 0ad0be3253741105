//! The operators' file, without I/O: its form, its validation with the line of each fault, and the same configuration
//! as single fields, which is the form in which it is changed, compared and undone.
//!
//! [`read_operator_file`] reads a file; [`Field`] and [`Value`] are one setting each; [`Document`] is all that is set and [`Edits`]
//! what a change sets. The bounds of a value are in [`Field::accepts`]; what depends on the director's settings, for
//! example the names of zones, is checked against [`SettingsNames`].

mod error;
mod fault;
mod field;
mod json;
mod line_lookup;
mod operator_file;
mod validation;
mod value;

pub use error::{EditError, FieldPathError, ValueError};
pub use fault::Fault;
pub use field::{difference, Document, Edits, Field, MAX_FIELDS};
pub use operator_file::{read as read_operator_file, LogFormat, OperatorFile, StartConfig};
pub use validation::{check_edit, RouteName, SettingsNames};
pub use value::{GuardMode, RouteRetryPolicy, Value};
