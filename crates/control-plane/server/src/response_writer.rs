//! Writes answers, so that nobody who does not read holds up the others.
use tiny_http::{Header, Request, Response};

/// What fits into a socket's buffer is written where it stands; a longer answer gets a thread of its own, as a peer
/// behind a cut does not read.
const AT_ONCE: usize = 8 * 1024;

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

pub fn respond(request: Request, status: u16, text: String) {
    let long = text.len() > AT_ONCE;
    let write = move || {
        let location = (status == 307).then(|| header("Location", &text)).flatten();
        let body = if status == 307 { String::new() } else { text };
        let mut response =
            Response::from_string(body).with_status_code(status).with_chunked_threshold(usize::MAX);
        let json = header("Content-Type", "application/json");
        location.into_iter().chain(json).for_each(|h| response.add_header(h));
        // Who has gone needs no answer.
        let _ = request.respond(response);
    };
    if long {
        let _ = std::thread::Builder::new().stack_size(128 * 1024).spawn(write);
    } else {
        write();
    }
}
