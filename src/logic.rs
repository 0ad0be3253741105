//! All decisions of a director, by concern in `src/logic/`. `docs/design.md` says why they are as they are.
//!
//! Each host is a small actor; so are the tables, admission control, the discovery watch and the channel to proxies.
//! Their state is in `src/state/`. They interact only by messages, which `src/delivery.rs` delivers.

use crate::channel_backlog::{AcknowledgementRules, CallToWrite};
use crate::interface::*;
use crate::messages::{HostView, Message, Outbox, Recipient};
use crate::parameters::Parameters;
use crate::placement::{add_to_host, PerHost, PlacementPlan, Relocation};
use crate::state::*;
use crate::statistics::{median, Bins, Histogram};
use std::collections::BTreeSet;

mod channel;
mod gate;
mod hosts;
mod owners;
mod standbys;
mod tables;
#[cfg(test)]
pub(crate) mod tests;

/// Seconds between ticks: a tenth of the shortest grace period, at little cost.
pub(crate) const TICK_INTERVAL: f64 = 0.1;
/// Seconds by which a tick may be early: a timer that rounding makes fire early would else end the chain of timers.
pub(crate) const TICK_SLACK: f64 = 1e-6;

/// Period of control loops, in seconds: whole reports and a second for their transit. Shorter ones overshoot.
fn control_period(params: &Parameters) -> f64 {
    params.report_interval * (1.0 + (1.0 / params.report_interval.max(0.1)).ceil()) - 0.01
}

/// From 30 ms by steps of 1.4 the bins reach 5 s, beyond any response time that is still useful.
const BINS: Bins = Bins { first: 0.03, step: 1.4 };

/// Whether a weight need not be sent: it differs by a quarter at most. Where a round of messages takes the channel
/// long, more is tolerated: a third of a second doubles the tolerance.
fn is_close_enough(params: &Parameters, sent: Option<&f64>, desired: f64) -> bool {
    let tolerance = 1.25 + 3.0 * params.round_time;
    sent.is_some_and(|sent| (1.0 / tolerance..=tolerance).contains(&(sent / desired)))
}

impl DiscoveryWatch {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        let Some(max_silence) = params.max_list_silence else { return };
        // A second between attempts to follow lets the service recover; once followed, thrice in the allowed time.
        let interval = if self.following { max_silence / 3.0 } else { 1.0 };
        match message {
            Message::Input(Input::HostListUpdate { scope: ListScope::Failed, .. }) => self.following = false,
            Message::Tick if self.asked_at.is_none_or(|asked_at| now - asked_at > interval) => {
                let order = if self.following { Order::FetchHostList } else { Order::WatchHostList(true) };
                outbox.orders.push(order);
                self.following = true;
                self.asked_at = Some(now);
            }
            _ => {}
        }
    }
}

impl Director {
    /// Makes the host's actor when it is first heard of.
    pub(crate) fn ensure_host(&mut self, id: HostId) {
        // First probes are spread over their interval, to avoid bursts.
        let first_probe_at = self.random.next_share() * 0.5;
        // Hosts found at the start are trusted until they fail; later ones must answer first.
        let verified = !self.params.probes_allowed || self.next_tick_at == f64::NEG_INFINITY;
        self.hosts.entry(id).or_insert_with(|| Host::new(id, first_probe_at, verified));
    }

    /// Whether an update of the host list is used: an answer may be older than what was followed since.
    pub(crate) fn accepts_list(&self, scope: ListScope, version: u64) -> bool {
        scope != ListScope::Failed && self.list_version.is_none_or(|known| version >= known)
    }
}
