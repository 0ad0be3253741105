//! The types of fields that are no plain numbers and words.

use coppersail_settings::{word_enum, Fields, InvalidField, LineField, Value};
use std::fmt::Write;

/// Stands for bytes of which there are none.
const NO_BYTES: &str = "-";

/// Stands for all other instances.
const ALL_OTHERS: &str = "*";

/// The bytes of a message between instances; two hex digits each, `-` if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Octets(pub Vec<u8>);

impl Value for Octets {
    const EXPECTED: &'static str = "hex digits, or - if empty";

    fn parse(text: &str) -> Option<Self> {
        if text == NO_BYTES {
            return Some(Octets(Vec::new()));
        }
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_empty() || !text.len().is_multiple_of(2) || !is_hex {
            return None;
        }
        let byte_at = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
        (0..text.len()).step_by(2).map(byte_at).collect::<Option<Vec<u8>>>().map(Octets)
    }

    fn write_text(&self, out: &mut String) {
        if self.0.is_empty() {
            out.push_str(NO_BYTES);
        }
        for byte in &self.0 {
            // Writing to a string cannot fail.
            let _ = write!(out, "{byte:02x}");
        }
    }
}

/// Who receives a message between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    /// The instance of this number.
    One(u64),
    /// All others.
    Others,
}

impl Value for Receiver {
    const EXPECTED: &'static str = "a whole number, or * for all others";

    fn parse(text: &str) -> Option<Self> {
        if text == ALL_OTHERS {
            return Some(Receiver::Others);
        }
        text.parse().ok().map(Receiver::One)
    }

    fn write_text(&self, out: &mut String) {
        match self {
            Receiver::One(id) => id.write_text(out),
            Receiver::Others => out.push_str(ALL_OTHERS),
        }
    }
}

/// A load report: `name:number` pairs separated by commas, in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Telemetry(pub Vec<(String, f64)>);

impl Telemetry {
    /// The number under this name; the first, if there are several.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, number)| *number)
    }
}

impl Value for Telemetry {
    const EXPECTED: &'static str = "name:number pairs set apart by commas";

    fn parse(text: &str) -> Option<Self> {
        let pairs = text.split(',').filter(|pair| !pair.is_empty());
        pairs.map(parse_pair).collect::<Option<Vec<_>>>().map(Telemetry)
    }

    fn write_text(&self, out: &mut String) {
        for (index, (name, number)) in self.0.iter().enumerate() {
            if index > 0 {
                out.push(',');
            }
            let _ = write!(out, "{name}:{number}");
        }
    }
}

fn parse_pair(pair: &str) -> Option<(String, f64)> {
    let (name, number) = pair.split_once(':')?;
    Some((name.to_string(), f64::parse(number)?))
}

/// A text that runs to the end of its line. Line breaks in it are written as spaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text(pub String);

impl LineField for Text {
    fn read(fields: &Fields<'_>, name: &str) -> Result<Self, InvalidField> {
        let line = format!(" {}", fields.text());
        let start = format!(" {name}=");
        match line.find(&start) {
            Some(at) => Ok(Text(line[at + start.len()..].to_string())),
            None => Err(InvalidField {
                field: name.to_string(),
                found: None,
                expected: "text to the end of the line",
            }),
        }
    }

    fn write(&self, name: &str, out: &mut String) {
        let text = self.0.replace(['\n', '\r'], " ");
        let _ = write!(out, " {name}={text}");
    }
}

word_enum!(
    /// What the entries of an endpoint list are.
    Scope, "0 (delta), 1 (full), 2 (cached) or 3 (failed)",
    /// Those that have changed.
    "0" => Delta,
    /// All hosts; others are gone.
    "1" => Full,
    /// All hosts as the instance last knew them, maybe out of date.
    "2" => Cached,
    /// None: the subscription or the request has failed.
    "3" => Failed,
);
word_enum!(
    /// Whether a host takes requests.
    Status, "1 (gone), 2 (draining) or 3 (ready)",
    /// Terminated.
    "1" => Gone,
    /// Finishes what it has and takes nothing new.
    "2" => Draining,
    /// In service.
    "3" => Ready,
);
word_enum!(
    /// How a request is retried.
    Resend, "0, 1, 2 or 3",
    /// Not at all.
    "0" => None,
    /// Once, where the first attempt did not run.
    "1" => NeverRan,
    /// Once.
    "2" => One,
    /// Twice.
    "3" => Two,
);
word_enum!(
    /// How a health check ended.
    Outcome, "an outcome code",
    /// With an answer.
    "success" => Success,
    /// With an error as answer.
    "failure" => Failure,
    /// It was rejected as too much.
    "overloaded" => Overloaded,
    /// Without an answer in time.
    "timed_out" => TimedOut,
    /// Without a connection.
    "unreachable" => Unreachable,
    /// The connection broke.
    "broken" => Broken,
    /// The host is withdrawn.
    "withdrawn" => Withdrawn,
    /// With an answer that is none.
    "void" => Void,
);
