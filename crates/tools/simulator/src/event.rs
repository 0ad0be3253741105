//! Events of a simulated run, and the messages that they carry.

use crate::admin_client::AdminCall;
use crate::fault::KnownPeers;
use crate::participant::{MachineId, Origin};
use coppersail_consensus::OperationId;
use coppersail_control_plane::node::{PeerRequest, PeerResponse};

/// A request to a control-plane machine.
pub(crate) enum Request {
    Peer(PeerRequest),
    Admin(AdminCall),
}

impl Request {
    /// A second copy, for a request that the network duplicates.
    pub(crate) fn duplicate(&self) -> Request {
        match self {
            Request::Admin(call) => Request::Admin(call.clone()),
            Request::Peer(PeerRequest::Watch(watch)) => Request::Peer(PeerRequest::Watch(watch.clone())),
            Request::Peer(PeerRequest::Consensus(consensus)) => {
                Request::Peer(PeerRequest::Consensus(consensus.clone()))
            }
        }
    }
}

/// What a request comes to.
pub(crate) enum Response {
    Admin {
        status: u16,
        body: String,
    },
    Peer(PeerResponse),
    /// The connection was refused or reset.
    ConnectionReset,
}

/// What happens at a moment of simulated time.
///
/// `incarnation` and `stop_count` tell a process or a start from later ones of the same machine: the event is void if
/// the machine's value has changed. `wake` does the same for the wake-ups of an endpoint or edge.
pub(crate) enum SimEvent {
    /// The node's periodic tick.
    Tick {
        machine_id: MachineId,
        incarnation: u32,
    },
    RequestArrives {
        machine_id: MachineId,
        origin: Origin,
        request: Request,
    },
    ResponseArrives {
        origin: Origin,
        response: Response,
    },
    /// A request from one node to another has timed out.
    PeerRequestTimeout {
        origin: Origin,
    },
    /// The disk has done the oldest pending write, or has failed it.
    WriteDone {
        machine_id: MachineId,
        stop_count: u32,
        token: OperationId,
    },
    /// The process learns of a write that is done.
    WriteReported {
        machine_id: MachineId,
        incarnation: u32,
        token: OperationId,
        ok: bool,
    },
    StartProcess {
        machine_id: MachineId,
        stop_count: u32,
    },
    /// A frozen process goes on.
    ResumeProcess {
        machine_id: MachineId,
        incarnation: u32,
    },
    /// SIGTERM.
    Terminate {
        machine_id: MachineId,
        incarnation: u32,
    },
    /// SIGHUP.
    ReloadSettings {
        machine_id: MachineId,
        incarnation: u32,
    },
    /// SIGKILL, as the shutdown grace period is over.
    ShutdownTimeout {
        machine_id: MachineId,
        incarnation: u32,
    },
    /// An empty machine takes a slot.
    StartReplacement {
        slot: usize,
        known_peers: KnownPeers,
        random_value: u64,
        reuse_address: bool,
    },
    /// The scenario's fault with this index.
    InjectFault(usize),
    /// The partition with this id is healed.
    PartitionEnds(u32),
    /// A fault has waited for its trigger in vain.
    TriggerTimeout {
        machine_id: MachineId,
        incarnation: u32,
    },
    /// A fault of links or disk ends.
    FaultEnds(MachineId),
    WakeEndpoint {
        endpoint_id: usize,
        wake: u32,
    },
    EndpointRequestTimeout {
        endpoint_id: usize,
        request_id: u64,
    },
    /// An endpoint has finished a client's request on a key.
    EndpointWorkDone {
        endpoint_id: usize,
        incarnation: u32,
        work_id: usize,
    },
    PollEdge {
        edge_id: usize,
        wake: u32,
    },
    EdgeRequestTimeout {
        edge_id: usize,
        request_id: u64,
    },
    /// An operator may submit an order.
    WakeOperator(usize),
    /// An operator may read.
    WakeReader(usize),
    /// The next attempt of an operator's call.
    RetryCall {
        call_id: u64,
    },
    CallTimeout {
        call_id: u64,
        request_id: u64,
    },
    /// The next attempt to read back through a machine.
    RetryFinalRead(MachineId),
    /// The readers beside the nodes read.
    Probe,
    CheckTimeLimits,
    /// All faults end.
    HealAll,
}
