//! Where the wire's names end: its events become a director's inputs, a director's orders its lines.

use coppersail::interface as api;
use coppersail_bench_codec as wire;
use coppersail_settings::{self as settings, span, Clock};

/// A field of a sound line that does not fit the settings: its name and what was expected.
pub type Misfit = (&'static str, String);

/// The names of one instance's settings, and its clock.
pub struct Names {
    pub clock: Clock,
    names: settings::Names,
}

impl Names {
    pub fn new(boot: &settings::Boot, clock: Clock) -> Self {
        Names { clock, names: settings::Names::new(boot) }
    }

    fn host(&mut self, address: &str) -> api::HostId {
        self.names.host(address)
    }

    /// A host that was listed or stands in a table; news of others concern nobody and would keep their names.
    fn known(&self, address: &str) -> Result<api::HostId, Misfit> {
        self.names.known_host(address).ok_or(("host", "a host that was listed".to_string()))
    }

    fn address(&self, host: api::HostId) -> String {
        self.names.host_name(host).to_string()
    }

    fn zone(&self, name: &str) -> Result<api::ZoneId, Misfit> {
        self.names.zone(name).map_err(|expected| ("rack-zone", expected))
    }

    fn route(&self, name: &str) -> Result<api::RouteId, Misfit> {
        self.names.route(name).map_err(|expected| ("grade", expected))
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
            kind: self.names.kind(sku).map_err(|expected| ("sku", expected))?,
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
                host: self.known(host)?,
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
                    host: self.known(host)?,
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

    /// The order as it stands on the wire; forgetting a host concerns only its name here.
    pub fn order(&mut self, who: u64, order: api::Order) -> Option<wire::Order> {
        use wire::Order as O;
        let mask = |routes: Vec<api::RouteId>| routes.iter().fold(0u64, |mask, route| mask | 1 << route.0);
        Some(match order {
            api::Order::Forget(host) => {
                self.names.forget(host);
                return None;
            }
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
                O::Trace { who, reason: wire::Text(self.names.said(&text, &hosts)) }
            }
        })
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
    settings::load(|name| telemetry.as_ref().and_then(|t| t.get(name)))
}

#[cfg(test)]
mod tests;
