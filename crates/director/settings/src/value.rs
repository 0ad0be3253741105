//! Values as texts, one type each, parsed and written by the same rules.

use std::fmt::Write;

/// A value that stands in one field.
pub trait Value: Sized {
    /// What a valid text is, for errors.
    const EXPECTED: &'static str;

    /// Parses the text; none if it is invalid.
    fn parse(text: &str) -> Option<Self>;

    /// Appends the text to `out`.
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

/// Finite only.
impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }

    fn write_text(&self, out: &mut String) {
        let _ = write!(out, "{self}");
    }
}

/// Not empty.
impl Value for String {
    const EXPECTED: &'static str = "a word";

    fn parse(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_string())
    }

    fn write_text(&self, out: &mut String) {
        out.push_str(self);
    }
}

/// Declares an enum whose variants stand as words, with its [`Value`].
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
