//! The declaration of settings: a struct in which each field is declared with its name in JSON, reader,
//! default and check.
use std::time::Duration;

/// Declares a struct of settings, with one line for each field:
///
/// ```text
/// field: Type = "name", reader, default, check;
/// field: Type = "name", reader, default, check, on_reload;
/// ```
///
/// - `name`: the field in JSON; a path (`binds.admin`) leads through objects. In a row it is the column.
/// - `reader`: from [`crate::readers`], or any function from a JSON value to the type or a `FieldError`.
/// - `default`: [`required`], [`default_to`] a value, or [`default_ms`]. It applies if the field is left out
///   or null.
/// - `check`: from [`crate::checks`], or any function from the value to `Ok(())` or `Err` with what was
///   expected. It reads as the end of the error "FIELD is VALUE, expected ...". Defaults are not checked.
/// - `on_reload`: how a running process handles a new value, from [`crate::reloadable`]. Without one the
///   field needs a restart.
///
/// The macro generates the struct, its `Default`, `from_source` and `Reloadable`. Fields in JSON that aren't
/// declared are skipped, so that settings written for a newer version can be read.
macro_rules! table {
    ($(#[$struct_doc:meta])* $vis:vis struct $table:ident {
        $($(#[$field_doc:meta])* $field:ident: $kind:ty = $name:literal, $reader:expr, $default:expr, $check:expr
            $(, $on_reload:expr)?;)*
    }) => {
        $(#[$struct_doc])*
        #[derive(Debug, Clone, PartialEq)]
        $vis struct $table { $($(#[$field_doc])* pub $field: $kind,)* }

        impl Default for $table {
            fn default() -> Self {
                $(let $field: Option<$kind> = $default;)*
                $table { $($field: $field.unwrap_or_default(),)* }
            }
        }

        impl $table {
            pub(crate) fn from_source(
                source: &impl $crate::source::FieldSource,
            ) -> Result<Self, $crate::error::FieldError> {
                use $crate::source::read_field;
                // The closure lets a check take `&str` for a `String`.
                Ok($table {
                    $($field: read_field(source, $name, $reader, $default, |value: &$kind| $check(value))?,)*
                })
            }
        }

        impl $crate::reloadable::Reloadable for $table {
            fn reload_fields(&mut self, new: Self, path: &str, report: &mut $crate::reloadable::Report) {
                use $crate::reloadable::*;
                $(
                    let on_reload: OnReload<$kind> = $crate::table::last_of!(needs_restart $(, $on_reload)?);
                    on_reload(&mut self.$field, new.$field, &join_path(path, $name), report);
                )*
            }
        }
    };
}
pub(crate) use table;

/// The last of one or two expressions.
macro_rules! last_of {
    ($default:expr) => {
        $default
    };
    ($default:expr, $given:expr) => {
        $given
    };
}
pub(crate) use last_of;

/// The field has to be given.
pub(crate) fn required<T>() -> Option<T> {
    None
}

/// The value of a field that is left out.
pub(crate) fn default_to<T>(default: T) -> Option<T> {
    Some(default)
}

/// [`default_to`] a duration in milliseconds.
pub(crate) const fn default_ms(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}
