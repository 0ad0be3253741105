//! The host that a request goes to.
use crate::load::UNMEASURED;
use crate::registry::{Endpoint, EndpointRegistry};
use crate::{backoff, Ms};
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

/// Bytes between zones are priced, but far below a late answer.
const FAR: f32 = 1.15;
/// A host that has just started is slow by about this.
const COLD: f32 = 3.0;
/// A silent host is the last resort.
const SILENT: f32 = 20.0;
/// Estimates of hosts within this of each other are equal; chance decides, so that edges do not run together.
const ALIKE: f32 = 0.1;
/// A request of the first rank is refused when its answer is expected this much past its deadline (what is known of
/// the others' requests is old); each rank below stands aside sooner.
const PATIENCE: f32 = 1.3;
const PATIENCE_PER_RANK: f32 = 0.15;

pub struct SelectionRequest<'a> {
    pub service: &'a str,
    /// The key, where the service is divided and the request carries one.
    pub key: Option<u16>,
    pub repeatable: bool,
    pub rank: u32,
    pub left: Ms,
    /// For how long a host that leaves may still get requests for keys that it holds.
    pub stays: Ms,
    /// Hosts of this revision only, or all but them, where a plan tells versions apart by it.
    pub revision: Option<(&'a str, bool)>,
    /// Hosts that this request has been to.
    pub tried: &'a [Rc<str>],
}

#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    Endpoint(Rc<str>),
    /// Nobody is known to hold the key; a newer row may come.
    NoLeaseHolder,
    /// No host is left to go to.
    NoEndpoint,
    /// Every host would answer too late.
    Overloaded,
}

/// ```
/// use coppersail_load_balancing::{selection, Ask, Book, Choice};
/// let ask = Ask { service: "b", key: None, repeatable: true, rank: 0, left: 900, stays: 0, revision: None, tried: &[] };
/// assert_eq!(selection::pick(&Book::new("north"), &ask, 0, &mut fastrand::Rng::with_seed(1)), Choice::Nobody);
/// ```
pub fn select_endpoint(
    book: &EndpointRegistry,
    ask: &SelectionRequest,
    now: Ms,
    chance: &mut fastrand::Rng,
) -> Selection {
    let Some(part) = book.service(ask.service) else { return Selection::NoEndpoint };
    let usual = if part.usual > 0.0 { part.usual } else { UNMEASURED };
    if let Some(key) = ask.key {
        let Some(ident) = book.owner(ask.service, key, now) else { return Selection::NoLeaseHolder };
        let unable = |host: &Endpoint| host.health.unreachable && host.health.is_ejected(ask.repeatable, now);
        return match book.endpoint(ident) {
            Some(host) if !host.holds(now, ask.stays) || unable(host) => Selection::NoLeaseHolder,
            Some(host) if overrun(host.load.expected(now, usual), ask, part.usual) => Selection::Overloaded,
            Some(_) => Selection::Endpoint(ident.clone()),
            None => Selection::NoLeaseHolder,
        };
    }
    let fits = |host: &Endpoint| ask.revision.is_none_or(|(name, is)| (*host.version == *name) == is);
    let usable: Vec<&Endpoint> = part
        .hosts
        .iter()
        .filter_map(|ident| book.endpoint(ident))
        .filter(|host| host.usable(now) && fits(host))
        .collect();
    // Judgement may be wrong about many hosts at once, such as when the trouble is this edge's own.
    let mut aside: Vec<&Endpoint> =
        usable.iter().copied().filter(|host| host.health.is_ejected(ask.repeatable, now)).collect();
    aside.sort_by_key(|host| (host.health.ejected_until(), host.id.clone()));
    let kept_out = aside.len().min(usable.len() / 2);
    let out = &aside[aside.len() - kept_out..];
    let fresh = |host: &&&Endpoint| !ask.tried.contains(&host.id);
    let mut best: Option<(f32, &Endpoint)> = None;
    for host in usable.iter().filter(fresh) {
        if out.iter().any(|other| other.id == host.id) {
            continue;
        }
        let score = expected(host, now, usual) * (1.0 + ALIKE * chance.f32());
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, host));
        }
    }
    match best {
        None => Selection::NoEndpoint,
        Some((_, host)) if overrun(host.load.expected(now, usual), ask, part.usual) => Selection::Overloaded,
        Some((_, host)) => Selection::Endpoint(host.id.clone()),
    }
}

fn expected(host: &Endpoint, now: Ms, usual: f32) -> f32 {
    let far = if host.same_zone { 1.0 } else { FAR };
    let cold = if now < host.slow_start_until { COLD } else { 1.0 };
    let silent = if host.suspect { SILENT } else { 1.0 };
    host.load.expected(now, usual) * far * cold * silent
}

/// Only what was measured speaks for a refusal, and only a queue: were an idle host too slow for a request, refusing
/// all of them would end the measuring as well.
fn overrun(expected: f32, ask: &SelectionRequest, measured: f32) -> bool {
    let patience = PATIENCE / (1.0 + PATIENCE_PER_RANK * ask.rank as f32);
    measured > 0.0 && expected > ask.left as f32 * patience && expected > measured * 2.0
}

/// The service of a request: by share and id, the same for the same id.
pub fn service<'a>(shares: &'a [(String, f64)], id: &[u8]) -> Option<&'a str> {
    let open = || shares.iter().filter(|(_, share)| *share > 0.0);
    let whole: f64 = open().map(|(_, share)| share).sum();
    let mut hash = FxHasher::default();
    hash.write(id);
    // The upper bits are the well mixed ones.
    let mut at =
        (hash.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64 * whole;
    for (name, share) in open() {
        if at < *share {
            return Some(name);
        }
        at -= share;
    }
    open().next_back().map(|(name, _)| name.as_str())
}

/// The time a request has: what the client says and what the operator allows.
pub fn deadline(told: Option<Ms>, give_up: Option<Duration>) -> Ms {
    let most = give_up.map(|give_up| give_up.as_millis() as Ms);
    match (told, most) {
        (Some(told), Some(most)) => told.min(most),
        (Some(one), None) | (None, Some(one)) => one,
        (None, None) => backoff::UNTOLD.as_millis() as Ms,
    }
}

#[cfg(test)]
mod tests;
