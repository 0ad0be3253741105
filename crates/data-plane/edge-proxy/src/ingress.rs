//! The listener for clients.
use crate::client_connection;
use crate::edge::Edge;
use crate::shutdown::Lifecycle;
use std::net::{AddrParseError, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// A full queue costs a client seconds, and a connection that waits in it costs next to nothing.
const BACKLOG: u32 = 1024;
/// File descriptors that are no connections; listeners and the rest are few.
const RESERVED_FILES: u64 = 200;
/// Pause after a connection could not be accepted: as a rule descriptors are used up, and others must end first.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Why a listener could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListenError {
    #[error(transparent)]
    Address(#[from] AddrParseError),
    #[error(transparent)]
    Socket(#[from] std::io::Error),
}

/// Listens at "ip:port".
pub(crate) fn listen(address: &str) -> Result<TcpListener, ListenError> {
    let address: SocketAddr = address.parse()?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?)
}

/// Accepts connections until a shutdown closes the listener.
pub(crate) async fn accept(edge: Rc<Edge>, listener: TcpListener) {
    let mut lifecycle = edge.lifecycle.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = lifecycle.wait_for(|phase| *phase >= Lifecycle::Closing) => return,
        };
        let Ok((stream, client)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        // A connection over the limit is closed unread: it costs the client a new one elsewhere and nothing else.
        if (edge.open_connections.get() as u64) < connection_limit(&edge) {
            tokio::task::spawn_local(client_connection::serve(edge.clone(), stream, client.ip()));
        }
    }
}

/// Half of the file descriptors are for clients, the others for connections to endpoints.
fn connection_limit(edge: &Edge) -> u64 {
    edge.settings.borrow().open_files.saturating_sub(RESERVED_FILES) / 2
}
