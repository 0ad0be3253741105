//! Flattens nested settings into a map from path to text.

use serde_json::Value;
use std::collections::BTreeMap;

/// Precedes each value of a list. Names may contain commas but not this character.
const UNIT_SEPARATOR: char = '\u{1f}';

/// Maps the path of each value of a JSON object to its text. A path joins the names of the nested fields by dots, the
/// outermost first. The items of a list that holds objects are named by their index, from 0, and an additional field
/// `count` holds the list's length. Any other list becomes one text, with a unit separator before each value. Null
/// values are left out.
pub(super) fn flatten(settings: &Value) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    insert("", settings, &mut values);
    values
}

fn insert(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                insert(&join(path, name), field, values);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(format!("{path}.count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                insert(&format!("{path}.{index}"), item, values);
            }
        }
        Value::Array(items) => {
            let texts = items.iter().filter_map(scalar_text);
            let list = texts.map(|text| format!("{UNIT_SEPARATOR}{text}")).collect();
            values.insert(path.to_string(), list);
        }
        scalar => {
            if let Some(text) = scalar_text(scalar) {
                values.insert(path.to_string(), text);
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}
