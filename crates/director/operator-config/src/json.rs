//! A JSON value whose deserialization rejects duplicate names in an object; `serde_json::Value` would
//! silently keep the last one.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// The end of the error message for a duplicate name, which distinguishes that error from malformed JSON.
pub(crate) const DUPLICATE_NAME: &str = "once, it stands twice";

/// A JSON value; objects keep the order of the file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JsonValue {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    Array(Vec<JsonValue>),
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// The member of an object with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&JsonValue> {
        match self {
            JsonValue::Object(fields) => {
                fields.iter().find(|(member, _)| member == name).map(|(_, value)| value)
            }
            _ => None,
        }
    }
}

struct JsonVisitor;

impl<'de> Visitor<'de> for JsonVisitor {
    type Value = JsonValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }
    fn visit_unit<E>(self) -> Result<JsonValue, E> {
        Ok(JsonValue::Null)
    }
    fn visit_bool<E>(self, flag: bool) -> Result<JsonValue, E> {
        Ok(JsonValue::Flag(flag))
    }
    fn visit_i64<E>(self, number: i64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(number as f64))
    }
    fn visit_u64<E>(self, number: u64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(number as f64))
    }
    fn visit_f64<E>(self, number: f64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(number))
    }
    fn visit_str<E>(self, text: &str) -> Result<JsonValue, E> {
        Ok(JsonValue::Text(text.to_string()))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<JsonValue, A::Error> {
        let mut array = Vec::new();
        while let Some(item) = items.next_element()? {
            array.push(item);
        }
        Ok(JsonValue::Array(array))
    }
    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<JsonValue, A::Error> {
        let mut object: Vec<(String, JsonValue)> = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        while let Some((name, value)) = fields.next_entry::<String, JsonValue>()? {
            if !seen.insert(name.clone()) {
                return Err(A::Error::custom(format!("the name \"{name}\" {DUPLICATE_NAME}")));
            }
            object.push((name, value));
        }
        Ok(JsonValue::Object(object))
    }
}

impl<'de> Deserialize<'de> for JsonValue {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(JsonVisitor)
    }
}
