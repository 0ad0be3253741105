//! Reads the complete operators' file. Reading continues after an error, so that one run reports all errors.

use crate::fault::Fault;
use crate::field::{Document, Field, MAX_FIELDS};
use crate::json::{JsonValue, DUPLICATE_NAME};
use crate::line_lookup::line_of;
use crate::validation::{unmet_expectation, SettingsNames};
use crate::value::Value;

/// The version of the file format that this program reads.
const FORMAT_VERSION: f64 = 1.0;
/// Limit of a socket's path, in bytes; operating systems allow little more.
const MAX_SOCKET_PATH_BYTES: usize = 100;
/// Limit of a file's path, in bytes.
const MAX_FILE_PATH_BYTES: usize = 4096;

/// Settings that take effect only when the director starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartConfig {
    /// Path of the socket for operators' commands; `None`: there is none.
    pub socket: Option<String>,
    /// Path of the change log; `None`: changes are kept in memory only.
    pub history: Option<String>,
    /// Format of the program's log.
    pub log: LogFormat,
}

/// Format of the program's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The content of a valid file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorFile {
    /// Settings that take effect only when the director starts.
    pub start: StartConfig,
    /// The fields that may change while the director runs.
    pub document: Document,
}

/// Reads and validates a file; if `known` is given, also against the director's settings. `json` is the
/// evaluated file; `source` is its text, in which lines are looked up. For plain JSON both are the same.
///
/// # Errors
///
/// All errors in the file, in the order of the file.
pub fn read(
    file: &str,
    source: &str,
    json: &str,
    known: Option<&SettingsNames>,
) -> Result<OperatorFile, Vec<Fault>> {
    let content = OperatorFile::default();
    let mut reader = Reader { file, source, known, faults: Vec::new(), content };
    match serde_json::from_str::<JsonValue>(json) {
        Ok(value) => reader.read_file(&value),
        Err(error) => reader.report_syntax(&error, source == json),
    }
    if reader.content.document.len() > MAX_FIELDS {
        reader.report(&[], format!("at most {MAX_FIELDS} fields"));
    }
    if reader.faults.is_empty() {
        Ok(reader.content)
    } else {
        Err(reader.faults)
    }
}

struct Reader<'a> {
    file: &'a str,
    source: &'a str,
    known: Option<&'a SettingsNames>,
    faults: Vec<Fault>,
    content: OperatorFile,
}

