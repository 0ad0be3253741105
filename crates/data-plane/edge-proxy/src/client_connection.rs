//! One client connection: serves HTTP/1.1 on its socket and closes it when it is idle or slow for too long.
use crate::connection_state::{ConnectionPhase, ConnectionState};
use crate::edge::Edge;
use crate::request_handler;
use crate::response::close_connection;
use crate::shutdown::Lifecycle;
use crate::socket_read::poll_read_observed;
use coppersail_config::config::ClientLimits;
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Smallest buffer size (bytes) that hyper accepts.
const MIN_BUFFER: usize = 8192;
/// Interval at which a connection is checked during a shutdown.
const CHECK_WHILE_SHUTTING_DOWN: Duration = Duration::from_millis(100);
/// The response to a request whose head does not arrive within the header timeout.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A client's socket as hyper sees it.
struct ClientIo {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl Read for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let ClientIo { stream, state } = self.get_mut();
        poll_read_observed(stream, cx, cursor, |bytes| state.record_read(bytes))
    }
}

impl Write for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.state.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.state.record_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A guard that keeps a connection in the edge's count of open client connections until dropped.
struct OpenConnection(Rc<Edge>);

impl OpenConnection {
    fn count(edge: &Rc<Edge>) -> OpenConnection {
        edge.open_connections.set(edge.open_connections.get() + 1);
        OpenConnection(edge.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Serves requests on a connection until the client closes it, it times out, or a shutdown closes it.
pub(crate) async fn serve(edge: Rc<Edge>, stream: TcpStream, client: IpAddr) {
    let _open = OpenConnection::count(&edge);
    let _ = SockRef::from(&stream).set_tcp_nodelay(true);
    let (state, limits) = (ConnectionState::new(), edge.client_limits());
    let service = service_fn(|request: Request<Incoming>| {
        let (edge, state) = (edge.clone(), state.clone());
        async move {
            let (scanned, guard) = state.begin_request();
            edge.shutdown.record_request(&state);
            let mut response = request_handler::handle(&edge, request, scanned, client).await;
            if edge.is_shutting_down() {
                response = close_connection(response);
            }
            response.body_mut().guard = Some(guard);
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .header_read_timeout(None)
        .auto_date_header(false)
        .serve_connection(ClientIo { stream, state: state.clone() }, service);
    let mut lifecycle = edge.lifecycle.subscribe();
    let timer = tokio::time::sleep_until(Instant::now() + limits.header_timeout.min(limits.idle_timeout));
    tokio::pin!(timer);
    let mut phase = Lifecycle::Serving;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            _ = &mut timer => {}
            next = next_phase(&mut lifecycle, phase) => phase = next,
        }
        if phase == Lifecycle::Ended {
            edge.shutdown.record_abort(&edge.log, &state);
            return;
        }
        match next_action(&state, &limits, phase > Lifecycle::Serving, Instant::now()) {
            ConnectionAction::RecheckAt(instant) => timer.as_mut().reset(instant),
            ConnectionAction::Close => return,
            ConnectionAction::HeadTimeout => {
                let mut stream = connection.into_parts().io.stream;
                let _ = stream.write_all(HEAD_TIMEOUT_RESPONSE).await;
                let _ = stream.shutdown().await;
                return;
            }
        }
    }
}

/// Waits until the process enters a later phase than `phase` and returns it.
async fn next_phase(lifecycle: &mut watch::Receiver<Lifecycle>, phase: Lifecycle) -> Lifecycle {
    lifecycle.wait_for(|current| *current > phase).await.map_or(Lifecycle::Ended, |current| *current)
}

/// What to do with a connection whose timer fired.
enum ConnectionAction {
    RecheckAt(Instant),
    Close,
    /// The request head did not arrive within the header timeout.
    HeadTimeout,
}

fn next_action(
    state: &ConnectionState,
    limits: &ClientLimits,
    shutting_down: bool,
    now: Instant,
) -> ConnectionAction {
    let phase = state.phase();
    if shutting_down {
        return match phase {
            ConnectionPhase::Idle => ConnectionAction::Close,
            _ => ConnectionAction::RecheckAt(now + CHECK_WHILE_SHUTTING_DOWN),
        };
    }
    let phase_timeout = match phase {
        ConnectionPhase::ReadingHead => limits.header_timeout,
        ConnectionPhase::Idle | ConnectionPhase::Processing | ConnectionPhase::Writing => limits.idle_timeout,
    };
    let end = state.since() + phase_timeout;
    if end > now {
        // If a request head begins in the meantime, its header timeout may end before the current limit.
        return ConnectionAction::RecheckAt(end.min(now + limits.header_timeout));
    }
    match phase {
        // A request in flight is ended by its own deadline, not by this timer.
        ConnectionPhase::Processing => {
            ConnectionAction::RecheckAt(now + limits.header_timeout.min(limits.idle_timeout))
        }
        ConnectionPhase::Idle | ConnectionPhase::Writing => ConnectionAction::Close,
        ConnectionPhase::ReadingHead => ConnectionAction::HeadTimeout,
    }
}
