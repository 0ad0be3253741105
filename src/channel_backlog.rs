//! Upper bound of the lines that are queued in the channel to the proxies. It is told of every round of messages that
//! is ordered, of every call that is actually written (the first time, again, or in part), of proxies that join and
//! leave, and of every acknowledgement. Whatever is uncertain is assumed to be queued, so that never more lines are
//! queued than [`ChannelBacklog::unacknowledged_lines`]. What to do about it is decided in `logic`.

use crate::interface::{Input, ProxyId, RelayCallEvent, RoundId, RouteId};
use crate::parameters::Parameters;
use std::collections::{BTreeSet, VecDeque};

#[cfg(test)]
mod tests;

/// How acknowledgements are interpreted; `logic` sets the values.
#[derive(Clone, Copy)]
pub(crate) struct AcknowledgementRules {
    /// Seconds after a write within which a proxy that joins may have received it.
    pub(crate) join_overlap: f64,
    /// Share of a round's lines below which its last acknowledgements are not used to measure the channel's rate.
    pub(crate) ignored_tail: f64,
}

/// A message to every proxy that is not known to have been delivered to all of them. Times are in seconds.
#[derive(Default)]
pub(crate) struct Round {
    /// The id that its acknowledgements name; `None` for a part of a call, which is not acknowledged.
    pub(crate) id: Option<RoundId>,
    /// When it was written, or ordered if it is not written yet.
    pub(crate) written_at: f64,
    /// It has been ordered, but not written yet.
    pub(crate) is_unwritten: bool,
    /// None of it is queued any more, although acknowledgements may still arrive.
    pub(crate) is_delivered: bool,
    /// Lines of the message to one proxy, including its overhead.
    pub(crate) lines_per_proxy: f64,
    /// Proxies that have not acknowledged it.
    pub(crate) awaited: BTreeSet<ProxyId>,
    /// How many further proxies it may still be queued for: they left, were not known to have joined, or may have sent
    /// an acknowledgement that was lost.
    pub(crate) unknown_proxies: f64,
    /// Its lines to all proxies when it was written.
    pub(crate) initial_lines: f64,
    /// Its lines, and those of earlier rounds that had not been delivered when it was written.
    pub(crate) lines_with_earlier: f64,
}

impl Round {
    /// Lines of this round that may be queued.
    pub(crate) fn queued_lines(&self) -> f64 {
        if self.is_delivered {
            return 0.0;
        }
        self.lines_per_proxy * (self.awaited.len() as f64 + self.unknown_proxies)
    }

    /// Whether an acknowledgement with this id from this proxy may belong to this round.
    fn may_be_acknowledged_by(&self, proxy: ProxyId, id: RoundId) -> bool {
        self.id == Some(id) && (self.unknown_proxies > 0.0 || self.awaited.contains(&proxy))
    }

    /// Records that one of the unknown proxies has been identified.
    fn remove_unknown_proxy(&mut self) {
        self.unknown_proxies = (self.unknown_proxies - 1.0).max(0.0);
    }
}

/// A call that may be written.
pub(crate) struct CallToWrite {
    /// Number of its orders.
    pub(crate) orders: usize,
    /// It may have been executed before.
    pub(crate) is_repeat: bool,
    /// Proxies may have joined that were not announced yet.
    pub(crate) unannounced_proxies: bool,
}

/// The rounds that may be queued in the channel. Times are in seconds, rates in lines per second.
#[derive(Default)]
pub(crate) struct ChannelBacklog {
    /// Proxies that have joined.
    pub(crate) proxies: BTreeSet<ProxyId>,
    /// Routes whose admission level was sent to all proxies.
    pub(crate) admission_routes: BTreeSet<RouteId>,
    /// Rounds in the order of delivery: first the written ones, then the others.
    pub(crate) rounds: VecDeque<Round>,
    /// When an acknowledgement last arrived, or when acknowledgements were last lost.
    pub(crate) last_acknowledged_at: f64,
    /// When an acknowledgement last arrived while the oldest round was still far from complete.
    pub(crate) last_rate_sample_at: f64,
    /// Rate of the channel as last measured from acknowledgements, if they were delayed.
    pub(crate) measured_rate: Option<f64>,
    /// Estimate of the queued lines by the channel's rate; not an upper bound.
    pub(crate) estimated_lines: f64,
    /// When that estimate was made.
    pub(crate) estimated_at: f64,
    /// When messages were sent within the window of the message limit.
    pub(crate) sent_at: VecDeque<f64>,
}

impl ChannelBacklog {
    /// Lines that were ordered and are not known to have been delivered.
    pub(crate) fn unacknowledged_lines(&self) -> f64 {
        self.rounds.iter().map(Round::queued_lines).sum()
    }

    /// The unacknowledged lines that have been written.
    pub(crate) fn unacknowledged_written_lines(&self) -> f64 {
        let written = self.rounds.iter().filter(|round| !round.is_unwritten);
        written.map(Round::queued_lines).sum()
    }

