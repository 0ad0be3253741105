//! Values as they stand on a line, one type each, read and written by the same rules.

use coppersail_settings::{words, Bad, Field, Parts, Value};
use std::fmt::Write;

/// What is wrong with a line. `line` counts from 1 over the whole input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: u64,
    pub message: String,
    pub field: String,
    pub expected: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}: field {}: expected {}", self.line, self.message, self.field, self.expected)
    }
}

impl std::error::Error for Fault {}

/// Payload of a message between directors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Octets(pub Vec<u8>);

impl Value for Octets {
    const EXPECTED: &'static str = "hex digits, or - if empty";
    fn parse(text: &str) -> Option<Self> {
        if text == "-" {
            return Some(Octets(Vec::new()));
        }
        let whole =
            !text.is_empty() && text.len().is_multiple_of(2) && text.bytes().all(|b| b.is_ascii_hexdigit());
        let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
        whole.then(|| (0..text.len()).step_by(2).map_while(byte).collect()).map(Octets)
    }
    fn print(&self, out: &mut String) {
        if self.0.is_empty() {
            out.push('-');
        }
        for byte in &self.0 {
            let _ = write!(out, "{byte:02x}");
        }
    }
}

/// Receiver of a message between directors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    One(u64),
    Others,
}

impl Value for Receiver {
    const EXPECTED: &'static str = "a whole number, or * for all others";
    fn parse(text: &str) -> Option<Self> {
        if text == "*" {
            return Some(Receiver::Others);
        }
        text.parse().ok().map(Receiver::One)
    }
    fn print(&self, out: &mut String) {
        match self {
            Receiver::One(id) => id.print(out),
            Receiver::Others => out.push('*'),
        }
    }
}

/// name:value pairs set apart by commas, in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Telemetry(pub Vec<(String, f64)>);

impl Telemetry {
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
    }
}

impl Value for Telemetry {
    const EXPECTED: &'static str = "name:number pairs set apart by commas";
    fn parse(text: &str) -> Option<Self> {
        let pair = |part: &str| {
            let (name, value) = part.split_once(':')?;
            Some((name.to_string(), f64::parse(value)?))
        };
        text.split(',').filter(|part| !part.is_empty()).map(pair).collect::<Option<_>>().map(Telemetry)
    }
    fn print(&self, out: &mut String) {
        for (at, (name, value)) in self.0.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            let _ = write!(out, "{comma}{name}:{value}");
        }
    }
}

/// Text that runs to the end of its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text(pub String);

impl Field for Text {
    fn read(parts: &Parts<'_>, name: &str) -> Result<Self, Bad> {
        let bad = || Bad { field: name.to_string(), expected: "text to the end of the line" };
        let opening = format!(" {name}=");
        let line = format!(" {}", parts.text);
        let at = line.find(&opening).ok_or_else(bad)?;
        Ok(Text(line[at + opening.len()..].to_string()))
    }
    fn write(&self, name: &str, out: &mut String) {
        let _ = write!(out, " {name}={}", self.0.replace(['\n', '\r'], " "));
    }
}

words!(Scope, "0 (delta), 1 (full), 2 (cached) or 3 (failed)",
    "0" => Delta, "1" => Full, "2" => Cached, "3" => Failed);
words!(Status, "1 (gone), 2 (draining) or 3 (ready)", "1" => Gone, "2" => Draining, "3" => Ready);
words!(Resend, "0, 1, 2 or 3", "0" => None, "1" => NeverRan, "2" => One, "3" => Two);
words!(Outcome, "an outcome code",
    "success" => Success, "failure" => Failure, "overloaded" => Overloaded, "timed_out" => TimedOut,
    "unreachable" => Unreachable, "broken" => Broken, "withdrawn" => Withdrawn, "void" => Void);
