//! What the core asks its adapter to do. Outputs are carried out in the order in which they are emitted.
use crate::{Change, Id, KeyValue, Ms, Request, Response};

/// The id of a request from another node, assigned by the adapter; the response carries it.
pub type RequestId = u64;

/// The id of a call or a disk write of the core; the adapter passes in the result of each once.
pub type OperationId = u64;

/// One effect for the adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a request; its result goes to [`Core::handle_response`](crate::Core::handle_response).
    Send {
        /// The id to pass in with the result.
        operation_id: OperationId,
        /// The receiver.
        to: Id,
        /// The request.
        request: Request,
        /// The time in milliseconds after which the result is `None`.
        timeout: Ms,
    },
    /// Respond to a request from another node.
    Respond {
        /// The id that came with the request.
        request_id: RequestId,
        /// The response.
        response: Response,
    },
    /// Write to the disk, atomically and synced, in the order of these outputs; the result goes to
    /// [`Core::handle_write_result`](crate::Core::handle_write_result).
    Persist {
        /// The id to pass in with the result.
        operation_id: OperationId,
        /// Entries of the replicated state; an empty value removes the entry.
        state: Vec<KeyValue>,
        /// Whether `state` replaces the whole stored state.
        replace: bool,
        /// Entries of the node itself: term, sequence number, voter state.
        metadata: Vec<KeyValue>,
    },
    /// A line for the log.
    Log(String),
    /// This node is the leader of a new term.
    BecameLeader {
        /// Whether this node was not already the leader of the previous term.
        newly_elected: bool,
    },
    /// This node is no longer the leader.
    SteppedDown,
    /// These changes are committed: they are on all disks of the record while the leader holds the lease.
    Committed(Vec<Change>),
    /// The tickets of changes that this leader did not commit; a later leader may still have them.
    Failed(Vec<u64>),
}
