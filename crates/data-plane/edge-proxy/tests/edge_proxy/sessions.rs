//! Three edges, one session, and a client that goes from one to the other.
use crate::stand_ins::*;
use coppersail_edge_proxy::sessions::{Listed, Sessions};
use slog::{o, Discard, Logger};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

struct Trio {
    edges: Vec<(Rig, Rc<Sessions>, String)>,
    /// Keys are in files, as for operators.
    _keys: Folder,
}

struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn trio(name: &str, hosts: &[&Host]) -> Trio {
    let folder = std::env::temp_dir().join(format!("sojourn-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let key = folder.join("one.key");
    std::fs::write(&key, [7; 32]).unwrap();
    let (mut listeners, mut sites) = (vec![], vec![]);
    for number in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        sites.push(format!("\"{number}\":\"{}\"", listener.local_addr().unwrap()));
        listeners.push(listener);
    }
    let file = format!(
        r#"{{"header":"Session","keys":["{}"],"services":["plain"],"sites":{{"1":{{{}}}}},"routes":[
            {{"domain":"a.example","pathStart":"/once/","confirms":true}},
            {{"domain":"a.example","pathStart":"/again/"}}]}}"#,
        key.display(),
        sites.join(",")
    );
    let mut edges = vec![];
    for listener in listeners {
        let (rig, address) = (rig(hosts).await, listener.local_addr().unwrap().to_string());
        let file = coppersail_config::SessionSettings::from_json(&file).unwrap();
        let sessions = Sessions::new(file, &address, true, Logger::root(Discard, o!())).unwrap();
        sessions.start(listener);
        rig.edge.sessions.set(sessions.clone()).ok().unwrap();
        edges.push((rig, sessions, address));
    }
    Trio { edges, _keys: Folder(folder) }
}

