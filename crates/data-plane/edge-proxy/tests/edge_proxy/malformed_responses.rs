//! Responses that are not well-formed, or do not state unambiguously where the body ends, reach no client as an
//! answer; well-formed ones of every framing reach it whole.
use crate::stand_ins::*;
use coppersail_peer_protocol::{EndpointState, Update};
use coppersail_response_samples::{ending_with_connection, malformed, well_formed, RawResponse};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A body that the edge buffers, and one that it streams.
const BODY_LENGTHS: [usize; 2] = [26, 300_000];
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
/// How long a test waits until the edge has closed its connection to a host.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a host does after a response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AfterResponse {
    Close,
    /// Keeps the connection open until the edge closes it.
    Keep,
}

fn body_of(length: usize) -> String {
    "abcdefghijklmnopqrstuvwxyz".chars().cycle().take(length).collect()
}

/// The response to a request with this head, with the host's seal.
fn sealed(response: &RawResponse, request: &str) -> Vec<u8> {
    let id = header(request, "try-id").unwrap_or_default();
    response.to_bytes(&format!("Try-Id: {id}\r\nServer-Seal: 1a.2b\r\n"))
}

/// The same as a rejection: the host states that it did not process the request.
fn rejection(response: &RawResponse, request: &str) -> Vec<u8> {
    let status_line = response.status_line.replace("200 OK", "503 Full");
    let id = header(request, "try-id").unwrap_or_default();
    RawResponse { status_line, ..response.clone() }.to_bytes(&format!("Try-Id: {id}\r\nNot-Run: 1\r\n"))
}

fn beginning(answer: &str) -> String {
    answer.chars().take(60).collect()
}

type WriteResponse = fn(&RawResponse, &str) -> Vec<u8>;

/// What goes wrong when a host sends this response to requests of both kinds.
async fn faults_with(response: RawResponse, write: WriteResponse, after: AfterResponse) -> Vec<String> {
    let mut faults = Vec::new();
    let host = scripted_host("i-1", move |_, head| match after {
        AfterResponse::Close => HostAction::RespondAndClose(write(&response, head)),
        AfterResponse::Keep => HostAction::Respond(write(&response, head)),
    })
    .await;
    let test_edge = start_edge(&[&host]).await;
    // A request that may have run is not sent again.
    let answer = test_edge.get("/once/", "1").await;
    if (status(&answer), host.request_count()) != (502, 1) {
        faults.push(format!("{} requests, the client got {:?}", host.request_count(), beginning(&answer)));
    }
    let closed = host.wait_for_closed_connections(host.connections.get());
    if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        faults.push("the connection does not end".into());
    }
    if !faults.is_empty() {
        return faults;
    }
    // An idempotent request is answered by another host.
    let sound = scripted_host("i-2", |_, head| HostAction::Respond(sealed_response(head, "sound"))).await;
    let endpoints = vec![sound.endpoint_update(EndpointState::Ready, 1)];
    test_edge.edge.apply_update(Update { endpoints, ..Update::default() });
    for id in ["r1", "r2"] {
        let answer = test_edge.get("/again/", id).await;
        if !(status(&answer) == 200 && answer.ends_with("\r\n\r\nsound")) {
            faults.push(format!("after a retry the client got {:?}", beginning(&answer)));
        }
    }
    faults
}

