//! Tests of an edge with endpoints that fail in all ways that the gateway's protocol distinguishes.
mod bodies;
mod malformed_responses;
mod responses;
mod rollout;
mod sessions;
mod shutdown;
mod stand_ins;
mod watch;

use coppersail_peer_protocol::{EndpointState, Update};
use stand_ins::*;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

#[test]
fn only_hop_by_hop_headers_are_removed_from_a_request_and_its_response() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| {
            HostAction::Respond(response(
                head,
                "200 OK",
                "Server-Seal: s.1\r\nX-Own: 5\r\nKeep-Alive: timeout=5\r\n",
                "whole",
            ))
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        let message =
            "POST /once/x%20y?q=/../1 HTTP/1.1\r\nHost: A.example:80\r\nTry-Id: 77\r\nTime-Left-Ms: 5000\r\n\
            X-Mine: 1\r\nX-Hop: 2\r\nConnection: close, X-Hop\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
        let response = test_edge.send_raw(message.as_bytes()).await;
        assert_eq!((status(&response), response.ends_with("\r\n\r\nwhole")), (200, true), "{response}");
        assert_eq!(header(&response, "server-seal").as_deref(), Some("s.1"));
        assert_eq!(header(&response, "x-own").as_deref(), Some("5"));
        assert_eq!(header(&response, "keep-alive"), None);
        let received = host.requests.borrow()[0].clone();
        assert!(
            received.starts_with("POST /once/x%20y?q=/../1 HTTP/1.1\r\n")
                && received.ends_with("\r\n\r\nabcdefg")
        );
        assert_eq!(header(&received, "wanted-server").as_deref(), Some("i-1"));
        assert_eq!(header(&received, "host").as_deref(), Some("A.example:80"));
        assert_eq!(header(&received, "x-mine").as_deref(), Some("1"));
        assert_eq!((header(&received, "x-hop"), header(&received, "transfer-encoding")), (None, None));
        assert!((1..=5000).contains(&header(&received, "time-left-ms").unwrap().parse::<u32>().unwrap()));
        assert_eq!(status(&test_edge.get("/unknown/", "78").await), 404);
    });
}

#[test]
fn an_ambiguous_or_invalid_head_is_rejected_and_reaches_no_endpoint() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, ""))).await;
        let test_edge = start_edge(&[&host]).await;
        let inner = "GET /once/in HTTP/1.1\r\nHost: a.example\r\nTry-Id: 2\r\n\r\n";
        let hidden = format!("0\r\n\r\n{inner}");
        let length = hidden.len();
        for more in [
            format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"),
            format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"),
            format!("Transfer-Encoding: gzip, chunked\r\nContent-Length: {length}\r\n"),
            format!("Content-Length: 5\r\nContent-Length: {length}\r\n"),
            "Transfer-Encoding: gzip, chunked\r\n".into(),
            "Transfer-Encoding: chunked, identity\r\n".into(),
            "Content-Length: +5\r\n".into(),
            "Try-Id: 3\r\n".into(),
            "Host: b.example\r\n".into(),
            "Time-Left-Ms: soon\r\n".into(),
        ] {
            let response = test_edge.send_raw((request("/once/out", "1", &more) + &hidden).as_bytes()).await;
            assert_eq!(status(&response), 400, "{more}: {response}");
        }
        assert_eq!(host.request_count(), 0);
        // A second request that arrives together with the first one is rejected without being processed.
        let two = test_edge.send_raw((request("/once/out", "1", "") + inner).as_bytes()).await;
        assert!(two.starts_with("HTTP/1.1 200") && two.contains("HTTP/1.1 503"), "{two}");
        assert_eq!(host.request_count(), 1);
    });
}

#[test]
fn a_request_that_is_too_large_or_too_slow_is_rejected() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, ""))).await;
        let test_edge =
            start_edge_with(&[&host], EdgeOptions { header_timeout: "40ms", ..EdgeOptions::default() }).await;
        let long = format!("X-Long: {}\r\n", "y".repeat(9_000));
        assert_eq!(status(&test_edge.send_raw(request("/once/", "1", &long).as_bytes()).await), 431);
        assert_eq!(
            status(
                &test_edge.send_raw(request("/once/", "1", "Content-Length: 400001\r\n").as_bytes()).await
            ),
            413
        );
        assert_eq!(status(&test_edge.send_raw(b"GET /once/ HTTP/1.1\r\nHos").await), 408);
        assert_eq!(host.request_count(), 0);
    });
}

type Failure = fn(&str) -> HostAction;

