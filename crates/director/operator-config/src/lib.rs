//! The operators' file, without I/O: what may stand in it, every fault of it with its line, and the same settings as
//! single fields, which is the form in which they are changed, compared and undone.

mod field;
mod locate;
mod sheet;
mod tree;

pub use field::{Again, Document, Edits, Field, GuardMode, Value, FIELDS_MOST};
pub use locate::line_of;
pub use sheet::{checked_edit, difference, sheet, Known, KnownRoute, LogForm, Sheet, Start};
pub use tree::Tree;

use std::fmt;

/// What is wrong with a file, where, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// From 1; 0: not to be told.
    pub line: usize,
    /// Names from the outermost, with dots between them; empty: the whole file.
    pub field: String,
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, line, field, expected } = self;
        let line = if *line > 0 { format!(":{line}") } else { String::new() };
        let field = if field.is_empty() { "the file".to_string() } else { format!("field {field}") };
        write!(out, "{file}{line}: {field}: expected {expected}")
    }
}
