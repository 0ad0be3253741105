//! Lines of `name=value` fields, separated by spaces.

use crate::{InvalidField, Value};

/// The fields of one line. Words without `=` are ignored.
pub struct Fields<'a> {
    text: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits the part of a line that follows its first word.
    pub fn new(text: &'a str) -> Self {
        let pairs = text.split(' ').filter_map(|pair| pair.split_once('=')).collect();
        Fields { text, pairs }
    }

    /// The text that was passed to [`Fields::new`].
    pub fn text(&self) -> &'a str {
        self.text
    }

    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }

    /// All fields, as pairs of a name and a value, in the order of the line.
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.pairs.iter().copied()
    }
}

/// A value that is stored in one or several fields of a line.
pub trait LineField: Sized {
    /// Parses the field with this name.
    ///
    /// # Errors
    /// The field is missing or invalid.
    fn read(fields: &Fields<'_>, name: &str) -> Result<Self, InvalidField>;

    /// Appends the field to a line, preceded by a space.
    fn write(&self, name: &str, out: &mut String);
}

impl<T: Value> LineField for T {
    fn read(fields: &Fields<'_>, name: &str) -> Result<Self, InvalidField> {
        let found = fields.get(name);
        found.and_then(T::parse).ok_or_else(|| InvalidField {
            field: name.to_string(),
            found: found.map(str::to_string),
            expected: T::EXPECTED,
        })
    }

    fn write(&self, name: &str, out: &mut String) {
        out.push(' ');
        out.push_str(name);
        out.push('=');
        self.write_text(out);
    }
}

/// An optional field: it may be missing but must not be invalid.
impl<T: Value> LineField for Option<T> {
    fn read(fields: &Fields<'_>, name: &str) -> Result<Self, InvalidField> {
        match fields.get(name) {
            None => Ok(None),
            Some(_) => T::read(fields, name).map(Some),
        }
    }

    fn write(&self, name: &str, out: &mut String) {
        if let Some(value) = self {
            value.write(name, out);
        }
    }
}

#[cfg(test)]
mod tests;
