//! Which host holds which slices of a divided service's keys, and until when. Pure: times are milliseconds, given in.
//!
//! What is durable is a row for each slice: holder, fence, handover. A change of a row is a [`KeyValue`] that the caller
//! writes to both disks, then gives back to [`LeaseTable::apply`]; only then is a host told. A renewal is not durable: what
//! counts is `until`, the latest time at which a holder may still hold a row by anything that was ever sent to it.
//! A row passes on in two ways only: its holder has released it, or `until` is over.
//!
//! ```
//! use coppersail_shard_leases::{Host, Keys};
//! let mut keys = Keys::new(4000);
//! let hosts = [Host::new("i-1", 0), Host::new("i-2", 1)];
//! let puts = keys.lay(0, "shelf", 4, 4, &hosts);
//! keys.apply(0, &puts);
//! let rows = keys.grant(10, "shelf", "i-1", &[], 500);
//! assert_eq!(rows[0].from..=rows[0].to, 0..=16383);
//! assert_eq!(rows.len(), 2, "neighbours go to different hosts");
//! ```
mod place;
#[cfg(test)]
mod tests;

use coppersail_rebalancer::Balance;
use std::collections::BTreeMap;

pub type Ms = u64;

/// All keys.
pub const KEY_SPACE: u32 = 65536;

/// A host's clock may run 2% slow: what it keeps for a second it keeps for up to 1.0205 s of ours. Half a per cent
/// is for rounding on both sides.
fn stretched(keep: Ms) -> Ms {
    keep + keep * 25 / 1000 + 2
}

/// A host takes an answer of up to 4 KiB; the rest of it is for what stands around the rows.
const ANSWER: usize = 3800;

/// What a row takes in an answer: two keys, a fence, a handover, and what stands between.
fn row_bytes(row: &SliceLease) -> usize {
    let digits = (row.fence.max(1).ilog10() + 1) as usize;
    18 + digits + row.handover.len()
}

/// A change of what is durable: name and value; an empty value is no value.
pub type Write = (String, String);

/// A row as a host gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    pub from: u32,
    pub to: u32,
    pub fencing_token: u64,
    pub handover: String,
}

/// A host as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    pub id: String,
    /// Its place in the order in which hosts were listed.
    pub listing_order: u64,
    pub capacity: f64,
    pub new: bool,
    /// It will end, or has fallen silent: its slices move first.
    pub draining: bool,
    /// It can't be asked to release anything: wait until its time is over.
    pub suspect: bool,
    /// When its next beat is due.
    pub next_heartbeat_at: Ms,
}

