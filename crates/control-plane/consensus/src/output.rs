//! What the core asks its adapter to do. Outputs are carried out in the order in which they are emitted.
use crate::{Change, Id, KeyValue, Ms, Request, Response};

/// Who waits for an answer: given by the adapter.
pub type RequestId = u64;

/// A call or a write of the core's own; each comes back once.
pub type OperationId = u64;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        operation_id: OperationId,
        to: Id,
        call: Request,
        timeout: Ms,
    },
    Respond {
        request_id: RequestId,
        response: Response,
    },
    /// Synced, whole or not at all, in this order.
    Persist {
        token: OperationId,
        state: Vec<KeyValue>,
        replace: bool,
        metadata: Vec<KeyValue>,
    },
    Log(String),
    /// It acts from now on; `fresh`: it did not right before.
    BecameLeader {
        newly_elected: bool,
    },
    SteppedDown,
    /// On all disks of the record, and the lease is held: these are in force.
    Committed(Vec<Change>),
    Failed(Vec<u64>),
}
