//! The listener for client connections.
use crate::client_connection;
use crate::edge::Edge;
use crate::shutdown::Lifecycle;
use std::net::{AddrParseError, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Length of the listen backlog (connections). It is generous, because a full backlog delays a client by
/// seconds and a waiting connection costs almost nothing.
const BACKLOG: u32 = 1024;
/// File descriptors reserved for everything except client and endpoint connections, such as listeners.
const RESERVED_FILES: u64 = 200;
/// Delay after a failed accept. The usual cause is a lack of file descriptors, which other connections must
/// free first.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Why a listening socket could not be opened.
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
        // A connection over the limit is closed before anything is read from it, so the client can safely
        // reconnect to another edge.
        if (edge.open_connections.get() as u64) < connection_limit(&edge) {
            tokio::task::spawn_local(client_connection::serve(edge.clone(), stream, client.ip()));
        }
    }
}

/// Maximum number of client connections: half of the file descriptors. The other half is for connections to
/// endpoints.
fn connection_limit(edge: &Edge) -> u64 {
    edge.settings.borrow().open_files.saturating_sub(RESERVED_FILES) / 2
}
