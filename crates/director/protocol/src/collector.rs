//! What comes to the director's own address: a JSON object a line.

use crate::load::Report;
use crate::{sound, Fault};
use serde::Deserialize;
use std::borrow::Cow;

/// Most bytes in a message.
pub const MOST: usize = 1 << 20;

/// Milliseconds that a sum can cover: an hour, as one that reports each second is long lost by then.
const WINDOW_MOST: f64 = 3_600_000.0;

/// The answer to `Line::Probe`.
pub const ALIVE: &[u8] = b"{\"msg\":\"alive\"}\n";

#[derive(Debug, PartialEq)]
pub enum Line<'a> {
    Probe,
    /// The sender is the collector of a zone.
    Zone(Cow<'a, str>),
    Tries {
        zone: Cow<'a, str>,
        host: Cow<'a, str>,
        tries: u64,
        dropped: u64,
        /// Seconds; 0 where none was answered.
        rt: f64,
        span: f64,
        report: Report,
    },
    Demand {
        slice: u16,
        route: Cow<'a, str>,
        calls: u64,
        dropped: u64,
        span: f64,
    },
}

/// A name goes on as the bytes that came, wherever nothing in it is escaped.
#[derive(Deserialize)]
#[serde(transparent)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

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
    n: Option<u64>,
    bad: Option<u64>,
    avg: Option<f64>,
    window: Option<f64>,
    report: Option<serde_json::Value>,
}

fn need<T>(value: Option<T>, field: &str) -> Result<T, Fault> {
    value.ok_or_else(|| Fault::missing(field))
}

impl<'a> Raw<'a> {
    /// Calls, those dropped, and the span in seconds. More may be dropped than came: calls that came in an earlier
    /// span end in this one.
    fn counts(&self) -> Result<(u64, u64, f64), Fault> {
        let window = need(self.window, "window")?;
        if !(window > 0.0 && window <= WINDOW_MOST) {
            return Err(Fault::odd("window", "milliseconds, an hour at most"));
        }
        Ok((need(self.n, "n")?, need(self.bad, "bad")?, window / 1e3))
    }
}

impl<'a> Line<'a> {
    pub fn parse(line: &'a [u8]) -> Result<Self, Fault> {
        let raw: Raw<'a> = serde_json::from_slice(line)?;
        Ok(match raw.msg.as_ref() {
            "probe" => Line::Probe,
            "agent" => Line::Zone(need(raw.az, "az")?.0),
            "outcomes" => {
                let (tries, dropped, span) = raw.counts()?;
                Line::Tries {
                    tries,
                    dropped,
                    span,
                    // Without it the answered ones would seem to have taken no time.
                    rt: sound(if tries > dropped { need(raw.avg, "avg")? } else { 0.0 }, "avg")? / 1e3,
                    zone: need(raw.az, "az")?.0,
                    host: need(raw.host, "host")?.0,
                    report: raw.report.as_ref().map(Report::json).unwrap_or_default(),
                }
            }
            "hot" => {
                let (calls, dropped, span) = raw.counts()?;
                let slice = need(raw.partition, "partition")?;
                Line::Demand { slice, calls, dropped, span, route: need(raw.kind, "kind")?.0 }
            }
            _ => return Err(Fault::odd("msg", "agent, outcomes, hot or probe")),
        })
    }
}

/// Whether a line is a message at all, with whatever fault.
pub fn readable(line: &[u8]) -> bool {
    line.trim_ascii_start().starts_with(b"{") && serde_json::from_slice::<serde::de::IgnoredAny>(line).is_ok()
}

/// Whether a line that begins with `begun`, `piece` being its newest part, can't become a message any more. JSON
/// holds no control characters but these between its parts.
pub fn hopeless(begun: &[u8], piece: &[u8]) -> bool {
    let first = begun.iter().find(|byte| !byte.is_ascii_whitespace());
    first.is_some_and(|first| *first != b'{')
        || piece.iter().any(|byte| *byte < b' ' && !b"\t\r\n".contains(byte))
}

#[cfg(test)]
mod tests;
