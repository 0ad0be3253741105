//! Serves requests: one thread admits them, and one thread for each slot runs them.
use crate::backend::Backend;
use coppersail_stub_backend::{QueuedRequest, RequestHead, RequestOutcome};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use tiny_http::{Header, Request, Response, Server};

type RequestQueue = Mutex<mpsc::Receiver<(Request, QueuedRequest)>>;

/// Serves until the listener fails.
pub(crate) fn serve(backend: &Arc<Backend>, server: &Server, capacity: u32) {
    let (sender, receiver) = mpsc::channel();
    let queue = Arc::new(Mutex::new(receiver));
    for _ in 0..capacity {
        let (backend, queue) = (backend.clone(), queue.clone());
        std::thread::spawn(move || run_queued(&backend, &queue));
    }
    while let Ok(request) = server.recv() {
        let outcome = backend.endpoint().admit(backend.now(), &request_head(backend, &request));
        match outcome {
            // Without a receiver all slots have ended, and the client's connection is closed.
            RequestOutcome::Queued(queued) => drop(sender.send((request, queued))),
            outcome => respond(backend, request, &outcome, String::new()),
        }
    }
}

fn request_head<'a>(backend: &Backend, request: &'a Request) -> RequestHead<'a> {
    RequestHead {
        attempt_id: header(request, "Try-Id"),
        wanted_endpoint: header(request, "Wanted-Server"),
        key: header(request, "Shard-Key"),
        time_left_ms: header(request, "Time-Left-Ms"),
        is_health_check: request.url() == backend.health_check_path,
    }
}

/// One slot: runs queued requests one after the other until the queue is closed.
fn run_queued(backend: &Backend, queue: &RequestQueue) {
    loop {
        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((request, queued)) = next else { return };
        run_request(backend, request, queued);
    }
}

fn run_request(backend: &Backend, mut request: Request, queued: QueuedRequest) {
    let outcome = backend.endpoint().start(backend.now(), queued);
    let RequestOutcome::Running { id, until } = outcome else {
        return respond(backend, request, &outcome, String::new());
    };
    let mut body = Vec::new();
    let read = request.as_reader().read_to_end(&mut body);
    std::thread::sleep(until.saturating_sub(backend.now()));
    let outcome = backend.endpoint().finish(backend.now(), id);
    // A request that broke off gets no response.
    if read.is_ok() {
        let (method, url, length) = (request.method(), request.url(), body.len());
        let text = format!("{method} {url} with {length} bytes at {}\n", backend.id);
        respond(backend, request, &outcome, text);
    }
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.headers().iter().find(|header| header.field.equiv(name)).map(|header| header.value.as_str())
}

fn respond(backend: &Backend, request: Request, outcome: &RequestOutcome, body: String) {
    let (status, has_run) = match outcome {
        RequestOutcome::Rejected(status) => (*status, false),
        RequestOutcome::Completed(status) => (*status, true),
        RequestOutcome::Queued(_) | RequestOutcome::Running { .. } => return,
    };
    let mut response = Response::from_string(body).with_status_code(status);
    let mut add = |name: &str, value: &str| {
        // What a client sent as an id may be no valid header value; it is left out then.
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    };
    add("Server-Id", &backend.id);
    add("Server-Load", &backend.endpoint().load());
    if let Some(attempt_id) = header(&request, "Try-Id") {
        add("Try-Id", attempt_id);
        if has_run {
            add("Server-Seal", &format!("{}.{attempt_id}", backend.id));
        }
    }
    if !has_run {
        add("Not-Run", "1");
    }
    // The client may have gone.
    let _ = request.respond(response);
}