/// Checks that no response reaches a client, whether its connection is closed or kept.
fn assert_not_passed_on(responses: Vec<RawResponse>, write: WriteResponse) {
    let faults: Rc<RefCell<Vec<String>>> = Rc::default();
    for response in responses {
        for after in [AfterResponse::Close, AfterResponse::Keep] {
            let (all_faults, case) = (faults.clone(), format!("{response}, {after:?}"));
            run_test(|| async {
                let faults = faults_with(response.clone(), write, after).await;
                all_faults.borrow_mut().extend(faults.into_iter().map(|fault| format!("{case}: {fault}")));
            });
        }
    }
    let faults = faults.take();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against issue 71: a host in trouble sent a head that was spoilt where it tells the length of the body, and
/// the client got a complete answer with a body that was not the host's.
#[test]
fn a_malformed_response_is_not_passed_on_and_its_connection_ends() {
    for length in BODY_LENGTHS {
        assert_not_passed_on(malformed(&body_of(length)), sealed);
    }
}

/// The connection to the host has carried a request before, and the client keeps its own.
#[test]
fn the_requests_before_and_after_a_malformed_response_get_their_own_responses() {
    for response in BODY_LENGTHS.into_iter().flat_map(|length| malformed(&body_of(length))) {
        run_test(|| async move {
            let case = response.to_string();
            let host = scripted_host("i-1", move |number, head| match number {
                1 => HostAction::Respond(sealed(&response, head)),
                _ => HostAction::Respond(sealed_response(head, &format!("response {number}"))),
            })
            .await;
            let test_edge = start_edge(&[&host]).await;
            let mut client = test_edge.connect().await;
            let mut answers = Vec::new();
            for id in ["1", "2", "3"] {
                client.write_all(request("/once/", id, "").as_bytes()).await.unwrap();
                answers.push(read_message(&mut client).await.expect("an answer"));
            }
            assert_eq!(
                [0, 1, 2].map(|index| status(&answers[index])),
                [200, 502, 200],
                "{case}: {answers:?}"
            );
            assert!(
                answers[0].ends_with("response 0") && answers[2].ends_with("response 2"),
                "{case}: {answers:?}"
            );
            assert_eq!((host.request_count(), host.connections.get()), (3, 2), "{case}");
        });
    }
}

#[test]
fn a_response_whose_body_ends_with_the_connection_is_not_passed_on() {
    for length in BODY_LENGTHS {
        assert_not_passed_on(ending_with_connection(&body_of(length)), sealed);
    }
}

/// A malformed rejection proves nothing, so that the request may have run.
#[test]
fn a_malformed_rejection_is_no_proof_that_the_request_did_not_run() {
    assert_not_passed_on(malformed(&body_of(BODY_LENGTHS[0])), rejection);
}

/// The body of a rejection is not used, so that it may end with the connection.
#[test]
fn a_well_formed_rejection_of_any_framing_allows_a_retry() {
    let body = body_of(BODY_LENGTHS[0]);
    let responses = well_formed(&body).into_iter().chain(ending_with_connection(&body));
    for response in responses.filter(|response| response.status_line.ends_with(" 200 OK")) {
        run_test(|| async move {
            let case = response.to_string();
            let write = move |_, head: &str| HostAction::RespondAndClose(rejection(&response, head));
            let host = scripted_host("i-1", write).await;
            let test_edge = start_edge(&[&host]).await;
            let answer = test_edge.get("/once/", "1").await;
            assert_eq!(status(&answer), 503, "{case}: {answer}");
            assert!(header(&answer, "retry-after").is_some(), "{case}: {answer}");
        });
    }
}

/// Chunks that are invalid or break off, in a body that is buffered and in one that is streamed.
#[test]
fn a_response_with_an_invalid_chunk_is_never_complete() {
    let last_chunks = [
        "zz\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc",
        "0\r\nno field at all\r\n\r\n",
        "3\r\nabcdef0\r\n\r\n",
    ];
    for (length, last_chunk) in
        BODY_LENGTHS.into_iter().flat_map(|length| last_chunks.map(|last| (length, last)))
    {
        run_test(|| async move {
            let mut response = RawResponse::chunked("HTTP/1.1 200 OK", CHUNKED, &body_of(length));
            response.body = response.body.replace("0\r\n\r\n", last_chunk);
            let host =
                scripted_host("i-1", move |_, head| HostAction::Respond(sealed(&response, head))).await;
            let test_edge = start_edge(&[&host]).await;
            let answer = test_edge.get("/once/", "1").await;
            // A streamed response has begun; it ends without the last chunk.
            let is_cut =
                length == BODY_LENGTHS[1] && status(&answer) == 200 && !answer.ends_with("0\r\n\r\n");
            assert!(status(&answer) == 502 || is_cut, "{length} {last_chunk:?}: {answer}");
            host.wait_for_closed_connections(1).await;
        });
    }
}

/// The body of an answer that the edge has framed by `Content-Length`, once, or by chunks.
fn received_body(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let lengths: Vec<usize> = fields
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.trim().parse().expect("one number"))
        .collect();
    if header(&format!("{head}\r\n"), "transfer-encoding").is_some() {
        assert!(lengths.is_empty(), "{head}");
        return body.split("\r\n").skip(1).step_by(2).collect();
    }
    assert_eq!(lengths, [body.len()], "{head}");
    body.into()
}

#[test]
fn a_well_formed_response_is_passed_on_whole() {
    for length in BODY_LENGTHS {
        let body = body_of(length);
        let mut responses = well_formed(&body);
        responses.extend(
            ["HTTP/1.1 299 Other", "HTTP/1.1 404 Not Found", "HTTP/1.1 599 Last"]
                .map(|status_line| RawResponse::plain(status_line, "Content-Length: {length}\r\n", &body)),
        );
        for response in responses {
            let (body, case) = (body.clone(), response.to_string());
            let expected = status(response.status_line.rsplit("\r\n").next().unwrap());
            run_test(|| async move {
                let host =
                    scripted_host("i-1", move |_, head| HostAction::Respond(sealed(&response, head))).await;
                let test_edge = start_edge(&[&host]).await;
                for id in ["1", "2"] {
                    let answer = test_edge.get("/once/", id).await;
                    assert_eq!(status(&answer), expected, "{case}: {answer}");
                    assert!(received_body(&answer) == body, "{case}: {answer}");
                }
            });
        }
    }
}

/// Responses without a body, on a connection that is kept: the method or the status says that there is none.
#[test]
fn a_well_formed_response_without_a_body_is_passed_on_and_its_connection_is_kept() {
    for (method, status_line, fields) in [
        ("GET", "HTTP/1.1 204 No Content", ""),
        ("GET", "HTTP/1.1 204 No Content", "Content-Length: 0\r\n"),
        ("GET", "HTTP/1.1 304 Not Modified", ""),
        ("GET", "HTTP/1.1 304 Not Modified", "Content-Length: 70\r\n"),
        ("GET", "HTTP/1.1 200 OK", "Content-Length: 0\r\n"),
        ("HEAD", "HTTP/1.1 200 OK", ""),
        ("HEAD", "HTTP/1.1 200 OK", "Content-Length: 70, 70\r\n"),
        ("HEAD", "HTTP/1.1 200 OK", CHUNKED),
    ] {
        run_test(|| async move {
            let response = RawResponse::plain(status_line, fields, "");
            let host =
                scripted_host("i-1", move |_, head| HostAction::Respond(sealed(&response, head))).await;
            let test_edge = start_edge(&[&host]).await;
            for id in ["1", "2", "3"] {
                let sent = request("/once/", id, "Connection: close\r\n").replacen("GET", method, 1);
                let answer = test_edge.send_raw(sent.as_bytes()).await;
                assert_eq!(status(&answer), status(status_line), "{status_line} {fields}: {answer}");
                assert!(answer.ends_with("\r\n\r\n"), "{status_line} {fields}: {answer}");
            }
            assert_eq!(
                (host.request_count(), host.connections.get()),
                (3, 1),
                "{method} {status_line} {fields}"
            );
        });
    }
}
