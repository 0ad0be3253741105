//! What an edge knows of hosts and of who holds which slices, merged from news of any centre in any order.
use crate::health::Health;
use crate::load::Load;
use crate::Ms;
use coppersail_peer_protocol::{AssignmentRow, AssignmentUpdate, EndpointState, EndpointUpdate, Update};
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Centres that have just started hear of all hosts within a few beats; before that, what they do not name may live.
const YOUNG: Ms = 5_000;
/// An address that was found to be another's is asked again after this, unless a later beat speaks for it.
const SPURNED: Ms = 3_000;
/// Once a holder has refused a key, its row is believed again after this: the grant was perhaps on its way.
const DOUBTED: Ms = 300;
/// Lives that ended are remembered, so that late news cannot bring them back; no day has as many.
const MOST_ENDED: usize = 16_384;

#[derive(Debug)]
pub struct Endpoint {
    pub id: Rc<str>,
    pub service: Rc<str>,
    /// Of its software.
    pub version: Rc<str>,
    pub address: SocketAddr,
    /// In this edge's zone.
    pub same_zone: bool,
    pub capacity: u32,
    pub state: EndpointState,
    /// When this edge heard that it leaves: not later than that was acknowledged to it.
    left_at: Ms,
    pub suspect: bool,
    pub slow_start_until: Ms,
    heartbeat_sequence: u64,
    /// Until when the host is used although the centre now followed does not name it.
    unnamed_until: Option<Ms>,
    spurned_until: Ms,
    pub load: Load,
    pub health: Health,
}

impl Endpoint {
    /// Whether requests may be sent to it at all.
    pub fn usable(&self, now: Ms) -> bool {
        self.state == EndpointState::Ready && now >= self.spurned_until
    }

    /// Whether a request may be sent to it that was meant for it a moment ago.
    pub fn serves(&self, now: Ms, key: Option<u16>, stays: Ms) -> bool {
        self.state == EndpointState::Ready || (key.is_some() && self.holds(now, stays))
    }

    /// Whether requests for keys that it holds may be sent to it: nobody else may run them, so also, for `stays`,
    /// after it has said that it leaves.
    pub fn holds(&self, now: Ms, stays: Ms) -> bool {
        self.usable(now)
            || (self.state == EndpointState::Draining
                && now >= self.spurned_until
                && now < self.left_at + stays)
    }
}

#[derive(Debug, Clone, Default)]
pub struct SliceOwner {
    pub holder: Option<Rc<str>>,
    pub fence: u64,
    doubted_until: Ms,
}

#[derive(Debug, Default)]
pub struct SliceTable {
    pub rows: Vec<SliceOwner>,
}

#[derive(Debug, Default)]
pub struct ServiceEndpoints {
    pub hosts: Vec<Rc<str>>,
    pub slices: Option<SliceTable>,
    /// Answer time of the whole service, for hosts not yet measured.
    pub usual: f32,
}

impl ServiceEndpoints {
    /// Takes a host's measured answer time into the service's.
    pub fn note(&mut self, mean: f32) {
        /// Every host counts, so that one of them weighs little.
        const NEW_PART: f32 = 0.05;
        self.usual = if self.usual > 0.0 { self.usual + NEW_PART * (mean - self.usual) } else { mean };
    }
}

/// What a merge changed, for those who hold connections or wait.
#[derive(Debug, Default, PartialEq)]
pub struct RegistryChanges {
    /// Hosts that get no more requests.
    pub left: Vec<Rc<str>>,
    pub rows: bool,
}

/// ```
/// use coppersail_peer_protocol::{HostNews, News, Stage};
/// let mut book = coppersail_load_balancing::Book::new("north");
/// let host = |stage, calls| HostNews {
///     ident: "i-1".into(), backend: "b".into(), address: "10.0.0.9:80".into(), stage, calls, ..HostNews::default()
/// };
/// book.merge(&News { hosts: vec![host(Stage::Emptying, 4)], ..News::default() }, 0);
/// book.merge(&News { hosts: vec![host(Stage::Ready, 3)], ..News::default() }, 1);
/// assert_eq!(book.host("i-1").unwrap().stage, Stage::Emptying);
/// ```
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    area: String,
    hosts: FxHashMap<Rc<str>, Endpoint>,
    parts: FxHashMap<Rc<str>, ServiceEndpoints>,
    ended: FxHashSet<Rc<str>>,
    /// The most edges that any centre has told.
    pub edges: u32,
}

