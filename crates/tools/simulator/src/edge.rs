//! Edges: they follow one centre at a time and remember what they were told.
use crate::checks::{rule, Held};
use crate::host::SPLIT;
use crate::world::{Ask, End, Ev, Origin, Say};
use crate::{Us, World, APPLY, EMPTY};
use coppersail_control_plane::node::{PeerRequest, PeerResponse};
use coppersail_load_balancing::EndpointRegistry;
use coppersail_peer_protocol::{AssignmentRow, EndpointState, RequestCounts, Update, WatchRequest};
use std::collections::{BTreeMap, BTreeSet};

const HELD: u64 = 700;
const WHOLE: Us = 1_600_000;
const CONNECT: Us = 300_000;

/// Which centre is asked next, as an edge has it.
#[derive(Default)]
struct Round {
    known: Vec<String>,
    named: Vec<String>,
    at: usize,
    failed: usize,
    pause: Us,
}

impl Round {
    fn all(&self) -> Vec<&String> {
        let others = self.named.iter().filter(|one| !self.known.contains(one));
        self.known.iter().chain(others).collect()
    }

    fn centre(&self) -> Option<String> {
        let all = self.all();
        (!all.is_empty()).then(|| all[self.at % all.len()].clone())
    }

    fn told(&mut self, centres: &[String]) {
        if centres.is_empty() || centres == self.known {
            return;
        }
        let now = self.centre();
        self.known = centres.to_vec();
        let place = self.all().iter().position(|one| Some(*one) == now.as_ref());
        self.at = place.unwrap_or(self.at);
    }

    fn bad(&mut self) -> Us {
        self.at = self.at.wrapping_add(1);
        self.failed += 1;
        if !self.failed.is_multiple_of(self.all().len().max(1)) {
            return 0;
        }
        self.pause = (self.pause * 2).clamp(50_000, 1_000_000);
        self.pause
    }
}

#[derive(Default)]
pub struct Edge {
    pub zone: usize,
    pub cut_until: Us,
    /// When trouble on it last ended; its start as well.
    pub touched: Us,
    ip: String,
    no: u32,
    call: u64,
    waits: bool,
    follow: WatchRequest,
    round: Round,
    revision: u64,
    order: Option<usize>,
    book: EndpointRegistry,
    /// Hosts that it has known to leave.
    left: BTreeSet<String>,
    rows: BTreeMap<String, Vec<(u64, String)>>,
}

impl Edge {
    /// Takes what a centre in touch told. All that is kept only goes forward, as in an edge; what is told under a
    /// number that it has must be the same.
    fn take(&mut self, now: Us, news: &mut Update) -> Held<()> {
        for table in &news.assignments {
            let rows = self.rows.entry(table.service.clone()).or_default();
            if rows.len() < table.slice_count as usize {
                rows.resize(table.slice_count as usize, (0, String::new()));
            }
            for AssignmentRow { first, last, owner: ident, version: number } in &table.rows {
                for slice in *first..=(*last).min(table.slice_count.saturating_sub(1)) {
                    let row = &mut rows[slice as usize];
                    if row.0 == *number && row.1 != *ident {
                        let what = format!(
                            "slice {slice} of {} is {}'s and {ident}'s under number {number}",
                            table.service, row.1
                        );
                        return Err((rule::EDGE, what));
                    }
                    if row.0 < *number {
                        *row = (*number, ident.clone());
                    }
                }
            }
        }
        news.assignments.clear();
        self.book.merge(news, now / 1000);
        for host in &news.endpoints {
            let stage = self.book.endpoint(&host.id).map(|h| h.state);
            match stage {
                Some(EndpointState::Ready) if self.left.contains(&host.id) => {
                    return Err((rule::EDGE, format!("{} has left, and is ready again", host.id)));
                }
                Some(EndpointState::Ready) => {}
                _ => drop(self.left.insert(host.id.clone())),
            }
        }
        Ok(())
    }
}

