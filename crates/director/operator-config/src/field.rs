//! The fields that operators can change, with their paths, value types and bounds.

use crate::error::{FieldPathError, ValueError};
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Limit of the fields in a document. No fleet needs this many; a larger file is likely a mistake of a
/// generator.
pub const MAX_FIELDS: usize = 10_000;
/// Limit of a name's length, in bytes; longer than any name in the settings or the endpoint list.
const MAX_NAME_BYTES: usize = 200;

/// A setting with which operators override decisions of the director. Documents and edits are sorted by
/// field, so the order of the variants affects stored and displayed data.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Field {
    /// Factor applied to a host's listed weight: 0.5 halves it.
    HostWeight(String),
    /// The host is drained: it gets no new traffic.
    HostDrained(String),
    /// When the host will shut down, in seconds since 1970; its slices are moved away before.
    #[serde(rename = "HostLeaves")]
    HostShutdown(String),
    /// Factor applied to the weights of all hosts of the zone.
    ZoneWeight(String),
    /// Admission limit of a route, as a share of its calls.
    #[serde(rename = "RouteCeiling")]
    RouteAdmissionLimit(String),
    /// Retry policy of a route.
    #[serde(rename = "RouteAgain")]
    RouteRetries(String),
    /// Anti-affinity: the slice is not assigned to the host.
    #[serde(rename = "Apart")]
    AntiAffinity(u16, String),
    /// Default length of a change's trial, seconds.
    Trial,
    /// Whether changes on trial are analysed for harm to the service level of callers.
    #[serde(rename = "Judge")]
    Analysis,
    /// Mode of the capacity guard.
    Guard,
}

/// All fields that are set; the director decides the others.
pub type Document = BTreeMap<Field, Value>;

/// The fields that a change sets; `None` unsets a field.
pub type Edits = BTreeMap<Field, Option<Value>>;

impl Field {
    /// The host that the field applies to, if any.
    pub fn host(&self) -> Option<&str> {
        match self {
            Field::HostWeight(host)
            | Field::HostDrained(host)
            | Field::HostShutdown(host)
            | Field::AntiAffinity(_, host) => Some(host),
            _ => None,
        }
    }

