//! Tests of three edges that share sessions, with a client that moves between them.
#[path = "session_edges.rs"]
mod session_edges;

use crate::stand_ins::*;
use coppersail_edge_proxy::sessions::SessionListing;
use session_edges::*;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

#[test]
fn a_confirmation_repeated_at_any_edge_runs_once_and_is_replayed() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| {
            HostAction::Respond(response(head, "201 Created", "Server-Seal: s.1\r\nX-Own: 5\r\n", "table 4"))
        })
        .await;
        let edges = three_edges("once", &[&host]).await;
        let token = edges.token().await;
        assert_eq!(host.request_count(), 0, "a confirmation without a session is not sent");
        let first = edges.send(0, &confirmation(&token, "k-1", "11", "for two")).await;
        assert_eq!(status(&first), 201, "{first}");
        for (edge, id) in [(1, "12"), (2, "13"), (0, "14"), (1, "15")] {
            let again = edges.send(edge, &confirmation(&token, "k-1", id, "for two")).await;
            assert!(status(&again) == 201 && again.ends_with("\r\n\r\ntable 4"), "{again}");
            assert_eq!(header(&again, "try-id").as_deref(), Some(id));
            assert_eq!(header(&again, "server-seal").as_deref(), Some("s.1"));
            assert_eq!(header(&again, "idempotent-replayed").as_deref(), Some("true"));
        }
        assert_eq!(status(&edges.send(2, &confirmation(&token, "k-1", "16", "for ten")).await), 422);
        assert_eq!(status(&edges.send(2, &confirmation(&token, "", "17", "for two")).await), 400);
        let (rest, last) = token.split_at(token.len() - 1);
        let forged = format!("{rest}{}", if last == "A" { "B" } else { "A" });
        let refused = edges.send(2, &confirmation(&forged, "k-1", "18", "for two")).await;
        assert!(status(&refused) == 428 && header(&refused, "session").is_some_and(|new| new != token));
        assert_eq!(host.request_count(), 1);
        // Operators see the session, but neither its token nor its idempotency key.
        let listed = edges.query(1, "/sessions").await;
        let listed: SessionListing = serde_json::from_str(listed.split("\r\n\r\n").nth(1).unwrap()).unwrap();
        assert_eq!((listed.sessions.len(), listed.counts.repeats_answered), (1, 2));
        let shown = edges.query(2, &format!("/sessions/{}", listed.sessions[0])).await;
        assert!(shown.contains("ran, 201") && !shown.contains("k-1") && !shown.contains(&token), "{shown}");
    });
}

#[test]
fn a_confirmation_in_flight_or_of_unknown_outcome_is_not_sent_again() {
    run_test(|| async {
        let gate = Rc::new(Notify::new());
        let release = gate.clone();
        let host = scripted_host("i-1", move |number, _| match number {
            0 | 2 => HostAction::RespondOnRelease(release.clone()),
            1 => HostAction::ResetConnection,
            // The host never responds.
            _ => HostAction::RespondOnRelease(Rc::default()),
        })
        .await;
        let edges = three_edges("unknown", &[&host]).await;
        let token = edges.token().await;
        let mut client = edges.edges[0].test_edge.connect().await;
        client.write_all(confirmation(&token, "k-1", "11", "a").as_bytes()).await.unwrap();
        host.wait_for_requests(1).await;
        let again = edges.send(1, &confirmation(&token, "k-1", "12", "a")).await;
        assert_eq!((status(&again), header(&again, "retry-after").is_some()), (409, true));
        gate.notify_one();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(status(&answer) == 200 && answer.ends_with("held"), "{answer}");
        assert_eq!(status(&edges.send(1, &confirmation(&token, "k-1", "13", "a")).await), 200);
        // The endpoint resets the connection: the request may have run.
        assert_eq!(status(&edges.send(2, &confirmation(&token, "k-2", "14", "b")).await), 502);
        let again = edges.send(0, &confirmation(&token, "k-2", "15", "b")).await;
        assert_eq!((status(&again), header(&again, "session-outcome").as_deref()), (502, Some("unknown")));
        assert_eq!(host.request_count(), 2);
        // The client disconnects: its request continues, and the repeat at another edge gets the response.
        let mut client = edges.edges[2].test_edge.connect().await;
        client.write_all(confirmation(&token, "k-3", "16", "c").as_bytes()).await.unwrap();
        host.wait_for_requests(3).await;
        drop(client);
        gate.notify_one();
        loop {
            let again = edges.send(1, &confirmation(&token, "k-3", "17", "c")).await;
            if status(&again) != 409 {
                assert!(status(&again) == 200 && again.ends_with("held"), "{again}");
                break;
            }
        }
        assert_eq!(host.request_count(), 3);
        // The endpoint does not respond before the deadline: the request may have run.
        let short = confirmation(&token, "k-4", "18", "d").replace("5000", "150");
        assert_eq!(status(&edges.send(0, &short).await), 504);
        let again = edges.send(1, &confirmation(&token, "k-4", "19", "d")).await;
        assert_eq!((status(&again), header(&again, "session-outcome").as_deref()), (502, Some("unknown")));
        assert_eq!(host.request_count(), 4);
    });
}

