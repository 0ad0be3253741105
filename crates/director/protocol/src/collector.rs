//! Messages that collectors and health checkers send to the director's listening address, one JSON object per line.

use crate::load::Report;
use crate::number::non_negative;
use crate::ParseError;
use serde::Deserialize;
use std::borrow::Cow;

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Longest period that a report may cover, in milliseconds: an hour. Collectors report each second, so a collector that
/// has accumulated a longer period was disconnected for nearly all of it.
const MAX_WINDOW_MS: f64 = 3_600_000.0;

/// The answer to [`CollectorMessage::HealthCheck`].
pub const HEALTH_CHECK_RESPONSE: &[u8] = b"{\"msg\":\"alive\"}\n";

/// One message. Names borrow from the line unless they hold JSON escapes.
#[derive(Debug, PartialEq)]
pub enum CollectorMessage<'a> {
    /// A health check of the director itself, answered with [`HEALTH_CHECK_RESPONSE`].
    HealthCheck,
    /// The sender is the collector of the zone with this name.
    Register(Cow<'a, str>),
    /// The outcomes of the attempts that the proxies of one zone made at one host.
    AttemptReport {
        /// Name of the proxies' zone.
        zone: Cow<'a, str>,
        /// Id of the host.
        host: Cow<'a, str>,
        /// Attempts that ended in the period, dropped ones included.
        attempts: u64,
        /// Attempts without a usable answer. May exceed `attempts`: attempts that began in an earlier period end in
        /// this one.
        dropped: u64,
        /// Mean response time of the answered attempts, seconds; 0 where none was answered.
        mean_response_time: f64,
        /// Length of the period, seconds.
        window: f64,
        /// The host's load report as received by the proxies; empty if there is none.
        report: Report,
    },
    /// The requests that all proxies received for one slice and one route.
    DemandReport {
        /// Number of the slice.
        slice: u16,
        /// Name of the route.
        route: Cow<'a, str>,
        /// Requests received in the period.
        requests: u64,
        /// Requests that were dropped. May exceed `requests`: requests that were received in an earlier period may be
        /// dropped in this one.
        dropped: u64,
        /// Length of the period, seconds.
        window: f64,
    },
}

/// Borrows a name from the input. Serde always copies the text of a plain `Option<Cow<str>>`.
#[derive(Deserialize)]
#[serde(transparent)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

/// The fields of all messages. Serde's error texts contain the name of this type, so it must not be renamed.
#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    msg: Cow<'a, str>,
    #[serde(borrow)]
    az: Option<Name<'a>>,
    #[serde(borrow)]
    host: Option<Name<'a>>,
    #[serde(borrow)]
    kind: Option<Name<'a>>,
    partition: Option<u16>,
    #[serde(rename = "n")]
    count: Option<u64>,
    #[serde(rename = "bad")]
    dropped: Option<u64>,
    #[serde(rename = "avg")]
    average_ms: Option<f64>,
    #[serde(rename = "window")]
    window_ms: Option<f64>,
    report: Option<serde_json::Value>,
}

/// The fields that attempt reports and demand reports have in common.
struct Counts {
    count: u64,
    dropped: u64,
    /// Length of the period, seconds.
    period: f64,
}

fn required<T>(value: Option<T>, field: &str) -> Result<T, ParseError> {
    value.ok_or_else(|| ParseError::missing(field))
}

impl<'a> Raw<'a> {
    fn counts(&self) -> Result<Counts, ParseError> {
        let window_ms = required(self.window_ms, "window")?;
        if !(window_ms > 0.0 && window_ms <= MAX_WINDOW_MS) {
            return Err(ParseError::invalid("window", window_ms, "milliseconds, an hour at most"));
        }
        Ok(Counts {
            count: required(self.count, "n")?,
            dropped: required(self.dropped, "bad")?,
            period: window_ms / 1e3,
        })
    }

    fn into_attempt_report(self) -> Result<CollectorMessage<'a>, ParseError> {
        let Counts { count, dropped, period } = self.counts()?;
        // A missing average must not be taken for a response time of 0.
        let average_ms = if count > dropped { required(self.average_ms, "avg")? } else { 0.0 };
        let average_ms = non_negative(average_ms, "avg")?;
        Ok(CollectorMessage::AttemptReport {
            zone: required(self.az, "az")?.0,
            host: required(self.host, "host")?.0,
            attempts: count,
            dropped,
            mean_response_time: average_ms / 1e3,
            window: period,
            report: self.report.as_ref().map(Report::from_json).unwrap_or_default(),
        })
    }

    fn into_demand_report(self) -> Result<CollectorMessage<'a>, ParseError> {
        let Counts { count, dropped, period } = self.counts()?;
        Ok(CollectorMessage::DemandReport {
            slice: required(self.partition, "partition")?,
            route: required(self.kind, "kind")?.0,
            requests: count,
            dropped,
            window: period,
        })
    }
}

impl<'a> CollectorMessage<'a> {
    /// Parses one line.
    ///
    /// # Errors
    /// The line is not a JSON object, its `msg` is unknown, or a field of that message is missing or invalid.
    pub fn parse(line: &'a [u8]) -> Result<Self, ParseError> {
        let raw: Raw<'a> = serde_json::from_slice(line)?;
        match raw.msg.as_ref() {
            "probe" => Ok(CollectorMessage::HealthCheck),
            "agent" => Ok(CollectorMessage::Register(required(raw.az, "az")?.0)),
            "outcomes" => raw.into_attempt_report(),
            "hot" => raw.into_demand_report(),
            unknown => Err(ParseError::invalid("msg", unknown, "agent, outcomes, hot or probe")),
        }
    }
}

/// Whether a line is a JSON object and therefore counts as a message, even if it is an invalid one.
pub fn is_message(line: &[u8]) -> bool {
    line.trim_ascii_start().starts_with(b"{") && serde_json::from_slice::<serde::de::IgnoredAny>(line).is_ok()
}

/// Whether an incomplete line can no longer become a message. `line` is what has been received of it so far, and
/// `new_bytes` is the part that was received last. JSON allows no control characters except white space between its
/// tokens.
pub fn cannot_become_message(line: &[u8], new_bytes: &[u8]) -> bool {
    let is_forbidden = |byte: &u8| *byte < b' ' && !b"\t\r\n".contains(byte);
    let first = line.iter().find(|byte| !byte.is_ascii_whitespace());
    first.is_some_and(|first| *first != b'{') || new_bytes.iter().any(is_forbidden)
}

#[cfg(test)]
mod tests;
