//! The single fields that operators change, each with its path, its values and their bounds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// More fields than any fleet needs; a file beyond it is a mistake of whoever made it.
pub const FIELDS_MOST: usize = 10_000;
/// Longer than any name that the settings or the list hold.
const NAME_MOST: usize = 200;

/// One thing that operators may set over what the decisions would do by themselves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Field {
    /// A host's weight against what is listed: 0.5 is half of it.
    HostWeight(String),
    /// The host gets no lines, as if it drained.
    HostDrained(String),
    /// When the host will leave, seconds since 1970: what it serves has moved by then.
    HostLeaves(String),
    /// Multiplies the weights of the zone's hosts.
    ZoneWeight(String),
    /// The most of a route's calls that is let in, as a share.
    RouteCeiling(String),
    /// When proxies try a route's calls at another host.
    RouteAgain(String),
    /// The slice is kept away from the host.
    Apart(u16, String),
    /// How long a change is on trial unless it says so itself, seconds.
    Trial,
    /// Whether a change on trial is judged by the service that callers get.
    Judge,
    /// Whether tables that are not safe are kept from the proxies.
    Guard,
}

/// What the guard does with a table that is not safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GuardMode {
    Off,
    /// It says so in the log, and lets it go.
    Watch,
    On,
}

impl GuardMode {
    pub const NAMES: [(&'static str, GuardMode); 3] =
        [("off", GuardMode::Off), ("watch", GuardMode::Watch), ("on", GuardMode::On)];
}

/// When proxies try again, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Again {
    Never,
    IfNeverRan,
    Once,
    Twice,
}

impl Again {
    pub const NAMES: [(&'static str, Again); 4] = [
        ("never", Again::Never),
        ("if-never-ran", Again::IfNeverRan),
        ("once", Again::Once),
        ("twice", Again::Twice),
    ];
}

impl fmt::Display for Again {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Again::NAMES.iter().find(|(_, again)| again == self);
        out.write_str(name.map_or("", |(name, _)| name))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    Flag(bool),
    Number(f64),
    Again(Again),
    Guard(GuardMode),
}

/// What a word stands for, if it is one of those that fields have.
pub(crate) fn word(text: &str) -> Option<Value> {
    let again = Again::NAMES.iter().find(|(name, _)| *name == text).map(|(_, again)| Value::Again(*again));
    let guard =
        || GuardMode::NAMES.iter().find(|(name, _)| *name == text).map(|(_, mode)| Value::Guard(*mode));
    again.or_else(guard)
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(out, "{flag}"),
            Value::Number(number) => write!(out, "{number}"),
            Value::Again(again) => write!(out, "{again}"),
            Value::Guard(guard) => {
                let name = GuardMode::NAMES.iter().find(|(_, mode)| mode == guard);
                out.write_str(name.map_or("", |(name, _)| name))
            }
        }
    }
}

/// All that is set; what is absent is as the decisions have it.
pub type Document = BTreeMap<Field, Value>;

/// What a change sets, or, with none, gives back to the decisions.
pub type Edits = BTreeMap<Field, Option<Value>>;

impl Field {
    /// The host that it is about.
    pub fn host(&self) -> Option<&str> {
        match self {
            Field::HostWeight(host)
            | Field::HostDrained(host)
            | Field::HostLeaves(host)
            | Field::Apart(_, host) => Some(host),
            _ => None,
        }
    }

