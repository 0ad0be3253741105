//! The fake of the relay: it accepts table orders, and sends updates to the connections that follow it.

use crate::platform::{Platform, RelayTables};
use coppersail::interface::{Input, Order};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often the relay sends a heartbeat to its followers.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);
/// The line that is a heartbeat.
const HEARTBEAT: &str = "*";
/// The request for all updates.
const FOLLOW: &str = "follow";
/// The answer to a line that is no call.
const INVALID_CALL: &str = "ValidationError\r\n";

/// The fake of the relay, shared by the threads of its connections.
pub(super) struct Relay {
    platform: Arc<Platform>,
    state: Mutex<RelayState>,
    orders: Sender<Vec<Order>>,
}

#[derive(Default)]
struct RelayState {
    /// Proxies and tables, as a new follower is told them.
    standing: RelayTables,
    /// Connections that asked for updates.
    followers: Vec<TcpStream>,
    /// All connections, to be broken when the store goes down.
    connections: Vec<TcpStream>,
    /// The store is down: the relay takes no calls.
    down: bool,
}

impl Relay {
    /// A relay that knows what the inputs tell, and forwards orders to `orders`.
    pub(super) fn new(platform: Arc<Platform>, orders: Sender<Vec<Order>>, inputs: &[Input]) -> Self {
        let mut state = RelayState::default();
        for input in inputs {
            state.standing.apply_input(input);
        }
        Relay { platform, state: Mutex::new(state), orders }
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a connection's lines until it breaks or the store goes down.
    pub(super) fn handle_connection(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        if !self.register(&stream) {
            return;
        }
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            if self.handle_line(line.trim(), &mut stream).is_none() {
                return;
            }
        }
    }

    /// Remembers a new connection; not while the store is down.
    fn register(&self, stream: &TcpStream) -> bool {
        let mut state = self.lock();
        if state.down {
            return false;
        }
        state.connections.extend(stream.try_clone());
        true
    }

    /// Answers one line; none if the connection is to be closed.
    fn handle_line(&self, line: &str, stream: &mut TcpStream) -> Option<()> {
        let mut state = self.lock();
        if state.down {
            return None;
        }
        if line == FOLLOW {
            return state.follow(&self.platform, stream);
        }
        let answer = self.handle_call(line, &mut state);
        drop(state);
        stream.write_all(answer.as_bytes()).ok()
    }

    /// Carries out the orders of a call and forwards them; the answer to it.
    fn handle_call(&self, line: &str, state: &mut RelayState) -> String {
        let Ok(orders) = self.platform.orders(line) else {
            return INVALID_CALL.to_string();
        };
        let answer = format!("OK {}\r\n", orders.len());
        state.standing.apply_orders(&orders);
        // The play is over if nobody receives them.
        let _ = self.orders.send(orders);
        answer
    }

    /// Sends what the inputs change to all followers; breaks all connections if the store is down.
    pub(super) fn deliver(&self, inputs: &[Input], down: bool) {
        let mut state = self.lock();
        state.down = down;
        if down {
            state.close_connections();
        }
        for input in inputs {
            state.standing.apply_input(input);
            if let Some(line) = self.platform.relay_update(input) {
                state.broadcast(&line);
            }
        }
    }

    /// Sends a heartbeat to all followers.
    pub(super) fn send_heartbeat(&self) {
        self.lock().broadcast(HEARTBEAT);
    }

    /// Breaks all connections.
    pub(super) fn close_connections(&self) {
        self.lock().close_connections();
    }
}

impl RelayState {
    /// Sends all that is known, and updates from now on. The lock is held meanwhile, so that no update is missed.
    fn follow(&mut self, platform: &Platform, stream: &mut TcpStream) -> Option<()> {
        let text = self.standing.snapshot_lines(platform).join("\r\n") + "\r\n";
        stream.write_all(text.as_bytes()).ok()?;
        self.followers.extend(stream.try_clone());
        Some(())
    }

    fn broadcast(&mut self, line: &str) {
        let text = format!("{line}\r\n");
        self.followers.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    fn close_connections(&mut self) {
        self.followers.clear();
        for stream in self.connections.drain(..) {
            // One that the director has closed cannot be shut down again.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