    /// Lines of a message to one proxy apart from its orders. The channel may add every admission level that was set
    /// for all proxies; it does not state whether it does so only for proxies that joined since.
    pub(crate) fn overhead_lines(&self, params: &Parameters) -> f64 {
        params.message_overhead + self.admission_routes.len() as f64
    }

    /// How many proxies receive what is written now. With `unannounced_proxies`, some may have joined that are not
    /// known yet, so the highest possible number is assumed.
    pub(crate) fn receiver_count(&self, params: &Parameters, unannounced_proxies: bool) -> f64 {
        let joined = self.proxies.len() as f64;
        if unannounced_proxies {
            joined.max(params.proxy_count)
        } else {
            joined
        }
    }

    /// Records an input that concerns the channel. A proxy that joins within the rules' overlap after a write may have
    /// been joined when the call was executed.
    pub(crate) fn record_input(
        &mut self,
        now: f64,
        params: &Parameters,
        rules: AcknowledgementRules,
        input: &Input,
    ) {
        match *input {
            Input::ProxyJoined { proxy, .. } => self.add_proxy(now, rules.join_overlap, proxy),
            Input::ProxyLeft(proxy) => self.remove_proxy(proxy),
            Input::RoundAcknowledged { proxy, round, .. } => {
                self.record_acknowledgement(now, params.max_transit_time, rules.ignored_tail, proxy, round);
            }
            Input::RelayCall(RelayCallEvent::Sent { round, orders, unannounced_proxies }) => {
                let unknown_proxies =
                    self.receiver_count(params, unannounced_proxies) - self.proxies.len() as f64;
                let lines_per_proxy = self.overhead_lines(params) + orders as f64;
                self.record_write(now, round, lines_per_proxy, unknown_proxies);
            }
            Input::RelayCall(RelayCallEvent::Rejected) => self.record_rejected_call(),
            Input::RelayCall(RelayCallEvent::AcknowledgementsLost) => self.record_lost_acknowledgements(now),
            _ => {}
        }
    }

    /// Records that a round is ordered. Without events about relay calls, it counts as written at once.
    pub(crate) fn record_order(&mut self, now: f64, id: RoundId, lines_per_proxy: f64) {
        let last = self.rounds.len();
        self.insert_round(last, now, Some(id), lines_per_proxy, 0.0);
        self.rounds[last].is_unwritten = true;
        self.sent_at.push_back(now);
    }

    /// Records that a call has been written: for the first time if its round is unwritten, else again or in part.
    /// Unwritten rounds before it were merged into it.
    fn record_write(&mut self, now: f64, id: Option<RoundId>, lines_per_proxy: f64, unknown_proxies: f64) {
        let first_unwritten = self.rounds.iter().position(|round| round.is_unwritten);
        let position = first_unwritten.unwrap_or(self.rounds.len());
        let is_first_write = |round: &Round| round.is_unwritten && id.is_some() && round.id == id;
        if let Some(ordered) = self.rounds.iter().position(is_first_write) {
            for round in self.rounds.drain(position..=ordered) {
                self.estimated_lines = (self.estimated_lines - round.queued_lines()).max(0.0);
                // The write below counts as a message in place of the order.
                if let Some(sent) = self.sent_at.iter().position(|sent_at| *sent_at == round.written_at) {
                    self.sent_at.remove(sent);
                }
            }
        }
        self.insert_round(position, now, id, lines_per_proxy, unknown_proxies);
        self.sent_at.push_back(now);
        self.update_unwritten_rounds(position + 1);
    }

    /// Recomputes how many lines are ahead of unwritten rounds after a write before them.
    fn update_unwritten_rounds(&mut self, first: usize) {
        let mut lines_with_earlier = self.unacknowledged_written_lines();
        for round in self.rounds.iter_mut().skip(first) {
            lines_with_earlier += round.queued_lines();
            round.lines_with_earlier = lines_with_earlier;
        }
    }

    /// Inserts a round to all proxies that have joined.
    fn insert_round(
        &mut self,
        position: usize,
        now: f64,
        id: Option<RoundId>,
        lines_per_proxy: f64,
        unknown_proxies: f64,
    ) {
        let mut round = Round {
            id,
            written_at: now,
            lines_per_proxy,
            awaited: self.proxies.clone(),
            unknown_proxies,
            ..Round::default()
        };
        round.initial_lines = round.queued_lines();
        let earlier: f64 = self.rounds.iter().take(position).map(Round::queued_lines).sum();
        round.lines_with_earlier = earlier + round.initial_lines;
        self.estimated_lines += round.initial_lines;
        self.rounds.insert(position, round);
    }

    /// Records that the call that was written last was rejected as a whole, so that none of it is queued.
    fn record_rejected_call(&mut self) {
        let Some(position) = self.rounds.iter().rposition(|round| !round.is_unwritten) else { return };
        self.sent_at.pop_back();
        if self.rounds[position].id.is_some() {
            self.rounds[position].is_unwritten = true;
        } else {
            let lines = self.rounds[position].queued_lines();
            self.estimated_lines = (self.estimated_lines - lines).max(0.0);
            self.rounds.remove(position);
        }
    }

