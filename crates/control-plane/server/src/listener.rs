//! The HTTP adapter: accepts connections on the addresses of a node, parses requests by the resource that
//! they are for, and writes the responses.
//!
//! One thread serves all connections, each as a task, so that none waits for another to end, even if many
//! come at once, as after a restart or a partition.
use crate::resources::{self, ParsedRequest, RequestError, Resource};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

/// The number of connections that may wait to be accepted: after a partition all edges and endpoints
/// reconnect at once.
const BACKLOG: u32 = 1024;
/// The delay after a connection could not be accepted. The usual reason is that file descriptors are used up,
/// so other connections have to end first.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// A connection that is idle for this time, or whose body takes this time, is closed: its client has gone or
/// can't be reached.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a shutdown checks whether all connections have ended.
const SHUTDOWN_CHECK: Duration = Duration::from_millis(5);
const STACK_BYTES: usize = 512 * 1024;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The response to a request.
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    /// JSON; with status 307 the URL to redirect to.
    pub(crate) body: String,
}

/// Takes the response to one request, from any thread.
pub(crate) type Responder = oneshot::Sender<HttpResponse>;

/// Handles a parsed request; it has to send the response.
pub(crate) type RequestHandler = Arc<dyn Fn(ParsedRequest, Responder) + Send + Sync>;

/// The address can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}")]
pub struct BindError {
    /// IP address and port.
    pub address: String,
    source: io::Error,
}

/// An address, and the resources that it serves.
pub(crate) struct Binding {
    pub(crate) address: String,
    pub(crate) resources: Vec<Box<dyn Resource>>,
}

/// The thread that serves all connections.
pub(crate) struct Listener {
    shutdown: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Listener {
    /// Stops accepting connections, and waits until the open ones have got their pending responses, for at
    /// most `limit`.
    pub(crate) fn shut_down(&self, limit: Duration) {
        self.shutdown.send_replace(true);
        let started_at = Instant::now();
        while !self.thread.is_finished() && started_at.elapsed() < limit {
            std::thread::sleep(SHUTDOWN_CHECK);
        }
    }
}

/// Starts a thread that listens on all addresses until it is shut down.
pub(crate) fn spawn(bindings: Vec<Binding>, on_request: RequestHandler) -> Result<Listener, SpawnError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (bound, is_bound) = sync_channel(1);
    let (shutdown, is_shut_down) = watch::channel(false);
    let serve =
        move || LocalSet::new().block_on(&runtime, listen(bindings, on_request, &bound, is_shut_down));
    let thread = std::thread::Builder::new().name("http".into()).stack_size(STACK_BYTES).spawn(serve)?;
    // The thread ends without sending a result only if it panics, which ends the process.
    is_bound.recv().unwrap_or(Ok(()))?;
    Ok(Listener { shutdown, thread })
}

/// Why a node can't listen.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SpawnError {
    #[error(transparent)]
    Bind(#[from] BindError),
    #[error(transparent)]
    Thread(#[from] io::Error),
}

async fn listen(
    bindings: Vec<Binding>,
    on_request: RequestHandler,
    bound: &SyncSender<Result<(), BindError>>,
    shutdown: watch::Receiver<bool>,
) {
    let mut listeners = Vec::new();
    for Binding { address, resources } in bindings {
        match bind(&address) {
            Ok(listener) => {
                let dispatcher = Dispatcher { resources, on_request: on_request.clone() };
                listeners.push((listener, Rc::new(dispatcher)));
            }
            Err(source) => {
                let _ = bound.send(Err(BindError { address, source }));
                return;
            }
        }
    }
    let _ = bound.send(Ok(()));
    let accepting: Vec<_> = listeners
        .into_iter()
        .map(|(listener, dispatcher)| spawn_local(accept(listener, dispatcher, shutdown.clone())))
        .collect();
    for task in accepting {
        let _ = task.await;
    }
}

fn bind(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until a shutdown, and returns when all of them have ended.
async fn accept(listener: TcpListener, dispatcher: Rc<Dispatcher>, mut shutdown: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(serve_connection(stream, dispatcher.clone(), shutdown.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            Some(_) = connections.join_next() => {}
            _ = wait_for_shutdown(&mut shutdown) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for a shutdown; a dropped sender counts as one.
async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|is_shut_down| *is_shut_down).await;
}

/// Serves requests until the client disconnects, or until a shutdown; a request that is then in progress is
/// still answered.
async fn serve_connection(
    stream: TcpStream,
    dispatcher: Rc<Dispatcher>,
    mut shutdown: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let dispatcher = dispatcher.clone();
        async move { Ok::<_, Infallible>(to_http(dispatcher.respond(request).await)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // An error means that the client has disconnected, so it needs no response.
    tokio::select! {
        _ = &mut connection => return,
        _ = wait_for_shutdown(&mut shutdown) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

struct Dispatcher {
    resources: Vec<Box<dyn Resource>>,
    on_request: RequestHandler,
}

impl Dispatcher {
    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        let parsed = match self.parse(request).await {
            Ok(parsed) => parsed,
            Err(error) => return HttpResponse { status: error.status(), body: error.body() },
        };
        let (responder, response) = oneshot::channel();
        (self.on_request)(parsed, responder);
        // The node answers every request that it accepts, at its deadline at the latest.
        response.await.unwrap_or(HttpResponse { status: 503, body: String::new() })
    }

    async fn parse(&self, request: Request<Incoming>) -> Result<ParsedRequest, RequestError> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await;
        let (method, path) = (&head.method, head.uri.path());
        let (resource, parameter) = self
            .resources
            .iter()
            .find_map(|resource| resource.matches(method, path).map(|parameter| (resource, parameter)))
            .ok_or(RequestError::UnknownResource)?;
        resource.parse(method, parameter, body?)
    }
}

/// Reads the whole body. A body that ends early is an error.
async fn read_body(body: Incoming) -> Result<String, RequestError> {
    let collected = timeout(IDLE_TIMEOUT, Limited::new(body, resources::MAX_BODY_BYTES).collect()).await;
    let body = collected.ok().and_then(Result::ok).ok_or(RequestError::IncompleteBody)?;
    String::from_utf8(body.to_bytes().into()).map_err(|_| RequestError::IncompleteBody)
}

fn to_http(response: HttpResponse) -> Response<Full<Bytes>> {
    let HttpResponse { status, body } = response;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let is_redirect = status == StatusCode::TEMPORARY_REDIRECT;
    let location = HeaderValue::try_from(body.as_str()).ok().filter(|_| is_redirect);
    let mut http = Response::new(Full::from(if is_redirect { String::new() } else { body }));
    *http.status_mut() = status;
    http.headers_mut().insert(CONTENT_TYPE, JSON);
    if let Some(location) = location {
        http.headers_mut().insert(LOCATION, location);
    }
    http
}
