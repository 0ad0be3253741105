//! The steps of the model, and the trace of steps that led to a state.
use super::state::{Message, Payload, NAMES};
use std::sync::Arc;

/// Which node is cut off during an advance of the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Isolation {
    None,
    /// Heartbeats from and to it are lost.
    Partitioned(usize),
    /// As if partitioned; the node does not tick either.
    Paused(usize),
}

/// The outcome of the delivery of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Delivery {
    Normal,
    /// The request is handled, but its response is lost.
    ResponseLost,
    /// The request is handled, and a duplicate may arrive at any later time.
    Duplicated,
}

/// One step; nodes and messages are identified by their index.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Deliver(usize, Delivery),
    CompleteWrite(usize),
    FailWrite(usize),
    /// A normal time step. The message with index `delayed`, whose call times out, arrives late.
    Advance {
        delayed: Option<usize>,
        isolation: Isolation,
    },
    /// An advance of the time to the end of the next lease that a voter has granted.
    AdvanceToLeaseEnd(Isolation),
    /// The node, and how many of its queued writes reach the disk.
    Crash(usize, usize),
    Restart(usize),
    RestartWithEmptyDisk(usize),
    /// The node restarts with the disk that it lost last; the one that it had since is gone.
    RestartWithOldDisk(usize),
    /// The node stops permanently.
    Remove(usize),
    Propose(usize),
    BeginShutdown(usize),
}

/// A step of a trace, linked to its predecessor.
#[derive(Debug)]
pub(crate) struct TraceStep {
    pub(super) at: u64,
    pub(super) step: Step,
    pub(super) message: Option<Arc<Message>>,
    pub(crate) previous: Option<Arc<TraceStep>>,
}

const MAX_PAYLOAD_CHARS: usize = 400;

fn truncated(text: &str) -> String {
    text.chars().take(MAX_PAYLOAD_CHARS).collect()
}

fn describe_message(message: &Message) -> String {
    let (from, to) = (NAMES[message.from], NAMES[message.to]);
    match &message.payload {
        Payload::Request(request) => format!("{to} <- {from} {}", truncated(&format!("{request:?}"))),
        Payload::Response(response) => {
            format!("{from} <- {to} answers {}", truncated(&format!("{response:?}")))
        }
    }
}

fn describe_isolation(isolation: &Isolation) -> String {
    match isolation {
        Isolation::None => String::new(),
        Isolation::Partitioned(node) => format!(", {} is partitioned", NAMES[*node]),
        Isolation::Paused(node) => format!(", {} is paused", NAMES[*node]),
    }
}

impl TraceStep {
    /// The step as a line of text, with its time in ms.
    pub(crate) fn describe(&self) -> String {
        let name = |node: &usize| NAMES[*node];
        let message = self.message.as_ref().map_or(String::new(), |message| describe_message(message));
        let is_late = self.message.as_ref().is_some_and(|message| message.late);
        let text = match &self.step {
            Step::Deliver(_, Delivery::Duplicated) => format!("{message}; a duplicate will arrive"),
            Step::Deliver(_, Delivery::ResponseLost) => format!("{message}; the response is lost"),
            Step::Deliver(..) if is_late => format!("{message}, late"),
            Step::Deliver(..) => message,
            Step::CompleteWrite(node) => format!("{}'s disk completes a write", name(node)),
            Step::FailWrite(node) => format!("{}'s disk fails a write", name(node)),
            Step::Advance { delayed: Some(_), .. } => format!("a short time passes; delayed: {message}"),
            Step::Advance { isolation, .. } => {
                format!("a short time passes{}", describe_isolation(isolation))
            }
            Step::AdvanceToLeaseEnd(isolation) => {
                format!("time passes to the end of a lease{}", describe_isolation(isolation))
            }
            Step::Crash(node, kept) => {
                format!("{} crashes; {kept} queued writes are on its disk", name(node))
            }
            Step::Restart(node) => format!("{} restarts", name(node)),
            Step::RestartWithEmptyDisk(node) => format!("{} restarts with an empty disk", name(node)),
            Step::RestartWithOldDisk(node) => format!("{} restarts with its old disk", name(node)),
            Step::Remove(node) => format!("{} is removed permanently", name(node)),
            Step::Propose(node) => format!("a change is proposed at {}", name(node)),
            Step::BeginShutdown(node) => format!("{} begins to shut down", name(node)),
        };
        format!("{:>6} {text}", self.at)
    }
}