fn confirm(token: &str, key: &str, id: &str, body: &str) -> String {
    let session = if token.is_empty() { String::new() } else { format!("Session: {token}\r\n") };
    format!(
        "POST /once/table HTTP/1.1\r\nHost: a.example\r\nTry-Id: {id}\r\nTime-Left-Ms: 5000\r\nConnection: close\r\n\
         Idempotency-Key: {key}\r\n{session}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Trio {
    async fn ask(&self, at: usize, text: &str) -> String {
        self.edges[at].0.raw(text.as_bytes()).await
    }

    async fn token(&self) -> String {
        let answer = self.ask(0, &confirm("", "k", "1", "x")).await;
        assert_eq!(status(&answer), 428, "{answer}");
        header(&answer, "session").unwrap()
    }

    async fn see(&self, at: usize, path: &str) -> String {
        let mut stream = TcpStream::connect(&self.edges[at].2).await.unwrap();
        let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut all = String::new();
        stream.read_to_string(&mut all).await.unwrap();
        all
    }
}

#[test]
fn a_confirmation_runs_once_wherever_it_is_repeated() {
    play(|| async {
        let host = host("i-1", |_, head| {
            Act::Send(answer(head, "201 Created", "Server-Seal: s.1\r\nX-Own: 5\r\n", "table 4"))
        })
        .await;
        let trio = trio("once", &[&host]).await;
        let token = trio.token().await;
        assert_eq!(host.count(), 0, "without a session it is not sent");
        let first = trio.ask(0, &confirm(&token, "k-1", "11", "for two")).await;
        assert_eq!(status(&first), 201, "{first}");
        for (at, id) in [(1, "12"), (2, "13"), (0, "14"), (1, "15")] {
            let again = trio.ask(at, &confirm(&token, "k-1", id, "for two")).await;
            assert!(status(&again) == 201 && again.ends_with("\r\n\r\ntable 4"), "{again}");
            assert_eq!(header(&again, "try-id").as_deref(), Some(id));
            assert_eq!(header(&again, "server-seal").as_deref(), Some("s.1"));
            assert_eq!(header(&again, "idempotent-replayed").as_deref(), Some("true"));
        }
        assert_eq!(status(&trio.ask(2, &confirm(&token, "k-1", "16", "for ten")).await), 422);
        assert_eq!(status(&trio.ask(2, &confirm(&token, "", "17", "for two")).await), 400);
        let (rest, last) = token.split_at(token.len() - 1);
        let forged = format!("{rest}{}", if last == "A" { "B" } else { "A" });
        let refused = trio.ask(2, &confirm(&forged, "k-1", "18", "for two")).await;
        assert!(status(&refused) == 428 && header(&refused, "session").is_some_and(|new| new != token));
        assert_eq!(host.count(), 1);
        // People see the session, and neither its token nor its key.
        let listed = trio.see(1, "/sessions").await;
        let listed: Listed = serde_json::from_str(listed.split("\r\n\r\n").nth(1).unwrap()).unwrap();
        assert_eq!((listed.sessions.len(), listed.counts.repeats_answered), (1, 2));
        let shown = trio.see(2, &format!("/sessions/{}", listed.sessions[0])).await;
        assert!(shown.contains("ran, 201") && !shown.contains("k-1") && !shown.contains(&token), "{shown}");
    });
}

#[test]
fn what_is_under_way_or_unknown_is_told_and_not_sent_again() {
    play(|| async {
        let gate = Rc::new(Notify::new());
        let until = gate.clone();
        let host = host("i-1", move |number, _| match number {
            0 | 2 => Act::Hold(until.clone()),
            1 => Act::Reset,
            // Silence.
            _ => Act::Hold(Rc::default()),
        })
        .await;
        let trio = trio("held", &[&host]).await;
        let token = trio.token().await;
        let mut client = trio.edges[0].0.connect().await;
        client.write_all(confirm(&token, "k-1", "11", "a").as_bytes()).await.unwrap();
        host.read(1).await;
        let again = trio.ask(1, &confirm(&token, "k-1", "12", "a")).await;
        assert_eq!((status(&again), header(&again, "retry-after").is_some()), (409, true));
        gate.notify_one();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(status(&answer) == 200 && answer.ends_with("held"), "{answer}");
        assert_eq!(status(&trio.ask(1, &confirm(&token, "k-1", "13", "a")).await), 200);
        // The host resets: it may have run.
        assert_eq!(status(&trio.ask(2, &confirm(&token, "k-2", "14", "b")).await), 502);
        let again = trio.ask(0, &confirm(&token, "k-2", "15", "b")).await;
        assert_eq!((status(&again), header(&again, "session-outcome").as_deref()), (502, Some("unknown")));
        assert_eq!(host.count(), 2);
        // A client that breaks off: the sending goes on, and its repeat elsewhere gets the answer.
        let mut client = trio.edges[2].0.connect().await;
        client.write_all(confirm(&token, "k-3", "16", "c").as_bytes()).await.unwrap();
        host.read(3).await;
        drop(client);
        gate.notify_one();
        loop {
            let again = trio.ask(1, &confirm(&token, "k-3", "17", "c")).await;
            if status(&again) != 409 {
                assert!(status(&again) == 200 && again.ends_with("held"), "{again}");
                break;
            }
        }
        assert_eq!(host.count(), 3);
        // The host stays silent until the time is up: it may have run.
        let short = confirm(&token, "k-4", "18", "d").replace("5000", "150");
        assert_eq!(status(&trio.ask(0, &short).await), 504);
        let again = trio.ask(1, &confirm(&token, "k-4", "19", "d")).await;
        assert_eq!((status(&again), header(&again, "session-outcome").as_deref()), (502, Some("unknown")));
        assert_eq!(host.count(), 4);
    });
}

#[test]
fn lookups_wait_for_nothing_and_stay_with_their_host() {
    play(|| async {
        let one = host("i-1", |_, head| Act::Send(good(head, "one"))).await;
        let two = host("i-2", |_, head| Act::Send(good(head, "two"))).await;
        let trio = trio("stay", &[&one, &two]).await;
        let token = trio.token().await;
        let look = |at: usize, id: usize| {
            let more = format!("Connection: close\r\nSession: {token}\r\n");
            let text = request("/again/free", &id.to_string(), &more);
            let trio = &trio;
            async move { trio.ask(at, &text).await }
        };
        let first = look(0, 1).await;
        assert_eq!(status(&first), 200);
        for id in 2..10 {
            assert_eq!(look(0, id).await.lines().last(), first.lines().last());
        }
        // At the next edge the session is found by the first lookup, and used from then on.
        let mut id = 10;
        while trio.edges[1].1.listed().counts.crossings == 0 {
            assert_eq!(status(&look(1, id).await), 200);
            id += 1;
        }
        for id in 100..110 {
            assert_eq!(look(1, id).await.lines().last(), first.lines().last());
        }
    });
}

#[test]
fn a_crowd_that_crosses_at_one_moment_finds_its_answers() {
    play(|| async {
        let host = host("i-1", |_, head| Act::Send(good(head, "taken"))).await;
        let trio = Rc::new(trio("crowd", &[&host]).await);
        let crowd = |at: usize, tokens: Vec<String>| {
            let trio = trio.clone();
            async move {
                let ask = |token: String| {
                    let trio = trio.clone();
                    tokio::task::spawn_local(async move {
                        status(&trio.ask(at, &confirm(&token, "k", "7", "a")).await)
                    })
                };
                let all: Vec<_> = tokens.into_iter().map(ask).collect();
                let mut sound = 0;
                for one in all {
                    sound += usize::from(one.await.unwrap() == 200);
                }
                sound
            }
        };
        let mut tokens = vec![];
        for _ in 0..200 {
            tokens.push(trio.token().await);
        }
        // A few at a time, as hosts' connections are; then all at once at another edge.
        for few in tokens.chunks(10) {
            assert_eq!(crowd(0, few.to_vec()).await, few.len());
        }
        assert_eq!((crowd(1, tokens).await, host.count()), (200, 200));
        assert_eq!(trio.edges[1].1.listed().counts.crossings, 200);
    });
}

/// Figures for docs/sessions.md: `cargo test --release -p coppersail-edge-proxy --test transit figures -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn figures() {
    play(|| async {
        let host = host("i-1", |_, head| Act::Send(good(head, "one"))).await;
        let trio = trio("figures", &[&host]).await;
        let mut spans: Vec<(&str, Vec<u128>)> = vec![];
        let mut note = |name: &'static str, begun: std::time::Instant| {
            let took = begun.elapsed().as_micros();
            match spans.iter_mut().find(|(one, _)| *one == name) {
                Some((_, all)) => all.push(took),
                None => spans.push((name, vec![took])),
            }
        };
        let mut lines = vec![];
        for at in 0..2 {
            lines.push(trio.edges[at].0.connect().await);
        }
        let mut id = 0;
        for _ in 0..200 {
            let token = trio.token().await;
            for step in 0..8 {
                // Two requests at one edge, then two at the next one, and so on.
                let (at, moved) = (step / 2 % 2, step > 1 && step % 2 == 0);
                for (kind, name) in [
                    (0, "lookup without a session"),
                    (1, if moved { "lookup, crossing" } else { "lookup, outside" }),
                    (2, "confirmation, outside"),
                    (3, "repeat, outside"),
                ] {
                    id += 1;
                    let text = match kind {
                        0 => request("/again/free", &id.to_string(), ""),
                        1 => request("/again/free", &id.to_string(), &format!("Session: {token}\r\n")),
                        _ => confirm(&token, &format!("k{step}"), &id.to_string(), "a")
                            .replace("Connection: close\r\n", ""),
                    };
                    let begun = std::time::Instant::now();
                    lines[at].write_all(text.as_bytes()).await.unwrap();
                    let answer = read_message(&mut lines[at]).await.unwrap();
                    assert!([200, 409].contains(&status(&answer)), "{answer}");
                    note(name, begun);
                }
            }
            // A confirmation that crosses.
            id += 1;
            let text = confirm(&token, "last", &id.to_string(), "a").replace("Connection: close\r\n", "");
            let begun = std::time::Instant::now();
            lines[0].write_all(text.as_bytes()).await.unwrap();
            assert_eq!(status(&read_message(&mut lines[0]).await.unwrap()), 200);
            note("confirmation, crossing", begun);
        }
        for (name, mut all) in spans {
            all.sort_unstable();
            let part =
                |part: f64| all[((all.len() as f64 * part) as usize).min(all.len() - 1)] as f64 / 1000.0;
            println!("| {name} | {} | {:.2} | {:.2} | {:.2} |", all.len(), part(0.5), part(0.99), part(1.0));
        }
    });
}