/// The failures that may occur after a request was sent: a name, and the host's action for the request's
/// head.
const FAILURES: [(&str, Failure); 14] = [
    ("reset before the response", |_| HostAction::ResetConnection),
    ("closed before the response", |_| HostAction::RespondAndClose(vec![])),
    ("closed in the head", |_| HostAction::RespondAndClose(b"HTTP/1.1 200 OK\r\nTry-I".to_vec())),
    ("closed after the head", |head| {
        let mut bytes = sealed_response(head, "whole");
        bytes.truncate(bytes.len() - 5);
        HostAction::RespondAndClose(bytes)
    }),
    ("shorter than its length", |head| {
        let mut bytes = sealed_response(head, "whole");
        bytes.truncate(bytes.len() - 1);
        HostAction::RespondAndClose(bytes)
    }),
    ("truncated chunks", |head| {
        let id = header(head, "try-id").unwrap();
        let head =
            format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n");
        HostAction::RespondAndClose((head + "\r\n3\r\nabc\r\n").into_bytes())
    }),
    ("without any length", |head| {
        let id = header(head, "try-id").unwrap();
        HostAction::RespondAndClose(
            format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\n\r\nwhole").into_bytes(),
        )
    }),
    ("response to another request", |_| HostAction::Respond(sealed_response("Try-Id: another\r\n", "other"))),
    ("not an HTTP response", |_| HostAction::Respond(b"\x16\x03\x01 what is this\r\n\r\n".to_vec())),
    ("without a seal", |head| HostAction::Respond(response(head, "200 OK", "", "whole"))),
    ("encoded", |head| {
        HostAction::Respond(response(head, "200 OK", "Server-Seal: s\r\nContent-Encoding: gzip\r\n", "whole"))
    }),
    ("another protocol", |head| {
        let more = "Upgrade: other\r\nConnection: upgrade\r\nServer-Seal: s\r\n";
        HostAction::Respond(response(head, "101 Switching Protocols", more, ""))
    }),
    ("a success with a Not-Run header", |head| {
        HostAction::Respond(response(head, "200 OK", "Server-Seal: s\r\nNot-Run: 1\r\n", "whole"))
    }),
    ("a 503 without a Not-Run header", |head| HostAction::Respond(response(head, "503 Busy", "", ""))),
];

/// A non-idempotent request ends in 502; an idempotent one is retried.
#[test]
fn a_broken_response_is_not_passed_on_and_only_idempotent_requests_are_retried() {
    for (failure, respond) in FAILURES {
        run_test(|| async move {
            let failing = scripted_host("i-1", move |_, head| respond(head)).await;
            let test_edge = start_edge(&[&failing]).await;
            let response = test_edge.get("/once/", "1").await;
            assert_eq!((status(&response), failing.request_count()), (502, 1), "{failure}: {response}");
            let sound =
                scripted_host("i-2", |_, head| HostAction::Respond(sealed_response(head, "sound"))).await;
            test_edge.edge.apply_update(Update {
                endpoints: vec![sound.endpoint_update(EndpointState::Ready, 1)],
                ..Update::default()
            });
            for id in 0..4 {
                let answer = test_edge.get("/again/", &format!("r{id}")).await;
                assert!(answer.ends_with("\r\n\r\nsound"), "{failure}: {answer}");
            }
        });
    }
}

#[test]
fn a_truncated_streamed_response_is_never_passed_on_as_complete() {
    run_test(|| async {
        let long = "z".repeat(300_000);
        let whole = long.clone();
        let host = scripted_host("i-1", move |number, head| match number {
            0 => HostAction::Respond(sealed_response(head, &long)),
            1 => HostAction::RespondAndClose(response(
                head,
                "200 OK",
                "Server-Seal: s\r\nConnection: close\r\n",
                &long,
            )),
            _ => HostAction::RespondAndClose({
                let mut bytes = sealed_response(head, &long);
                bytes.truncate(290_000);
                bytes
            }),
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        for id in ["1", "2"] {
            assert!(test_edge.get("/once/", id).await.ends_with(&whole));
        }
        let truncated = test_edge.get("/once/", "3").await;
        let (head, body) = truncated.split_once("\r\n\r\n").unwrap();
        assert_eq!(header(head, "content-length").as_deref(), Some("300000"));
        assert!(body.len() < 300_000);
    });
}

#[test]
fn a_duplicate_response_on_a_connection_reaches_no_client() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| {
            let mut bytes = sealed_response(head, "first");
            bytes.extend(sealed_response(head, "second"));
            HostAction::Respond(bytes)
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        for id in ["1", "2", "3"] {
            let answer = test_edge.get("/once/", id).await;
            assert!(answer.ends_with("first"), "{answer}");
            assert_eq!(header(&answer, "try-id").as_deref(), Some(id));
        }
        assert_eq!(host.connections.get(), 3, "no connection is reused");
    });
}

