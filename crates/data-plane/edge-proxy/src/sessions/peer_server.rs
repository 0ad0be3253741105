//! The HTTP server for messages of peer edges and for queries of operators.
use super::clock::unix_millis;
use super::peer_links::{max_body_bytes, PeerPost, MESSAGES_PATH};
use super::service::Sessions;
use bytes::Bytes;
use coppersail_session_affinity::{Message, Output, SessionId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// HTTP path of the list of sessions, which is part of the wire format. A single session is at
/// `/sessions/{id}`.
const SESSIONS_PATH: &str = "/sessions";
/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub(super) async fn serve(sessions: Rc<Sessions>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(&sessions, stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

fn serve_connection(sessions: &Rc<Sessions>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let sessions = sessions.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let sessions = sessions.clone();
        async move { Ok::<_, Infallible>(respond(&sessions, request).await) }
    });
    spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
}

async fn respond(sessions: &Rc<Sessions>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, MESSAGES_PATH) => match receive(sessions, request).await {
            Some(replies) => json(&replies),
            None => empty(StatusCode::BAD_REQUEST),
        },
        (&Method::GET, SESSIONS_PATH) => json(&sessions.listing()),
        (&Method::GET, path) => {
            let id = path.strip_prefix(SESSIONS_PATH).and_then(|rest| rest.strip_prefix('/'));
            let id = id.and_then(|id| id.parse::<SessionId>().ok());
            match id.and_then(|id| sessions.node.borrow().view(unix_millis(), id)) {
                Some(view) => json(&view),
                None => empty(StatusCode::NOT_FOUND),
            }
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

/// Passes a peer's messages to the node. Replies to the sender are returned for the response, which saves a
/// post; all other outputs are carried out as usual. Returns `None` if the request is not a valid post of a
/// known peer.
async fn receive(sessions: &Rc<Sessions>, request: Request<Incoming>) -> Option<Vec<Message>> {
    let limit = max_body_bytes(&sessions.settings);
    let body = Limited::new(request.into_body(), limit).collect().await.ok()?;
    let PeerPost { from, msgs } = serde_json::from_slice::<PeerPost<Message>>(&body.to_bytes()).ok()?;
    sessions.peer_sets.address(from)?;
    let mut replies = vec![];
    for message in msgs {
        let outputs = sessions.node.borrow_mut().receive_message(unix_millis(), from, message);
        let mut other_outputs = vec![];
        for output in outputs {
            match output {
                Output::Send { to, msg } if to == from => replies.push(msg),
                other => other_outputs.push(other),
            }
        }
        sessions.carry_out(other_outputs);
    }
    Some(replies)
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
