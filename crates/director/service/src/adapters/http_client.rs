//! One HTTP request on a separate connection, with hyper's connection-level client.

use super::sockets;
use super::task::AbortOnDropTask;
use bytes::Bytes;
use coppersail_response_framing::ResponseHead;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a request has no response. The texts appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RequestError {
    /// No connection was established.
    #[error("unreachable")]
    Unreachable,
    /// The connection broke before the response arrived.
    #[error("broken")]
    Broken,
    /// The peer sent something that is not a well-formed HTTP response.
    #[error("unreadable")]
    Unreadable,
}

/// Classifies a failed connect. A reset counts as a broken connection, since the network also resets connections to
/// healthy peers, often while they are being established. If the peer's process has died, its machine refuses the
/// connection instead.
fn connect_error(kind: ErrorKind) -> RequestError {
    match kind {
        ErrorKind::ConnectionReset => RequestError::Broken,
        _ => RequestError::Unreachable,
    }
}

fn response_error(error: hyper::Error) -> RequestError {
    if error.is_parse() {
        RequestError::Unreadable
    } else {
        RequestError::Broken
    }
}

/// Sends a GET request and returns the response's head. The returned task drives the connection: the body can be read
/// only while it is kept.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
) -> Result<(Response<Incoming>, AbortOnDropTask), RequestError> {
    let connected = sockets::connect(address, connect_timeout).await;
    let stream = connected.map_err(|error| connect_error(error.kind()))?;
    // With Nagle's algorithm a request could be delayed until the peer acknowledges earlier data.
    stream.set_nodelay(true).map_err(|_| RequestError::Broken)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| RequestError::Broken)?;
    let driver = AbortOnDropTask::spawn(async move { drop(connection.await) });
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|_| RequestError::Broken)?;
    let response = sender.send_request(request).await.map_err(response_error)?;
    ResponseHead::from(&response).body_framing(&Method::GET).map_err(|_| RequestError::Unreadable)?;
    Ok((response, driver))
}

#[cfg(test)]
mod tests;
