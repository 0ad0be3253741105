//! The parameters of a simulated run.

use super::random::Random;
use proptest::prelude::*;

/// Slices that the director holds at the start.
pub(super) const SLICES: u16 = 48;
/// Hosts that are in service at the start.
pub(super) const HOSTS: usize = 12;
/// Hosts that the tables name at the start.
pub(super) const HOSTS_IN_TABLES: usize = 9;
/// Lines that each message to a proxy costs on top of its orders.
pub(super) const OVERHEAD: f64 = 12.0;
/// Most messages to a proxy within the window.
pub(super) const MAX_MESSAGES: usize = 40;
/// Length of that window, in seconds.
pub(super) const MESSAGE_WINDOW_S: f64 = 4.0;
/// Lines per second for each proxy.
const LINES_PER_S_EACH: f64 = 40.0;
/// The backlog as a time: how long the queued lines may take to pass.
const BACKLOG_S: f64 = 2.0;

/// Probabilities of the faults of a call, in percent; the other calls are answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultOdds {
    pub(super) unanswered: u32,
    pub(super) broken: u32,
    pub(super) corrupt: u32,
    pub(super) throttled: u32,
}

pub(super) const NO_FAULTS: FaultOdds = FaultOdds { unanswered: 0, broken: 0, corrupt: 0, throttled: 0 };

/// How the relay handles a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFate {
    Answered,
    /// Rejected as a whole.
    Throttled,
    /// No answer comes.
    Unanswered,
    /// The connection breaks.
    Broken,
    /// The answer is unreadable.
    Corrupt,
}

impl FaultOdds {
    /// The fate for a random number from 0 to 99.
    pub(super) fn fate(self, roll: u32) -> CallFate {
        let faults = [
            (self.throttled, CallFate::Throttled),
            (self.unanswered, CallFate::Unanswered),
            (self.broken, CallFate::Broken),
            (self.corrupt, CallFate::Corrupt),
        ];
        let mut limit = 0;
        for (odds, fate) in faults {
            limit += odds;
            if roll < limit {
                return fate;
            }
        }
        CallFate::Answered
    }
}

/// Many proxies leave at once and come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exodus {
    pub(super) at: f64,
    /// How many of the proxies, in percent.
    pub(super) percent: u32,
    /// Minimum time until they come back, in seconds.
    pub(super) away_s: f64,
}

/// One run. Times are seconds since its start.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) proxies: u16,
    /// When the faults and the release end.
    pub(super) faults_end: f64,
    pub(super) end: f64,
    pub(super) odds: FaultOdds,
    /// The channel's speed relative to the configured one, for successive periods of two seconds; 1 after the last.
    pub(super) speeds: Vec<f64>,
    pub(super) exoduses: Vec<Exodus>,
    /// Messages to a proxy that leaves stay in the channel.
    pub(super) keeps_lines_of_leavers: bool,
    /// Acknowledgements that are lost, in percent.
    pub(super) lost_acknowledgements: u32,
    /// Maximum delay of updates, in seconds.
    pub(super) update_delay_s: f64,
    /// When all update streams break at once.
    pub(super) stream_breaks: Vec<f64>,
    /// The number of messages is limited too, and acknowledgements are sent in bulk once a second.
    pub(super) limits_messages: bool,
    /// The backlog that the director is configured with, relative to the true one.
    pub(super) stated_backlog: f64,
    /// When four other directors fail, whose slices are assigned to this one.
    pub(super) takeover: Option<f64>,
    /// When these are back and their slices are assigned to them again.
    pub(super) handback: Option<f64>,
    /// When this director restarts without its state.
    pub(super) restart: Option<f64>,
    /// Length of host names in bytes. Long ones cause calls to be split by their length.
    pub(super) host_name_len: usize,
}

impl Scenario {
    /// Ten seconds of a release on a channel with the configured speed.
    pub(super) fn calm(seed: u64, proxies: u16, odds: FaultOdds) -> Self {
        Scenario {
            seed,
            proxies,
            faults_end: 10.0,
            end: 13.0,
            odds,
            speeds: vec![],
            exoduses: vec![],
            keeps_lines_of_leavers: true,
            lost_acknowledgements: 0,
            update_delay_s: 0.0,
            stream_breaks: vec![],
            limits_messages: false,
            stated_backlog: 1.0,
            takeover: None,
            handback: None,
            restart: None,
            host_name_len: 3,
        }
    }

