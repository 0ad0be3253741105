//! Why a state of the tables is unsafe, and how unsafe it is. `docs/guard.md` gives the same definitions for operators.

use coppersail::interface::{HostId, RouteId, SliceId, ZoneId};
use std::cmp::Ordering;
use std::fmt;

/// Differences of severity below this are attributed to rounding.
const ROUNDING: f64 = 1e-6;

/// The time for which a state is evaluated.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Moment {
    /// After all calls of the proposal have been sent.
    AfterProposal,
    /// After this call of the proposal, counted from 0, and before the next one.
    BetweenCalls(usize),
    /// After the pending events of this time (in seconds) have completed.
    At(f64),
}

impl fmt::Display for Moment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Moment::AfterProposal => formatter.write_str("once told"),
            Moment::BetweenCalls(call) => {
                write!(formatter, "between calls {} and {}", call + 1, call + 2)
            }
            Moment::At(at) => write!(formatter, "at {at:.1} s, when what is pending is complete"),
        }
    }
}

/// Why a state is unsafe. Loads are in calls per second, shares are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The table of the slice names no open host: all of its calls are lost.
    Uncovered {
        /// The slice.
        slice: SliceId,
    },
    /// The load of a cold host can make it collapse.
    ColdOverload {
        /// The host.
        host: HostId,
        /// Its load.
        calls: f64,
        /// The highest load that it is allowed.
        limit: f64,
    },
    /// A warm host is overloaded.
    WarmOverload {
        /// The host.
        host: HostId,
        /// Its load.
        calls: f64,
        /// The highest load that it is allowed.
        limit: f64,
    },
    /// A route is concentrated on one host.
    HostConcentration {
        /// The route.
        route: RouteId,
        /// The host.
        host: HostId,
        /// The host's share of the route.
        share: f64,
        /// The highest share that it is allowed.
        bound: f64,
    },
    /// A route is concentrated on one zone.
    ZoneConcentration {
        /// The route.
        route: RouteId,
        /// The zone.
        zone: ZoneId,
        /// The zone's share of the route.
        share: f64,
        /// The highest share that it is allowed.
        bound: f64,
    },
}

/// The kinds of reasons, most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReasonKind {
    /// [`Reason::Uncovered`].
    Uncovered,
    /// [`Reason::ColdOverload`].
    ColdOverload,
    /// [`Reason::WarmOverload`].
    WarmOverload,
    /// [`Reason::HostConcentration`].
    HostConcentration,
    /// [`Reason::ZoneConcentration`].
    ZoneConcentration,
}

/// What a reason is about: identifies the same reason in two states of the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The kind of the reason.
    pub kind: ReasonKind,
    /// The number of the slice, host or zone.
    pub number: u32,
    /// The route; 0 where the reason has none.
    pub route: RouteId,
}

impl Reason {
    /// The subject of the reason.
    pub fn subject(&self) -> Subject {
        let subject = |kind, number, route| Subject { kind, number, route };
        match self {
            Reason::Uncovered { slice } => subject(ReasonKind::Uncovered, u32::from(slice.0), RouteId(0)),
            Reason::ColdOverload { host, .. } => subject(ReasonKind::ColdOverload, host.0, RouteId(0)),
            Reason::WarmOverload { host, .. } => subject(ReasonKind::WarmOverload, host.0, RouteId(0)),
            Reason::HostConcentration { route, host, .. } => {
                subject(ReasonKind::HostConcentration, host.0, *route)
            }
            Reason::ZoneConcentration { route, zone, .. } => {
                subject(ReasonKind::ZoneConcentration, u32::from(zone.0), *route)
            }
        }
    }

    /// How severe it is compared with others of its kind: the relative excess of a load, or the absolute
    /// excess of a share.
    pub fn excess(&self) -> f64 {
        match self {
            Reason::Uncovered { .. } => 1.0,
            Reason::ColdOverload { calls, limit: bound, .. }
            | Reason::WarmOverload { calls, limit: bound, .. } => calls / bound.max(1e-9) - 1.0,
            Reason::HostConcentration { share, bound, .. }
            | Reason::ZoneConcentration { share, bound, .. } => share - bound,
        }
    }

    /// The host that it is about, if any.
    pub fn host(&self) -> Option<HostId> {
        match self {
            Reason::ColdOverload { host, .. }
            | Reason::WarmOverload { host, .. }
            | Reason::HostConcentration { host, .. } => Some(*host),
            Reason::Uncovered { .. } | Reason::ZoneConcentration { .. } => None,
        }
    }

    /// The zone that it is about, if any.
    pub fn zone(&self) -> Option<ZoneId> {
        match self {
            Reason::ZoneConcentration { zone, .. } => Some(*zone),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Uncovered { slice } => write!(formatter, "slice {} without an open host", slice.0),
            Reason::ColdOverload { calls, limit, .. } => {
                write!(formatter, "a cold host gets {calls:.1} calls a second, it stands {limit:.1}")
            }
            Reason::WarmOverload { calls, limit, .. } => {
                write!(formatter, "a host gets {calls:.1} calls a second, it carries {limit:.1}")
            }
            Reason::HostConcentration { route, share, bound, .. } => {
                let route = route.0;
                write!(formatter, "a host gets {share:.2} of route {route}, at most {bound:.2} is sound")
            }
            Reason::ZoneConcentration { route, zone, share, bound } => {
                let (route, zone) = (route.0, zone.0);
                write!(formatter, "zone {zone} gets {share:.2} of route {route}, at most {bound:.2} is sound")
            }
        }
    }
}

/// How unsafe a state is: the sum of the excesses by kind. The order of the fields is the priority of the
/// operators' rules: no slice may be without an open host, then no cold host may collapse; the other kinds
/// lose calls but break no rule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Severity {
    /// Slices without an open host.
    pub uncovered: f64,
    /// Summed excess load of cold hosts.
    pub collapsing: f64,
    /// Summed excess load of warm hosts.
    pub overloaded: f64,
    /// Summed excess shares of routes, at hosts and in zones.
    pub concentrated: f64,
}

impl Severity {
    /// The severity of a state that is unsafe for these reasons.
    pub fn of<'a>(reasons: impl IntoIterator<Item = &'a Reason>) -> Self {
        let mut severity = Severity::default();
        for reason in reasons {
            let sum = match reason {
                Reason::Uncovered { .. } => &mut severity.uncovered,
                Reason::ColdOverload { .. } => &mut severity.collapsing,
                Reason::WarmOverload { .. } => &mut severity.overloaded,
                Reason::HostConcentration { .. } | Reason::ZoneConcentration { .. } => {
                    &mut severity.concentrated
                }
            };
            *sum += reason.excess();
        }
        severity
    }

    /// Lexicographic comparison: the first kind in which the two differ by more than rounding decides.
    pub fn compare(&self, other: &Severity) -> Ordering {
        let kinds = |severity: &Severity| {
            [severity.uncovered, severity.collapsing, severity.overloaded, severity.concentrated]
        };
        let differ = |(a, b): &(f64, f64)| (a - b).abs() > ROUNDING;
        let first = kinds(self).into_iter().zip(kinds(other)).find(differ);
        first.map_or(Ordering::Equal, |(a, b)| a.total_cmp(&b))
    }

    /// Whether it is less severe than the other.
    pub(crate) fn is_less(&self, other: &Severity) -> bool {
        self.compare(other) == Ordering::Less
    }

    /// The more severe of the two.
    pub fn worst(self, other: Severity) -> Severity {
        if self.is_less(&other) {
            other
        } else {
            self
        }
    }
}
