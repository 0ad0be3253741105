//! Bodies of requests and responses of every method, framing and length reach their receiver unchanged.
use crate::stand_ins::*;
use std::cell::Cell;
use std::rc::Rc;

/// Up to this length (bytes) the edge buffers a body before it sends it on.
const MAX_BUFFERED: usize = 256 * 1024;
/// Lengths around the limit of buffering, and beyond it.
const LENGTHS: [usize; 6] = [0, 1, MAX_BUFFERED - 1, MAX_BUFFERED, MAX_BUFFERED + 1, 390_000];
const METHODS: [&str; 9] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PROPFIND"];
/// The size (bytes) of a chunk, which does not divide the limit of buffering.
const CHUNK: usize = 50_000;

#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    ChunksAndTrailers,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::ChunksAndTrailers];

/// A body in which no part equals another one at once.
fn body_of(length: usize) -> String {
    let mut body = String::with_capacity(length + 8);
    while body.len() < length {
        body.push_str(&format!("{:x} ", body.len()));
    }
    body.truncate(length);
    body
}

fn chunks(body: &str, trailers: &str) -> String {
    let mut framed = String::new();
    for chunk in body.as_bytes().chunks(CHUNK) {
        framed.push_str(&format!("{:x}\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).unwrap()));
    }
    framed + "0\r\n" + trailers + "\r\n"
}

/// Header fields for the framing, and the framed body.
fn framed(framing: Framing, body: &str) -> (String, String) {
    match framing {
        Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body.into()),
        Framing::Chunks => ("Transfer-Encoding: chunked\r\n".into(), chunks(body, "")),
        Framing::ChunksAndTrailers => {
            ("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n".into(), chunks(body, "X-Sum: 7\r\n"))
        }
    }
}

fn message(method: &str, path: &str, framing: Framing, body: &str) -> String {
    let (fields, framed_body) = framed(framing, body);
    request(path, "71", &format!("{fields}Connection: close\r\n")).replacen("GET", method, 1) + &framed_body
}

/// The body of a message as its receiver understands it: by length, by chunks, or none.
fn decoded_body(message: &str) -> String {
    let (head, mut rest) = message.split_once("\r\n\r\n").expect("a whole head");
    let head = format!("{head}\r\n");
    if header(&head, "transfer-encoding").is_none() {
        let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        assert_eq!(rest.len(), length, "bytes beyond the message");
        return rest.into();
    }
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n").expect("a chunk");
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
        if size == 0 {
            assert_eq!(rest, "", "bytes beyond the message");
            return body;
        }
    }
}

/// Guards against review case 8: a GET with over 256 KiB in chunks reached its endpoint without its body.
#[test]
fn a_request_body_reaches_the_endpoint_whatever_its_method_framing_and_length() {
    for method in METHODS {
        run_test(|| async move {
            let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, ""))).await;
            let test_edge = start_edge(&[&host]).await;
            for framing in FRAMINGS {
                for length in LENGTHS {
                    let body = body_of(length);
                    let sent = message(method, "/once/b", framing, &body);
                    let answer = test_edge.send_raw(sent.as_bytes()).await;
                    let case = format!("{method} {framing:?} {length}");
                    assert_eq!(status(&answer), 200, "{case}: {answer}");
                    let received = host.requests.borrow_mut().pop().expect("a request");
                    assert!(received.starts_with(&format!("{method} /once/b HTTP/1.1\r\n")), "{case}");
                    let received_body = decoded_body(&received);
                    assert!(received_body == body, "{case}: {} bytes are received", received_body.len());
                }
            }
        });
    }
}

#[test]
fn a_retried_request_has_its_whole_body_or_is_not_sent() {
    let cases = FRAMINGS.into_iter().flat_map(|framing| LENGTHS.map(|length| (framing, length)));
    for (framing, length) in cases {
        run_test(|| async move {
            for method in ["GET", "HEAD", "PUT"] {
                // The first attempt fails, whichever host it goes to.
                let attempts: Rc<Cell<usize>> = Rc::default();
                let script = || {
                    let attempts = attempts.clone();
                    move |_, head: &str| {
                        attempts.set(attempts.get() + 1);
                        match attempts.get() {
                            1 => HostAction::ResetConnection,
                            _ => HostAction::Respond(sealed_response(head, "")),
                        }
                    }
                };
                let hosts = [scripted_host("i-1", script()).await, scripted_host("i-2", script()).await];
                let test_edge = start_edge(&[&hosts[0], &hosts[1]]).await;
                let body = body_of(length);
                let sent = message(method, "/again/b", framing, &body);
                let answer = test_edge.send_raw(sent.as_bytes()).await;
                let received = hosts.iter().flat_map(|host| host.requests.borrow().clone());
                assert!(received.into_iter().all(|received| decoded_body(&received) == body));
                // The beginning of a body that is not buffered cannot be sent again.
                let expected = if length <= MAX_BUFFERED { (200, 2) } else { (502, 1) };
                assert_eq!((status(&answer), attempts.get()), expected, "{method} {framing:?} {length}");
            }
        });
    }
}

#[test]
fn a_response_body_reaches_the_client_whatever_its_framing_and_length() {
    for framing in FRAMINGS {
        for length in LENGTHS {
            run_test(|| async move {
                let body = body_of(length);
                let (fields, framed_body) = framed(framing, &body);
                let host = scripted_host("i-1", move |_, head| {
                    let id = header(head, "try-id").unwrap();
                    let head = format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: 1\r\n{fields}\r\n");
                    HostAction::Respond((head + &framed_body).into_bytes())
                })
                .await;
                let test_edge = start_edge(&[&host]).await;
                for method in ["GET", "POST", "DELETE"] {
                    let sent = message(method, "/once/b", Framing::Length, "");
                    let answer = test_edge.send_raw(sent.as_bytes()).await;
                    assert_eq!(status(&answer), 200, "{method} {framing:?} {length}");
                    assert!(decoded_body(&answer) == body, "{method} {framing:?} {length}");
                }
            });
        }
    }
}

/// A response to HEAD has the length that GET would get, and no body.
#[test]
fn a_response_to_head_is_told_with_its_length_and_the_connection_is_kept() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| {
            let id = header(head, "try-id").unwrap();
            let length = if head.starts_with("HEAD") { "300000" } else { "0" };
            HostAction::Respond(
                format!(
                    "HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: 1\r\nContent-Length: {length}\r\n\r\n"
                )
                .into_bytes(),
            )
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        for _ in 0..3 {
            let head = test_edge.send_raw(message("HEAD", "/once/b", Framing::Length, "").as_bytes()).await;
            assert_eq!(header(&head, "content-length").as_deref(), Some("300000"));
            assert!(head.ends_with("\r\n\r\n"), "{head}");
            let get = test_edge.send_raw(message("GET", "/once/b", Framing::Length, "").as_bytes()).await;
            assert_eq!((status(&get), decoded_body(&get)), (200, String::new()));
        }
        assert_eq!((host.request_count(), host.connections.get()), (6, 1));
    });
}
