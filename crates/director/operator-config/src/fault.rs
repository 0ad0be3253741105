//! One fault of a configuration file.

use std::fmt;

/// What is wrong with a file, where, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file as it was given.
    pub file: String,
    /// Line, from 1; 0: unknown.
    pub line: usize,
    /// Names from the outermost, separated by dots; empty: the whole file.
    pub field: String,
    /// What the field's values are.
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
