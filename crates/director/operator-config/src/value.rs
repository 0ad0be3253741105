//! The values of fields.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How the capacity guard treats an unsafe table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GuardMode {
    /// Tables are not checked.
    Off,
    /// Unsafe tables are logged and sent.
    Watch,
    /// Unsafe tables are not sent to the proxies.
    On,
}

impl GuardMode {
    /// Each mode with its name in files and on the command line.
    pub const NAMES: [(&'static str, GuardMode); 3] =
        [("off", GuardMode::Off), ("watch", GuardMode::Watch), ("on", GuardMode::On)];
}

impl fmt::Display for GuardMode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_name(&GuardMode::NAMES, self, formatter)
    }
}

/// A route's retry policy: when proxies retry a call on another host. Ordered from the fewest retries to the
/// most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteRetryPolicy {
    /// No retry.
    Never,
    /// Only if the call cannot have been executed, for example after a refused connection.
    IfNeverRan,
    /// One retry after any failure; the call must be idempotent.
    Once,
    /// Two retries after any failure; the call must be idempotent.
    Twice,
}

impl RouteRetryPolicy {
    /// Each policy with its name in files and on the command line.
    pub const NAMES: [(&'static str, RouteRetryPolicy); 4] = [
        ("never", RouteRetryPolicy::Never),
        ("if-never-ran", RouteRetryPolicy::IfNeverRan),
        ("once", RouteRetryPolicy::Once),
        ("twice", RouteRetryPolicy::Twice),
    ];
}

impl fmt::Display for RouteRetryPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_name(&RouteRetryPolicy::NAMES, self, formatter)
    }
}

/// The value of one field. Untagged in JSON: the order of the variants is the order in which they are tried.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// `true` or `false`.
    Flag(bool),
    /// A weight, a share, or a time in seconds, depending on the field.
    Number(f64),
    /// A retry policy.
    RetryPolicy(RouteRetryPolicy),
    /// A mode of the capacity guard.
    Guard(GuardMode),
}

impl Value {
    /// The value with this name, if a retry policy or guard mode has it.
    pub(crate) fn from_name(name: &str) -> Option<Value> {
        let retry_policy = find_name(&RouteRetryPolicy::NAMES, name).map(Value::RetryPolicy);
        retry_policy.or_else(|| find_name(&GuardMode::NAMES, name).map(Value::Guard))
    }
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(formatter, "{flag}"),
            Value::Number(number) => write!(formatter, "{number}"),
            Value::RetryPolicy(retry_policy) => write!(formatter, "{retry_policy}"),
            Value::Guard(mode) => write!(formatter, "{mode}"),
        }
    }
}

fn find_name<T: Copy>(names: &[(&str, T)], wanted: &str) -> Option<T> {
    names.iter().find(|(name, _)| *name == wanted).map(|(_, value)| *value)
}

fn write_name<T: PartialEq>(
    names: &[(&str, T)],
    wanted: &T,
    formatter: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    let name = names.iter().find(|(_, value)| value == wanted);
    formatter.write_str(name.map_or("", |(name, _)| name))
}
