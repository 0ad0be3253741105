//! Upper limits for the figures of a report, from the settings and from what the proxies ask for. A larger figure is
//! corrupt: one such count would outweigh a day of sound ones in the measurements, which only halve from time to time.

use super::message_fields::unexpected;
use super::outbox::Outbox;
use super::rate_limited_log::RateLimitedLog;
use coppersail::interface::{Input, LoadReport, Settings};
use coppersail_protocol::ParseError;

/// Figures are rough, and calls are retried: so many times the expected figure is still plausible.
const TOLERANCE: f64 = 10.0;
/// So many calls are always plausible, as a short interval may hold all calls of a longer one.
const ALWAYS_PLAUSIBLE_CALLS: f64 = 100.0;
/// Calls per second that no fleet has, used until a proxy has said how many it has.
const MAX_CALLS_PER_S: f64 = 1e6;
/// Largest busy share that is plausible: the whole, with the noise of its measurement.
const MAX_BUSY_SHARE: f64 = 2.0;

/// The limits, and the log of load reports that exceed them.
pub(super) struct PlausibleFigures {
    /// Longest mean response time in seconds. Callers give up after the longest time limit, so no mean of answered
    /// attempts is twice that.
    max_response_time: f64,
    /// Most calls per second that the joined proxies together have been said to have; 0 if none has joined yet.
    calls_per_s: f64,
    log: RateLimitedLog,
}

impl PlausibleFigures {
    pub(super) fn new(settings: &Settings) -> Self {
        let longest_limit = settings.routes.iter().map(|route| route.deadline).fold(0.0, f64::max);
        let max_response_time = if longest_limit > 0.0 { 2.0 * longest_limit } else { f64::INFINITY };
        PlausibleFigures { max_response_time, calls_per_s: 0.0, log: RateLimitedLog::default() }
    }

    /// A proxy has joined; `joined` are the joining inputs of all proxies that are connected now.
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

    /// Checks the numbers of calls, and of dropped ones among them, in an interval of `span` seconds.
    pub(super) fn calls(&self, calls: u64, dropped: u64, window: f64) -> Result<(), ParseError> {
        let calls_per_s = if self.calls_per_s > 0.0 { self.calls_per_s } else { MAX_CALLS_PER_S };
        let max = TOLERANCE * calls_per_s * window + ALWAYS_PLAUSIBLE_CALLS;
        at_most(calls as f64, max, "n")?;
        at_most(dropped as f64, max, "bad")
    }

    /// The plausible figures of a load report; `unreadable` others are counted with those that are not. A host goes on
    /// with calls whose callers have given up, so its service times may be far longer than theirs.
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
            self.log.warn(now, format!("load report: {ignored} figures passed over"), outbox);
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
