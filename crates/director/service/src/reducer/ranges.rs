//! What a figure of a report can be, from the settings and from what the proxies ask for. Beyond it a figure is
//! spoilt: one such count would outweigh a day of sound ones in the measurements, which only halve from time to time.

use super::{Out, Sparing};
use coppersail::interface::{Input, Load, Settings};
use coppersail_protocol::Fault;

/// Figures are rough, and calls come again: so many times what is expected still passes.
const SLACK: f64 = 10.0;
/// So few calls always pass, as a short span of few may hold them all.
const FEW: f64 = 100.0;
/// Without any proxy's figure: calls a second that no fleet has.
const CALLS_MOST: f64 = 1e6;

pub struct Ranges {
    /// Callers give up after the longest time limit, so no mean of answered tries is twice that.
    rt: f64,
    /// Most calls a second that the joined proxies together have been said to have.
    calls_per_s: f64,
    log: Sparing,
}

impl Ranges {
    pub fn new(settings: &Settings) -> Self {
        let longest = settings.routes.iter().map(|route| route.time_limit).fold(0.0, f64::max);
        let rt = if longest > 0.0 { 2.0 * longest } else { f64::INFINITY };
        Ranges { rt, calls_per_s: 0.0, log: Sparing::default() }
    }

    /// The proxies that have joined, as they were told; asked when one joins.
    pub fn proxies<'a>(&mut self, joined: impl Iterator<Item = &'a Input>) {
        let share =
            |input: &Input| if let Input::Joined { calls_per_s, .. } = input { *calls_per_s } else { 0.0 };
        self.calls_per_s = self.calls_per_s.max(joined.map(share).sum());
    }

    pub fn rt(&self, rt: f64) -> Result<f64, Fault> {
        in_range(rt, self.rt, "avg")
    }

    /// Calls of a span, of which some were dropped.
    pub fn calls(&self, calls: u64, dropped: u64, span: f64) -> Result<(), Fault> {
        let per_s = if self.calls_per_s > 0.0 { self.calls_per_s } else { CALLS_MOST };
        let most = SLACK * per_s * span + FEW;
        in_range(calls as f64, most, "n")?;
        in_range(dropped as f64, most, "bad").map(|_| ())
    }

    /// The figures of a load report that can be; `odd` others were none at all. A host goes on with calls whose
    /// callers have given up, so its service times may be far longer than theirs.
    pub fn load(&mut self, now: f64, load: Load, odd: u64, out: &mut Out) -> Load {
        let (mut spoilt, service_most) = (odd, SLACK * self.rt);
        let mut sound = |figure: Option<f64>, most: f64| {
            spoilt += figure.is_some_and(|figure| figure > most) as u64;
            figure.filter(|figure| *figure <= most)
        };
        let load = Load {
            in_hand: sound(load.in_hand, CALLS_MOST),
            waiting: sound(load.waiting, CALLS_MOST),
            // A share, with the noise of its measurement.
            busy: sound(load.busy, 2.0),
            service_time: sound(load.service_time, service_most),
            answered_per_s: sound(load.answered_per_s, CALLS_MOST),
            errors_per_s: sound(load.errors_per_s, CALLS_MOST),
        };
        if spoilt > 0 {
            out.counters.load_figures_odd += spoilt;
            self.log.warn(now, format!("load report: {spoilt} figures passed over"), out);
        }
        load
    }
}

fn in_range(figure: f64, most: f64, field: &str) -> Result<f64, Fault> {
    if figure <= most {
        return Ok(figure);
    }
    Err(Fault::invalid(field, figure, format!("{most:.0} at most")))
}