    fn add_proxy(&mut self, now: f64, join_overlap: f64, proxy: ProxyId) {
        self.proxies.insert(proxy);
        for round in &mut self.rounds {
            let may_get_it = !round.is_unwritten && now - round.written_at <= join_overlap;
            if may_get_it && round.awaited.insert(proxy) {
                round.remove_unknown_proxy();
            }
        }
    }

    /// Lines queued for a proxy that left remain counted, as it is unknown whether the channel drops them.
    fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        for round in &mut self.rounds {
            if round.awaited.remove(&proxy) {
                round.unknown_proxies += 1.0;
            }
        }
    }

    /// Records that acknowledgements may have been lost, so that any proxy may have sent one.
    fn record_lost_acknowledgements(&mut self, now: f64) {
        self.last_acknowledged_at = now;
        for round in &mut self.rounds {
            round.unknown_proxies += round.awaited.len() as f64;
            round.awaited.clear();
        }
    }

    /// Records an acknowledgement, which counts for the first copy of the round that it may belong to. All rounds
    /// before that copy have been delivered, as the channel keeps the order.
    fn record_acknowledgement(
        &mut self,
        now: f64,
        transit_time: f64,
        ignored_tail: f64,
        proxy: ProxyId,
        id: RoundId,
    ) {
        self.last_acknowledged_at = now;
        let awaited = self.rounds.iter().position(|round| round.may_be_acknowledged_by(proxy, id));
        let any_copy = || self.rounds.iter().position(|round| round.id == Some(id));
        let Some(position) = awaited.or_else(any_copy) else { return };
        let round = &mut self.rounds[position];
        if !round.awaited.remove(&proxy) {
            round.remove_unknown_proxy();
        }
        for earlier in self.rounds.iter_mut().take(position) {
            earlier.is_delivered = true;
        }
        // A delivered copy is kept while other copies with its id are queued, so that its late acknowledgements are not
        // attributed to those.
        self.rounds.retain(|round| !round.is_delivered || round.id == Some(id));
        let Some(first) = self.rounds.iter().find(|round| !round.is_delivered) else { return };
        // The last acknowledgements may be late for other reasons. Proxies that left are not counted: they send none.
        let awaited_lines = first.lines_per_proxy * first.awaited.len() as f64;
        if awaited_lines > ignored_tail * first.initial_lines {
            self.last_rate_sample_at = now;
            self.measured_rate = self.current_rate(transit_time);
        }
    }

    /// Rate at which the oldest round and the lines before it were delivered; `None` while that round has not waited
    /// longer than the transit time.
    pub(crate) fn current_rate(&self, transit_time: f64) -> Option<f64> {
        let first = self.rounds.iter().find(|round| !round.is_delivered)?;
        if self.last_rate_sample_at <= first.written_at + transit_time {
            return None;
        }
        // Without awaited proxies there is no new measurement.
        if first.awaited.is_empty() {
            return self.measured_rate;
        }
        let delivered_lines = first.lines_with_earlier - first.queued_lines();
        Some(delivered_lines / (self.last_rate_sample_at - first.written_at - transit_time))
    }

    /// Whether no acknowledgement will arrive any more, whatever is awaited: nothing was queued, or no proxy is there
    /// to acknowledge it. A queued message is acknowledged within the transit time of the one before it.
    pub(crate) fn is_silent(&self, now: f64, params: &Parameters) -> bool {
        let Some(last) = self.rounds.iter().rfind(|round| !round.is_unwritten) else { return false };
        now - last.written_at.max(self.last_acknowledged_at) > 2.0 * params.max_transit_time
    }

    /// Advances the estimate to `now` and returns the channel's rate, which is assumed to be at least
    /// `min_rate_share` of the stated one. After `forget_after` seconds without an acknowledgement, older rounds are
    /// dropped.
    pub(crate) fn advance(
        &mut self,
        now: f64,
        params: &Parameters,
        min_rate_share: f64,
        forget_after: f64,
    ) -> f64 {
        let stated_rate = params.lines_per_s;
        let current_rate = self.current_rate(params.max_transit_time).unwrap_or(stated_rate);
        let rate = current_rate.clamp(min_rate_share * stated_rate, stated_rate);
        let last_acknowledged_at = self.last_acknowledged_at;
        self.rounds.retain(|round| now - round.written_at.max(last_acknowledged_at) < forget_after);
        self.sent_at.retain(|sent_at| now - sent_at <= params.message_window);
        let lines = (now - self.estimated_at) * rate;
        self.estimated_at = now;
        let min_lines = if rate < stated_rate { self.unacknowledged_lines() } else { 0.0 };
        self.estimated_lines = (self.estimated_lines - lines).max(min_lines);
        rate
    }
}
