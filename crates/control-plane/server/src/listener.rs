//! Accepts HTTP requests on one address and parses them by the resource that they are for.
use crate::resources::{self, ParsedRequest, RequestError, Resource};
use crate::response_writer;
use std::error::Error;
use std::io;
use std::sync::Arc;
use tiny_http::{Method, Request};

/// Bodies up to this length, in bytes, have been read when a request is accepted; a longer one may be long in coming.
const MAX_BUFFERED_BODY_BYTES: usize = 1024;

const STACK_BYTES: usize = 512 * 1024;

/// Takes a request that was parsed, and owes the response to it.
pub(crate) type RequestHandler = Arc<dyn Fn(Request, ParsedRequest) + Send + Sync>;

/// The address can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error("{address}")]
pub struct BindError {
    /// IP address and port.
    pub address: String,
    source: Box<dyn Error + Send + Sync>,
}

/// Listens on one address.
pub(crate) struct Listener {
    server: tiny_http::Server,
    dispatcher: Arc<Dispatcher>,
}

impl Listener {
    pub(crate) fn bind(
        address: &str,
        resources: Vec<Box<dyn Resource>>,
        on_request: RequestHandler,
    ) -> Result<Listener, BindError> {
        let server = tiny_http::Server::http(address)
            .map_err(|source| BindError { address: address.to_string(), source })?;
        Ok(Listener { server, dispatcher: Arc::new(Dispatcher { resources, on_request }) })
    }

    /// Accepts requests on a thread of its own, for as long as the process runs.
    pub(crate) fn spawn(self) -> io::Result<()> {
        spawn_thread("listener", move || loop {
            let Ok(request) = self.server.recv() else { continue };
            self.accept(request);
        })
    }

    /// A request whose body is still to be received gets a thread of its own, so that it holds up no other.
    fn accept(&self, request: Request) {
        let is_short = request.body_length().is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES);
        if is_short || request.method() == &Method::Get {
            self.dispatcher.dispatch(request);
        } else {
            let dispatcher = self.dispatcher.clone();
            let _ = spawn_thread("request", move || dispatcher.dispatch(request));
        }
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run)?;
    Ok(())
}

struct Dispatcher {
    resources: Vec<Box<dyn Resource>>,
    on_request: RequestHandler,
}

impl Dispatcher {
    fn dispatch(&self, mut request: Request) {
        match self.parse(&mut request) {
            Ok(parsed) => (self.on_request)(request, parsed),
            Err(error) => response_writer::respond(request, error.status(), error.body()),
        }
    }

    fn parse(&self, request: &mut Request) -> Result<ParsedRequest, RequestError> {
        let body = resources::read_body(request);
        let path = request.url().split('?').next().unwrap_or("");
        let method = request.method();
        let (resource, parameter) = self
            .resources
            .iter()
            .find_map(|resource| resource.matches(method, path).map(|parameter| (resource, parameter)))
            .ok_or(RequestError::UnknownResource)?;
        resource.parse(method, parameter, body?)
    }
}
