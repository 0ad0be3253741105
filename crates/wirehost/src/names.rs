//! Where the wire's names end: its events become a director's inputs, a director's orders its lines.

use coppersail::interface as api;
use coppersail_wire as wire;
use std::collections::BTreeMap;
use wire::boot::{Admission, Boot, Class, Discovery, Flag, Group, Semantics, WeightSource};

/// A field of a sound line that does not fit the settings: its name and what was expected.
pub type Misfit = (&'static str, String);

/// Times on the wire are whole nanoseconds of a clock that starts anywhere. Inside they are seconds since the
/// instance's start, which a fraction holds to the nanosecond for weeks.
#[derive(Clone, Copy)]
pub struct Clock {
    origin_ns: u64,
}

impl Clock {
    pub fn starting(origin_ns: u64) -> Self {
        Clock { origin_ns }
    }
    pub fn seconds(self, ns: u64) -> f64 {
        let (ahead, behind) = (ns.saturating_sub(self.origin_ns), self.origin_ns.saturating_sub(ns));
        span(ahead) - span(behind)
    }
    pub fn nanoseconds(self, at: f64) -> u64 {
        let ns = (at * 1e9).round();
        if ns < 0.0 {
            self.origin_ns.saturating_sub(-ns as u64)
        } else {
            self.origin_ns.saturating_add(ns as u64)
        }
    }
}

pub fn span(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// The names of one instance's settings.
pub struct Names {
    pub clock: Clock,
    zones: Vec<String>,
    kinds: Vec<String>,
    routes: Vec<String>,
    /// Addresses by number, and numbers by address.
    hosts: Vec<String>,
    numbers: BTreeMap<String, api::HostId>,
}

fn place(list: &[String], name: &str, field: &'static str, what: &str) -> Result<u16, Misfit> {
    let at = list.iter().position(|known| known == name);
    at.map(|at| at as u16)
        .ok_or_else(|| (field, format!("{what} of the settings, one of {}", list.join(", "))))
}

impl Names {
    pub fn new(boot: &Boot, clock: Clock) -> Self {
        let names = |list: &Option<wire::boot::List<String>>| list.clone().unwrap_or_default().0;
        Names {
            clock,
            zones: names(&boot.top.zones),
            kinds: names(&boot.top.kinds),
            routes: boot.classes.iter().map(|class| class.name.clone().unwrap_or_default()).collect(),
            hosts: Vec::new(),
            numbers: BTreeMap::new(),
        }
    }

    fn host(&mut self, address: &str) -> api::HostId {
        if let Some(host) = self.numbers.get(address) {
            return *host;
        }
        let host = api::HostId(self.hosts.len() as u32);
        self.hosts.push(address.to_string());
        self.numbers.insert(address.to_string(), host);
        host
    }

    fn address(&self, host: api::HostId) -> String {
        self.hosts[host.0 as usize].clone()
    }

    fn zone(&self, name: &str) -> Result<api::ZoneId, Misfit> {
        place(&self.zones, name, "rack-zone", "a zone").map(api::ZoneId)
    }

    fn route(&self, name: &str) -> Result<api::RouteId, Misfit> {
        place(&self.routes, name, "grade", "a class").map(api::RouteId)
    }

    pub fn listing(&mut self, item: &wire::Event) -> Result<api::Listing, Misfit> {
        let wire::Event::Item { sku, born_ns, host, w, block, zone, status } = item else {
            return Err(("members-list", "as many ITEM lines as it says".to_string()));
        };
        if *w < 0.0 {
            return Err(("w", "a size of 0 or more".to_string()));
        }
        Ok(api::Listing {
            host: self.host(host),
            state: match status {
                wire::Status::Gone => api::HostState::Gone,
                wire::Status::Draining => api::HostState::Draining,
                wire::Status::Ready => api::HostState::Ready,
            },
            born: born_ns.filter(|ns| *ns > 0).map(|ns| self.clock.seconds(ns)),
            weight: *w,
            zone: self.zone(zone)?,
            cell: api::CellId(*block),
            kind: api::KindId(place(&self.kinds, sku, "sku", "a kind")?),
        })
    }

    /// The input that an event stands for; lists and the start and end of instances are not handled here.
    pub fn input(&mut self, event: &wire::Event) -> Result<Option<api::Input>, Misfit> {
        use wire::Event as E;
        Ok(Some(match event {
            E::Configure { .. } | E::Members { .. } | E::Item { .. } | E::Stop { .. } => return Ok(None),
            E::Heat { covers_ns, grade, bad, many, table, .. } => api::Input::Demand {
                slice: api::SliceId(*table),
                route: self.route(grade)?,
                calls: *many,
                dropped: *bad,
                span: span(*covers_ns),
            },
            E::Tenure { set: true, table, .. } => api::Input::Given(api::SliceId(*table)),
            E::Tenure { set: false, table, .. } => api::Input::Taken(api::SliceId(*table)),
            E::Reminder { token, .. } => api::Input::Wake(api::WakeId(*token)),
            E::CheckedIn { proxy, zone, w, set, .. } => api::Input::Joined {
                proxy: api::ProxyId(*proxy),
                zone: self.zone(zone)?,
                calls_per_s: *w,
                fresh: *set,
            },
            E::CurrentOwner { table, w, host, .. } => {
                api::Input::StoredLine { slice: api::SliceId(*table), host: self.host(host), weight: *w }
            }
            E::Datagram { src, octets, .. } => {
                api::Input::Heard { from: api::PeerId(*src), bytes: octets.0.clone() }
            }
            E::Pong { host, outcome, time_taken_ns, telemetry, .. } => api::Input::Probed {
                host: self.host(host),
                outcome: outcome_of(*outcome),
                took: span(*time_taken_ns),
                load: load(telemetry),
            },
            E::Receipt { proxy, time_taken_ns, rev, .. } => api::Input::Applied {
                proxy: api::ProxyId(*proxy),
                mark: api::MarkId(*rev),
                took: span(*time_taken_ns),
            },
            E::DroppedOff { proxy, .. } => api::Input::Left(api::ProxyId(*proxy)),
            E::Intake { proxy, grade, many, bad, covers_ns, .. } => api::Input::Intake {
                proxy: api::ProxyId(*proxy),
                route: self.route(grade)?,
                calls: *many,
                dropped: *bad,
                span: span(*covers_ns),
            },
            E::Roundup { time_taken_ns, zone, covers_ns, host, many, bad, telemetry, .. } => {
                api::Input::Tries {
                    host: self.host(host),
                    zone: self.zone(zone)?,
                    span: span(*covers_ns),
                    tries: *many,
                    dropped: *bad,
                    rt: span(*time_taken_ns),
                    load: load(telemetry),
                }
            }
        }))
    }

    pub fn order(&self, who: u64, order: api::Order) -> wire::Order {
        use wire::Order as O;
        let mask = |routes: Vec<api::RouteId>| routes.iter().fold(0u64, |mask, route| mask | 1 << route.0);
        match order {
            api::Order::Line { slice, host, weight } => {
                O::SetLine { who, host: self.address(host), table: slice.0, w: weight }
            }
            api::Order::Clear(slice) => O::ResetTable { who, table: slice.0 },
            api::Order::Withdraw { host, out } => O::HoldBack { who, host: self.address(host), set: out },
            api::Order::Admit { scope, routes, level, retry } => O::Admit {
                who,
                table: match scope {
                    api::Scope::Slice(slice) => slice.0,
                    api::Scope::Everywhere => wire::ALL_TABLES,
                },
                only: mask(routes),
                level,
                resend: match retry {
                    api::Retry::Never => wire::Resend::None,
                    api::Retry::IfNeverRan => wire::Resend::NeverRan,
                    api::Retry::Once => wire::Resend::One,
                    api::Retry::Twice => wire::Resend::Two,
                },
            },
            api::Order::Bind { proxy, routes, table } => {
                O::UseTable { who, proxy: proxy.0, only: mask(routes), table: table.0 }
            }
            api::Order::Mark { mark, all } => O::Nonce { who, rev: mark.0, set: all },
            api::Order::Follow(on) => O::Follow { who, set: on },
            api::Order::FetchList => O::GetList { who },
            api::Order::Probe(host) => O::Sample { who, host: self.address(host) },
            api::Order::Tell { to, bytes } => O::Signal {
                who,
                dst: to.map_or(wire::Receiver::Others, |peer| wire::Receiver::One(peer.0)),
                octets: wire::Octets(bytes),
            },
            api::Order::WakeAt { wake, at } => {
                O::WakeAt { who, token: wake.0, time_ns: self.clock.nanoseconds(at) }
            }
            api::Order::Log { text, hosts } => {
                let addresses: Vec<String> = hosts.into_iter().map(|host| self.address(host)).collect();
                let colon = if addresses.is_empty() { "" } else { ": " };
                O::Trace { who, reason: wire::Text(format!("{text}{colon}{}", addresses.join(" "))) }
            }
        }
    }
}

pub fn scope_of(scope: wire::Scope) -> api::ListScope {
    match scope {
        wire::Scope::Delta => api::ListScope::Changes,
        wire::Scope::Full => api::ListScope::Whole,
        wire::Scope::Cached => api::ListScope::Remembered,
        wire::Scope::Failed => api::ListScope::Failed,
    }
}

fn outcome_of(outcome: wire::Outcome) -> api::Outcome {
    match outcome {
        wire::Outcome::Success => api::Outcome::Answered,
        wire::Outcome::Failure => api::Outcome::Error,
        wire::Outcome::Overloaded => api::Outcome::Throttled,
        wire::Outcome::TimedOut => api::Outcome::TimedOut,
        wire::Outcome::Unreachable => api::Outcome::Unreachable,
        wire::Outcome::Broken => api::Outcome::Broken,
        wire::Outcome::Withdrawn => api::Outcome::Withdrawn,
        wire::Outcome::Void => api::Outcome::Void,
    }
}

fn load(telemetry: &Option<wire::Telemetry>) -> api::Load {
    let value = |name| telemetry.as_ref().and_then(|t| t.get(name));
    api::Load {
        in_hand: value("rif"),
        waiting: value("q"),
        busy: value("busy"),
        service_time: value("lat_ms").map(|ms| ms / 1e3),
        answered_per_s: value("rate"),
        errors_per_s: value("fail_rate"),
    }
}

fn route(class: &Class, mutating: bool, own_zone_only: bool) -> api::Route {
    let window = span(class.window_ns.unwrap_or(0));
    let group = match class.group.unwrap_or(Group::Cell) {
        Group::All => api::KeyedGroup::All,
        Group::Zone => api::KeyedGroup::Zone,
        Group::Cell => api::KeyedGroup::Cell,
    };
    api::Route {
        slo_time: span(class.aim_ns.unwrap_or(0)),
        time_limit: span(class.give_up_ns.or(class.aim_ns).unwrap_or(0)),
        importance: class.worth.unwrap_or(1.0),
        semantics: match class.semantics.unwrap_or(Semantics::Unsafe) {
            Semantics::Safe => api::Semantics::Repeatable,
            Semantics::Keyed => api::Semantics::Keyed { group, window },
            Semantics::Unsafe => api::Semantics::MustNotRepeat,
        },
        mutating,
        own_zone_only,
    }
}

/// The settings as a director takes them. What is absent becomes the reading under which least is allowed.
pub fn settings(boot: &Boot) -> api::Settings {
    let (top, rules, limits, facts) = (&boot.top, &boot.guarantees, &boot.limits, &boot.specifics);
    let on = |flag: &Option<Flag>| flag.is_some_and(|flag| flag.0);
    let seconds = |ns: &Option<u64>| span(ns.unwrap_or(0));
    let by_class = |list: &Option<wire::boot::List<Flag>>, k: usize, absent: bool| {
        list.as_ref().and_then(|list| list.0.get(k)).map_or(absent, |flag| flag.0)
    };
    let names = |list: &Option<wire::boot::List<String>>| list.clone().unwrap_or_default().0;
    let zones = names(&top.zones);
    let zone = top.az.as_ref().and_then(|az| zones.iter().position(|name| name == az));
    api::Settings {
        me: api::PeerId(top.me.unwrap_or(0)),
        directors: top.balancers.unwrap_or(1),
        zone: zone.map(|at| api::ZoneId(at as u16)),
        zones,
        kinds: names(&top.kinds),
        routes: (boot.classes.iter().enumerate())
            .map(|(k, class)| {
                route(class, by_class(&facts.mutating, k, true), by_class(&facts.class_own_zone, k, false))
            })
            .collect(),
        list_is_pushed: top.discovery != Some(Discovery::OnRequest),
        ask_within: seconds(&rules.ask_within_ns),
        listed_weights: top.weight_source.is_some_and(|source| source != WeightSource::Silent),
        may_probe: on(&limits.may_probe),
        may_tell_peers: on(&limits.peers),
        cold_from: rules.cold_from.unwrap_or(0.0),
        ramp_time: seconds(&rules.ramp_time_ns),
        fall_multiple: rules.fall_multiple.unwrap_or(1.0),
        fall_time: seconds(&rules.fall_ns),
        grace: seconds(&rules.stop_sending_within_ns),
        throttled_may_have_run: on(&rules.full_may_have_run),
        gone_is_advice: on(&rules.gone_is_advice),
        unserved_most: seconds(&facts.unserved_max_ns),
        slices: facts.slices.unwrap_or(0),
        proxies: facts.proxy_count.unwrap_or(0),
        exclusive: on(&facts.exclusive),
        admission: match facts.admission {
            Some(Admission::Fraction) => api::Admission::Share,
            Some(Admission::PerSecond) => api::Admission::PerSecond,
            Some(Admission::Silent) | None => api::Admission::None,
        },
        retry_default: match facts.retry_default {
            Some(1) => api::Retry::IfNeverRan,
            Some(2) => api::Retry::Once,
            Some(3) => api::Retry::Twice,
            _ => api::Retry::Never,
        },
        ejects_after: facts.ejects.unwrap_or(0),
        message_overhead: facts.overhead.unwrap_or(0.0),
        lines_per_s: facts.lines_per_s.unwrap_or(0.0),
        backlog_lines: facts.backlog.unwrap_or(0.0),
        messages_most: facts.reloads_max.unwrap_or(0),
        messages_span: seconds(&facts.update_window_ns),
        transit: seconds(&facts.transit_ns),
        transit_most: seconds(&facts.transit_max_ns),
        report_interval: seconds(&facts.interval_ns),
        in_flight_most: seconds(&facts.in_flight_max_ns),
        warm_keys: on(&facts.warm_keys),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(0, 1 ; "from zero")]
    #[test_case(1_766_000_000_123_456_789, 86_400_000_000_001 ; "a day after a clock of this century")]
    #[test_case(5_000, 4_999 ; "before the start")]
    fn times_come_back_to_the_nanosecond(origin: u64, ahead: u64) {
        let clock = Clock::starting(origin);
        assert_eq!(clock.nanoseconds(clock.seconds(origin + ahead)), origin + ahead);
        assert_eq!(clock.nanoseconds(clock.seconds(origin - origin.min(ahead))), origin - origin.min(ahead));
    }

    #[test]
    fn addresses_come_back_as_given() {
        let mut names = Names::new(&Boot::default(), Clock::starting(0));
        let (first, second) = (names.host("10.0.0.1:80"), names.host("10.0.0.2:80"));
        assert_eq!(names.host("10.0.0.1:80"), first, "once numbered, always the same");
        assert_eq!(names.address(second), "10.0.0.2:80");
    }

    #[test]
    fn absent_settings_allow_least() {
        let settings = settings(&Boot { classes: vec![Class::default()], ..Boot::default() });
        assert_eq!(settings.routes[0].semantics, api::Semantics::MustNotRepeat);
        assert!(!settings.may_probe && settings.routes[0].mutating);
    }
}
