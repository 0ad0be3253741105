//! An error in a configuration file.

use std::fmt;

/// An error in a file: its location, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file, as given by the user.
    pub file: String,
    /// Line, from 1; 0: unknown.
    pub line: usize,
    /// Path of the field, with names separated by dots; empty: the whole file.
    pub field: String,
    /// Description of the valid values.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, line, field, expected } = self;
        let line = if *line > 0 { format!(":{line}") } else { String::new() };
        let field = if field.is_empty() { "the file".to_string() } else { format!("field {field}") };
        write!(formatter, "{file}{line}: {field}: expected {expected}")
    }
}
