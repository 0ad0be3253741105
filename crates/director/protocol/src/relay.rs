//! The relay's lines: calls of orders, their answers, and news.

use crate::{sound, Fault};
use std::fmt::Write;

/// Most bytes of orders in a call.
pub const MOST: usize = 60_000;

/// Asks for news; what stands comes first.
pub const FOLLOW: &[u8] = b"follow\r\n";

/// Further tries, as a number on the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    Never = 0,
    IfNeverRan = 1,
    Once = 2,
    Twice = 3,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order<'a> {
    Line {
        slice: u16,
        host: &'a str,
        weight: f64,
    },
    Clear {
        slice: u16,
    },
    Out {
        host: &'a str,
    },
    In {
        host: &'a str,
    },
    /// No slice: all; no routes: all.
    Admit {
        slice: Option<u16>,
        routes: Vec<&'a str>,
        level: f64,
        again: Again,
    },
    Mark {
        mark: u16,
        all: bool,
    },
}

impl Order<'_> {
    pub fn text(&self) -> String {
        match self {
            Order::Line { slice, host, weight } => format!("SET,{slice},{host},{weight}"),
            Order::Clear { slice } => format!("DEL,{slice}"),
            Order::Out { host } => format!("OUT,{host}"),
            Order::In { host } => format!("IN,{host}"),
            Order::Admit { slice, routes, level, again } => {
                let slice = slice.map_or("*".to_string(), |slice| slice.to_string());
                let routes = if routes.is_empty() { "*".to_string() } else { routes.join("+") };
                format!("LIMIT,{slice},{routes},{level},{}", *again as u8)
            }
            Order::Mark { mark, all } => format!("SYNC,{mark},{}", *all as u8),
        }
    }
}

/// One call of the orders given as texts.
pub fn call<'a>(orders: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let mut line = String::from("txn ");
    for (at, order) in orders.enumerate() {
        let _ = write!(line, "{}{order}", if at == 0 { "" } else { ";" });
    }
    line.push_str("\r\n");
    line.into_bytes()
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// So many orders were taken, counting from the first.
    Taken(usize),
    /// Turned away whole for now.
    Throttling,
    /// The relay holds the line for no call.
    Invalid,
    Unreadable,
}

impl Answer {
    pub fn parse(line: &[u8]) -> Self {
        let Ok(text) = std::str::from_utf8(line) else { return Answer::Unreadable };
        if let Some(taken) = text.strip_prefix("OK ").and_then(|taken| taken.trim().parse().ok()) {
            return Answer::Taken(taken);
        }
        let says = |error| text.split(|c: char| !c.is_ascii_alphabetic()).any(|word| word == error);
        match () {
            _ if says("Throttling") => Answer::Throttling,
            _ if says("ValidationError") => Answer::Invalid,
            _ => Answer::Unreadable,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum News<'a> {
    /// What stands now follows.
    Start,
    /// A sign of life.
    Life,
    Joined {
        proxy: u16,
        zone: &'a str,
        calls_per_s: f64,
        fresh: bool,
    },
    Left {
        proxy: u16,
    },
    Applied {
        proxy: u16,
        mark: u16,
        took: f64,
    },
    Given {
        slice: u16,
    },
    Taken {
        slice: u16,
    },
    StoredLine {
        slice: u16,
        host: &'a str,
        weight: f64,
    },
}

impl<'a> News<'a> {
    pub fn parse(line: &'a [u8]) -> Result<Self, Fault> {
        let text = std::str::from_utf8(line).map_err(|_| Fault("news that is no text".to_string()))?;
        let parts: Vec<&str> = text.trim_end().split(' ').collect();
        Ok(match parts[..] {
            ["OK"] => News::Start,
            ["*"] => News::Life,
            ["*", "hello", proxy, zone, share, fresh] => News::Joined {
                proxy: number(proxy, "sidecar")?,
                zone,
                calls_per_s: figure(share, "share")?,
                fresh: flag(fresh, "standing")?,
            },
            ["*", "bye", proxy] => News::Left { proxy: number(proxy, "sidecar")? },
            ["*", "ack", proxy, mark, took] => News::Applied {
                proxy: number(proxy, "sidecar")?,
                mark: number(mark, "version")?,
                took: figure(took, "lag_ms")? / 1e3,
            },
            ["*", "lease", slice, yes] => match flag(yes, "yes")? {
                true => News::Given { slice: number(slice, "partition")? },
                false => News::Taken { slice: number(slice, "partition")? },
            },
            ["*", "line", slice, host, weight] => News::StoredLine {
                slice: number(slice, "partition")?,
                host,
                weight: figure(weight, "weight")?,
            },
            _ => return Err(Fault("no line of news".to_string())),
        })
    }
}

fn number(text: &str, field: &str) -> Result<u16, Fault> {
    text.parse().map_err(|_| Fault::odd(field, "a whole number below 65536"))
}

fn figure(text: &str, field: &str) -> Result<f64, Fault> {
    sound(text.parse().unwrap_or(f64::NAN), field)
}

fn flag(text: &str, field: &str) -> Result<bool, Fault> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(Fault::odd(field, "1 or 0")),
    }
}

#[cfg(test)]
mod tests;
