//! The sources of a table's fields: a JSON object, or a row with named columns.
use crate::error::FieldError;
use crate::readers::{object, Reader};
use serde_json::{Map, Value};

/// A source of the fields of one table.
pub(crate) trait FieldSource {
    /// The value of a field; `None` if it is left out or null.
    fn field(&self, name: &str) -> Option<&Value>;
}

impl FieldSource for Map<String, Value> {
    /// `name` may be a path: `binds.admin`.
    fn field(&self, name: &str) -> Option<&Value> {
        let mut segments = name.split('.');
        let first = self.get(segments.next()?)?;
        segments
            .try_fold(first, |value, segment| value.as_object()?.get(segment))
            .filter(|value| !value.is_null())
    }
}

/// One row, with the names of its columns.
pub(crate) struct Row<'a> {
    columns: &'a [&'a str],
    values: &'a [Value],
}

impl FieldSource for Row<'_> {
    fn field(&self, name: &str) -> Option<&Value> {
        let index = self.columns.iter().position(|column| *column == name)?;
        self.values.get(index).filter(|value| !value.is_null())
    }
}

/// Reads `{"columns": [name...], "rows": [[value...]...]}`.
pub(crate) fn read_rows<T>(
    value: &Value,
    read: impl Fn(&Row) -> Result<T, FieldError>,
) -> Result<Vec<T>, FieldError> {
    let source = object(value)?;
    let array = |name: &str| {
        let value = source.field(name).ok_or_else(|| FieldError::missing("a list").within(name))?;
        value.as_array().ok_or_else(|| FieldError::new(value, "a list").within(name))
    };
    let column =
        |name| Value::as_str(name).ok_or_else(|| FieldError::new(name, "names of fields").within("columns"));
    let columns = array("columns")?.iter().map(column).collect::<Result<Vec<&str>, FieldError>>()?;
    let row = |(index, value): (usize, &Value)| {
        let values = value.as_array().filter(|values| values.len() == columns.len());
        values
            .ok_or_else(|| FieldError::new(value, "a value for each column"))
            .and_then(|values| read(&Row { columns: &columns, values }))
            .map_err(|error| error.within(&format!("rows[{index}]")))
    };
    array("rows")?.iter().enumerate().map(row).collect()
}

/// Reads one field: its value if it is given and passes the check, else its default. Without a default it is
/// required.
pub(crate) fn read_field<T>(
    source: &impl FieldSource,
    name: &str,
    read: impl Reader<T>,
    default: Option<T>,
    check: impl Fn(&T) -> Result<(), &'static str>,
) -> Result<T, FieldError> {
    let Some(value) = source.field(name) else {
        return default.ok_or_else(|| FieldError::missing("it to be given").within(name));
    };
    let result = read(value).map_err(|error| error.within(name))?;
    check(&result).map_err(|expected| FieldError::new(value, expected).within(name))?;
    Ok(result)
}
