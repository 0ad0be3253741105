//! An HTTP server for stand-ins.

use super::shared_state::Shared;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io::{Error, ErrorKind};
use std::net::TcpListener;

pub(crate) type HttpResponse = Response<BoxBody<Bytes, Infallible>>;

/// Serves requests on a separate thread. If `respond` returns no response, the connection is closed.
pub(crate) fn spawn<S: Send + 'static>(
    listener: TcpListener,
    state: Shared<S>,
    respond: fn(String, &Shared<S>) -> Option<HttpResponse>,
) {
    std::thread::spawn(move || serve(listener, state, respond));
}

fn serve<S: Send + 'static>(
    listener: TcpListener,
    state: Shared<S>,
    respond: fn(String, &Shared<S>) -> Option<HttpResponse>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    listener.set_nonblocking(true).unwrap();
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            let state = state.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(request.uri().to_string(), &state);
                async move { response.ok_or(Error::from(ErrorKind::ConnectionReset)) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
}
