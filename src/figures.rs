//! The few figures that the module uses, from the settings. No decisions: what is made of them is in `logic`.

use crate::interface::*;

pub(crate) struct Figures {
    pub cold_from: f64,
    pub ramp_time: f64,
    pub fall_multiple: f64,
    /// Period of the reports.
    pub interval: f64,
    pub may_probe: bool,
    /// A host that the list drops without calling it draining may go on serving.
    pub gone_is_advice: bool,
    /// A slice has one owner, so a table one line.
    pub exclusive: bool,
    /// By route.
    pub importance: Vec<f64>,
    pub slo_times: Vec<f64>,
    pub tightest_slo: f64,
    /// Its calls may run twice.
    pub repeatable: Vec<bool>,
    /// What proxies do about further tries unless they are told.
    pub again: Retry,
    /// Levels are shares of the calls.
    pub admits: bool,
    pub overhead: f64,
    /// How many there can be.
    pub proxies: f64,
    /// Proxies use slices' tables, not tables of their own.
    pub slices: bool,
    pub all_slices: f64,
    pub lines_per_s: f64,
    /// How long the channel is busy with an empty message to every proxy.
    pub round_time: f64,
    pub backlog: f64,
    /// The longest way of a message once it has left the channel.
    pub way: f64,
    pub messages_most: usize,
    pub messages_span: f64,
    /// Where the list must be asked for: the silence after which it counts as told.
    pub ask_within: Option<f64>,
}

impl Figures {
    pub fn new(s: &Settings) -> Self {
        let slo_times: Vec<f64> = s.routes.iter().map(|r| r.slo_time).collect();
        Figures {
            cold_from: s.cold_from,
            ramp_time: s.ramp_time,
            fall_multiple: s.fall_multiple,
            interval: s.report_interval,
            may_probe: s.may_probe,
            gone_is_advice: s.gone_is_advice,
            exclusive: s.exclusive,
            importance: s.routes.iter().map(|r| r.importance).collect(),
            tightest_slo: slo_times.iter().copied().fold(f64::INFINITY, f64::min),
            slo_times,
            repeatable: s.routes.iter().map(|r| r.semantics == Semantics::Repeatable).collect(),
            again: s.retry_default,
            admits: s.admission == Admission::Share,
            overhead: s.message_overhead,
            proxies: s.proxies as f64,
            slices: s.slices > 0,
            all_slices: s.slices as f64,
            lines_per_s: s.lines_per_s,
            round_time: s.proxies as f64 * (s.message_overhead + 1.0) / s.lines_per_s.max(1.0),
            backlog: s.backlog_lines,
            way: s.transit_most,
            messages_most: if s.messages_most == 0 { usize::MAX } else { s.messages_most as usize },
            messages_span: s.messages_span,
            ask_within: (!s.list_is_pushed).then_some(s.ask_within),
        }
    }
}
