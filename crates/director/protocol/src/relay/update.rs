//! Updates that the relay streams after a single request.

use crate::number::non_negative;
use crate::ParseError;

/// One update. Names borrow from the line.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent<'a> {
    /// The relay has accepted the request for updates; the current state follows.
    Start,
    /// A heartbeat.
    Heartbeat,
    /// A proxy has connected.
    ProxyJoined {
        /// Number of the proxy.
        proxy: u16,
        /// Name of its zone.
        zone: &'a str,
        /// Requests per second that it serves.
        requests_per_s: f64,
        /// Whether it has received no table from this director since its own start.
        without_tables: bool,
    },
    /// A proxy has disconnected.
    ProxyLeft {
        /// Number of the proxy.
        proxy: u16,
    },
    /// A proxy has acknowledged all orders up to a
    /// [`RequestAcknowledgement`](super::Order::RequestAcknowledgement).
    RoundAcknowledged {
        /// Number of the proxy.
        proxy: u16,
        /// Number of the round, as given in that order.
        round: u16,
        /// Time from the order to its application at the proxy, in seconds.
        latency: f64,
    },
    /// This director now owns the slice.
    SliceAssigned {
        /// Number of the slice.
        slice: u16,
    },
    /// This director no longer owns the slice.
    SliceRevoked {
        /// Number of the slice.
        slice: u16,
    },
    /// The weight of a host that the relay has stored for a slice.
    StoredWeight {
        /// Number of the slice.
        slice: u16,
        /// Id of the host.
        host: &'a str,
        /// The host's weight in the slice's table.
        weight: f64,
    },
}

impl<'a> RelayEvent<'a> {
    /// Parses one line.
    ///
    /// # Errors
    /// The line is not UTF-8, it is not a known update, or one of its fields is invalid.
    pub fn parse(line: &'a [u8]) -> Result<Self, ParseError> {
        let text = std::str::from_utf8(line).map_err(ParseError::UpdateNotUtf8)?;
        let words: Vec<&str> = text.trim_end().split(' ').collect();
        match words[..] {
            ["OK"] => Ok(RelayEvent::Start),
            ["*"] => Ok(RelayEvent::Heartbeat),
            ["*", "hello", proxy, zone, rate, without_tables] => Ok(RelayEvent::ProxyJoined {
                proxy: parse_number(proxy, "sidecar")?,
                zone,
                requests_per_s: parse_amount(rate, "share")?,
                without_tables: parse_flag(without_tables, "standing")?,
            }),
            ["*", "bye", proxy] => Ok(RelayEvent::ProxyLeft { proxy: parse_number(proxy, "sidecar")? }),
            ["*", "ack", proxy, round, latency_ms] => Ok(RelayEvent::RoundAcknowledged {
                proxy: parse_number(proxy, "sidecar")?,
                round: parse_number(round, "version")?,
                latency: parse_amount(latency_ms, "lag_ms")? / 1e3,
            }),
            ["*", "lease", slice, is_owner] => {
                let is_owner = parse_flag(is_owner, "yes")?;
                let slice = parse_number(slice, "partition")?;
                Ok(if is_owner {
                    RelayEvent::SliceAssigned { slice }
                } else {
                    RelayEvent::SliceRevoked { slice }
                })
            }
            ["*", "line", slice, host, weight] => Ok(RelayEvent::StoredWeight {
                slice: parse_number(slice, "partition")?,
                host,
                weight: parse_amount(weight, "weight")?,
            }),
            _ => Err(ParseError::unknown_update(text)),
        }
    }
}

fn parse_number(text: &str, field: &str) -> Result<u16, ParseError> {
    text.parse().map_err(|_| ParseError::invalid(field, text, "a whole number below 65536"))
}

fn parse_amount(text: &str, field: &str) -> Result<f64, ParseError> {
    let amount = text.parse().unwrap_or(f64::NAN);
    non_negative(amount, field).map_err(|_| ParseError::invalid(field, text, "a number of 0 or more"))
}

fn parse_flag(text: &str, field: &str) -> Result<bool, ParseError> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(ParseError::invalid(field, text, "1 or 0")),
    }
}