    /// Unreadable answers on a channel far slower than configured. This exceeded the backlog when calls in the
    /// channel were not accounted for one by one: the call queue repeated calls by an estimate of its own at the
    /// configured speed, and acknowledgements of one copy of a call were attributed to another.
    pub(super) fn slow_and_corrupt() -> Self {
        let odds = FaultOdds { corrupt: 7, ..NO_FAULTS };
        Scenario {
            speeds: vec![0.02, 0.12, 0.5, 0.02, 1.0, 0.5, 1.0, 1.0],
            lost_acknowledgements: 3,
            keeps_lines_of_leavers: false,
            faults_end: 16.0,
            end: 36.0,
            ..Scenario::calm(1753894968421311801, 120, odds)
        }
    }

    /// The configured speed of the channel, in lines per second.
    pub(super) fn lines_per_s(&self) -> f64 {
        LINES_PER_S_EACH * f64::from(self.proxies)
    }

    /// Lines that may be queued in the channel.
    pub(super) fn backlog(&self) -> f64 {
        BACKLOG_S * self.lines_per_s()
    }

    pub(super) fn host_name(&self, host: usize) -> String {
        format!("h{host:0>width$}", width = self.host_name_len - 1)
    }

    /// The host in the table of a slice before the director has changed anything.
    pub(super) fn host_in_table(&self, slice: u16) -> String {
        self.host_name(slice as usize % HOSTS_IN_TABLES)
    }

    /// The channel's speed relative to the configured one.
    pub(super) fn speed(&self, now: f64) -> f64 {
        self.speeds.get((now / 2.0) as usize).copied().unwrap_or(1.0)
    }

    /// Draws the fate of a call.
    pub(super) fn call_fate(&self, now: f64, random: &mut Random) -> CallFate {
        if now < self.faults_end {
            self.odds.fate((random.share() * 100.0) as u32)
        } else {
            CallFate::Answered
        }
    }
}

fn fault_odds() -> impl Strategy<Value = FaultOdds> {
    let odds = (0..15u32, 0..15u32, 0..15u32, 0..4u32);
    odds.prop_map(|(unanswered, broken, corrupt, throttled)| FaultOdds {
        unanswered,
        broken,
        corrupt,
        throttled,
    })
}

fn exodus() -> impl Strategy<Value = Exodus> {
    (1.0..14.0, 10..100u32, 0.2..2.0).prop_map(|(at, percent, away_s)| Exodus { at, percent, away_s })
}

/// Any scenario with faults of the channel and the relay.
pub(super) fn any_scenario() -> impl Strategy<Value = Scenario> {
    let speed = prop_oneof![Just(1.0), Just(0.5), Just(0.12), Just(0.02)];
    let exoduses = proptest::collection::vec(exodus(), 0..3);
    let stream_breaks = proptest::collection::vec(1.0..14.0, 0..2);
    let speeds = proptest::collection::vec(speed, 8);
    // The slices of other directors are taken over for a while; this director restarts. With long host names, calls
    // exceed their maximum length.
    let takeover = proptest::option::of((1.0..20.0, 2.0..6.0));
    let restart = proptest::option::of(1.0..20.0);
    let restarts = (takeover, restart, prop_oneof![Just(3usize), Just(3000)]);
    let channel =
        (fault_odds(), speeds, exoduses, any::<bool>(), 0..6u32, 0.0..0.06, stream_breaks, any::<bool>());
    (any::<u64>(), channel, restarts).prop_map(|(seed, channel, (takeover, restart, host_name_len))| {
        let (
            odds,
            speeds,
            exoduses,
            keeps_lines_of_leavers,
            lost_acknowledgements,
            delay,
            breaks,
            limits_messages,
        ) = channel;
        let mut stream_breaks = breaks;
        stream_breaks.sort_by(f64::total_cmp);
        Scenario {
            faults_end: 16.0,
            end: 36.0,
            speeds,
            exoduses,
            keeps_lines_of_leavers,
            lost_acknowledgements,
            update_delay_s: delay,
            stream_breaks,
            limits_messages,
            takeover: takeover.map(|(at, _)| at),
            handback: takeover.map(|(at, away_s)| at + away_s),
            restart,
            host_name_len,
            ..Scenario::calm(seed, 120, odds)
        }
    })
}
