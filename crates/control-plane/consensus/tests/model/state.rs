//! The parts of a state of the model: nodes with disks, and messages in flight.
//!
//! The order of fields and variants is part of the fingerprint of a state.
use coppersail_consensus::{Core, KeyValue, Request, Response};
use std::collections::{BTreeMap, VecDeque};

/// The ids of the nodes, by index.
pub(crate) const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Flag in the request id of a late message: its caller no longer waits, so the response has no receiver.
const LATE_FLAG: u64 = 1 << 63;

/// The index of a node.
pub(super) fn index_of(id: &str) -> usize {
    NAMES.iter().position(|name| *name == id).unwrap()
}

/// The incarnation that the model assigns to a disk of a node; 0 for the first disks of the initial voters.
pub(super) fn incarnation(node: usize, disk: u64, initial_voters: usize) -> u64 {
    if disk == 0 && node < initial_voters {
        return 0;
    }
    100 * (node as u64 + 1) + disk
}

/// A disk write that has not completed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct QueuedWrite {
    pub(super) operation_id: u64,
    pub(super) state: Vec<KeyValue>,
    /// Whether `state` replaces everything that is stored.
    pub(super) replace: bool,
    pub(super) metadata: Vec<KeyValue>,
}

impl QueuedWrite {
    /// Whether the write contains nothing that the core relies on after a restart.
    pub(super) fn is_hint(&self) -> bool {
        let is_hint = |(name, _): &KeyValue| ["record", "members", "probe"].contains(&name.as_str());
        self.state.is_empty() && !self.replace && self.metadata.iter().all(is_hint)
    }
}

/// A node: its process, if it is running, and its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) core: Option<Core>,
    pub(crate) state: BTreeMap<String, String>,
    pub(super) metadata: BTreeMap<String, String>,
    pub(super) queued_writes: VecDeque<QueuedWrite>,
    /// The deadlines of calls that have no response yet.
    pub(super) call_deadlines: BTreeMap<u64, u64>,
    pub(super) boot_count: u64,
    /// The number of disks that it has lost.
    pub(super) lost_disks: u64,
    /// Which of its disks is in use, counted from 0.
    pub(super) disk: u64,
    /// A lost disk that may come back.
    pub(super) old_disk: Option<OldDisk>,
    pub(crate) removed: bool,
}

/// A disk that was lost, with its content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct OldDisk {
    pub(super) disk: u64,
    pub(super) state: BTreeMap<String, String>,
    pub(super) metadata: BTreeMap<String, String>,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Payload {
    Request(Request),
    Response(Response),
}

/// A message in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Message {
    /// The caller, for a request as well as for its response.
    pub(super) from: usize,
    /// The boot count of the caller at the time of the call.
    pub(super) boot: u64,
    pub(super) operation_id: u64,
    /// The node that was called, for a request as well as for its response.
    pub(super) to: usize,
    /// Whether it arrives after its call timed out, or as a duplicate.
    pub(super) late: bool,
    pub(super) payload: Payload,
}

impl Message {
    pub(super) fn is_request(&self) -> bool {
        matches!(self.payload, Payload::Request(_))
    }

    /// The node that handles the message.
    pub(super) fn receiver(&self) -> usize {
        if self.is_request() {
            self.to
        } else {
            self.from
        }
    }

    /// The id that the receiver's core gets with the request. It identifies the call, so that a response
    /// finds its caller.
    pub(super) fn request_id(&self) -> u64 {
        let late = if self.late { LATE_FLAG } else { 0 };
        (self.from as u64) << 48 | self.boot << 32 | self.operation_id | late
    }
}

/// The call that a response belongs to.
pub(super) struct CallOrigin {
    pub(super) caller: usize,
    pub(super) boot: u64,
    pub(super) operation_id: u64,
}

impl CallOrigin {
    /// The inverse of [`Message::request_id`]; `None` for a late message, because no caller waits for its
    /// response.
    pub(super) fn of(request_id: u64) -> Option<CallOrigin> {
        (request_id & LATE_FLAG == 0).then_some(CallOrigin {
            caller: (request_id >> 48) as usize,
            boot: request_id >> 32 & 0xffff,
            operation_id: request_id & 0xffff_ffff,
        })
    }
}
