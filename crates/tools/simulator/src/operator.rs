//! State of an operator: the orders and reads that it has in flight.

use crate::admin_client::{AdminCall, MachineSelector};
use crate::participant::MachineId;
use crate::time::Micros;
use std::collections::VecDeque;

/// Orders that an operator has in flight at once.
pub(crate) const MAX_ORDERS_IN_FLIGHT: usize = 8;
/// Reads that an operator has in flight at once.
pub(crate) const MAX_READS_IN_FLIGHT: usize = 2;

/// An order or a read that is sent again until its result is clear.
pub(crate) struct PendingCall {
    /// The lowest bit is the operator.
    pub(crate) id: u64,
    /// The order's index; none for a read.
    pub(crate) order: Option<usize>,
    pub(crate) started_at: Micros,
    /// When the network last lost an answer to it; else when it was started.
    pub(crate) undisturbed_since: Micros,
    /// The request of the current attempt; 0 between two attempts. The lowest bit is the operator.
    pub(crate) request_id: u64,
    /// The lowest number that a read of the current attempt may return.
    pub(crate) min_number: u64,
    /// Redirects that the current attempt has followed.
    pub(crate) redirects: u8,
    /// Attempts that were answered with an uncommon 4xx.
    pub(crate) rejections: u8,
    pub(crate) selector: MachineSelector,
    pub(crate) call: AdminCall,
}

/// An order that waits until fewer are in flight.
pub(crate) struct QueuedOrder {
    pub(crate) order: usize,
    /// The machine to send it to first.
    pub(crate) first_machine: Option<MachineId>,
}

#[derive(Default)]
pub(crate) struct Operator {
    pub(crate) calls: Vec<PendingCall>,
    pub(crate) queue: VecDeque<QueuedOrder>,
    /// It submits no further orders.
    pub(crate) stopped: bool,
}

impl Operator {
    pub(crate) fn orders_in_flight(&self) -> usize {
        self.calls.iter().filter(|call| call.order.is_some()).count()
    }

    pub(crate) fn reads_in_flight(&self) -> usize {
        self.calls.iter().filter(|call| call.order.is_none()).count()
    }

    pub(crate) fn stop(&mut self) {
        self.stopped = true;
        self.queue.clear();
    }
}