impl Reader<'_> {
    fn report(&mut self, path: &[&str], expected: impl Into<String>) {
        let line = line_of(self.source, path);
        self.report_at(line, path.join("."), expected.into());
    }

    fn report_at(&mut self, line: usize, field: String, expected: String) {
        self.faults.push(Fault { file: self.file.to_string(), line, field, expected });
    }

    /// Reports a syntax error. The line is included only for plain JSON, as lines of evaluated Jsonnet mean
    /// nothing to its author.
    fn report_syntax(&mut self, error: &serde_json::Error, is_plain_json: bool) {
        let line = if is_plain_json { error.line() } else { 0 };
        let text = error.to_string();
        let text = text.split(" at line ").next().unwrap_or_default();
        let expected =
            if text.contains(DUPLICATE_NAME) { text.to_string() } else { format!("JSON ({text})") };
        self.report_at(line, String::new(), expected);
    }

    fn read_file(&mut self, file: &JsonValue) {
        if file.get("form").is_none() {
            let expected = format!("{FORMAT_VERSION}, the form that this program reads; it is missing");
            self.report(&["form"], expected);
        }
        for (name, value) in self.object(&[], file) {
            self.read_section(name, value);
        }
    }

    fn read_section(&mut self, name: &str, value: &JsonValue) {
        match name {
            "form" if *value == JsonValue::Number(FORMAT_VERSION) => {}
            "form" => self.report(&["form"], format!("{FORMAT_VERSION}, the form that this program reads")),
            "hosts" => self.read_named("hosts", value, &["weight", "drained", "leaves"]),
            "zones" => self.read_named("zones", value, &["weight"]),
            "routes" => self.read_named("routes", value, &["ceiling", "again"]),
            "apart" => self.read_apart(value),
            "changes" => self.read_changes(value),
            "guard" => self.read_guard(value),
            "control" => self.read_control(value),
            "log" => self.read_log(value),
            _ => {
                self.report(&[name], "one of form, hosts, zones, routes, apart, changes, guard, control, log")
            }
        }
    }

    /// Reads the sections `hosts`, `zones` and `routes`, which map names to objects with the `allowed`
    /// properties.
    fn read_named(&mut self, section: &str, value: &JsonValue, allowed: &[&str]) {
        for (name, properties) in self.object(&[section], value) {
            for (property, value) in self.object(&[section, name], properties) {
                let path = [section, name.as_str(), property.as_str()];
                match path.join(".").parse() {
                    Ok(field) if allowed.contains(&property.as_str()) => self.set(&path, field, value),
                    _ => self.report(&path, format!("one of {}", allowed.join(", "))),
                }
            }
        }
    }

    fn read_apart(&mut self, value: &JsonValue) {
        for (slice, hosts) in self.object(&["apart"], value) {
            let JsonValue::Array(hosts) = hosts else {
                self.report(&["apart", slice], "a list of hosts");
                continue;
            };
            for host in hosts {
                self.read_apart_host(slice, host);
            }
        }
    }

    fn read_apart_host(&mut self, slice: &str, host: &JsonValue) {
        if let JsonValue::Text(host) = host {
            if let Ok(field) = format!("apart.{slice}.{host}").parse() {
                return self.set(&["apart", slice, host], field, &JsonValue::Flag(true));
            }
        }
        self.report(&["apart", slice], "a slice's number, with a list of hosts");
    }

    fn read_changes(&mut self, value: &JsonValue) {
        for (name, value) in self.object(&["changes"], value) {
            match name.as_str() {
                "trial" => self.set(&["changes", name], Field::Trial, value),
                "judge" => self.set(&["changes", name], Field::Analysis, value),
                "history" => {
                    self.content.start.history =
                        self.file_path(&["changes", name], value, MAX_FILE_PATH_BYTES);
                }
                _ => self.report(&["changes", name], "one of trial, judge, history"),
            }
        }
    }

    fn read_guard(&mut self, value: &JsonValue) {
        for (name, value) in self.object(&["guard"], value) {
            match name.as_str() {
                "mode" => self.set(&["guard", name], Field::Guard, value),
                _ => self.report(&["guard", name], "mode"),
            }
        }
    }

    fn read_control(&mut self, value: &JsonValue) {
        for (name, value) in self.object(&["control"], value) {
            match name.as_str() {
                "socket" => {
                    self.content.start.socket =
                        self.file_path(&["control", name], value, MAX_SOCKET_PATH_BYTES);
                }
                _ => self.report(&["control", name], "socket"),
            }
        }
    }

    fn read_log(&mut self, value: &JsonValue) {
        match value {
            JsonValue::Text(format) if format == "text" => self.content.start.log = LogFormat::Text,
            JsonValue::Text(format) if format == "json" => self.content.start.log = LogFormat::Json,
            _ => self.report(&["log"], "text or json"),
        }
    }

    /// The members of an object; anything else is reported and read as empty.
    fn object<'v>(&mut self, path: &[&str], value: &'v JsonValue) -> &'v [(String, JsonValue)] {
        if let JsonValue::Object(members) = value {
            return members;
        }
        self.report(path, "an object");
        &[]
    }

    fn set(&mut self, path: &[&str], field: Field, json: &JsonValue) {
        let value = match json {
            JsonValue::Null => return,
            JsonValue::Flag(flag) => Some(Value::Flag(*flag)),
            JsonValue::Number(number) => Some(Value::Number(*number)),
            JsonValue::Text(text) => Value::from_name(text),
            _ => None,
        };
        let Some(value) = value else { return self.report(path, field.expected()) };
        match unmet_expectation(&field, &value, self.known) {
            None => drop(self.content.document.insert(field, value)),
            Some(expected) => self.report(path, expected),
        }
    }

    /// A file system path of at most `limit` bytes.
    fn file_path(&mut self, path: &[&str], value: &JsonValue, limit: usize) -> Option<String> {
        match value {
            JsonValue::Null => None,
            JsonValue::Text(text) if !text.is_empty() && text.len() <= limit => Some(text.clone()),
            _ => {
                self.report(path, format!("a path of at most {limit} bytes"));
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
