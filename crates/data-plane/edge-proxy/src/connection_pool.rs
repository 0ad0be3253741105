//! The pool of connections to endpoints: idle connections for reuse, and the number of open connections per
//! endpoint.
use crate::body::RequestBody;
use crate::clock::Clock;
use crate::upstream_socket::UpstreamSocket;
use coppersail_load_balancing::{timeouts, EndpointRegistry};
use hyper::client::conn::http1::SendRequest;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The requirements of a request on its connection.
pub(crate) struct ConnectionRequirements<'a> {
    pub(crate) idempotent: bool,
    /// This edge's share of the endpoint's connection limit.
    pub(crate) connection_limit: u32,
    /// Timeout for establishing a new connection.
    pub(crate) connect_timeout: Duration,
    /// Numbers of the connections on which the request was sent before. They must not be used again: a late
    /// second response to an earlier attempt has the same request id and would be taken for the response to
    /// this one.
    pub(crate) used_connections: &'a [u64],
}

/// A connection that is not in use by a request.
pub(crate) struct IdleConnection {
    pub(crate) number: u64,
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) socket: Rc<RefCell<UpstreamSocket>>,
    /// When its last response was read.
    pub(crate) idle_since: Instant,
    /// Earliest time at which the endpoint may have started its keep-alive timer.
    pub(crate) earliest_idle_since: Instant,
    /// The keep-alive time that the endpoint reported, if any.
    pub(crate) keep_alive: Option<Duration>,
}

impl IdleConnection {
    /// Whether the connection is closed or has been idle for too long even for idempotent requests.
    fn is_expired(&self, now: Instant) -> bool {
        now >= self.idle_since + timeouts::idle_timeout(self.keep_alive, true) || self.sender.is_closed()
    }

    /// The time until which a request may be started on this connection.
    fn usable_until(&self, idempotent: bool) -> Instant {
        let idle_since = if idempotent { self.idle_since } else { self.earliest_idle_since };
        idle_since + timeouts::idle_timeout(self.keep_alive, idempotent)
    }
}

/// The connections to one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// Idle connections; the most recently used one is last.
    idle: Vec<IdleConnection>,
    /// Number of open connections, including idle ones.
    open: u32,
}

#[derive(Default)]
struct PoolState {
    endpoints: FxHashMap<Rc<str>, EndpointConnections>,
    /// Number of the newest connection.
    last_number: u64,
}

/// All connections to endpoints.
pub(crate) struct ConnectionPool {
    clock: Clock,
    registry: Rc<RefCell<EndpointRegistry>>,
    state: RefCell<PoolState>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Clock, registry: Rc<RefCell<EndpointRegistry>>) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool { clock, registry, state: RefCell::default() })
    }

    /// Closes the idle connections to an endpoint that became unusable.
    pub(crate) fn close_idle(&self, endpoint: &str) {
        if let Some(connections) = self.state.borrow_mut().endpoints.get_mut(endpoint) {
            connections.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self, now: Instant) {
        let endpoints = &mut self.state.borrow_mut().endpoints;
        for connections in endpoints.values_mut() {
            connections.idle.retain(|connection| !connection.is_expired(now));
        }
        endpoints.retain(|_, connections| connections.open > 0 || !connections.idle.is_empty());
    }

    /// Checks out the most recently used idle connection that is safe for the request.
    pub(crate) fn take_idle(
        &self,
        endpoint: &str,
        requirements: &ConnectionRequirements<'_>,
    ) -> Option<IdleConnection> {
        let mut state = self.state.borrow_mut();
        let idle = &mut state.endpoints.get_mut(endpoint)?.idle;
        let now = Instant::now();
        for index in (0..idle.len()).rev() {
            let connection = &idle[index];
            let until = connection.usable_until(requirements.idempotent);
            let expired = connection.is_expired(now);
            let was_used = requirements.used_connections.contains(&connection.number);
            if !expired && (now >= until || was_used) {
                // Another request may still use this connection.
                continue;
            }
            let connection = idle.remove(index);
            if !expired && connection.sender.is_ready() && connection.socket.borrow().has_no_input() {
                connection.socket.borrow_mut().expect_request(until);
                return Some(connection);
            }
        }
        None
    }

    /// Counts a new connection. At the limit, the oldest idle connection is closed to make room for it; the
    /// request could not use any of the idle ones.
    pub(crate) fn open_connection(
        self: &Rc<Self>,
        endpoint: &Rc<str>,
        connection_limit: u32,
    ) -> Result<OpenConnection, ConnectionLimitReached> {
        let mut state = self.state.borrow_mut();
        state.last_number += 1;
        let number = state.last_number;
        let connections = state.endpoints.entry(endpoint.clone()).or_default();
        if connections.open >= connection_limit {
            if connections.idle.is_empty() {
                return Err(ConnectionLimitReached);
            }
            connections.idle.remove(0);
        }
        connections.open += 1;
        Ok(OpenConnection { pool: self.clone(), endpoint: endpoint.clone(), number })
    }

    /// Returns a connection to the pool, or closes it if its endpoint is unusable.
    pub(crate) fn put_idle(&self, endpoint: &str, connection: IdleConnection) {
        let now = self.clock.now();
        let usable = self.registry.borrow().endpoint(endpoint).is_some_and(|known| known.usable(now));
        if let (true, Some(connections)) = (usable, self.state.borrow_mut().endpoints.get_mut(endpoint)) {
            connections.idle.push(connection);
        }
    }
}

/// All connections in this edge's share of the endpoint's connection limit are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("all connections in this edge's share of the endpoint's limit are in use")]
pub(crate) struct ConnectionLimitReached;

/// Keeps a connection in its endpoint's count of open connections until dropped.
pub(crate) struct OpenConnection {
    pool: Rc<ConnectionPool>,
    endpoint: Rc<str>,
    pub(crate) number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.state.borrow_mut().endpoints.get_mut(&self.endpoint) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}