    /// What its values are.
    pub fn expected(&self) -> &'static str {
        match self {
            Field::HostWeight(_) | Field::ZoneWeight(_) => {
                "a number from 0.01 to 100 (to send nothing there, set drained)"
            }
            Field::HostDrained(_) | Field::Judge => "true or false",
            Field::HostLeaves(_) => "seconds since 1970, when it will leave",
            Field::Apart(..) => "true, or null to take it back",
            Field::RouteCeiling(_) => "a share from 0 to 1",
            Field::RouteAgain(_) => "one of never, if-never-ran, once, twice",
            Field::Trial => "seconds from 5 to 3600",
            Field::Guard => "one of off, watch, on",
        }
    }

    /// Whether the value is one of this field's. 0.01 is the least weight that the decisions tell from none.
    pub fn fits(&self, value: &Value) -> bool {
        match (self, value) {
            (Field::HostWeight(_) | Field::ZoneWeight(_), Value::Number(n)) => (0.01..=100.0).contains(n),
            // From 2001 to 2286: seconds from now, or milliseconds, are a mistake.
            (Field::HostLeaves(_), Value::Number(n)) => (1e9..1e10).contains(n),
            (Field::RouteCeiling(_), Value::Number(n)) => (0.0..=1.0).contains(n),
            (Field::Trial, Value::Number(n)) => (5.0..=3600.0).contains(n),
            (Field::Apart(..), Value::Flag(apart)) => *apart,
            (Field::HostDrained(_) | Field::Judge, Value::Flag(_)) => true,
            (Field::RouteAgain(_), Value::Again(_)) | (Field::Guard, Value::Guard(_)) => true,
            _ => false,
        }
    }

    /// A value as it is typed on a command line: `null` gives the field back.
    pub fn value(&self, text: &str) -> Result<Option<Value>, String> {
        let value = match text {
            "null" => return Ok(None),
            "true" => Value::Flag(true),
            "false" => Value::Flag(false),
            text => match word(text) {
                Some(value) => value,
                None => Value::Number(text.parse().map_err(|_| self.expected().to_string())?),
            },
        };
        if self.fits(&value) {
            Ok(Some(value))
        } else {
            Err(self.expected().to_string())
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Field::HostWeight(host) => write!(out, "hosts.{host}.weight"),
            Field::HostDrained(host) => write!(out, "hosts.{host}.drained"),
            Field::HostLeaves(host) => write!(out, "hosts.{host}.leaves"),
            Field::ZoneWeight(zone) => write!(out, "zones.{zone}.weight"),
            Field::RouteCeiling(route) => write!(out, "routes.{route}.ceiling"),
            Field::RouteAgain(route) => write!(out, "routes.{route}.again"),
            Field::Apart(slice, host) => write!(out, "apart.{slice}.{host}"),
            Field::Trial => out.write_str("changes.trial"),
            Field::Judge => out.write_str("changes.judge"),
            Field::Guard => out.write_str("guard.mode"),
        }
    }
}

impl From<Field> for String {
    fn from(field: Field) -> String {
        field.to_string()
    }
}

impl TryFrom<String> for Field {
    type Error = String;

    /// A name may hold dots itself: what follows the first dot and precedes the last one is it.
    fn try_from(path: String) -> Result<Self, String> {
        let unknown = || {
            format!(
                "field {path}: expected hosts.NAME.weight, hosts.NAME.drained, hosts.NAME.leaves, zones.NAME.weight, \
                 routes.NAME.ceiling, routes.NAME.again, apart.SLICE.HOST, changes.trial, changes.judge or guard.mode"
            )
        };
        let (part, rest) = path.split_once('.').ok_or_else(unknown)?;
        match (part, rest) {
            ("changes", "trial") => return Ok(Field::Trial),
            ("changes", "judge") => return Ok(Field::Judge),
            ("guard", "mode") => return Ok(Field::Guard),
            _ => {}
        }
        let sound = |name: &str| !name.is_empty() && name.len() <= NAME_MOST;
        if part == "apart" {
            let (slice, host) = rest.split_once('.').filter(|(_, host)| sound(host)).ok_or_else(unknown)?;
            return Ok(Field::Apart(slice.parse().map_err(|_| unknown())?, host.to_string()));
        }
        let (name, last) = rest.rsplit_once('.').filter(|(name, _)| sound(name)).ok_or_else(unknown)?;
        let name = name.to_string();
        match (part, last) {
            ("hosts", "weight") => Ok(Field::HostWeight(name)),
            ("hosts", "drained") => Ok(Field::HostDrained(name)),
            ("hosts", "leaves") => Ok(Field::HostLeaves(name)),
            ("zones", "weight") => Ok(Field::ZoneWeight(name)),
            ("routes", "ceiling") => Ok(Field::RouteCeiling(name)),
            ("routes", "again") => Ok(Field::RouteAgain(name)),
            _ => Err(unknown()),
        }
    }
}

impl std::str::FromStr for Field {
    type Err = String;

    fn from_str(path: &str) -> Result<Self, String> {
        path.to_string().try_into()
    }
}
