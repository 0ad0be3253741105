//! Declares the messages of one direction.

/// Declares an enum with one variant for each message, with the first word of its line and the names of its fields.
macro_rules! messages {
    (
        $(#[$attribute:meta])* $name:ident,
        $(
            $(#[$variant_attribute:meta])*
            $word:literal => $variant:ident {
                $($(#[$field_attribute:meta])* $field:ident: $type:ty = $key:literal),* $(,)?
            }
        ),+ $(,)?
    ) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq)]
        pub enum $name {
            $(
                $(#[$variant_attribute])*
                #[doc = concat!("\n\nFirst word: `", $word, "`.")]
                $variant {
                    $(
                        $(#[$field_attribute])*
                        #[doc = concat!("\n\nField: `", $key, "`.")]
                        $field: $type,
                    )*
                },
            )+
        }

        impl $name {
            /// Parses one line without its end; `line` is its number, for the error. Unknown fields are ignored.
            ///
            /// # Errors
            /// The first word is unknown, or a field is missing or invalid.
            pub fn parse(text: &str, line: u64) -> Result<Self, $crate::InvalidLine> {
                let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
                let fields = coppersail_settings::Fields::new(rest);
                Self::read(word, &fields).map_err(|invalid| $crate::InvalidLine::of_field(line, word, invalid))
            }

            fn read(
                word: &str,
                fields: &coppersail_settings::Fields<'_>,
            ) -> Result<Self, coppersail_settings::InvalidField> {
                use coppersail_settings::LineField;
                match word {
                    $(
                        $word => Ok($name::$variant { $($field: <$type>::read(fields, $key)?),* }),
                    )+
                    _ => Err(coppersail_settings::InvalidField {
                        field: "(first word)".to_string(),
                        found: None,
                        expected: "a known message",
                    }),
                }
            }

            /// The first word of its line.
            pub fn first_word(&self) -> &'static str {
                match self {
                    $($name::$variant { .. } => $word,)+
                }
            }

            /// Appends one line, without its end.
            pub fn write(&self, out: &mut String) {
                use coppersail_settings::LineField;
                out.push_str(self.first_word());
                match self {
                    $($name::$variant { $($field),* } => {
                        $($field.write($key, out);)*
                    })+
                }
            }
        }
    };
}
