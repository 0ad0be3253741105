//! Types of single values, each with the text format that it is parsed from and written to.

use std::fmt::Write;

/// A value of a single field.
pub trait Value: Sized {
    /// Description of a valid text, for error messages.
    const EXPECTED: &'static str;

    /// Parses the text; `None` if it is invalid.
    fn parse(text: &str) -> Option<Self>;

    /// Appends the value's text to `out`.
    fn write_text(&self, out: &mut String);
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

    fn write_text(&self, out: &mut String) {
        out.push(if *self { '1' } else { '0' });
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn write_text(&self, out: &mut String) {
        // Writing to a string cannot fail.
        let _ = write!(out, "{self}");
    }
}

impl Value for u16 {
    const EXPECTED: &'static str = "a whole number below 65536";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn write_text(&self, out: &mut String) {
        u64::from(*self).write_text(out);
    }
}

/// Only finite numbers are valid.
impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }

    fn write_text(&self, out: &mut String) {
        let _ = write!(out, "{self}");
    }
}

/// The empty text is invalid.
impl Value for String {
    const EXPECTED: &'static str = "a word";

    fn parse(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_string())
    }

    fn write_text(&self, out: &mut String) {
        out.push_str(self);
    }
}

/// Declares an enum whose variants are written as words, with its implementation of [`Value`].
#[macro_export]
macro_rules! word_enum {
    ($(#[$attribute:meta])* $name:ident, $expected:literal,
     $($(#[$variant_attribute:meta])* $word:literal => $variant:ident),+ $(,)?) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$variant_attribute])* $variant),+ }

        impl $crate::Value for $name {
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Option<Self> {
                match text {
                    $($word => Some($name::$variant),)+
                    _ => None,
                }
            }

            fn write_text(&self, out: &mut String) {
                out.push_str(match self { $($name::$variant => $word),+ });
            }
        }
    };
}
