//! Which host holds which slices of a divided service's keys, and until when. Pure: times are milliseconds, given in.
//!
//! What is durable is a row for each slice: holder, fence, handover. A change of a row is a [`Put`] that the caller
//! writes to both disks, then gives back to [`Keys::apply`]; only then is a host told. A renewal is not durable: what
//! counts is `until`, the latest time at which a holder may still hold a row by anything that was ever sent to it.
//! A row passes on in two ways only: its holder has released it, or `until` is over.
//!
//! ```
//! use tenure::{Host, Keys};
//! let mut keys = Keys::new(4000);
//! let hosts = [Host::new("i-1", 0), Host::new("i-2", 1)];
//! let puts = keys.lay(0, "shelf", 4, &hosts);
//! keys.apply(0, &puts);
//! let rows = keys.grant(10, "shelf", "i-1", &[]);
//! assert_eq!(rows[0].from..=rows[0].to, 0..=16383);
//! assert_eq!(rows.len(), 2, "neighbours go to different hosts");
//! ```
use poise::{Balance, Board, Holder};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

pub type Ms = u64;

/// All keys.
pub const KEYS: u32 = 65536;

/// A host's clock may run 2% slow: what it keeps for a second it keeps for up to 1.0205 s of ours. Half a per cent
/// is for rounding on both sides.
fn stretched(keep: Ms) -> Ms {
    keep + keep * 25 / 1000 + 2
}

/// A change of what is durable: name and value; an empty value is no value.
pub type Put = (String, String);

/// A row as a host gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub handover: String,
}

/// A host as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    pub ident: String,
    /// Its place in the order in which hosts were listed.
    pub listed: u64,
    pub capacity: f64,
    pub young: bool,
    /// It will end, or has fallen silent: its slices move first.
    pub leaving: bool,
    /// It can't be asked to release anything: wait until its time is over.
    pub silent: bool,
    /// When its next beat is due.
    pub beat_at: Ms,
}

impl Host {
    pub fn new(ident: &str, listed: u64) -> Host {
        let (capacity, young, leaving, silent, beat_at) = (1.0, false, false, false, 0);
        Host { ident: ident.into(), listed, capacity, young, leaving, silent, beat_at }
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Row {
    holder: String,
    fence: u64,
    handover: String,
    /// Not before this may another get it without a release.
    until: Ms,
    /// Its holder was told of it by this primary.
    told: bool,
    /// Where it is to go.
    wanted: Option<String>,
    /// Its holder was told to let go.
    asked: bool,
    /// A change of it is being written.
    busy: bool,
}

#[derive(Debug, Clone, Default)]
struct Table {
    rows: Vec<Row>,
    balance: Balance,
    counts: Vec<f64>,
}

/// What edges are to know: who holds a slice now, or nobody while it changes hands.
pub type Shown = (String, u32, String);

#[derive(Debug, Clone, Default)]
pub struct Keys {
    keep: Ms,
    fence: u64,
    tables: BTreeMap<String, Table>,
    shown: Vec<Shown>,
}

fn row_name(service: &str, slice: usize) -> String {
    format!("row/{service}/{slice:05}")
}

/// How many slices: each host begins with some 32, so that the gap of 8 that starts moves is a part of what it has,
/// and one alone can still be told of three times as many in one answer.
pub fn slices_for(hosts: usize) -> u32 {
    (hosts as u32 * 32).next_power_of_two().clamp(64, 4096)
}

impl Keys {
    /// `keep`: for how long a host holds what it is told, in its own time.
    pub fn new(keep: Ms) -> Keys {
        Keys { keep, ..Keys::default() }
    }

    pub fn keep(&self) -> Ms {
        self.keep
    }

    /// A new primary knows every row that may stand, and when each earlier primary's renewals are over at the latest:
    /// the last was sent before its own promise began.
    pub fn recover<'a>(keep: Ms, now: Ms, state: impl Iterator<Item = (&'a str, &'a str)>) -> Keys {
        let mut keys = Keys::new(keep);
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
            table.rows.resize(slice + 1, Row::default());
            table.counts.resize(slice + 1, 0.0);
        }
        self.fence = self.fence.max(fence);
        table.rows[slice] = Row { holder, fence, handover, until, ..Row::default() };
        Some(())
    }

    pub fn slices(&self, service: &str) -> u32 {
        self.tables.get(service).map_or(0, |t| t.rows.len() as u32)
    }

    pub fn services(&self) -> Vec<(String, u32)> {
        self.tables.iter().map(|(name, t)| (name.clone(), t.rows.len() as u32)).collect()
    }

