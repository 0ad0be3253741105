//! Hosts that are announced to leave: a deploy tells beforehand when it will take each one down, so that its slices have
//! moved, in peace, before it goes.

use coppersail_operator_config::{Document, Field, Value};

/// So long before its time a host gives up its slices, seconds: tables are told within a few seconds, and the second
/// half is for the caches of those who take over. Longer would leave the fleet smaller for longer.
pub const LEAD: f64 = 10.0;
/// An announcement that nothing came of is over after so long: a deploy that was called off must not keep a sound host
/// empty. It may hurt a deploy that is late by more; announce it anew.
pub const EXPIRES: f64 = 120.0;
/// Hosts that are announced within so many seconds of each other are away together, as far as anybody can tell: how long
/// one stays away is not announced.
const AWAY: f64 = 30.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// Its time is yet to come; tables are judged with it in mind.
    Ahead,
    /// It gives up its slices, or has done so and goes.
    Moving,
    /// It has been back since, or did not go.
    Over,
}

impl Leaving {
    /// Where a host is with what was announced of it. `born` is when its process started, as far as the list tells.
    pub fn of(now: f64, at: f64, born: Option<f64>) -> Leaving {
        match born {
            // A deploy may be a little early; what started just before that is the new process all the same.
            Some(born) if born > at - LEAD => Leaving::Over,
            _ if now > at + EXPIRES => Leaving::Over,
            _ if now >= at - LEAD => Leaving::Moving,
            _ => Leaving::Ahead,
        }
    }

    /// When that next changes by itself; infinite: never.
    pub fn turns(now: f64, at: f64) -> f64 {
        [at - LEAD, at + EXPIRES].into_iter().find(|turn| *turn > now).unwrap_or(f64::INFINITY)
    }
}

/// All that is announced: hosts by name, and when, in seconds since 1970.
pub fn announced(document: &Document) -> impl Iterator<Item = (&str, f64)> {
    document.iter().filter_map(|(field, value)| match (field, value) {
        (Field::HostLeaves(host), Value::Number(at)) => Some((host.as_str(), *at)),
        _ => None,
    })
}

/// For each host that leaves, all who are away when it does. Two may leave within a second of each other, so none takes
/// the place of another.
pub(crate) fn away_together(document: &Document) -> Vec<Vec<&str>> {
    let times: Vec<(&str, f64)> = announced(document).collect();
    let away = |at: f64| times.iter().filter(move |(_, other)| *other <= at && *other > at - AWAY);
    times.iter().map(|(_, at)| away(*at).map(|(host, _)| *host).collect()).collect()
}

#[cfg(test)]
mod tests;
