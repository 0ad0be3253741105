//! Readers convert a JSON value to the type of a field, or return an error that says what was expected.
use crate::error::FieldError;
use crate::time::parse_duration;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// A function that reads the value of a field.
pub(crate) trait Reader<T>: Fn(&Value) -> Result<T, FieldError> {}

impl<T, F: Fn(&Value) -> Result<T, FieldError>> Reader<T> for F {}

pub(crate) fn text(value: &Value) -> Result<String, FieldError> {
    value.as_str().map(str::to_owned).ok_or_else(|| FieldError::new(value, "text"))
}

/// A field that may be left out; it is then `None`.
pub(crate) fn optional<T>(read: impl Reader<T>) -> impl Reader<Option<T>> {
    move |value: &Value| read(value).map(Some)
}

pub(crate) fn boolean(value: &Value) -> Result<bool, FieldError> {
    value.as_bool().ok_or_else(|| FieldError::new(value, "true or false"))
}

/// An integer that fits the type. Integral floats such as `2.0` are accepted.
pub(crate) fn unsigned<T: TryFrom<u64>>(value: &Value) -> Result<T, FieldError> {
    let is_integer = |number: &f64| number.fract() == 0.0 && (0.0..u64::MAX as f64).contains(number);
    let from_float = value.as_f64().filter(is_integer).map(|number| number as u64);
    let number = value.as_u64().or(from_float).and_then(|number| T::try_from(number).ok());
    number.ok_or_else(|| FieldError::new(value, "a whole number that isn't below 0 and fits"))
}

pub(crate) fn non_negative(value: &Value) -> Result<f64, FieldError> {
    let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or_else(|| FieldError::new(value, "a number that isn't below 0"))
}

/// A duration with its unit, `"1500ms"` or `"2.5s"`.
pub(crate) fn time(value: &Value) -> Result<Duration, FieldError> {
    let time = value.as_str().and_then(parse_duration);
    time.ok_or_else(|| FieldError::new(value, "a time such as \"1500ms\" or \"2.5s\""))
}

pub(crate) fn list<T>(read: impl Reader<T>) -> impl Reader<Vec<T>> {
    move |value: &Value| {
        let items = value.as_array().ok_or_else(|| FieldError::new(value, "a list"))?;
        let item = |(index, item)| read(item).map_err(|error| error.within(&format!("[{index}]")));
        items.iter().enumerate().map(item).collect()
    }
}

/// An object whose values are all text.
pub(crate) fn text_map(value: &Value) -> Result<BTreeMap<String, String>, FieldError> {
    let entry =
        |(key, value): (&String, &Value)| Ok((key.clone(), text(value).map_err(|error| error.within(key))?));
    object(value)?.iter().map(entry).collect()
}

pub(crate) fn object(value: &Value) -> Result<&Map<String, Value>, FieldError> {
    value.as_object().ok_or_else(|| FieldError::new(value, "a table"))
}
