//! Performs the reducer's effects on real sockets, timers and disks, with one module for each kind of peer.

mod admin_socket;
mod change_log_writer;
mod collector_listener;
mod discovery_client;
mod health_prober;
mod http_client;
mod relay_client;
mod sockets;
pub(crate) mod task;
mod wake_timer;

pub(crate) use admin_socket::AdminSocket;
pub(crate) use change_log_writer::ChangeLogWriter;
pub(crate) use collector_listener::CollectorListener;
pub(crate) use discovery_client::DiscoveryClient;
pub(crate) use health_prober::HealthProber;
pub(crate) use relay_client::RelayClient;
pub(crate) use wake_timer::WakeTimer;

use crate::logger;
use coppersail_director::reducer::Effect;
use std::ops::ControlFlow;

/// Everything that performs the reducer's effects.
pub(crate) struct Adapters {
    /// Collectors' connections.
    pub(crate) listener: CollectorListener,
    /// Connections to the relay.
    pub(crate) relay: RelayClient,
    /// Watches of the discovery service.
    pub(crate) discovery: DiscoveryClient,
    /// Probes of hosts.
    pub(crate) prober: HealthProber,
    /// Wakes the event loop at the time that the reducer has set.
    pub(crate) timer: WakeTimer,
    /// Whether further connections are accepted.
    pub(crate) is_accepting: bool,
    /// Present if the operators' file names a socket.
    pub(crate) admin_socket: Option<AdminSocket>,
    /// Present if the operators' file names a history.
    pub(crate) change_log: Option<ChangeLogWriter>,
}

impl Adapters {
    /// Performs one effect; breaks when the director is to exit.
    pub(crate) fn perform(&mut self, effect: Effect) -> ControlFlow<()> {
        match effect {
            Effect::SendToConnection(id, bytes) => self.listener.send(id, bytes),
            Effect::SetAccepting(is_accepting) => self.is_accepting = is_accepting,
            Effect::CloseConnection(id) => self.listener.close(id),
            Effect::ConnectRelay(id, address) => self.relay.connect(id, address),
            Effect::SendToRelay(id, bytes) => self.relay.send(id, bytes),
            Effect::CloseRelay(id) => self.relay.close(id),
            Effect::OpenWatch(id, address, path) => self.discovery.watch(id, address, path),
            Effect::CloseWatch(id) => self.discovery.unwatch(id),
            Effect::StartProbe { host, address, path } => self.prober.start(host, address, path),
            Effect::SetTimer(at) => self.timer.set(at),
            Effect::AppendToChangeLog(record) => {
                if let Some(change_log) = &self.change_log {
                    change_log.append(record);
                }
            }
            Effect::AnswerAdminRequest(id, answer) => {
                if let Some(admin_socket) = &self.admin_socket {
                    admin_socket.answer(id, answer);
                }
            }
            Effect::Log(level, change, text) => logger::log(level, change, &text),
            Effect::Exit => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }
}
