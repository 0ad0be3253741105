//! One way to declare a setting: its field, type, reader, default and check. Files and rows are read by it alike.
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A setting that can't be taken.
///
/// ```
/// let fault = coppersail_config::Boot::from_json(r#"{"self": {"ipAddress": 7}}"#).unwrap_err();
/// assert_eq!(fault.to_string(), "self.ipAddress is 7, expected text");
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct FieldError {
    /// Where it stands: `network.binds.admin`, `routes.rows[3].giveUp`.
    pub field: String,
    /// As it was given, cut short; empty if it was left out.
    pub value: String,
    pub expected: &'static str,
}

/// Enough of a value to recognise it in a log.
const SHOWN: usize = 60;

impl FieldError {
    pub(crate) fn new(value: &Value, expected: &'static str) -> FieldError {
        FieldError { field: String::new(), value: shown(value), expected }
    }

    pub(crate) fn left_out(expected: &'static str) -> FieldError {
        FieldError { field: String::new(), value: String::new(), expected }
    }

    /// The same fault, seen from the table around it.
    pub(crate) fn under(mut self, place: &str) -> FieldError {
        let dot = if self.field.is_empty() || self.field.starts_with('[') { "" } else { "." };
        self.field = format!("{place}{dot}{}", self.field);
        self
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() { "the whole" } else { &self.field };
        match self.value.as_str() {
            "" => write!(f, "{field} is left out, expected {}", self.expected),
            value => write!(f, "{field} is {value}, expected {}", self.expected),
        }
    }
}

impl std::error::Error for FieldError {}

fn shown(value: &Value) -> String {
    cut(match value {
        Value::Array(list) if list.len() > 4 => format!("a list of {}", list.len()),
        Value::Object(map) if map.len() > 4 => format!("a table of {}", map.len()),
        _ => value.to_string(),
    })
}

pub(crate) fn cut(text: String) -> String {
    match text.char_indices().nth(SHOWN) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text,
    }
}

/// Where the fields of one table come from.
pub(crate) trait Source {
    /// The value of a field; nothing where it is left out or null.
    fn field(&self, name: &str) -> Option<&Value>;
}

impl Source for Map<String, Value> {
    /// `name` may lead through tables: `binds.admin`.
    fn field(&self, name: &str) -> Option<&Value> {
        let mut parts = name.split('.');
        let first = self.get(parts.next()?)?;
        parts.try_fold(first, |at, part| at.as_object()?.get(part)).filter(|v| !v.is_null())
    }
}

/// A row, under the columns of its table.
pub(crate) struct Row<'a> {
    pub columns: &'a [&'a str],
    pub values: &'a [Value],
}

impl Source for Row<'_> {
    fn field(&self, name: &str) -> Option<&Value> {
        let at = self.columns.iter().position(|column| *column == name)?;
        self.values.get(at).filter(|v| !v.is_null())
    }
}

/// Declares a table of settings: `field: Type = "name", reader, default, check;` for each.
/// A default is [`must`] (has to be given) or [`or`]; fields that aren't declared are passed over. What a running
/// process does with another value may follow the check: see [`crate::reread`]; where nothing does, it needs a restart.
macro_rules! table {
    ($(#[$about:meta])* $vis:vis struct $table:ident {
        $($(#[$note:meta])* $field:ident: $kind:ty = $name:literal, $read:expr, $default:expr, $check:expr
            $(, $again:expr)?;)*
    }) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq)]
        $vis struct $table { $($(#[$note])* pub $field: $kind,)* }

        impl Default for $table {
            fn default() -> Self {
                $(let $field: Option<$kind> = $default;)*
                $table { $($field: $field.unwrap_or_default(),)* }
            }
        }

        impl $table {
            pub(crate) fn from_source(source: &impl $crate::field::Source) -> Result<Self, $crate::field::FieldError> {
                Ok($table { $($field: $crate::field::take(source, $name, $read, $default, |taken: &$kind| $check(taken))?,)* })
            }
        }

        impl $crate::reload::Again for $table {
            fn again(&mut self, new: Self, place: &str, told: &mut $crate::reload::Told) {
                use $crate::reload::*;
                $(
                    let again: $crate::reload::Column<$kind> = $crate::field::given!(restart $(, $again)?);
                    again(&mut self.$field, new.$field, &$crate::reload::under(place, $name), told);
                )*
            }
        }
    };
}
pub(crate) use table;

/// The last of what is given.
macro_rules! given {
    ($default:expr) => {
        $default
    };
    ($default:expr, $given:expr) => {
        $given
    };
}
pub(crate) use given;

pub(crate) fn take<T>(
    source: &impl Source,
    name: &str,
    read: impl Fn(&Value) -> Result<T, FieldError>,
    default: Option<T>,
    check: impl Fn(&T) -> Result<(), &'static str>,
) -> Result<T, FieldError> {
    let Some(value) = source.field(name) else {
        return default.ok_or_else(|| FieldError::left_out("it to be given").under(name));
    };
    let taken = read(value).map_err(|fault| fault.under(name))?;
    check(&taken).map_err(|expected| FieldError::new(value, expected).under(name))?;
    Ok(taken)
}

pub(crate) fn must<T>() -> Option<T> {
    None
}

pub(crate) fn or<T>(default: T) -> Option<T> {
    Some(default)
}

pub(crate) fn any<T>(_: &T) -> Result<(), &'static str> {
    Ok(())
}

