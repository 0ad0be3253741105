//! The operators' file, without I/O: its format, its validation with the line of each error, and the
//! configuration as a set of single fields, which is how it is changed, compared and undone.
//!
//! [`read_operator_file`] reads a file. A [`Field`] and its [`Value`] form one setting; a [`Document`]
//! contains all settings, and [`Edits`] those that a change sets. [`Field::accepts`] checks the bounds of a
//! value; constraints that depend on the director's settings, for example the names of zones, are checked
//! against [`SettingsNames`].

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