    /// What changed of what edges are to know, since the last call.
    pub fn shown(&mut self) -> Vec<Shown> {
        std::mem::take(&mut self.shown)
    }

    /// All that edges are to know, for a new primary: what stands is as if it were held.
    pub fn all_shown(&self) -> Vec<Shown> {
        let row = |name: &String, n: usize, r: &Row| (name.clone(), n as u32, r.holder.clone());
        let all = self.tables.iter();
        all.flat_map(|(name, t)| t.rows.iter().enumerate().map(move |(n, r)| row(name, n, r))).collect()
    }

    fn put(&mut self, service: &str, slice: usize, holder: &str, handover: &str) -> Put {
        self.fence += 1;
        if let Some(row) = self.tables.get_mut(service).and_then(|t| t.rows.get_mut(slice)) {
            row.busy = true;
        }
        (row_name(service, slice), format!("{} {holder} {handover}", self.fence))
    }

    /// The first layout of a service.
    pub fn lay(&mut self, now: Ms, service: &str, slices: u32, hosts: &[Host]) -> Vec<Put> {
        let holders: Vec<Holder> = hosts.iter().map(|h| holder(h, mean(hosts))).collect();
        let rows = vec![Row { until: now, ..Row::default() }; slices as usize];
        let counts = vec![0.0; slices as usize];
        self.tables.insert(service.into(), Table { rows, counts, ..Table::default() });
        let seats = poise::lay(slices as usize, &holders);
        let given = seats.into_iter().enumerate().filter_map(|(n, h)| h.map(|h| (n, hosts[h].ident.clone())));
        given.collect::<Vec<_>>().into_iter().map(|(n, ident)| self.put(service, n, &ident, "")).collect()
    }

