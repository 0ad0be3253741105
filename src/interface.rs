//! What goes into a director and what comes out. Plain types, no behaviour; times are seconds with fractions on
//! the caller's clock, spans are seconds.

use std::collections::{BTreeMap, BTreeSet};

/// A host that answers calls, numbered by the caller as it first names them; addresses stay with the caller. A number
/// stands for one host for good, also after `Order::Forget`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A slice of the key space, or, where there are no slices, a table of the director's own numbering.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);

/// A kind of call, by its place in `Settings::routes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub u16);

/// A zone, by its place in `Settings::zones`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A machine kind, by its place in `Settings::kinds`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);

/// A small group of hosts in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// A director of the same tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

/// Comes back with the wake-up that it was given to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WakeId(pub u64);

/// Numbers a round of orders whose receipt is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MarkId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// One host as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub host: HostId,
    pub state: HostState,
    /// When the process last started; none: long ago.
    pub born: Option<f64>,
    /// Size in relation to the others.
    pub weight: f64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// The whole list; what is not in it is gone.
    Whole,
    /// The whole list as the director last had it, maybe old.
    Remembered,
    /// Following or asking failed; the old list stands.
    Failed,
}

/// What a host says of its own load; absent figures are not reported here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_hand: Option<f64>,
    pub waiting: Option<f64>,
    /// Share of the cores that is busy.
    pub busy: Option<f64>,
    /// Recent service time, seconds.
    pub service_time: Option<f64>,
    pub answered_per_s: Option<f64>,
    pub errors_per_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Error,
    Throttled,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Hosts {
        scope: ListScope,
        version: u64,
        entries: Vec<Listing>,
    },
    /// A slice becomes this director's to order; `StoredLine`s follow.
    Given(SliceId),
    Taken(SliceId),
    StoredLine {
        slice: SliceId,
        host: HostId,
        weight: f64,
    },
    /// What all joined proxies were asked for one slice in one route.
    Demand {
        slice: SliceId,
        route: RouteId,
        calls: u64,
        dropped: u64,
        span: f64,
    },
    /// What one proxy was asked in one route, where there are no slices.
    Intake {
        proxy: ProxyId,
        route: RouteId,
        calls: u64,
        dropped: u64,
        span: f64,
    },
    /// What the joined proxies of one zone met at a host.
    Tries {
        host: HostId,
        zone: ZoneId,
        span: f64,
        tries: u64,
        dropped: u64,
        /// Mean response time of the tries that went well; 0 if none did.
        rt: f64,
        load: Load,
    },
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
        calls_per_s: f64,
        /// It has had no table from this director since its own start.
        fresh: bool,
    },
    Left(ProxyId),
    Applied {
        proxy: ProxyId,
        mark: MarkId,
        took: f64,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        took: f64,
        load: Load,
    },
    Heard {
        from: PeerId,
        bytes: Vec<u8>,
    },
    Wake(WakeId),
    /// The guard has refused lines of the slice, which went to the host if one is named. So these still stand.
    Refused {
        slice: SliceId,
        host: Option<HostId>,
        lines: BTreeMap<HostId, f64>,
    },
    /// What operators want over what would be decided; all of it, each time.
    Wishes(Wishes),
    /// What became of a call. Where none is told of, what is ordered counts as carried out at once.
    Call(Call),
}

/// Orders given together are written as a call, which may have to be written again, or in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// It has gone out, for the first time or again, with so many orders; a part has no mark. `unheard`: proxies may
    /// have joined of which nothing has been told yet.
    Written { mark: Option<MarkId>, orders: usize, unheard: bool },
    /// The last one that went out was turned away whole.
    TurnedAway,
    /// Receipts may have come that were not heard.
    Deaf,
}

