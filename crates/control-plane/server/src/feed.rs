//! What followers are told: hosts, rows, the configuration. Pure. Everything in it only goes forward (revision, number,
//! stage, count of calls), so it may be taken twice, in any order, from any centre; a centre follows others the way
//! that edges follow it, and tells on what was new to it.
use coppersail_peer_protocol::{
    AssignmentRow, AssignmentUpdate, ConfigDocument, EndpointState, EndpointUpdate, Update,
};
use coppersail_rollout::{Phase, RolloutState};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct ChangeFeed {
    /// Which life of this centre speaks.
    pub id: u64,
    pub seq: u64,
    settings: Option<(ConfigDocument, u64)>,
    hosts: BTreeMap<String, (EndpointUpdate, u64)>,
    slices: BTreeMap<String, Vec<(String, u64, u64)>>,
    plans: BTreeMap<String, (RolloutState, u64)>,
}

impl ChangeFeed {
    pub fn new(id: u64) -> ChangeFeed {
        ChangeFeed { id, ..ChangeFeed::default() }
    }

    pub fn settings(&self) -> Option<&ConfigDocument> {
        self.settings.as_ref().map(|(s, _)| s)
    }

    pub fn hosts(&self) -> impl Iterator<Item = &EndpointUpdate> {
        self.hosts.values().map(|(h, _)| h)
    }

    pub fn host(&self, ident: &str) -> Option<&EndpointUpdate> {
        self.hosts.get(ident).map(|(h, _)| h)
    }

    /// Something is new that is not kept here: followers are answered.
    pub fn stir(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// An acknowledged configuration. An older one changes nothing.
    pub fn put_settings(&mut self, new: &ConfigDocument) -> bool {
        if self.settings().is_some_and(|old| old.revision >= new.revision) {
            return false;
        }
        self.seq += 1;
        self.settings = Some((new.clone(), self.seq));
        true
    }

    /// One life of a host. Its stage never goes back; besides that, the later call counts.
    pub fn put_host(&mut self, new: &EndpointUpdate) -> bool {
        let old = self.hosts.get(&new.id).map(|(h, _)| h);
        let mut new = new.clone();
        if let Some(old) = old {
            let stage = old.state.max(new.state);
            // One call that two centres heard, as the first of them sent it on to the other: all agree on one of them, or
            // each would take the host for its own, and the first would soon miss its beats.
            let lower = old.suspect || new.reported_by < old.reported_by;
            let same_call = new.heartbeat_sequence == old.heartbeat_sequence
                && new.reported_by != old.reported_by
                && !new.suspect;
            if new.heartbeat_sequence < old.heartbeat_sequence || (same_call && lower) {
                new = old.clone();
            }
            new.state = stage;
            let same = EndpointUpdate {
                heartbeat_sequence: old.heartbeat_sequence,
                slow_start_ms: old.slow_start_ms,
                ..new.clone()
            } == *old;
            if same {
                return false;
            }
        }
        self.seq += 1;
        self.hosts.insert(new.id.clone(), (new, self.seq));
        true
    }

    /// Nobody needs a host any more that has gone a while ago.
    pub fn forget(&mut self, ident: &str) {
        self.hosts.remove(ident);
    }

    pub fn put_row(&mut self, backend: &str, slices: u32, slice: u32, ident: &str, number: u64) -> bool {
        let rows = self.slices.entry(backend.into()).or_default();
        if rows.len() < slices as usize {
            rows.resize(slices as usize, (String::new(), 0, 0));
        }
        let Some(row) = rows.get_mut(slice as usize).filter(|row| row.1 < number) else { return false };
        self.seq += 1;
        *row = (ident.into(), number, self.seq);
        true
    }

    /// A plan's state, written on both disks.
    pub fn put_plan(&mut self, new: &RolloutState) -> bool {
        if self.plans.get(&new.name).is_some_and(|(old, _)| old.number >= new.number) {
            return false;
        }
        self.seq += 1;
        self.plans.insert(new.name.clone(), (new.clone(), self.seq));
        true
    }

    /// Whether any plan steers.
    pub fn planned(&self) -> bool {
        self.plans.values().any(|(s, _)| s.phase != Phase::Ended)
    }

    /// What another centre told.
    pub fn merge(&mut self, news: &Update) -> bool {
        let before = self.seq;
        news.config.iter().for_each(|s| {
            self.put_settings(s);
        });
        news.endpoints.iter().for_each(|h| {
            self.put_host(h);
        });
        news.rollouts.iter().for_each(|p| {
            self.put_plan(p);
        });
        for table in &news.assignments {
            for AssignmentRow { first, last, owner: ident, version: number } in &table.rows {
                for slice in *first..=(*last).min(table.slice_count.saturating_sub(1)) {
                    self.put_row(&table.service, table.slice_count, slice, ident, *number);
                }
            }
        }
        self.seq > before
    }

    /// What is new since `seq` of feed `id`; everything for who has another feed or none.
    pub fn since(&self, id: u64, seq: u64) -> Update {
        let whole = id != self.id || seq > self.seq;
        let seq = if whole { 0 } else { seq };
        let settings = self.settings.as_ref().filter(|(_, at)| *at > seq).map(|(s, _)| s.clone());
        let gone = |h: &EndpointUpdate| whole && h.state == EndpointState::Removed;
        let hosts =
            self.hosts.values().filter(|(h, at)| *at > seq && !gone(h)).map(|(h, _)| h.clone()).collect();
        let slices = self.slices.iter().filter_map(|(backend, all)| {
            let mut rows: Vec<AssignmentRow> = Vec::new();
            for (n, row) in all.iter().enumerate().filter(|(_, r)| r.2 > seq) {
                let n = n as u32;
                match rows.last_mut().filter(|r| r.last + 1 == n && r.owner == row.0 && r.version == row.1) {
                    Some(run) => run.last = n,
                    None => rows.push((n, n, row.0.clone(), row.1).into()),
                }
            }
            let slices = all.len() as u32;
            (!rows.is_empty()).then(|| AssignmentUpdate {
                service: backend.clone(),
                slice_count: slices,
                rows,
            })
        });
        let plans = self.plans.values().filter(|(_, at)| *at > seq).map(|(p, _)| p.clone()).collect();
        Update {
            feed_id: self.id,
            sequence: self.seq,
            is_snapshot: whole,
            config: settings,
            endpoints: hosts,
            assignments: slices.collect(),
            rollouts: plans,
            ..Update::default()
        }
    }
}

#[cfg(test)]
mod tests;
