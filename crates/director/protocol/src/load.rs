//! Load reports of hosts: pairs of a name and a number, as JSON in collectors' messages or as text in the responses to
//! health checks.

use serde_json::Value;

/// First word of a report in text form.
const TEXT_FORMAT: &str = "TEXT";

/// Path of a host's health check.
pub const HEALTH_PATH: &str = "/health";

/// Path of a host's health check whose response carries the host's load report as its body.
pub const LOAD_PATH: &str = "/status/load";

/// One load report: numbers by their names, which the settings list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    values: Vec<(String, f64)>,
    /// Number of entries that were ignored because their value was not a finite number of 0 or more.
    pub invalid_entries: u64,
}

impl Report {
    /// The value with this name; the first one if there are several.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.values.iter().find(|(known, _)| known == name).map(|(_, value)| *value)
    }

    fn insert(&mut self, name: &str, value: Option<f64>) {
        match value.filter(|value| value.is_finite() && *value >= 0.0) {
            Some(value) => self.values.push((name.to_string(), value)),
            None => self.invalid_entries += 1,
        }
    }

    /// Parses a report from JSON. Null is an empty report; any other value that is not an object counts as one invalid
    /// entry.
    pub(crate) fn from_json(value: &Value) -> Self {
        let mut report = Report::default();
        match value {
            Value::Object(entries) => {
                for (name, value) in entries {
                    report.insert(name, value.as_f64());
                }
            }
            Value::Null => {}
            _ => report.invalid_entries += 1,
        }
        report
    }

    /// Parses a report from text such as `TEXT inflight=7, queue=2`. An empty text is an empty report; a text that does
    /// not begin with `TEXT` counts as one invalid entry.
    pub fn parse_text(body: &[u8]) -> Self {
        let mut report = Report::default();
        let text = String::from_utf8_lossy(body);
        let text = text.trim();
        if text.is_empty() {
            return report;
        }
        let Some(entries) = text.strip_prefix(TEXT_FORMAT) else {
            report.invalid_entries += 1;
            return report;
        };
        for entry in entries.split(',').map(str::trim) {
            if entry.is_empty() {
                continue;
            }
            let (name, value) = entry.split_once('=').unwrap_or((entry, ""));
            report.insert(name.trim(), value.trim().parse().ok());
        }
        report
    }
}

#[cfg(test)]
mod tests;