/// What operators set by hand. What is absent is as decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wishes {
    /// Factors of hosts' and, by their place in the settings, of zones' weights.
    pub hosts: BTreeMap<HostId, f64>,
    pub zones: Vec<f64>,
    /// Hosts that are to get no lines, as long as others can.
    pub drained: BTreeSet<HostId>,
    /// Slices and the hosts that they are to be kept away from, as long as there are others.
    pub apart: BTreeSet<(SliceId, HostId)>,
    pub routes: BTreeMap<RouteId, RouteWish>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteWish {
    /// The most that is let in.
    pub ceiling: Option<f64>,
    pub again: Option<Retry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    Slice(SliceId),
    /// All joined proxies; with slices, all slices of this director.
    Everywhere,
}

/// Further tries, always at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    /// Once, if the last try provably never ran.
    IfNeverRan,
    Once,
    Twice,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Adds, changes or, with weight 0, removes one line of a table.
    Line {
        slice: SliceId,
        host: HostId,
        weight: f64,
    },
    Clear(SliceId),
    /// Shuts a host out of all tables of the joined proxies, or lets it back in.
    Withdraw {
        host: HostId,
        out: bool,
    },
    /// The share (or rate) of the routes that is let in; no routes named: all.
    Admit {
        scope: Scope,
        routes: Vec<RouteId>,
        level: f64,
        retry: Retry,
    },
    Bind {
        proxy: ProxyId,
        routes: Vec<RouteId>,
        table: SliceId,
    },
    /// Asks every proxy that gets a message of this round for a receipt; `all`: also those with nothing else to get.
    Mark {
        mark: MarkId,
        all: bool,
    },
    Follow(bool),
    FetchList,
    Probe(HostId),
    Tell {
        to: Option<PeerId>,
        bytes: Vec<u8>,
    },
    WakeAt {
        wake: WakeId,
        at: f64,
    },
    /// The host is gone and is not referred to any more; its number and name may be given back.
    Forget(HostId),
    /// What was decided and why, and the hosts that it is about.
    Log {
        text: String,
        hosts: Vec<HostId>,
    },
}

/// Whether a call may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Semantics {
    Repeatable,
    /// Hosts of the same group drop a repeat for `window` seconds.
    Keyed {
        group: KeyedGroup,
        window: f64,
    },
    MustNotRepeat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// An answer within this time earns the full importance.
    pub slo_time: f64,
    /// When a client gives up, over all its tries.
    pub time_limit: f64,
    pub importance: f64,
    pub semantics: Semantics,
    /// It writes.
    pub mutating: bool,
    pub own_zone_only: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Share,
    PerSecond,
    None,
}

/// What a director is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub me: PeerId,
    pub directors: u64,
    pub zone: Option<ZoneId>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub routes: Vec<Route>,
    /// The list comes by itself; else it must be followed or asked for.
    pub list_is_pushed: bool,
    /// Silence towards the list after which the director counts as told.
    pub ask_within: f64,
    pub listed_weights: bool,
    pub may_probe: bool,
    pub may_tell_peers: bool,
    /// A host starts at this share of its capacity or more...
    pub cold_from: f64,
    /// ...and is warm after this time at the latest.
    pub ramp_time: f64,
    pub fall_multiple: f64,
    pub fall_time: f64,
    /// Time allowed for an order to take effect.
    pub grace: f64,
    pub throttled_may_have_run: bool,
    pub gone_is_advice: bool,
    /// Longest time that a proxy may be without a line.
    pub unserved_most: f64,
    pub slices: u64,
    pub proxies: u64,
    pub exclusive: bool,
    pub admission: Admission,
    pub retry_default: Retry,
    /// Failures in a row after which a proxy keeps away from a host by itself; 0: no such habit.
    pub ejects_after: u64,
    pub message_overhead: f64,
    pub lines_per_s: f64,
    pub backlog_lines: f64,
    /// Most messages to one proxy within `messages_span`; 0: no limit.
    pub messages_most: u64,
    pub messages_span: f64,
    pub transit: f64,
    pub transit_most: f64,
    pub report_interval: f64,
    /// No write is in a host's hands later than this after it came to its proxy.
    pub in_flight_most: f64,
    pub warm_keys: bool,
}
