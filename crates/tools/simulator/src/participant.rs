//! Who sends and receives messages in a simulated run.

use std::fmt;

/// Index of a control-plane machine. Machines that were removed keep theirs.
pub(crate) type MachineId = usize;

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Participant {
    Machine(MachineId),
    Endpoint(usize),
    Edge(usize),
    Operator(usize),
    /// A reader on the machine itself.
    Probe(MachineId),
    /// The reader that, at the end of the run, reads back through that machine first.
    FinalReader(MachineId),
}

/// The texts of traces; they stay as they are when a variant is renamed.
impl fmt::Display for Participant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Participant::Machine(machine_id) => write!(f, "Machine({machine_id})"),
            Participant::Endpoint(endpoint_id) => write!(f, "Host({endpoint_id})"),
            Participant::Edge(edge_id) => write!(f, "Edge({edge_id})"),
            Participant::Operator(operator_id) => write!(f, "Operator({operator_id})"),
            Participant::Probe(machine_id) => write!(f, "Probe({machine_id})"),
            Participant::FinalReader(machine_id) => write!(f, "Last({machine_id})"),
        }
    }
}

/// Who waits for a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    pub(crate) participant: Participant,
    /// The incarnation that sent the request: a later one does not get the response.
    pub(crate) incarnation: u32,
    /// The sender's own number for the request.
    pub(crate) request_id: u64,
}