impl Candidate {
    pub fn new(ident: &str, listed: u64) -> Candidate {
        let (capacity, young, leaving, silent, beat_at) = (1.0, false, false, false, 0);
        Candidate {
            id: ident.into(),
            listing_order: listed,
            capacity,
            new: young,
            draining: leaving,
            suspect: silent,
            next_heartbeat_at: beat_at,
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
struct SliceLease {
    holder: String,
    fence: u64,
    handover: String,
    /// Not before this may another get it without a release.
    until: Ms,
    /// Its holder was told of it by this primary.
    told: bool,
    /// Where it is to go, and since when.
    wanted: Option<String>,
    wanted_at: Ms,
    /// Its holder was told to let go.
    asked: bool,
    /// A change of it is being written.
    busy: bool,
}

/// Rows are for the finest slices there are. What moves is a piece: neighbouring rows that stand alike. A piece that
/// gets much of the traffic is cut in two, down to a single row.
#[derive(Debug, Clone, Default)]
struct Table {
    rows: Vec<SliceLease>,
    pieces: Vec<Piece>,
    balance: Balance,
    counts: Vec<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Piece {
    first: usize,
    len: usize,
}

/// What edges are to know: who holds a slice now, or nobody while it changes hands.
pub type OwnerChange = (String, u32, String);

#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    keep: Ms,
    fence: u64,
    tables: BTreeMap<String, Table>,
    shown: Vec<OwnerChange>,
}

fn row_name(service: &str, slice: usize) -> String {
    format!("row/{service}/{slice:05}")
}

/// How many pieces a service begins with: each host some 32, so that the gap of 8 that starts moves is a part of what
/// it has, and one alone can still be told of three times as many in one answer.
pub fn pieces_for(hosts: usize) -> u32 {
    (hosts as u32 * 32).next_power_of_two().clamp(64, 4096)
}

/// Into how many rows a piece can be cut. Eight times finer, busy keys that sit close together can be parted; more
/// would cost every follower.
const FINER: u32 = 8;

pub fn slices_for(hosts: usize) -> u32 {
    (pieces_for(hosts) * FINER).min(4096.max(pieces_for(hosts)))
}

impl LeaseTable {
    /// `keep`: for how long a host holds what it is told, in its own time.
    pub fn new(keep: Ms) -> LeaseTable {
        LeaseTable { keep, ..LeaseTable::default() }
    }

    pub fn lease_duration(&self) -> Ms {
        self.keep
    }

    /// A new primary knows every row that may stand, and when each earlier primary's renewals are over at the latest:
    /// the last was sent before its own promise began.
    pub fn recover<'a>(keep: Ms, now: Ms, state: impl Iterator<Item = (&'a str, &'a str)>) -> LeaseTable {
        let mut keys = LeaseTable::new(keep);
        for (name, value) in state {
            keys.take(name, value, now + stretched(keep));
        }
        keys
    }

    fn take(&mut self, name: &str, value: &str, until: Ms) -> Option<()> {
        let rest = name.strip_prefix("row/")?;
        let (service, slice) = rest.rsplit_once('/')?;
        let slice: usize = slice.parse().ok()?;
        let mut parts = value.splitn(3, ' ');
        let fence: u64 = parts.next()?.parse().ok()?;
        let (holder, handover) = (parts.next()?.to_string(), parts.next().unwrap_or("").to_string());
        let table = self.tables.entry(service.into()).or_default();
        if table.rows.len() <= slice {
            table.rows.resize(slice + 1, SliceLease::default());
            table.counts.resize(slice + 1, 0.0);
        }
        self.fence = self.fence.max(fence);
        table.rows[slice] = SliceLease { holder, fence, handover, until, ..SliceLease::default() };
        Some(())
    }

    pub fn slices(&self, service: &str) -> u32 {
        self.tables.get(service).map_or(0, |t| t.rows.len() as u32)
    }

    pub fn services(&self) -> Vec<(String, u32)> {
        self.tables.iter().map(|(name, t)| (name.clone(), t.rows.len() as u32)).collect()
    }

    /// What changed of what edges are to know, since the last call.
    pub fn take_owner_changes(&mut self) -> Vec<OwnerChange> {
        std::mem::take(&mut self.shown)
    }

    /// All that edges are to know, for a new primary: what stands is as if it were held.
    pub fn all_owners(&self) -> Vec<OwnerChange> {
        let row = |name: &String, n: usize, r: &SliceLease| (name.clone(), n as u32, r.holder.clone());
        let all = self.tables.iter();
        all.flat_map(|(name, t)| t.rows.iter().enumerate().map(move |(n, r)| row(name, n, r))).collect()
    }

    /// All changes of one call have one fence, so that neighbours that go the same way make one row for a host.
    fn put(&mut self, service: &str, all: Vec<(usize, String, String)>) -> Vec<Write> {
        if all.is_empty() {
            return Vec::new();
        }
        self.fence += 1;
        let fence = self.fence;
        let Some(table) = self.tables.get_mut(service) else { return Vec::new() };
        let change = |(slice, holder, handover): (usize, String, String)| {
            table.rows[slice].busy = true;
            (row_name(service, slice), format!("{fence} {holder} {handover}"))
        };
        all.into_iter().map(change).collect()
    }

    /// The first layout of a service: `slices` rows in `pieces` pieces.
    pub fn assign_initially(
        &mut self,
        now: Ms,
        service: &str,
        slices: u32,
        pieces: u32,
        hosts: &[Candidate],
    ) -> Vec<Write> {
        let rows = vec![SliceLease { until: now, ..SliceLease::default() }; slices as usize];
        let counts = vec![0.0; slices as usize];
        self.tables.insert(service.into(), Table { rows, counts, ..Table::default() });
        let len = (slices / pieces.max(1)).max(1) as usize;
        let seats = place::lay(slices as usize / len, hosts);
        let given = seats.into_iter().enumerate().filter_map(|(n, h)| h.map(|h| (n, hosts[h].id.clone())));
        let rows =
            given.flat_map(|(n, ident)| (n * len..(n + 1) * len).map(move |r| (r, ident.clone(), "".into())));
        let rows = rows.collect();
        self.put(service, rows)
    }

    /// Written on both disks: it holds from now on, though its holder has not been told yet.
    pub fn apply(&mut self, now: Ms, puts: &[Write]) {
        for (name, value) in puts {
            let shown = name.strip_prefix("row/").and_then(|r| r.rsplit_once('/'));
            if self.take(name, value, now).is_some() {
                let (service, slice) =
                    shown.map(|(s, n)| (s.to_string(), n.parse().unwrap_or(0))).unwrap_or_default();
                self.shown.push((service, slice, String::new()));
            }
        }
    }

    /// What a host says that it has released. Each slice passes on to where it is wanted, with the handover.
    pub fn release(&mut self, service: &str, ident: &str, released: &[(u32, u32, String)]) -> Vec<Write> {
        let Some(table) = self.tables.get(service) else { return Vec::new() };
        let width = KEY_SPACE / table.rows.len().max(1) as u32;
        let mut found = Vec::new();
        for (from, to, handover) in released {
            for slice in (from / width) as usize..table.rows.len() {
                let (first, last) = (slice as u32 * width, (slice as u32 + 1) * width - 1);
                if last > *to {
                    break;
                }
                let row = &table.rows[slice];
                // Only what it was asked for: anything else it may have got back since.
                if first >= *from && row.holder == ident && row.asked && !row.busy {
                    found.push((slice, row.wanted.clone().unwrap_or_default(), handover.clone()));
                }
            }
        }
        self.put(service, found)
    }

    /// Rows whose holder may not hold them any more, or that nobody holds, go to where they are wanted.
    pub fn expire(&mut self, now: Ms, service: &str) -> Vec<Write> {
        let Some(table) = self.tables.get(service) else { return Vec::new() };
        let due = |row: &&SliceLease| !row.busy && row.until <= now && row.wanted.is_some();
        let all = table.rows.iter().enumerate().filter(|(_, r)| due(r) && (r.holder.is_empty() || r.asked));
        // A handover belongs to who released last; one whose time ran out has given none.
        let handover = |r: &SliceLease| if r.holder.is_empty() { r.handover.clone() } else { String::new() };
        let due = all.map(|(n, r)| (n, r.wanted.clone().unwrap_or_default(), handover(r))).collect();
        self.put(service, due)
    }

    /// Everything that a host is to hold, renewed from `now`. `back`: hosts whose beat is waiting, or due at once.
    /// A slice that is to move is left out when its new holder can be told as soon as it is released, or after
    /// `patience`: beats come at fixed distances, and two may never meet.
    pub fn renew(
        &mut self,
        now: Ms,
        service: &str,
        ident: &str,
        back: &[String],
        patience: Ms,
    ) -> Vec<LeaseGrant> {
        let (keep, mut bytes) = (stretched(self.keep), 0);
        let Some(table) = self.tables.get_mut(service) else { return Vec::new() };
        let width = KEY_SPACE / table.rows.len().max(1) as u32;
        let mut grants: Vec<LeaseGrant> = Vec::new();
        for (n, row) in table.rows.iter_mut().enumerate().filter(|(_, r)| r.holder == ident) {
            let meet = |w: &String| back.contains(w) || now >= row.wanted_at + patience;
            let (from, to) = (n as u32 * width, (n as u32 + 1) * width - 1);
            let fits = |last: &LeaseGrant| {
                last.to + 1 == from && last.fencing_token == row.fence && last.handover == row.handover
            };
            let joins = grants.last().is_some_and(fits);
            // What does not fit into an answer is not renewed: it is asked for, and goes to another.
            let over = !joins && bytes + row_bytes(row) > ANSWER;
            if (row.wanted.as_ref().is_some_and(meet) || over) && !row.asked {
                row.asked = true;
                self.shown.push((service.into(), n as u32, String::new()));
            }
            if row.asked || row.busy {
                continue;
            }
            row.until = row.until.max(now + keep);
            if !row.told {
                row.told = true;
                self.shown.push((service.into(), n as u32, ident.into()));
            }
            match grants.last_mut().filter(|_| joins) {
                Some(last) => last.to = to,
                None => {
                    bytes += row_bytes(row);
                    grants.push(LeaseGrant {
                        from,
                        to,
                        fencing_token: row.fence,
                        handover: row.handover.clone(),
                    });
                }
            }
        }
        grants
    }

    /// Is anything on its way to this host, or about to be, so that it is worth letting its beat wait? `soon`: the
    /// other's beat is due while this one waits.
    pub fn has_pending_transfer(&self, service: &str, ident: &str, soon: impl Fn(&str) -> bool) -> bool {
        let due = |r: &SliceLease| r.wanted.as_deref() == Some(ident) && (r.asked || soon(&r.holder));
        self.tables.get(service).is_some_and(|t| t.rows.iter().any(due))
    }

    /// How many rows of a service are held, asked for, on their way, and nobody's; and the most that one host has.
    pub fn summary(&self, service: &str) -> (usize, usize, usize, usize, usize) {
        let rows = self.tables.get(service).map_or(&[][..], |t| &t.rows);
        let many = |f: &dyn Fn(&SliceLease) -> bool| rows.iter().filter(|r| f(r)).count();
        let mut by: BTreeMap<&str, usize> = BTreeMap::new();
        rows.iter().for_each(|r| *by.entry(&r.holder).or_default() += 1);
        let most = by.iter().filter(|(h, _)| !h.is_empty()).map(|(_, n)| *n).max().unwrap_or(0);
        (
            many(&|r| r.told && !r.asked),
            many(&|r| r.asked),
            many(&|r| r.busy),
            many(&|r| r.holder.is_empty()),
            most,
        )
    }

    /// Requests counted by slice; older counts fade by half each time that `fade` is called.
    pub fn record_requests(&mut self, service: &str, counts: &[(u32, u32)]) {
        if let Some(table) = self.tables.get_mut(service) {
            for (slice, many) in counts {
                if let Some(count) = table.counts.get_mut(*slice as usize) {
                    *count += *many as f64;
                }
            }
        }
    }

    pub fn decay_counts(&mut self) {
        self.tables.values_mut().flat_map(|t| &mut t.counts).for_each(|c| *c /= 2.0);
    }
}