#[test]
fn lookups_keep_their_endpoint_when_the_session_moves_to_another_edge() {
    run_test(|| async {
        let one = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "one"))).await;
        let two = scripted_host("i-2", |_, head| HostAction::Respond(sealed_response(head, "two"))).await;
        let edges = three_edges("endpoint", &[&one, &two]).await;
        let token = edges.token().await;
        let lookup = |edge: usize, id: usize| {
            let headers = format!("Connection: close\r\nSession: {token}\r\n");
            let text = request("/again/free", &id.to_string(), &headers);
            let edges = &edges;
            async move { edges.send(edge, &text).await }
        };
        let first = lookup(0, 1).await;
        assert_eq!(status(&first), 200);
        for id in 2..10 {
            assert_eq!(lookup(0, id).await.lines().last(), first.lines().last());
        }
        // The first lookup at the next edge claims the session; later ones use its endpoint.
        let mut id = 10;
        while edges.edges[1].sessions.listing().counts.takeovers == 0 {
            assert_eq!(status(&lookup(1, id).await), 200);
            id += 1;
        }
        for id in 100..110 {
            assert_eq!(lookup(1, id).await.lines().last(), first.lines().last());
        }
    });
}

#[test]
fn many_sessions_that_move_to_another_edge_at_once_get_their_recorded_responses() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "taken"))).await;
        let edges = Rc::new(three_edges("many", &[&host]).await);
        let send_all = |edge: usize, tokens: Vec<String>| {
            let edges = edges.clone();
            async move {
                let send = |token: String| {
                    let edges = edges.clone();
                    tokio::task::spawn_local(async move {
                        status(&edges.send(edge, &confirmation(&token, "k", "7", "a")).await)
                    })
                };
                let tasks: Vec<_> = tokens.into_iter().map(send).collect();
                let mut succeeded = 0;
                for task in tasks {
                    succeeded += usize::from(task.await.unwrap() == 200);
                }
                succeeded
            }
        };
        let mut tokens = vec![];
        for _ in 0..200 {
            tokens.push(edges.token().await);
        }
        // A few at a time, because of the endpoint's connection limit; then all at once at another edge.
        for some in tokens.chunks(10) {
            assert_eq!(send_all(0, some.to_vec()).await, some.len());
        }
        assert_eq!((send_all(1, tokens).await, host.request_count()), (200, 200));
        assert_eq!(edges.edges[1].sessions.listing().counts.takeovers, 200);
    });
}

/// `examples/session_latency.rs` measures the same requests with more sessions.
#[test]
fn every_measured_request_is_answered_and_confirmations_run_once() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "one"))).await;
        let edges = three_edges("latency", &[&host]).await;
        let latencies = measure_session_latencies(&edges, 2).await;
        let counts: Vec<_> = latencies.0.iter().map(|series| (series.name, series.latencies.len())).collect();
        let expected = [
            ("lookup without a session", 16),
            ("lookup, outside", 10),
            ("confirmation, outside", 16),
            ("repeat, outside", 16),
            ("lookup, crossing", 6),
            ("confirmation, crossing", 2),
        ];
        assert_eq!(counts, expected);
        assert_eq!(host.request_count(), 32 + 18, "lookups and confirmations, but no repeats");
        let total = |counter: fn(&SessionListing) -> u64| -> u64 {
            edges.edges.iter().map(|edge| counter(&edge.sessions.listing())).sum()
        };
        assert_eq!(total(|listed| listed.counts.repeats_answered), 16);
        assert_eq!(
            total(|listed| listed.counts.takeovers),
            8,
            "each session moves to another edge four times"
        );
    });
}
