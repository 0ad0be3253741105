//! A director as the world sees it, and the store through which its orders go.

use crate::policy::Policy;
use coppersail::interface::{Input, Order};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A director, and what is on its way from it.
pub(super) struct Director {
    /// What decides.
    pub(super) policy: Policy,
    /// Its zone.
    pub(super) zone: u16,
    /// Its process runs.
    pub(super) is_up: bool,
    /// Numbers its processes: what was sent to an earlier one is lost.
    pub(super) incarnation: u32,
    /// Inputs that it has not processed yet.
    pub(super) inputs: Vec<Input>,
    /// It is scheduled to process them at this very time.
    pub(super) run_is_scheduled: bool,
    /// When it asked to be woken, simulated seconds; infinite if it did not.
    pub(super) wake_at: f64,
    /// When its channel to the proxies has sent all that was written, simulated seconds.
    pub(super) channel_free_at: f64,
    /// Messages that it has written to proxies, over all incarnations.
    pub(super) messages: u32,
    /// By message: the mark whose application proxies acknowledge.
    pub(super) marks: FxHashMap<u32, u16>,
    /// Hosts of which it knows that they drain or are gone, and since when, simulated seconds.
    pub(super) not_ready_since: FxHashMap<u32, f64>,
}

impl Director {
    /// A director whose process has just started.
    pub(super) fn new(policy: Policy, zone: u16, incarnation: u32, messages: u32, now: f64) -> Self {
        Director {
            policy,
            zone,
            is_up: true,
            incarnation,
            inputs: Vec::new(),
            run_is_scheduled: false,
            wake_at: f64::INFINITY,
            channel_free_at: now,
            messages,
            marks: FxHashMap::default(),
            not_ready_since: FxHashMap::default(),
        }
    }

    /// Ends the process; its unprocessed inputs are lost.
    pub(super) fn stop(&mut self) {
        self.is_up = false;
        self.incarnation += 1;
        self.inputs.clear();
        if let Policy::Process(process) = &mut self.policy {
            process.kill();
        }
    }
}

/// Orders that one incarnation of a director has given together.
pub(super) struct OrderBatch {
    /// The director.
    pub(super) director: u16,
    /// Its incarnation at that time.
    pub(super) incarnation: u32,
    /// The orders.
    pub(super) orders: Vec<Order>,
}

/// The relay, which is the store of the tables too.
#[derive(Default)]
pub(super) struct Store {
    /// It accepts nothing.
    pub(super) is_down: bool,
    /// What was ordered meanwhile, in order.
    pub(super) pending: VecDeque<OrderBatch>,
}
