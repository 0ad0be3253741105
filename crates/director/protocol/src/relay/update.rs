//! Updates that the relay sends without being asked again.

use crate::number::non_negative;
use crate::Fault;

/// One update. Names borrow from the line.
#[derive(Clone, Debug, PartialEq)]
pub enum News<'a> {
    /// The subscription is accepted; the current state follows.
    Start,
    /// A heartbeat.
    Life,
    /// A proxy has connected.
    Joined {
        /// Number of the proxy.
        proxy: u16,
        /// Name of its zone.
        zone: &'a str,
        /// Requests per second that it carries.
        calls_per_s: f64,
        /// It has had no table from this director since its own start.
        fresh: bool,
    },
    /// A proxy has disconnected.
    Left {
        /// Number of the proxy.
        proxy: u16,
    },
    /// A proxy acknowledges the orders up to a mark.
    Applied {
        /// Number of the proxy.
        proxy: u16,
        /// The number given in `Order::Mark`.
        mark: u16,
        /// Time from the order to its application, seconds.
        took: f64,
    },
    /// This director now owns the slice.
    Given {
        /// Number of the slice.
        slice: u16,
    },
    /// This director no longer owns the slice.
    Taken {
        /// Number of the slice.
        slice: u16,
    },
    /// A weight that the relay has stored for a slice.
    StoredLine {
        /// Number of the slice.
        slice: u16,
        /// Id of the host.
        host: &'a str,
        /// Its weight in the slice's table.
        weight: f64,
    },
}

impl<'a> News<'a> {
    /// Parses one line.
    ///
    /// # Errors
    /// The line is not UTF-8, no update that is known, or one of its fields is invalid.
    pub fn parse(line: &'a [u8]) -> Result<Self, Fault> {
        let text = std::str::from_utf8(line).map_err(Fault::UpdateNotUtf8)?;
        let words: Vec<&str> = text.trim_end().split(' ').collect();
        match words[..] {
            ["OK"] => Ok(News::Start),
            ["*"] => Ok(News::Life),
            ["*", "hello", proxy, zone, share, standing] => Ok(News::Joined {
                proxy: parse_number(proxy, "sidecar")?,
                zone,
                calls_per_s: parse_amount(share, "share")?,
                fresh: parse_flag(standing, "standing")?,
            }),
            ["*", "bye", proxy] => Ok(News::Left { proxy: parse_number(proxy, "sidecar")? }),
            ["*", "ack", proxy, version, lag_ms] => Ok(News::Applied {
                proxy: parse_number(proxy, "sidecar")?,
                mark: parse_number(version, "version")?,
                took: parse_amount(lag_ms, "lag_ms")? / 1e3,
            }),
            ["*", "lease", partition, owned] => {
                let is_owner = parse_flag(owned, "yes")?;
                let slice = parse_number(partition, "partition")?;
                Ok(if is_owner { News::Given { slice } } else { News::Taken { slice } })
            }
            ["*", "line", partition, host, weight] => Ok(News::StoredLine {
                slice: parse_number(partition, "partition")?,
                host,
                weight: parse_amount(weight, "weight")?,
            }),
            _ => Err(Fault::unknown_update(text)),
        }
    }
}

fn parse_number(text: &str, field: &str) -> Result<u16, Fault> {
    text.parse().map_err(|_| Fault::invalid(field, text, "a whole number below 65536"))
}

fn parse_amount(text: &str, field: &str) -> Result<f64, Fault> {
    let amount = text.parse().unwrap_or(f64::NAN);
    non_negative(amount, field).map_err(|_| Fault::invalid(field, text, "a number of 0 or more"))
}

fn parse_flag(text: &str, field: &str) -> Result<bool, Fault> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(Fault::invalid(field, text, "1 or 0")),
    }
}
