//! Values as they stand in text, one type each, read and written by the same rules.

use crate::Boot;
use std::fmt::Write;

/// Why a field could not be read: its name and what was expected there.
#[derive(Debug, PartialEq)]
pub struct Bad {
    pub field: String,
    pub expected: &'static str,
}

/// A value that stands in one part of a line.
pub trait Value: Sized {
    const EXPECTED: &'static str;
    fn parse(text: &str) -> Option<Self>;
    fn print(&self, out: &mut String);
}

/// The parts of one line behind its first word.
pub struct Parts<'a> {
    pub text: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Parts<'a> {
    pub fn new(text: &'a str) -> Self {
        let pairs = text.split(' ').filter_map(|part| part.split_once('=')).collect();
        Parts { text, pairs }
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.pairs.iter().copied()
    }
}

pub trait Field: Sized {
    fn read(parts: &Parts<'_>, name: &str) -> Result<Self, Bad>;
    fn write(&self, name: &str, out: &mut String);
}

impl<T: Value> Field for T {
    fn read(parts: &Parts<'_>, name: &str) -> Result<Self, Bad> {
        let bad = || Bad { field: name.to_string(), expected: T::EXPECTED };
        parts.get(name).and_then(T::parse).ok_or_else(bad)
    }
    fn write(&self, name: &str, out: &mut String) {
        let _ = write!(out, " {name}=");
        self.print(out);
    }
}

/// Absent is fine, present but unreadable is not.
impl<T: Value> Field for Option<T> {
    fn read(parts: &Parts<'_>, name: &str) -> Result<Self, Bad> {
        match parts.get(name) {
            None => Ok(None),
            Some(_) => T::read(parts, name).map(Some),
        }
    }
    fn write(&self, name: &str, out: &mut String) {
        if let Some(value) = self {
            value.write(name, out);
        }
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "1 or 0";
    fn parse(text: &str) -> Option<Self> {
        match text {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        }
    }
    fn print(&self, out: &mut String) {
        out.push(if *self { '1' } else { '0' });
    }
}

impl Field for Box<Boot> {
    fn read(parts: &Parts<'_>, _name: &str) -> Result<Self, Bad> {
        Boot::read(&parts.pairs().collect()).map(Box::new)
    }
    fn write(&self, _name: &str, out: &mut String) {
        Boot::write(self, out);
    }
}

macro_rules! plain {
    ($type:ty, $expected:literal) => {
        impl Value for $type {
            const EXPECTED: &'static str = $expected;
            fn parse(text: &str) -> Option<Self> {
                text.parse().ok()
            }
            fn print(&self, out: &mut String) {
                let _ = write!(out, "{self}");
            }
        }
    };
}
plain!(u64, "a whole number");
plain!(u16, "a whole number below 65536");

impl Value for f64 {
    const EXPECTED: &'static str = "a number";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|v: &f64| v.is_finite())
    }
    fn print(&self, out: &mut String) {
        let _ = write!(out, "{self}");
    }
}

impl Value for String {
    const EXPECTED: &'static str = "a word";
    fn parse(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_string())
    }
    fn print(&self, out: &mut String) {
        out.push_str(self);
    }
}

/// Declares an enum of words.
#[macro_export]
macro_rules! words {
    ($(#[$doc:meta])* $name:ident, $expected:literal, $($word:literal => $variant:ident),+) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($variant),+ }
        impl $crate::Value for $name {
            const EXPECTED: &'static str = $expected;
            fn parse(text: &str) -> Option<Self> {
                match text { $($word => Some($name::$variant),)+ _ => None }
            }
            fn print(&self, out: &mut String) {
                out.push_str(match self { $($name::$variant => $word),+ });
            }
        }
    };
}