#[test]
fn connections_to_an_endpoint_are_reused_until_it_drains() {
    run_test(|| async {
        let staying =
            scripted_host("i-2", |_, head| HostAction::Respond(sealed_response(head, "staying"))).await;
        let leaving =
            scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "leaving"))).await;
        let test_edge = start_edge(&[&leaving]).await;
        let mut client = test_edge.connect().await;
        for id in ["1", "2"] {
            client.write_all(request("/once/", id, "").as_bytes()).await.unwrap();
            assert!(read_message(&mut client).await.unwrap().ends_with("leaving"));
        }
        assert_eq!(leaving.connections.get(), 1);
        let endpoints = vec![
            leaving.endpoint_update(EndpointState::Draining, 2),
            staying.endpoint_update(EndpointState::Ready, 1),
        ];
        test_edge.edge.apply_update(Update { endpoints, ..Update::default() });
        leaving.wait_for_closed_connections(1).await;
        client.write_all(request("/once/", "3", "").as_bytes()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("staying"));
        assert_eq!(leaving.request_count(), 2);
    });
}

#[test]
fn a_rejected_request_is_sent_to_another_endpoint_or_rejected_with_retry_after() {
    run_test(|| async {
        let full = scripted_host("i-1", |_, head| {
            HostAction::Respond(response(head, "503 Full", "Not-Run: 1\r\nRetry-After: 0.25\r\n", ""))
        })
        .await;
        let test_edge = start_edge(&[&full]).await;
        let response = test_edge.get("/once/", "1").await;
        assert_eq!((status(&response), header(&response, "retry-after").as_deref()), (503, Some("0.250")));
        let sound = scripted_host("i-3", |_, head| HostAction::Respond(sealed_response(head, "sound"))).await;
        let moved = scripted_host("i-2", |_, head| {
            HostAction::Respond(stand_ins::response(
                head,
                "421 Other",
                "Not-Run: 1\r\nServer-Id: i-9\r\n",
                "",
            ))
        })
        .await;
        let endpoints = vec![
            sound.endpoint_update(EndpointState::Ready, 1),
            moved.endpoint_update(EndpointState::Ready, 1),
        ];
        test_edge.edge.apply_update(Update { endpoints, ..Update::default() });
        for id in 0..6 {
            assert!(test_edge.get("/once/", &format!("o{id}")).await.ends_with("sound"));
        }
        assert!(moved.request_count() <= 1, "an address that belongs to another endpoint is not tried again");
    });
}

#[test]
fn requests_succeed_when_one_endpoint_is_unreachable() {
    run_test(|| async {
        let sound = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "sound"))).await;
        let mut dead = sound.endpoint_update(EndpointState::Ready, 1);
        (dead.id, dead.address) = ("i-0".into(), "127.0.0.1:1".into());
        let test_edge = start_edge(&[&sound]).await;
        test_edge.edge.apply_update(Update { endpoints: vec![dead], ..Update::default() });
        for id in 0..6 {
            assert!(test_edge.get("/once/", &format!("o{id}")).await.ends_with("sound"));
        }
    });
}

#[test]
fn a_request_to_an_unresponsive_endpoint_ends_in_504_and_not_in_503() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, _| HostAction::RespondOnRelease(Rc::default())).await;
        let test_edge = start_edge(&[&host]).await;
        assert_eq!(status(&test_edge.get("/short/", "1").await), 504);
        assert_eq!(host.request_count(), 1);
    });
}

#[test]
fn the_request_of_a_disconnected_client_is_cancelled() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, _| HostAction::RespondOnRelease(Rc::default())).await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        host.wait_for_requests(1).await;
        drop(client);
        host.wait_for_closed_connections(1).await;
        assert_eq!(test_edge.edge.registry.borrow().endpoint("i-1").unwrap().load.in_flight, 0);
    });
}

#[test]
fn a_request_whose_key_has_no_owner_waits_for_one_and_is_then_rejected() {
    run_test(|| async {
        let mut endpoints = Vec::new();
        let old = scripted_host("i-1", |_, head| {
            HostAction::Respond(response(head, "421 Unheld", "Not-Run: 1\r\n", ""))
        })
        .await;
        let new = scripted_host("i-2", |_, head| HostAction::Respond(sealed_response(head, "held"))).await;
        for host in [&old, &new] {
            endpoints.push(coppersail_peer_protocol::EndpointUpdate {
                service: "parted".into(),
                ..host.endpoint_update(EndpointState::Ready, 1)
            });
        }
        let test_edge = start_edge(&[]).await;
        test_edge.edge.apply_update(Update { endpoints, ..Update::default() });
        let key = "Shard-Key: 20000\r\nConnection: close\r\n";
        let without_owner = test_edge.send_raw(request("/key/", "1", key).as_bytes()).await;
        assert_eq!(status(&without_owner), 503);
        assert!(header(&without_owner, "retry-after").is_some());
        test_edge.send_assignments(vec![(1, "i-1".into(), 1)]);
        let message = request("/key/", "2", key);
        let response = test_edge.send_raw(message.as_bytes());
        let moved = async {
            old.wait_for_requests(1).await;
            test_edge.send_assignments(vec![(1, "i-2".into(), 2)]);
        };
        let (answer, ()) = tokio::join!(response, moved);
        assert!(answer.ends_with("held"), "{answer}");
        assert_eq!(
            test_edge.edge.request_counter.take()[0].counts,
            [(1, 1)],
            "requests are counted when the slices are known"
        );
    });
}
