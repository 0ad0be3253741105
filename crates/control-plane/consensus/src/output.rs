//! What the core asks its adapter to do. Outputs are carried out in the order in which they are emitted.
use crate::{Change, Id, KeyValue, Ms, Request, Response};

/// The id of a request from outside, given by the adapter; the response carries it.
pub type RequestId = u64;

/// The id of a call or a disk write of the core; the result of each is handed in once.
pub type OperationId = u64;

/// One effect for the adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a request; its result goes to [`Core::handle_response`](crate::Core::handle_response).
    Send {
        /// The id under which the result is handed in.
        operation_id: OperationId,
        /// The receiver.
        to: Id,
        /// The request.
        request: Request,
        /// After so many milliseconds the result is `None`.
        timeout: Ms,
    },
    /// Answer a request from outside.
    Respond {
        /// The id that came with the request.
        request_id: RequestId,
        /// The answer.
        response: Response,
    },
    /// Write to the disk, atomically and synced, in the order of these outputs; the result goes to
    /// [`Core::handle_write_result`](crate::Core::handle_write_result).
    Persist {
        /// The id under which the result is handed in.
        operation_id: OperationId,
        /// Entries of the replicated state; an empty value removes the entry.
        state: Vec<KeyValue>,
        /// Whether `state` replaces all that is stored.
        replace: bool,
        /// Entries of the node itself: term, sequence number, voter state.
        metadata: Vec<KeyValue>,
    },
    /// A line for the log.
    Log(String),
    /// This node is the leader of a new term.
    BecameLeader {
        /// It was not the leader of the term before.
        newly_elected: bool,
    },
    /// This node is no longer the leader.
    SteppedDown,
    /// These changes are on all disks of the record while the leader holds the lease: they are committed.
    Committed(Vec<Change>),
    /// The tickets of changes that were not committed; whether a later leader has them is not known.
    Failed(Vec<u64>),
}
