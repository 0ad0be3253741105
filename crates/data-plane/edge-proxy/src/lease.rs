//! A connection to an endpoint that is checked out of the pool for one request.
use crate::body::RequestBody;
use crate::connection_pool::{ConnectionPool, ConnectionRequirements, IdleConnection, OpenConnection};
use crate::edge::Edge;
use crate::input_poll::earliest_arrival;
use crate::rollout::duplicates::DuplicateDetector;
use crate::rollout::variants::AssignedVariant;
use crate::upstream_socket::{UpstreamIo, UpstreamSocket};
use coppersail_load_balancing::timeouts;
use coppersail_retry::SendFailure;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// TCP user timeout, after which a connection with unacknowledged data is closed. Links deliver packets
/// within half a second even when congested, so data that is unacknowledged for longer is lost.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size (bytes) of hyper's buffer for one connection to an endpoint, which also holds heads.
const MAX_BUFFER: usize = 16 * 1024;

/// A connection in use by one request. It is closed when dropped, unless it is returned to the pool.
pub(crate) struct Lease {
    pool: Rc<ConnectionPool>,
    endpoint: Rc<str>,
    /// Number of the connection; numbers are assigned in the order in which connections are opened.
    pub(crate) number: u64,
    pub(crate) sender: SendRequest<RequestBody>,
    socket: Rc<RefCell<UpstreamSocket>>,
    checked_out_at: Instant,
    /// Keep-alive time that the endpoint reported in the response.
    pub(crate) keep_alive: Option<Duration>,
    /// Whether an earlier request used it.
    pub(crate) reused: bool,
}

impl Lease {
    /// Checks out an idle connection, or opens a new one within this edge's share of the endpoint's
    /// connection limit.
    pub(crate) async fn check_out(
        pool: &Rc<ConnectionPool>,
        endpoint: &Rc<str>,
        address: SocketAddr,
        requirements: ConnectionRequirements<'_>,
    ) -> Result<Lease, SendFailure> {
        match pool.take_idle(endpoint, &requirements) {
            Some(idle) => Ok(Lease::reuse(pool, endpoint, idle)),
            None => Lease::connect(pool, endpoint, address, requirements).await,
        }
    }

    fn reuse(pool: &Rc<ConnectionPool>, endpoint: &Rc<str>, idle: IdleConnection) -> Lease {
        let IdleConnection { number, sender, socket, .. } = idle;
        Lease {
            pool: pool.clone(),
            endpoint: endpoint.clone(),
            number,
            sender,
            socket,
            checked_out_at: Instant::now(),
            keep_alive: None,
            reused: true,
        }
    }

    async fn connect(
        pool: &Rc<ConnectionPool>,
        endpoint: &Rc<str>,
        address: SocketAddr,
        requirements: ConnectionRequirements<'_>,
    ) -> Result<Lease, SendFailure> {
        let open = pool
            .open_connection(endpoint, requirements.connection_limit)
            .map_err(|_| SendFailure::ConnectionLimit)?;
        let number = open.number;
        let stream = match timeout(requirements.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => return Err(SendFailure::Unreachable),
        };
        let tcp = SockRef::from(&stream);
        let _ = tcp.set_tcp_nodelay(true);
        let _ = tcp.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let checked_out_at = Instant::now();
        let until = checked_out_at + timeouts::idle_timeout(None, requirements.idempotent);
        let socket = UpstreamSocket::new(stream, until);
        let sender = spawn_http1(socket.clone(), open).await?;
        let (pool, endpoint) = (pool.clone(), endpoint.clone());
        Ok(Lease { pool, endpoint, number, sender, socket, checked_out_at, keep_alive: None, reused: false })
    }

    /// Returns whether any byte of the request was written. If not, all later writes of it are blocked.
    pub(crate) fn block_unless_started(&self) -> bool {
        self.socket.borrow_mut().block_unless_started()
    }

    /// Whether bytes of the request are still waiting to be written.
    pub(crate) fn is_write_pending(&self) -> bool {
        self.socket.borrow().is_write_pending()
    }

    /// Watches for a duplicate response to the next request, if the request belongs to a rollout.
    pub(crate) fn watch_responses(
        &self,
        edge: &Rc<Edge>,
        id: &HeaderValue,
        variant: Option<&AssignedVariant>,
        route: &str,
    ) {
        let mut socket = self.socket.borrow_mut();
        let previous = socket.duplicate_detector.take();
        socket.duplicate_detector =
            variant.map(|variant| DuplicateDetector::for_attempt(previous, edge, id, variant, route));
    }

    /// Returns the connection to the pool. To be called only after a complete and unambiguous response.
    pub(crate) fn return_to_pool(self) {
        let Lease { pool, endpoint, number, mut sender, socket, checked_out_at, keep_alive, .. } = self;
        if sender.is_closed() || keep_alive.is_some_and(|keep_alive| keep_alive.is_zero()) {
            return;
        }
        let idle_since = Instant::now();
        let earliest_idle_since = earliest_arrival(checked_out_at);
        let idle = move |sender| IdleConnection {
            number,
            sender,
            socket,
            idle_since,
            earliest_idle_since,
            keep_alive,
        };
        if sender.is_ready() {
            pool.put_idle(&endpoint, idle(sender));
            return;
        }
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_ok() {
                pool.put_idle(&endpoint, idle(sender));
            }
        });
    }
}

/// Drives HTTP/1.1 on the socket in a spawned task. The connection counts as open until the task ends.
async fn spawn_http1(
    socket: Rc<RefCell<UpstreamSocket>>,
    open: OpenConnection,
) -> Result<SendRequest<RequestBody>, SendFailure> {
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(UpstreamIo(socket)).await;
    let (sender, connection) = handshake.map_err(|_| SendFailure::Unreachable)?;
    tokio::task::spawn_local(async move {
        let _open = open;
        let _ = connection.await;
    });
    Ok(sender)
}
