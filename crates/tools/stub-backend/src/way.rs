//! To which centre a beat goes, and how long to wait after it failed.
use std::time::Duration;

/// The first pause after a failure; it doubles to at most a second, a beat's own patience.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// ```
/// use coppersail_stub_backend::Way;
/// let mut way = Way::new(vec!["10.0.0.1:80".into(), "10.0.0.2:80".into()], 0);
/// way.answered(Some("10.0.0.9:80"));
/// assert_eq!(way.target(), "10.0.0.9:80");
/// way.failed();
/// assert_eq!(way.target(), "10.0.0.1:80");
/// way.failed();
/// assert_eq!(way.target(), "10.0.0.2:80");
/// ```
#[derive(Debug, Clone)]
pub struct Way {
    listed: Vec<String>,
    at: usize,
    /// An answer's `reportTo`, until a beat there fails.
    told: Option<String>,
    failures: u32,
}

impl Way {
    /// `start` spreads hosts over the centres. The list must not be empty.
    pub fn new(listed: Vec<String>, start: usize) -> Way {
        Way { at: start % listed.len().max(1), listed, told: None, failures: 0 }
    }

    pub fn target(&self) -> &str {
        self.told.as_deref().unwrap_or(&self.listed[self.at])
    }

    pub fn answered(&mut self, report_to: Option<&str>) {
        self.failures = 0;
        if let Some(told) = report_to.filter(|told| !told.is_empty()) {
            self.told = Some(told.to_string());
        }
    }

    pub fn failed(&mut self) {
        self.failures += 1;
        if self.told.take().is_none() {
            self.at = (self.at + 1) % self.listed.len();
        }
    }

    /// How long to wait before the next call, if the last one failed.
    pub fn pause(&self) -> Option<Duration> {
        let doubled = |failures: u32| PAUSE.saturating_mul(1 << (failures - 1).min(16)).min(PAUSE_MAX);
        (self.failures > 0).then(|| doubled(self.failures))
    }
}

/// The address and the path of a `Location`, if it is one that can be followed.
pub fn location(text: &str) -> Option<(&str, &str)> {
    let rest = text.strip_prefix("http://")?;
    let slash = rest.find('/').unwrap_or(rest.len());
    Some((&rest[..slash], &rest[slash..]))
}
