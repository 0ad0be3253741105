//! Upper limits for the figures of a report, derived from the settings and from the request rates that proxies
//! announce. A larger figure is treated as corrupt: the measurements decay slowly, by halving from time to time, so
//! one such count would outweigh a day of valid ones.

use super::message_fields::unexpected;
use super::outbox::Outbox;
use super::rate_limited_log::RateLimitedLog;
use coppersail::interface::{Input, LoadReport, Settings};
use coppersail_protocol::ParseError;

/// A figure is plausible up to this multiple of the expected one, since figures are rough and calls are retried.
const TOLERANCE: f64 = 10.0;
/// This many calls are plausible in any interval, as a short interval may contain the calls of a longer one.
const ALWAYS_PLAUSIBLE_CALLS: f64 = 100.0;
/// More calls per second than any fleet has; used until a proxy has announced its rate.
const MAX_CALLS_PER_S: f64 = 1e6;
/// Largest plausible utilisation: all of the capacity, plus measurement noise.
const MAX_BUSY_SHARE: f64 = 2.0;

/// The limits, and the log of load reports that exceed them.
pub(super) struct PlausibleFigures {
    /// Largest plausible mean response time, in seconds. Callers give up after their time limit, so the mean over
    /// answered attempts stays below twice the longest limit.
    max_response_time: f64,
    /// Highest total request rate, in calls per second, that the joined proxies have announced; 0 before the first.
    calls_per_s: f64,
    log: RateLimitedLog,
}

impl PlausibleFigures {
    pub(super) fn new(settings: &Settings) -> Self {
        let longest_limit = settings.routes.iter().map(|route| route.deadline).fold(0.0, f64::max);
        let max_response_time = if longest_limit > 0.0 { 2.0 * longest_limit } else { f64::INFINITY };
        PlausibleFigures { max_response_time, calls_per_s: 0.0, log: RateLimitedLog::default() }
    }

    /// A proxy has joined; `joined` are the `ProxyJoined` inputs of all proxies that are connected now.
    pub(super) fn proxies_joined<'a>(&mut self, joined: impl Iterator<Item = &'a Input>) {
        let calls_per_s = joined.map(|input| match input {
            Input::ProxyJoined { requests_per_s: calls_per_s, .. } => *calls_per_s,
            _ => 0.0,
        });
        self.calls_per_s = self.calls_per_s.max(calls_per_s.sum());
    }

    /// Checks the mean response time of a report, in seconds.
    pub(super) fn response_time(&self, seconds: f64) -> Result<f64, ParseError> {
        at_most(seconds, self.max_response_time, "avg")?;
        Ok(seconds)
    }

    /// Checks the number of calls, and of dropped ones among them, in an interval of `window` seconds.
    pub(super) fn calls(&self, calls: u64, dropped: u64, window: f64) -> Result<(), ParseError> {
        let calls_per_s = if self.calls_per_s > 0.0 { self.calls_per_s } else { MAX_CALLS_PER_S };
        let max = TOLERANCE * calls_per_s * window + ALWAYS_PLAUSIBLE_CALLS;
        at_most(calls as f64, max, "n")?;
        at_most(dropped as f64, max, "bad")
    }

    /// Returns the plausible figures of a load report and counts the others, including `unreadable` ones that could
    /// not be parsed. A host continues to work on calls whose callers have given up, so its service times may far
    /// exceed the callers' time limits.
    pub(super) fn load(
        &mut self,
        now: f64,
        load: LoadReport,
        unreadable: u64,
        outbox: &mut Outbox,
    ) -> LoadReport {
        let mut ignored = unreadable;
        let mut plausible = |figure: Option<f64>, max: f64| {
            let is_excessive = figure.is_some_and(|figure| figure > max);
            ignored += is_excessive as u64;
            figure.filter(|figure| *figure <= max)
        };
        let load = LoadReport {
            in_flight: plausible(load.in_flight, MAX_CALLS_PER_S),
            queued: plausible(load.queued, MAX_CALLS_PER_S),
            cpu_utilisation: plausible(load.cpu_utilisation, MAX_BUSY_SHARE),
            service_time: plausible(load.service_time, TOLERANCE * self.max_response_time),
            completions_per_s: plausible(load.completions_per_s, MAX_CALLS_PER_S),
            errors_per_s: plausible(load.errors_per_s, MAX_CALLS_PER_S),
        };
        if ignored > 0 {
            outbox.counters.load_figures_odd += ignored;
            self.log.warn(now, format!("load report: {ignored} figures ignored"), outbox);
        }
        load
    }
}

fn at_most(figure: f64, max: f64, field: &str) -> Result<(), ParseError> {
    if figure <= max {
        Ok(())
    } else {
        Err(unexpected(field, format_args!("{max:.0} at most")))
    }
}