pub(crate) fn filled(text: &str) -> Result<(), &'static str> {
    match text.trim() {
        "" => Err("text that isn't empty"),
        _ => Ok(()),
    }
}

pub(crate) fn text(value: &Value) -> Result<String, FieldError> {
    value.as_str().map(str::to_owned).ok_or_else(|| FieldError::new(value, "text"))
}

pub(crate) fn maybe<T>(
    read: impl Fn(&Value) -> Result<T, FieldError>,
) -> impl Fn(&Value) -> Result<Option<T>, FieldError> {
    move |value| read(value).map(Some)
}

pub(crate) fn flag(value: &Value) -> Result<bool, FieldError> {
    value.as_bool().ok_or_else(|| FieldError::new(value, "true or false"))
}

/// A whole number of any size that fits; `2.0` is one too.
pub(crate) fn whole<T: TryFrom<u64>>(value: &Value) -> Result<T, FieldError> {
    let exact =
        value.as_f64().filter(|n| n.fract() == 0.0 && (0.0..u64::MAX as f64).contains(n)).map(|n| n as u64);
    let number = value.as_u64().or(exact).and_then(|n| T::try_from(n).ok());
    number.ok_or_else(|| FieldError::new(value, "a whole number that isn't below 0 and fits"))
}

pub(crate) fn fraction(value: &Value) -> Result<f64, FieldError> {
    let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
    number.ok_or_else(|| FieldError::new(value, "a number that isn't below 0"))
}

pub(crate) fn time(value: &Value) -> Result<Duration, FieldError> {
    let read = value.as_str().and_then(duration);
    read.ok_or_else(|| FieldError::new(value, "a time such as \"1500ms\" or \"2.5s\""))
}

pub(crate) fn list<T>(
    read: impl Fn(&Value) -> Result<T, FieldError>,
) -> impl Fn(&Value) -> Result<Vec<T>, FieldError> {
    move |value| {
        let items = value.as_array().ok_or_else(|| FieldError::new(value, "a list"))?;
        let one = |(at, item)| read(item).map_err(|fault| fault.under(&format!("[{at}]")));
        items.iter().enumerate().map(one).collect()
    }
}

pub(crate) fn texts(value: &Value) -> Result<BTreeMap<String, String>, FieldError> {
    object(value)?.iter().map(|(key, v)| Ok((key.clone(), text(v).map_err(|f| f.under(key))?))).collect()
}

pub(crate) fn object(value: &Value) -> Result<&Map<String, Value>, FieldError> {
    value.as_object().ok_or_else(|| FieldError::new(value, "a table"))
}

/// A time as the settings and the protocol write it: a number and its unit.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(coppersail_config::duration("1500ms"), Some(Duration::from_millis(1500)));
/// assert_eq!(coppersail_config::duration("2.5s"), Some(Duration::from_millis(2500)));
/// assert_eq!(coppersail_config::duration("-1s"), None);
/// assert_eq!(coppersail_config::duration("1500"), None);
/// ```
pub fn duration(text: &str) -> Option<Duration> {
    let (number, part) = match text.strip_suffix("ms") {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('s')?, 1.0),
    };
    // Only digits and a point: what else `f64` reads ("inf", "1e9", "-0") is no time.
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? / part).ok()
}

/// A time as a body or a settings file has it, to a tenth of a millisecond.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(coppersail_config::written(Duration::from_millis(4000)), "4000ms");
/// assert_eq!(coppersail_config::written(Duration::from_micros(1500)), "1.5ms");
/// ```
pub fn format_duration(time: Duration) -> String {
    match (time.as_micros() / 1000, time.as_micros() / 100 % 10) {
        (ms, 0) => format!("{ms}ms"),
        (ms, tenth) => format!("{ms}.{tenth}ms"),
    }
}