impl EndpointRegistry {
    pub fn new(area: &str) -> EndpointRegistry {
        EndpointRegistry { area: area.into(), ..EndpointRegistry::default() }
    }

    pub fn endpoint(&self, ident: &str) -> Option<&Endpoint> {
        self.hosts.get(ident)
    }

    pub fn endpoint_mut(&mut self, ident: &str) -> Option<&mut Endpoint> {
        self.hosts.get_mut(ident)
    }

    pub fn service(&self, service: &str) -> Option<&ServiceEndpoints> {
        self.parts.get(service)
    }

    pub fn service_mut(&mut self, service: &str) -> Option<&mut ServiceEndpoints> {
        self.parts.get_mut(service)
    }

    /// Whether requests for the service can be sent anywhere.
    pub fn serves(&self, service: &str, divided: bool) -> bool {
        self.parts.get(service).is_some_and(|part| {
            !part.hosts.is_empty()
                && (!divided
                    || part.slices.as_ref().is_some_and(|s| s.rows.iter().any(|row| row.holder.is_some())))
        })
    }

    /// Whether an edge that has heard from a centre for `heard_for` would do right by the services (name, divided).
    pub fn able<'a>(
        &self,
        mut services: impl Iterator<Item = (&'a str, bool)>,
        heard_for: Option<Ms>,
    ) -> bool {
        // A service whose hosts are all down must not keep the others from being served.
        heard_for.is_some_and(|so_long| {
            so_long >= YOUNG || services.all(|(name, divided)| self.serves(name, divided))
        })
    }

    pub fn merge(&mut self, news: &Update, now: Ms) -> RegistryChanges {
        let mut changed = RegistryChanges::default();
        // One that has heard of no host at all is not trusted about those that it misses.
        if news.is_snapshot && !news.endpoints.is_empty() {
            let until = now + YOUNG.saturating_sub(news.uptime_ms);
            let named: FxHashSet<&str> = news.endpoints.iter().map(|host| host.id.as_str()).collect();
            for host in self.hosts.values_mut().filter(|host| !named.contains(&*host.id)) {
                host.unnamed_until.get_or_insert(until);
            }
        }
        for host in &news.endpoints {
            self.take_host(host, now, &mut changed);
        }
        for slices in &news.assignments {
            changed.rows |= self.take_slices(slices);
        }
        self.edges = self.edges.max(news.edge_count);
        self.remove_expired(now, &mut changed);
        changed
    }

    fn take_host(&mut self, news: &EndpointUpdate, now: Ms, changed: &mut RegistryChanges) {
        let Ok(address) = news.address.parse::<SocketAddr>() else { return };
        if self.ended.contains(news.id.as_str()) {
            return;
        }
        if news.state == EndpointState::Removed {
            self.end(&news.id, changed);
            return;
        }
        if let Some(host) = self.hosts.get_mut(news.id.as_str()) {
            host.unnamed_until = None;
            let newer = news.heartbeat_sequence > host.heartbeat_sequence;
            if host.state < news.state {
                (host.state, host.left_at) = (news.state, now);
                changed.left.push(host.id.clone());
            }
            if newer {
                // Its own beat speaks for the address.
                (host.spurned_until, host.address) = (0, address);
                host.heartbeat_sequence = news.heartbeat_sequence;
                host.slow_start_until = now + news.slow_start_ms;
            }
            if news.heartbeat_sequence >= host.heartbeat_sequence {
                host.suspect = news.suspect;
                if host.capacity != news.capacity {
                    host.capacity = news.capacity;
                    host.load.capacity(news.capacity);
                }
            }
            return;
        }
        // Whoever had the address before has ended without a word. Which of two that seem well came later cannot be
        // told (news come in no order): that is left to the host that answers there.
        if news.state == EndpointState::Ready && !news.suspect {
            for host in self.hosts.values_mut().filter(|host| host.address == address && host.suspect) {
                host.spurned_until = Ms::MAX;
                changed.left.push(host.id.clone());
            }
        }
        let (ident, service): (Rc<str>, Rc<str>) = (news.id.as_str().into(), news.service.as_str().into());
        let part = self.parts.entry(service.clone()).or_default();
        part.hosts.push(ident.clone());
        let host = Endpoint {
            id: ident.clone(),
            service,
            version: news.version.as_str().into(),
            address,
            same_zone: news.zone == self.area,
            capacity: news.capacity,
            state: news.state,
            // Since when is not known: it may be about to end.
            left_at: 0,
            suspect: news.suspect,
            slow_start_until: now + news.slow_start_ms,
            heartbeat_sequence: news.heartbeat_sequence,
            unnamed_until: None,
            spurned_until: 0,
            load: Load::new(news.capacity),
            health: Health::default(),
        };
        self.hosts.insert(ident, host);
    }

