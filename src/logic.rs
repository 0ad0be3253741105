//! All decisions of a director, by concern in `src/logic/`. `docs/design.md` gives the reasons behind them.
//!
//! Each host is a small actor; so are the tables, admission control, the discovery watch and the channel to the
//! proxies. Their state is in `src/state/`. They interact only by messages, which `src/delivery.rs` delivers.

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

/// Seconds between ticks: a tenth of the shortest grace period reacts in time and costs little.
pub(crate) const TICK_INTERVAL: f64 = 0.1;
/// Seconds by which a tick may be early: a timer that fires early by rounding must still set the next timer.
pub(crate) const TICK_SLACK: f64 = 1e-6;

/// Period of control loops in seconds: whole reports and a second for their transit. A shorter period overshoots.
fn control_period(params: &Parameters) -> f64 {
    params.report_interval * (1.0 + (1.0 / params.report_interval.max(0.1)).ceil()) - 0.01
}

/// Bins for response times: from 30 ms in steps of 1.4 they reach 5 s, beyond any useful response time.
const BINS: Bins = Bins { first: 0.03, step: 1.4 };

/// Whether a weight need not be sent, as it differs by a factor of 1.25 at most. A slow channel tolerates more:
/// each third of a second that it takes for a line to every proxy adds 1 to the factor.
fn is_close_enough(params: &Parameters, sent: Option<&f64>, desired: f64) -> bool {
    let tolerance = 1.25 + 3.0 * params.round_time;
    sent.is_some_and(|sent| (1.0 / tolerance..=tolerance).contains(&(sent / desired)))
}

impl DiscoveryWatch {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        let Some(max_silence) = params.max_list_silence else { return };
        // A second between attempts to watch the list lets the service recover; three fetches fit the allowed silence.
        let interval = if self.watching { max_silence / 3.0 } else { 1.0 };
        match message {
            Message::Input(Input::HostListUpdate { scope: ListScope::Failed, .. }) => self.watching = false,
            Message::Tick if self.requested_at.is_none_or(|requested_at| now - requested_at > interval) => {
                let order = if self.watching { Order::FetchHostList } else { Order::WatchHostList(true) };
                outbox.orders.push(order);
                self.watching = true;
                self.requested_at = Some(now);
            }
            _ => {}
        }
    }
}

impl Director {
    /// Creates the host's actor when an input first names the host.
    pub(crate) fn ensure_host(&mut self, id: HostId) {
        // First probes are spread over the probe interval (0.5 s), to avoid bursts.
        let first_probe_at = self.random.next_fraction() * 0.5;
        // Hosts known before the first tick count as verified until they fail; later ones must answer first.
        let verified = !self.params.probes_allowed || self.next_tick_at == f64::NEG_INFINITY;
        self.hosts.entry(id).or_insert_with(|| Host::new(id, first_probe_at, verified));
    }

    /// Whether an update of the host list is used: the answer to a fetch may be older than updates since then.
    pub(crate) fn accepts_list(&self, scope: ListScope, version: u64) -> bool {
        scope != ListScope::Failed && self.list_version.is_none_or(|known| version >= known)
    }
}
