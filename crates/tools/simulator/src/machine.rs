//! A machine of the core: its disk, and the process on it with its own clock.
use crate::script::{Moment, What};
use crate::world::{Ev, Origin};
use crate::{Ms, Us};
use coppersail_consensus::{OperationId, RequestId};
use coppersail_control_plane::node::{Effect, Node};
use coppersail_control_plane::store::{FolderCondition, RecoveredState, WriteBatch};
use fastrand::Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What is on a disk outlives processes and losses of power; what waits is there or not, by lot.
#[derive(Default)]
pub struct Disk {
    pub state: BTreeMap<String, String>,
    pub own: BTreeMap<String, String>,
    pub kept: FolderCondition,
    /// Writes under way, in order, with the time at which each is done.
    pub under_way: VecDeque<(OperationId, WriteBatch, bool)>,
    pub busy: Us,
    pub slow_until: Us,
    pub hangs_until: Us,
    pub full_until: Us,
}

impl Disk {
    /// When a write that is asked for now is done, and whether it is taken.
    pub fn ask(&mut self, now: Us, luck: &mut Rng) -> (Us, bool) {
        let from = now.max(self.busy).max(self.hangs_until);
        let takes = if now < self.slow_until { luck.u64(150_000..250_000) } else { luck.u64(1000..5000) };
        self.busy = from + takes;
        (self.busy, now >= self.full_until)
    }

    pub fn put(&mut self, batch: WriteBatch) {
        if batch.whole {
            self.state.clear();
        }
        self.kept = FolderCondition::Intact;
        self.state.extend(batch.state);
        self.own.extend(batch.metadata);
    }

    /// The process or the power is gone: what was under way lasts up to some point.
    pub fn stop(&mut self, luck: &mut Rng) {
        let many = luck.usize(0..=self.under_way.len());
        let all = std::mem::take(&mut self.under_way);
        for (_, batch, takes) in all.into_iter().take(many) {
            if takes {
                self.put(batch);
            }
        }
        self.busy = 0;
    }

    pub fn found(&self) -> RecoveredState {
        RecoveredState {
            state: self.state.clone(),
            metadata: self.own.clone(),
            condition: self.kept,
            batch_number: 0,
        }
    }

    pub fn troubled(&self, now: Us) -> bool {
        now < self.slow_until || now < self.hangs_until || now < self.full_until
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Power {
    On,
    Off,
    /// For good.
    Gone,
}

pub struct Process {
    pub node: Node,
    pub life: u32,
    pub start: Us,
    pub pace: f64,
    pub frozen: bool,
    /// What came while it was frozen.
    pub inbox: Vec<Ev>,
    /// What it had ready when it was frozen.
    pub ready: Vec<Effect>,
    /// What comes at its next such moment.
    pub trap: Option<(Moment, What, u64)>,
    /// Calls of its own under way.
    pub calls: BTreeSet<OperationId>,
    pub writes: BTreeSet<OperationId>,
    pub callers: BTreeMap<RequestId, Origin>,
    pub leaving: bool,
}

impl Process {
    pub fn now(&self, t: Us) -> Ms {
        1 + ((t - self.start) as f64 * self.pace / 1000.0) as Ms
    }

    /// How long a span of its own clock is in true time.
    pub fn span(&self, ms: Ms) -> Us {
        (ms as f64 * 1000.0 / self.pace) as Us
    }
}

pub struct Machine {
    pub ip: String,
    pub zone: usize,
    /// Its place in the core, or none for one that was replaced.
    pub place: Option<usize>,
    pub power: Power,
    pub disk: Disk,
    pub process: Option<Process>,
    pub lives: u32,
    /// Counts its ends, so that only the last start that was ordered comes.
    pub ends: u32,
    pub seeds: Vec<String>,
    pub first: bool,
    pub cuts: u32,
    pub slow: (Us, Us),
    pub noisy_until: Us,
    /// When trouble on it last began or ended.
    pub touched: Us,
    /// When trouble on it last ended.
    pub back: Us,
    /// Since when no other machine and it hear each other.
    pub alone_since: Option<Us>,
    /// Since when the platform's list has had it.
    pub listed: Us,
    pub unlisted: Option<Us>,
    /// It goes for good when its process ends.
    pub goes: bool,
    /// How long it is down after SIGTERM has ended it.
    pub down_after: Us,
}

pub const PORT: u16 = 8544;

impl Machine {
    pub fn new(ip: String, zone: usize, place: usize) -> Machine {
        Machine {
            ip,
            zone,
            place: Some(place),
            power: Power::On,
            disk: Disk::default(),
            process: None,
            lives: 0,
            ends: 0,
            seeds: Vec::new(),
            first: false,
            cuts: 0,
            slow: (0, 0),
            noisy_until: 0,
            touched: 0,
            back: 0,
            alone_since: None,
            listed: 0,
            unlisted: None,
            goes: false,
            down_after: 0,
        }
    }

    pub fn admin(&self) -> String {
        format!("{}:{PORT}", self.ip)
    }

    pub fn runs(&self) -> bool {
        self.process.as_ref().is_some_and(|p| !p.frozen)
    }

    /// In trouble now.
    pub fn troubled(&self, now: Us) -> bool {
        self.process.as_ref().is_none_or(|p| p.frozen || p.leaving)
            || self.cuts > 0
            || now < self.slow.0
            || now < self.noisy_until
            || self.disk.troubled(now)
    }

    pub fn boot(&self, contact: Ms, survive: usize) -> coppersail_config::ProcessSettings {
        let text = json!({
            "self": {"ipAddress": self.ip, "area": format!("zone-{}", self.zone), "countsAsLoss": true,
                "initialBoot": self.first, "dataFolder": "/data"},
            "network": {"binds": {"admin": self.admin()}, "sparePorts": [7540, 7555], "knownPeers": self.seeds},
            "provider": {"heartbeat": format!("{}ms", crate::BEAT)},
            "terms": {"survive": {"boxes": survive, "zones": 0, "areas": 0}, "timeLimits": {
                "peerDelay": format!("{}ms", crate::LISTED), "inContact": format!("{contact}ms"),
                "confirm": format!("{}ms", crate::CONFIRM), "sync_time": format!("{}ms", crate::SYNC),
                "empty": format!("{}ms", crate::EMPTY), "leeway": format!("{}ms", crate::LEEWAY),
                "apply": format!("{}ms", crate::APPLY), "keepMax": format!("{}ms", crate::KEEP_MAX)}}
        });
        coppersail_config::ProcessSettings::from_json(&text.to_string())
            .expect("settings of the simulator's own")
    }
}

/// Shared by a message that comes twice.
pub type Body = Arc<str>;
