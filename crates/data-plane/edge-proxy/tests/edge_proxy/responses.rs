//! Tests with responses that arrive late, twice or too early. None may reach another client or be taken for
//! the response to another request.
use crate::stand_ins::*;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, Update};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn a_late_response_reaches_no_other_client() {
    run_test(|| async {
        let host = scripted_host("i-1", |number, head| match number {
            // The response allows reuse of the connection, but the host closes it.
            0 => HostAction::RespondAndClose(sealed_response(head, "closed")),
            1 => HostAction::Respond(sealed_response(head, "first")),
            // The previous response arrives a second time, before the response to this request.
            2 => HostAction::Respond(
                [sealed_response("Try-Id: 1\r\n", "late"), sealed_response(head, "second")].concat(),
            ),
            3 => HostAction::RespondOnRelease(Rc::default()),
            4 => HostAction::Respond(
                [b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), sealed_response(head, "fourth")].concat(),
            ),
            _ => unreachable!(),
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        let mut responses = Vec::new();
        for (path, id) in
            [("/once/", "0"), ("/once/", "1"), ("/once/", "2"), ("/short/", "3"), ("/once/", "4")]
        {
            let answer = test_edge.get(path, id).await;
            let body = answer.split_once("\r\n\r\n").unwrap().1;
            responses.push((status(&answer), body.to_string(), host.connections.get()));
        }
        let response = |status, body: &str, connection| (status, body.into(), connection);
        // A connection is not reused after an unexpected response arrived or a request timed out on it.
        let first = [response(200, "closed", 1), response(200, "first", 2), response(502, "", 2)];
        assert_eq!(responses, [&first[..], &[response(504, "", 3), response(200, "fourth", 4)]].concat());
        assert_eq!(host.request_count(), 5);
    });
}

/// An overloaded owner gets the request again, with the same id. If both attempts used the same connection, a
/// duplicate of the first rejection would be taken for the response to the second attempt, although the
/// endpoint processes it.
#[test]
fn a_request_is_sent_at_most_once_on_each_connection() {
    run_test(|| async {
        let host = connection_host("i-1", |number, mut stream, host| async move {
            let full = |head: &str| response(head, "503 Full", "Not-Run: 1\r\n", "");
            let mut sent = 0;
            while let Some(head) = read_message(&mut stream).await {
                host.record_request(&head);
                let bytes = match (number, sent) {
                    (0, 0) => full(&head),
                    (0, _) => [full(&head), sealed_response(&head, "run")].concat(),
                    _ => sealed_response(&head, "run"),
                };
                stream.write_all(&bytes).await.unwrap();
                sent += 1;
            }
        })
        .await;
        let test_edge = start_edge(&[]).await;
        let sharded =
            EndpointUpdate { service: "parted".into(), ..host.endpoint_update(EndpointState::Ready, 1) };
        test_edge.edge.apply_update(Update { endpoints: vec![sharded], ..Update::default() });
        test_edge.send_assignments(vec![(1, "i-1".into(), 1)]);
        let message = request("/seat/", "1", "Shard-Key: 20000\r\nConnection: close\r\n");
        let response = test_edge.send_raw(message.as_bytes()).await;
        assert!(status(&response) == 200 && response.ends_with("run"), "{response}");
        assert_eq!((host.request_count(), host.connections.get()), (2, 2));
    });
}

#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    run_test(|| async {
        let host = connection_host("i-1", |number, mut stream, host| async move {
            if number == 0 {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte).await, Ok(1)) {
                    head.push(byte[0]);
                }
                let head = String::from_utf8(head).unwrap();
                stream.write_all(&sealed_response(&head, "too soon")).await.unwrap();
                let (mut rest, mut more) = (300_000, vec![0; 300_000]);
                while let Ok(count @ 1..) = stream.read(&mut more[..rest]).await {
                    rest -= count;
                }
                host.record_request(&head);
            }
            while let Some(head) = read_message(&mut stream).await {
                host.record_request(&head);
                stream.write_all(&sealed_response(&head, "in time")).await.unwrap();
            }
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        let head = request("/once/", "1", "Content-Length: 300000\r\n");
        client.write_all(&[head.as_bytes(), &[7; 200_000]].concat()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("too soon"));
        let _ = client.write_all(&[7; 100_000]).await;
        host.wait_for_requests(1).await;
        assert!(test_edge.get("/once/", "2").await.ends_with("in time"));
        assert_eq!(host.connections.get(), 2);
    });
}
