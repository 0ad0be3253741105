//! `announce`: a change that says when hosts will leave.

use super::error::CommandError;
use super::session::Session;
use crate::edits::parse_field;
use coppersail_changes::{Submission, ANNOUNCEMENT_LIFETIME_S};
use coppersail_operator_config::{Edits, Field, Value};
use std::time::{SystemTime, UNIX_EPOCH};

/// When a host leaves.
pub(crate) struct Departure {
    pub(crate) host: String,
    /// Seconds from now; none: it does not leave after all.
    pub(crate) in_seconds: Option<f64>,
}

/// Hosts that leave one after the other, or all stay if they are cancelled.
pub(crate) fn departures(
    hosts: Vec<String>,
    lead_seconds: f64,
    interval_seconds: f64,
    cancel: bool,
) -> Vec<Departure> {
    let leaves_in = |index: usize| (!cancel).then_some(lead_seconds + interval_seconds * index as f64);
    let departure = |(index, host)| Departure { host, in_seconds: leaves_in(index) };
    hosts.into_iter().enumerate().map(departure).collect()
}

/// Submits the departures as one change, which also unsets those that are long past.
pub(crate) fn run(
    session: &Session,
    departures: &[Departure],
    who: &str,
    why: &str,
) -> Result<(), CommandError> {
    let now = unix_seconds();
    let status = session.status()?;
    let mut edits = expired_departures(&status.in_force, now);
    for Departure { host, in_seconds } in departures {
        let field = parse_field(&format!("hosts.{host}.leaves"))?;
        edits.insert(field, in_seconds.map(|seconds| Value::Number((now + seconds).round())));
    }
    let submission = Submission {
        who: who.to_string(),
        why: why.to_string(),
        edits,
        // It has no effect before its time, so there is nothing to try.
        trial: Some(0.0),
        ..Submission::default()
    };
    session.submit(submission, Some(status.version))?;
    Ok(())
}

fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

fn expired_departures(in_force: &[(Field, Value)], now: f64) -> Edits {
    let expired = |(field, value): &&(Field, Value)| match (field, value) {
        (Field::HostShutdown(_), Value::Number(at)) => now > at + ANNOUNCEMENT_LIFETIME_S,
        _ => false,
    };
    in_force.iter().filter(expired).map(|(field, _)| (field.clone(), None)).collect()
}
