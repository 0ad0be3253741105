//! Responses that arrive late, twice or too early: none reaches another client or is taken for what it is not.
use crate::stand_ins::*;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, Update};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn a_late_response_reaches_no_other_client() {
    play(|| async {
        let host = host("i-1", |number, head| match number {
            // The connection could be reused, and is closed.
            0 => Act::End(good(head, "closed")),
            1 => Act::Send(good(head, "first")),
            // The response before comes once more, where this request's is due.
            2 => Act::Send([good("Try-Id: 1\r\n", "late"), good(head, "second")].concat()),
            3 => Act::Hold(Rc::default()),
            4 => Act::Send([b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), good(head, "fourth")].concat()),
            _ => unreachable!(),
        })
        .await;
        let rig = rig(&[&host]).await;
        let mut responses = Vec::new();
        for (path, id) in
            [("/once/", "0"), ("/once/", "1"), ("/once/", "2"), ("/short/", "3"), ("/once/", "4")]
        {
            let answer = rig.get(path, id).await;
            let body = answer.split_once("\r\n\r\n").unwrap().1;
            responses.push((status(&answer), body.to_string(), host.connections.get()));
        }
        let response = |status, body: &str, connection| (status, body.into(), connection);
        // No connection is reused on which something foreign arrived or a request timed out.
        let first = [response(200, "closed", 1), response(200, "first", 2), response(502, "", 2)];
        assert_eq!(responses, [&first[..], &[response(504, "", 3), response(200, "fourth", 4)]].concat());
        assert_eq!(host.count(), 5);
    });
}

/// An owner that is overloaded gets the request again, with the same id. If its rejection came twice on one connection,
/// the second one would be taken for the response to the second attempt, which is processed.
#[test]
fn a_request_is_sent_no_more_than_once_on_a_connection() {
    play(|| async {
        let host = bare("i-1", |number, mut stream, host| async move {
            let full = |head: &str| answer(head, "503 Full", "Not-Run: 1\r\n", "");
            let mut sent = 0;
            while let Some(head) = read_message(&mut stream).await {
                host.note(&head);
                let bytes = match (number, sent) {
                    (0, 0) => full(&head),
                    (0, _) => [full(&head), good(&head, "run")].concat(),
                    _ => good(&head, "run"),
                };
                stream.write_all(&bytes).await.unwrap();
                sent += 1;
            }
        })
        .await;
        let rig = rig(&[]).await;
        let sharded = EndpointUpdate { service: "parted".into(), ..host.news(EndpointState::Ready, 1) };
        rig.edge.apply_update(Update { endpoints: vec![sharded], ..Update::default() });
        rig.rows(vec![(1, "i-1".into(), 1)]);
        let message = request("/seat/", "1", "Shard-Key: 20000\r\nConnection: close\r\n");
        let answer = rig.raw(message.as_bytes()).await;
        assert!(status(&answer) == 200 && answer.ends_with("run"), "{answer}");
        assert_eq!((host.count(), host.connections.get()), (2, 2));
    });
}

#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    play(|| async {
        let host = bare("i-1", |number, mut stream, host| async move {
            if number == 0 {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte).await, Ok(1)) {
                    head.push(byte[0]);
                }
                let head = String::from_utf8(head).unwrap();
                stream.write_all(&good(&head, "too soon")).await.unwrap();
                let (mut rest, mut more) = (300_000, vec![0; 300_000]);
                while let Ok(count @ 1..) = stream.read(&mut more[..rest]).await {
                    rest -= count;
                }
                host.note(&head);
            }
            while let Some(head) = read_message(&mut stream).await {
                host.note(&head);
                stream.write_all(&good(&head, "in time")).await.unwrap();
            }
        })
        .await;
        let rig = rig(&[&host]).await;
        let mut client = rig.connect().await;
        let head = request("/once/", "1", "Content-Length: 300000\r\n");
        client.write_all(&[head.as_bytes(), &[7; 200_000]].concat()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("too soon"));
        let _ = client.write_all(&[7; 100_000]).await;
        host.read(1).await;
        assert!(rig.get("/once/", "2").await.ends_with("in time"));
        assert_eq!(host.connections.get(), 2);
    });
}