impl World<'_> {
    pub(crate) fn start_edges(&mut self) {
        let named: Vec<String> = self.machines.iter().take(3).map(|m| format!("{}:7540", m.ip)).collect();
        for n in 0..self.day.edges {
            let zone = n % self.day.zones;
            let ip = format!("10.{}.1.{}", zone + 1, n + 1);
            let follow = WatchRequest {
                edge: ip.clone(),
                zone: format!("zone-{zone}"),
                wait_ms: HELD,
                ..WatchRequest::default()
            };
            let round = Round { named: named.clone(), at: n, ..Round::default() };
            self.edges.push(Edge { zone, ip, follow, round, ..Edge::default() });
            let at = self.luck.u64(0..300_000);
            self.edge_wake(n, at);
        }
    }

    fn edge_wake(&mut self, n: usize, span: Us) {
        self.edges[n].no += 1;
        let no = self.edges[n].no;
        self.after(span, Ev::Edge { n, no });
    }

    /// A new life: it knows nothing, and is told of three machines that run.
    pub(crate) fn edge_starts(&mut self, n: usize) {
        let n = n % self.edges.len();
        let mut up = self.listed();
        up.sort_by_key(|m| !self.machines[*m].runs());
        let named = up.into_iter().take(3).map(|m| format!("{}:7540", self.machines[m].ip)).collect();
        let at = self.luck.usize(0..9);
        let edge = &mut self.edges[n];
        edge.round = Round { named, at, ..Round::default() };
        (edge.follow.feed_id, edge.follow.sequence, edge.follow.request_counts) = (0, 0, Vec::new());
        (edge.revision, edge.order, edge.waits) = (0, None, false);
        edge.touched = edge.touched.max(self.now);
        edge.book = EndpointRegistry::new("");
        edge.left.clear();
        edge.rows.clear();
        self.edge_wake(n, 200_000);
    }

    pub(crate) fn edge_polls(&mut self, n: usize, no: u32) {
        if self.edges[n].no != no || self.edges[n].waits {
            return;
        }
        let call = self.number();
        let Some(centre) = self.edges[n].round.centre() else { return };
        // Traffic, so that keys move: one part of them is busy, and another one later.
        let slices = self.edges[n].rows.get(SPLIT).map_or(0, |r| r.len() as u32);
        if slices > 0 && self.edges[n].follow.request_counts.is_empty() {
            let busy = (self.now / 20_000_000) as u32 * 37 % slices;
            let mut counts: Vec<(u32, u32)> = (0..4).map(|_| (self.luck.u32(0..slices), 1)).collect();
            counts.push((busy, 20));
            counts.sort_unstable();
            counts.dedup_by_key(|c| c.0);
            self.edges[n].follow.request_counts = vec![RequestCounts { service: SPLIT.into(), counts }];
        }
        let edge = &mut self.edges[n];
        (edge.call, edge.waits) = (call, true);
        let follow = edge.follow.clone();
        let end = End::Edge(n);
        let Some(m) = self.machine_at(&centre).filter(|m| self.reaches(end, *m)) else {
            return self.after(CONNECT, Ev::EdgeLimit { n, call });
        };
        self.post(m, Origin { end, life: 0, call }, Ask::Peer(PeerRequest::Watch(Box::new(follow))));
        self.after(WHOLE, Ev::EdgeLimit { n, call });
    }

    pub(crate) fn edge_hears(&mut self, n: usize, call: u64, say: Option<Say>) {
        let now = self.now;
        let edge = &mut self.edges[n];
        if edge.call != call || !edge.waits {
            return;
        }
        edge.waits = false;
        let Some(Say::Peer(PeerResponse::Update(mut news))) = say else {
            let pause = edge.round.bad();
            return self.edge_wake(n, pause);
        };
        edge.follow.request_counts.clear();
        edge.round.told(&news.control_plane_addresses);
        if news.isolated {
            let pause = edge.round.bad();
            return self.edge_wake(n, pause);
        }
        (edge.follow.feed_id, edge.follow.sequence) = (news.feed_id, news.sequence);
        (edge.round.failed, edge.round.pause) = (0, 0);
        let held = edge.take(now, &mut news);
        self.check(held);
        if let Some(settings) = &news.config {
            if settings.revision > self.edges[n].revision || self.edges[n].order.is_none() {
                let held = self.ledger.told(&settings.body, settings.revision);
                if let Some(order) = self.check(held) {
                    (self.edges[n].revision, self.edges[n].order) = (settings.revision, Some(order));
                }
            } else if settings.revision == self.edges[n].revision {
                let held = self.ledger.told(&settings.body, settings.revision).and_then(|order| {
                    let same = Some(order) == self.edges[n].order;
                    let what = || format!("r{} is told with two contents", settings.revision);
                    same.then_some(()).ok_or_else(|| (rule::ONE, what()))
                });
                self.check(held);
            }
        }
        self.edge_wake(n, 1000);
    }

    /// What edges in touch must know by now.
    pub(crate) fn edges_know(&mut self) {
        let now = self.now;
        self.emptied.retain(|(_, at)| now < at + 30_000_000);
        if !self.settled() {
            return;
        }
        let contact = self.day.contact * 1000;
        let acked = self.ledger.acked_by(now.saturating_sub(APPLY * 1000));
        let mut held = Ok(());
        for edge in &mut self.edges {
            edge.book.remove_expired(now / 1000, &mut Default::default());
        }
        for edge in self.edges.iter().filter(|e| now >= e.touched + contact) {
            let ready = |(ident, at): &&(String, Us)| {
                now > at + EMPTY * 1000
                    && edge.book.endpoint(ident).is_some_and(|h| h.state == EndpointState::Ready)
            };
            if let Some((ident, at)) = self.emptied.iter().find(ready) {
                let what = format!("{} has {ident} as ready, acknowledged at {} ms", edge.ip, at / 1000);
                held = Err((rule::EMPTYING, what));
            }
            if edge.revision < acked {
                held = Err((rule::APPLY, format!("{} has r{} and not r{acked}", edge.ip, edge.revision)));
            }
            if let Some(order) = edge.order {
                let order = &self.ledger.orders[order];
                held = held.and(self.ledger.told(&order.body, order.number).map(drop));
            }
        }
        self.check(held);
    }
}
