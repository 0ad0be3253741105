//! Load reports: pairs of name and figure, as JSON with the sums and as text in the answers to probes.

use serde_json::Value;

/// Where a host answers whether it serves, and where it does the same with its report.
pub const HEALTH: &str = "/health";
pub const LOAD: &str = "/status/load";

/// The figures by the names that the settings give them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    figures: Vec<(String, f64)>,
    /// Entries that are no such figure.
    pub odd: u64,
}

impl Report {
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|(known, _)| known == name).map(|(_, figure)| *figure)
    }

    fn take(&mut self, name: &str, figure: Option<f64>) {
        match figure.filter(|figure| figure.is_finite() && *figure >= 0.0) {
            Some(figure) => self.figures.push((name.to_string(), figure)),
            None => self.odd += 1,
        }
    }

    pub(crate) fn json(value: &Value) -> Self {
        let mut report = Report::default();
        match value {
            Value::Object(pairs) => pairs.iter().for_each(|(name, value)| report.take(name, value.as_f64())),
            Value::Null => {}
            _ => report.odd += 1,
        }
        report
    }

    /// `TEXT inflight=7, queue=2`; an empty body reports nothing.
    pub fn text(body: &[u8]) -> Self {
        let mut report = Report::default();
        let text = String::from_utf8_lossy(body);
        let text = text.trim();
        match text.strip_prefix("TEXT") {
            Some(pairs) => {
                for pair in pairs.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
                    let (name, figure) = pair.split_once('=').unwrap_or((pair, ""));
                    report.take(name.trim(), figure.trim().parse().ok());
                }
            }
            None => report.odd += !text.is_empty() as u64,
        }
        report
    }
}

#[cfg(test)]
mod tests;