    /// A description of the valid values, for error messages.
    pub fn expected(&self) -> &'static str {
        match self {
            Field::HostWeight(_) | Field::ZoneWeight(_) => {
                "a number from 0.01 to 100 (to send nothing there, set drained)"
            }
            Field::HostDrained(_) | Field::Analysis => "true or false",
            Field::HostShutdown(_) => "seconds since 1970, when it will leave",
            Field::AntiAffinity(..) => "true, or null to take it back",
            Field::RouteAdmissionLimit(_) => "a share from 0 to 1",
            Field::RouteRetries(_) => "one of never, if-never-ran, once, twice",
            Field::Trial => "seconds from 5 to 3600",
            Field::Guard => "one of off, watch, on",
        }
    }

    /// Whether the value has the field's type and is within its bounds. 0.01 is the smallest weight that the director
    /// distinguishes from 0.
    pub fn accepts(&self, value: &Value) -> bool {
        match (self, value) {
            (Field::HostWeight(_) | Field::ZoneWeight(_), Value::Number(number)) => {
                (0.01..=100.0).contains(number)
            }
            // The years 2001 to 2286: this rejects relative times and times in milliseconds.
            (Field::HostShutdown(_), Value::Number(number)) => (1e9..1e10).contains(number),
            (Field::RouteAdmissionLimit(_), Value::Number(number)) => (0.0..=1.0).contains(number),
            (Field::Trial, Value::Number(number)) => (5.0..=3600.0).contains(number),
            (Field::AntiAffinity(..), Value::Flag(apart)) => *apart,
            (Field::HostDrained(_) | Field::Analysis, Value::Flag(_)) => true,
            (Field::RouteRetries(_), Value::RetryPolicy(_)) | (Field::Guard, Value::Guard(_)) => true,
            _ => false,
        }
    }

    /// Parses a value as it is typed on a command line; `null`, which unsets the field, gives `None`.
    ///
    /// # Errors
    ///
    /// The text is not a value that [`Field::accepts`] accepts.
    pub fn parse_value(&self, text: &str) -> Result<Option<Value>, ValueError> {
        let invalid = || ValueError { found: text.to_string(), expected: self.expected() };
        let value = match text {
            "null" => return Ok(None),
            "true" => Value::Flag(true),
            "false" => Value::Flag(false),
            text => match Value::from_name(text) {
                Some(value) => value,
                None => Value::Number(text.parse().map_err(|_| invalid())?),
            },
        };
        if self.accepts(&value) {
            Ok(Some(value))
        } else {
            Err(invalid())
        }
    }

    /// The field of a host, zone or route, if the section has this property.
    fn of_named(section: &str, name: &str, property: &str) -> Option<Field> {
        let name = name.to_string();
        match (section, property) {
            ("hosts", "weight") => Some(Field::HostWeight(name)),
            ("hosts", "drained") => Some(Field::HostDrained(name)),
            ("hosts", "leaves") => Some(Field::HostShutdown(name)),
            ("zones", "weight") => Some(Field::ZoneWeight(name)),
            ("routes", "ceiling") => Some(Field::RouteAdmissionLimit(name)),
            ("routes", "again") => Some(Field::RouteRetries(name)),
            _ => None,
        }
    }

    /// Parses a path. A name may contain dots: it extends from the first dot to the last one, or, after
    /// `apart.SLICE.`, to the end of the path.
    fn from_path(path: &str) -> Option<Field> {
        let (section, rest) = path.split_once('.')?;
        match (section, rest) {
            ("changes", "trial") => return Some(Field::Trial),
            ("changes", "judge") => return Some(Field::Analysis),
            ("guard", "mode") => return Some(Field::Guard),
            _ => {}
        }
        if section == "apart" {
            let (slice, host) = rest.split_once('.').filter(|(_, host)| is_valid_name(host))?;
            return Some(Field::AntiAffinity(slice.parse().ok()?, host.to_string()));
        }
        let (name, property) = rest.rsplit_once('.').filter(|(name, _)| is_valid_name(name))?;
        Field::of_named(section, name, property)
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

impl fmt::Display for Field {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Field::HostWeight(host) => write!(formatter, "hosts.{host}.weight"),
            Field::HostDrained(host) => write!(formatter, "hosts.{host}.drained"),
            Field::HostShutdown(host) => write!(formatter, "hosts.{host}.leaves"),
            Field::ZoneWeight(zone) => write!(formatter, "zones.{zone}.weight"),
            Field::RouteAdmissionLimit(route) => write!(formatter, "routes.{route}.ceiling"),
            Field::RouteRetries(route) => write!(formatter, "routes.{route}.again"),
            Field::AntiAffinity(slice, host) => write!(formatter, "apart.{slice}.{host}"),
            Field::Trial => formatter.write_str("changes.trial"),
            Field::Analysis => formatter.write_str("changes.judge"),
            Field::Guard => formatter.write_str("guard.mode"),
        }
    }
}

impl From<Field> for String {
    fn from(field: Field) -> String {
        field.to_string()
    }
}

impl TryFrom<String> for Field {
    type Error = FieldPathError;

    fn try_from(path: String) -> Result<Self, FieldPathError> {
        match Field::from_path(&path) {
            Some(field) => Ok(field),
            None => Err(FieldPathError { path }),
        }
    }
}

impl std::str::FromStr for Field {
    type Err = FieldPathError;

    fn from_str(path: &str) -> Result<Self, FieldPathError> {
        path.to_string().try_into()
    }
}

/// The edits that turn the old document into the new one.
pub fn difference(old: &Document, new: &Document) -> Edits {
    let set = new.iter().filter(|(field, value)| old.get(*field) != Some(*value));
    let set = set.map(|(field, value)| (field.clone(), Some(*value)));
    let unset = old.keys().filter(|field| !new.contains_key(*field)).map(|field| (field.clone(), None));
    set.chain(unset).collect()
}
