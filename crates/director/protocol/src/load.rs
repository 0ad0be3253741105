//! Load reports of hosts: pairs of name and number, as JSON within collectors' messages and as text in the answers to
//! health checks.

use serde_json::Value;

/// First word of a report as text.
const TEXT_FORMAT: &str = "TEXT";

/// Path at which a host answers whether it serves.
pub const HEALTH_PATH: &str = "/health";

/// Path at which a host answers whether it serves, with its load report as body.
pub const LOAD_PATH: &str = "/status/load";

/// One load report: numbers by the names that the settings give them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    values: Vec<(String, f64)>,
    /// Number of entries that were ignored, as they were no finite number of 0 or more.
    pub invalid_entries: u64,
}

impl Report {
    /// The value under this name; the first, if several are given.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.values.iter().find(|(known, _)| known == name).map(|(_, value)| *value)
    }

    fn insert(&mut self, name: &str, value: Option<f64>) {
        match value.filter(|value| value.is_finite() && *value >= 0.0) {
            Some(value) => self.values.push((name.to_string(), value)),
            None => self.invalid_entries += 1,
        }
    }

    /// Reads a report from JSON; null reports nothing, and anything else but an object counts as one ignored entry.
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

    /// Reads a report from text such as `TEXT inflight=7, queue=2`. An empty text reports nothing, and any other form
    /// counts as one ignored entry.
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
