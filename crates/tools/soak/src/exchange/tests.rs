//! Messages are read as they were framed, and a request that has changed is found.
use super::*;
use assert_matches::assert_matches;

fn get(path: &str) -> Request {
    Request { method: "GET".into(), path: path.into(), body: Vec::new() }
}

fn read_back(framing: Framing, body: &[u8]) -> Option<Vec<u8>> {
    let (field, framed) = frame(framing, body);
    let message = [b"PUT /1/ HTTP/1.1\r\n", field.as_bytes(), b"\r\n", &framed].concat();
    let mut reader = message.as_slice();
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head);
    assert!(reader.is_empty());
    body
}

#[test]
fn a_body_is_read_as_it_was_framed() {
    for length in [0, 1, MAX_CHUNK, MAX_CHUNK + 1, MAX_BODY] {
        let body = vec![7; length];
        for framing in [Framing::Length, Framing::Chunks] {
            assert!(read_back(framing, &body).is_some_and(|read| read == body), "{framing:?} {length}");
        }
    }
}

#[test]
fn a_request_with_another_method_path_or_body_is_found() {
    let sent = SentRequests::default();
    let request = Request { body: b"abc".to_vec(), ..get("/1/") };
    sent.insert("7", request.clone());
    assert_eq!(sent.difference("7", &request), None);
    for changed in [
        Request { body: Vec::new(), ..request.clone() },
        Request { body: b"abd".to_vec(), ..request.clone() },
        Request { method: "PUT".into(), ..request.clone() },
        Request { path: "/2/".into(), ..request.clone() },
    ] {
        assert_matches!(sent.difference("7", &changed), Some(_));
    }
    sent.remove("7");
    assert_eq!(sent.difference("7", &get("/2/")), None);
}