    fn end(&mut self, ident: &str, changed: &mut RegistryChanges) {
        if self.ended.len() >= MOST_ENDED {
            self.ended.clear();
        }
        let ident: Rc<str> = ident.into();
        self.ended.insert(ident.clone());
        self.drop_host(&ident);
        changed.left.push(ident);
    }

    fn drop_host(&mut self, ident: &str) {
        let Some(host) = self.hosts.remove(ident) else { return };
        if let Some(part) = self.parts.get_mut(&host.service) {
            part.hosts.retain(|other| &**other != ident);
        }
    }

    /// Hosts that no centre names any more are dropped once their grace is over.
    pub fn remove_expired(&mut self, now: Ms, changed: &mut RegistryChanges) {
        let over = |host: &&Endpoint| host.unnamed_until.is_some_and(|until| until <= now);
        let gone: Vec<Rc<str>> = self.hosts.values().filter(over).map(|host| host.id.clone()).collect();
        for id in gone {
            // One that was leaving must not come back as ready.
            if self.hosts[&id].state > EndpointState::Ready {
                self.end(&id, changed);
            } else {
                self.drop_host(&id);
                changed.left.push(id);
            }
        }
    }

    fn take_slices(&mut self, news: &AssignmentUpdate) -> bool {
        if news.slice_count == 0 || news.slice_count > 65_536 {
            return false;
        }
        let part = self.parts.entry(news.service.as_str().into()).or_default();
        let slices = part.slices.get_or_insert_with(SliceTable::default);
        if slices.rows.len() != news.slice_count as usize {
            // Late news of how it was divided before takes no row back.
            let held = slices.rows.iter().map(|row| row.fence).max();
            if held >= news.rows.iter().map(|row| row.version).max() && held.is_some() {
                return false;
            }
            slices.rows = vec![SliceOwner::default(); news.slice_count as usize];
        }
        let mut any = false;
        for AssignmentRow { first, last, owner: ident, version: fence } in &news.rows {
            let known = self.hosts.get_key_value(ident.as_str()).map(|(ident, _)| ident.clone());
            let holder = (!ident.is_empty()).then(|| known.unwrap_or_else(|| ident.as_str().into()));
            let all = slices.rows.iter_mut().take(*last as usize + 1).skip(*first as usize);
            for row in all.filter(|row| *fence > row.fence) {
                *row = SliceOwner { holder: holder.clone(), fence: *fence, doubted_until: 0 };
                any = true;
            }
        }
        any
    }

    pub fn slice(&self, service: &str, key: u16) -> Option<u32> {
        let rows = self.parts.get(service)?.slices.as_ref()?.rows.len();
        Some((u64::from(key) * rows as u64 / 65_536) as u32)
    }

    /// The holder of a key, if it is known and not in doubt.
    pub fn owner(&self, service: &str, key: u16, now: Ms) -> Option<&Rc<str>> {
        let slice = self.slice(service, key)?;
        let row = self.parts.get(service)?.slices.as_ref()?.rows.get(slice as usize)?;
        row.holder.as_ref().filter(|_| now >= row.doubted_until)
    }

    /// The host says that the address is not (or no more) that of `ident`.
    pub fn mark_stale_address(&mut self, ident: &str, now: Ms) {
        if let Some(host) = self.hosts.get_mut(ident) {
            host.spurned_until = host.spurned_until.max(now + SPURNED);
        }
    }

    /// The host says that it does not hold the key.
    pub fn suspect_owner(&mut self, service: &str, key: u16, ident: &str, now: Ms) {
        let Some(slice) = self.slice(service, key) else { return };
        let slices = self.parts.get_mut(service).and_then(|part| part.slices.as_mut());
        if let Some(row) = slices.and_then(|slices| slices.rows.get_mut(slice as usize)) {
            if row.holder.as_deref() == Some(ident) {
                row.doubted_until = now + DOUBTED;
            }
        }
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
