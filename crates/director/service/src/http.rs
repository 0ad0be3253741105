//! One request on a connection of its own, by hyper's connection-level client.

use crate::net::{dial, Task};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// How a request ended that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No connection came up.
    Unreachable,
    Broken,
    /// Something lives there, but its answer is none.
    Unreadable,
}

/// What a dial that failed says of the peer. The network resets connections of sound ones, too, often before they are
/// seen to be up; a process that died refuses them.
fn undialled(kind: ErrorKind) -> Failed {
    match kind {
        ErrorKind::ConnectionReset => Failed::Broken,
        _ => Failed::Unreachable,
    }
}

/// The answer's head; its body comes as long as the task that drives the connection is kept.
pub async fn get(
    address: SocketAddr,
    path: &str,
    connect_most: Duration,
) -> Result<(Response<Incoming>, Task), Failed> {
    let stream = dial(address, connect_most).await.map_err(|wrong| undialled(wrong.kind()))?;
    // Without it a request may wait for the peer's acknowledgement.
    stream.set_nodelay(true).map_err(|_| Failed::Broken)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Failed::Broken)?;
    let driver = Task::spawn(async move { drop(connection.await) });
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let answer = sender.send_request(request.map_err(|_| Failed::Broken)?).await;
    let failed = |wrong: hyper::Error| if wrong.is_parse() { Failed::Unreadable } else { Failed::Broken };
    Ok((answer.map_err(failed)?, driver))
}

#[cfg(test)]
mod tests;
