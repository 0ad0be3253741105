//! Writes responses, so that a client that does not read holds up no other.
use tiny_http::{Header, Request, Response};

/// What fits into a socket's buffer is written by the caller, in bytes; a longer response gets a thread of its own, as
/// a peer behind a network partition does not read.
const MAX_INLINE_BYTES: usize = 8 * 1024;

const WRITER_STACK_BYTES: usize = 128 * 1024;

const TEMPORARY_REDIRECT: u16 = 307;

/// Answers the request. The body of a redirect (307) is the URL of its `Location`.
pub(crate) fn respond(request: Request, status: u16, body: String) {
    if body.len() <= MAX_INLINE_BYTES {
        write(request, status, body);
        return;
    }
    let write_body = move || write(request, status, body);
    let _ = std::thread::Builder::new().stack_size(WRITER_STACK_BYTES).spawn(write_body);
}

fn write(request: Request, status: u16, body: String) {
    let (location, body) =
        if status == TEMPORARY_REDIRECT { (header("Location", &body), String::new()) } else { (None, body) };
    // Never chunked: every response has its Content-Length.
    let mut response =
        Response::from_string(body).with_status_code(status).with_chunked_threshold(usize::MAX);
    let content_type = header("Content-Type", "application/json");
    for header in location.into_iter().chain(content_type) {
        response.add_header(header);
    }
    // A client that has gone needs no response.
    let _ = request.respond(response);
}

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}
