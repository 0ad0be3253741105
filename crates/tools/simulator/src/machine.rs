//! A control-plane machine: its address, its power, its disk and the process on it.

use crate::disk::Disk;
use crate::process::Process;
use crate::settings;
use crate::time::Micros;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Power {
    On,
    Off,
    /// The machine was removed for good.
    Removed,
}

pub(crate) struct Machine {
    pub(crate) ip: String,
    pub(crate) zone: usize,
    /// Its slot of the control plane; none if it was replaced.
    pub(crate) slot: Option<usize>,
    pub(crate) power: Power,
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    /// How many processes were started.
    pub(crate) incarnations: u32,
    /// How often a process was stopped: a scheduled start is void if it has changed.
    pub(crate) stop_count: u32,
    /// `knownPeers` of the next process.
    pub(crate) known_peers: Vec<String>,
    /// `initialBoot` of the next process.
    pub(crate) initial_boot: bool,
    /// How many partitions it is in.
    pub(crate) partitions: u32,
    pub(crate) slow_until: Micros,
    /// Largest additional delay of a message while it is slow.
    pub(crate) max_extra_delay: Micros,
    pub(crate) noisy_until: Micros,
    /// When a fault of it last ended.
    pub(crate) recovered_at: Micros,
    /// Since when it can exchange messages with no other machine.
    pub(crate) isolated_since: Option<Micros>,
    /// When it was added to the platform's list.
    pub(crate) listed_at: Micros,
    /// When it was removed from the platform's list.
    pub(crate) unlisted_at: Option<Micros>,
    /// After SIGTERM: it is removed for good when its process has ended.
    pub(crate) removed_after_exit: bool,
    /// After SIGTERM: time from the end of the process to the next start.
    pub(crate) downtime_after_exit: Micros,
}

impl Machine {
    pub(crate) fn new(ip: String, zone: usize, slot: usize) -> Machine {
        Machine {
            ip,
            zone,
            slot: Some(slot),
            power: Power::On,
            disk: Disk::default(),
            process: None,
            incarnations: 0,
            stop_count: 0,
            known_peers: Vec::new(),
            initial_boot: false,
            partitions: 0,
            slow_until: 0,
            max_extra_delay: 0,
            noisy_until: 0,
            recovered_at: 0,
            isolated_since: None,
            listed_at: 0,
            unlisted_at: None,
            removed_after_exit: false,
            downtime_after_exit: 0,
        }
    }

    pub(crate) fn admin_address(&self) -> String {
        settings::admin_address(&self.ip)
    }

    /// Whether it has a process that is not frozen.
    pub(crate) fn is_running(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.frozen)
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.shutting_down)
    }

    pub(crate) fn has_slow_or_noisy_links(&self, now: Micros) -> bool {
        now < self.slow_until || now < self.noisy_until
    }

    /// Whether any fault is active on it.
    pub(crate) fn is_impaired(&self, now: Micros) -> bool {
        self.process.as_ref().is_none_or(|process| process.frozen || process.shutting_down)
            || self.partitions > 0
            || self.has_slow_or_noisy_links(now)
            || self.disk.is_impaired(now)
    }

    /// Whether the platform's list of machines had it at `at`.
    pub(crate) fn was_listed(&self, at: Micros) -> bool {
        self.listed_at <= at && self.unlisted_at.is_none_or(|unlisted_at| unlisted_at > at)
    }

    /// It is removed for good; the platform's list drops it.
    pub(crate) fn remove(&mut self, now: Micros) {
        self.power = Power::Removed;
        self.unlisted_at = Some(now);
    }
}