    /// Written on both disks: it holds from now on, though its holder has not been told yet.
    pub fn apply(&mut self, now: Ms, puts: &[Put]) {
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
    pub fn released(&mut self, service: &str, ident: &str, released: &[(u32, u32, String)]) -> Vec<Put> {
        let Some(table) = self.tables.get(service) else { return Vec::new() };
        let width = KEYS / table.rows.len().max(1) as u32;
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
        found.into_iter().map(|(slice, to, handover)| self.put(service, slice, &to, &handover)).collect()
    }

    /// Rows whose holder may not hold them any more, or that nobody holds, go to where they are wanted.
    pub fn expire(&mut self, now: Ms, service: &str) -> Vec<Put> {
        let Some(table) = self.tables.get(service) else { return Vec::new() };
        let due = |row: &&Row| !row.busy && row.until <= now && row.wanted.is_some();
        let all = table.rows.iter().enumerate().filter(|(_, r)| due(r) && (r.holder.is_empty() || r.asked));
        let due: Vec<_> =
            all.map(|(n, r)| (n, r.wanted.clone().unwrap_or_default(), r.handover.clone())).collect();
        let kept = |n: &usize| self.tables[service].rows[*n].holder.is_empty();
        let with: Vec<bool> = due.iter().map(|(n, _, _)| kept(n)).collect();
        // A handover belongs to who released last; one whose time ran out has given none.
        due.into_iter()
            .zip(with)
            .map(|((n, to, h), with)| self.put(service, n, &to, if with { &h } else { "" }))
            .collect()
    }

    /// Everything that a host is to hold, renewed from `now`. `back`: hosts whose beat is waiting, or due at once.
    /// A slice that is to move is left out when its new holder can be told as soon as it is released.
    pub fn grant(&mut self, now: Ms, service: &str, ident: &str, back: &[String]) -> Vec<Grant> {
        let keep = stretched(self.keep);
        let Some(table) = self.tables.get_mut(service) else { return Vec::new() };
        let width = KEYS / table.rows.len().max(1) as u32;
        let mut grants = Vec::new();
        for (n, row) in table.rows.iter_mut().enumerate().filter(|(_, r)| r.holder == ident) {
            if row.wanted.as_ref().is_some_and(|w| back.contains(w)) && !row.asked {
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
            let (from, to) = (n as u32 * width, (n as u32 + 1) * width - 1);
            grants.push(Grant { from, to, fence: row.fence, handover: row.handover.clone() });
        }
        grants
    }

    /// Is anything on its way to this host, so that it is worth letting its beat wait?
    pub fn awaited(&self, service: &str, ident: &str) -> bool {
        let table = self.tables.get(service);
        table
            .is_some_and(|t| t.rows.iter().any(|r| r.asked && (r.busy || r.wanted.as_deref() == Some(ident))))
    }

    /// Does it hold anything that it is to be asked for?
    pub fn leaving(&self, service: &str, ident: &str) -> bool {
        self.tables
            .get(service)
            .is_some_and(|t| t.rows.iter().any(|r| r.holder == ident && r.wanted.is_some()))
    }

    /// Requests counted by slice; older counts fade by half each time that `fade` is called.
    pub fn count(&mut self, service: &str, counts: &[(u32, u32)]) {
        if let Some(table) = self.tables.get_mut(service) {
            for (slice, many) in counts {
                if let Some(count) = table.counts.get_mut(*slice as usize) {
                    *count += *many as f64;
                }
            }
        }
    }

    pub fn fade(&mut self) {
        self.tables.values_mut().flat_map(|t| &mut t.counts).for_each(|c| *c /= 2.0);
    }

    /// The paper's mechanism says which slices should go where. At most `most` are under way at a time.
    pub fn plan(&mut self, now: Ms, service: &str, hosts: &[Host], most: usize) {
        let Some(table) = self.tables.get_mut(service) else { return };
        let at: BTreeMap<&str, usize> =
            hosts.iter().enumerate().map(|(n, h)| (h.ident.as_str(), n)).collect();
        let open = |ident: &str| at.get(ident).is_some_and(|n| !hosts[*n].leaving && !hosts[*n].silent);
        for row in &mut table.rows {
            // Who is to get it has gone meanwhile.
            if row.wanted.as_deref().is_some_and(|w| !open(w)) && !row.busy {
                row.wanted = None;
            }
            // It need not move any more, and was not asked for yet.
            if !row.asked && row.wanted.as_deref() == Some(row.holder.as_str()) {
                row.wanted = None;
            }
        }
        let mut holders: Vec<Holder> = hosts.iter().map(|h| holder(h, mean(hosts))).collect();
        // A holder that is not known any more: its rows wait out their time.
        holders.push(Holder { listed_at: None, open: false, leaving: true, ..Holder::default() });
        let lost = holders.len() - 1;
        let owner = |row: &Row| {
            let who = row.wanted.as_deref().unwrap_or(&row.holder);
            if who.is_empty() {
                None
            } else {
                Some(at.get(who).copied().unwrap_or(lost))
            }
        };
        let owners = table.rows.iter().map(owner).collect();
        let under_way = |row: &Row| row.busy || row.wanted.is_some();
        let pinned = table.rows.iter().enumerate().filter(|(_, r)| under_way(r)).map(|(n, _)| n).collect();
        let counts: Vec<[f64; 1]> = table.counts.iter().map(|c| [*c]).collect();
        let board =
            Board { holders, owners, scores: poise::scores(&counts, None, 1.0), pinned, ..Board::default() };
        // What nobody holds or what its holder is about to drop is no choice: it is not paced.
        let must = |row: &&Row| !under_way(row) && !open(&row.holder);
        let (must, busy) =
            (table.rows.iter().filter(must).count(), table.rows.iter().filter(|r| under_way(r)).count());
        let most = must.max(most.saturating_sub(busy));
        let mut moves = table.balance.plan(&board, most);
        if moves.is_empty() && table.counts.iter().sum::<f64>() > 0.0 {
            let able: Vec<f64> = board.holders.iter().map(|h| h.unit).collect();
            moves = table.balance.relieve(&board, &able, most);
        }
        for next in moves {
            if let Some(host) = hosts.get(next.to) {
                let row = &mut table.rows[next.slice];
                row.wanted = Some(host.ident.clone());
                // One that can't be asked lets go by the end of its time.
                row.asked |=
                    !row.holder.is_empty() && at.get(row.holder.as_str()).is_none_or(|n| hosts[*n].silent);
                if row.holder.is_empty() {
                    row.until = row.until.min(now);
                }
            }
        }
        // One that beats again before its time is over keeps what it has.
        for row in &mut table.rows {
            if row.asked
                && !row.busy
                && row.told
                && open(&row.holder)
                && row.until > now
                && row.wanted.is_none()
            {
                row.asked = false;
            }
        }
    }
}

fn mean(hosts: &[Host]) -> f64 {
    hosts.iter().map(|h| h.capacity).sum::<f64>().max(1.0) / hosts.len().max(1) as f64
}

fn holder(host: &Host, mean: f64) -> Holder {
    let unit = (host.capacity / mean).max(0.01);
    let open = !host.leaving && !host.silent;
    Holder {
        unit,
        listed_at: Some(host.listed as f64),
        young: host.young,
        open,
        leaving: !open,
        ..Holder::default()
    }
}
