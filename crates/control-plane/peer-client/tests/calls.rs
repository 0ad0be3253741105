//! No call is sent twice, and no response is taken for that of another call.
use coppersail_peer_client::{PeerClient, PeerError};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a peer does when it receives a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Respond,
    /// Sends a second response together with the right one.
    RespondTwice,
    /// Responds, then closes the connection, which the client expects to stay open.
    RespondAndClose,
    /// Closes the connection without a response.
    Close,
    Reset,
    /// Responds only after the caller's timeout.
    RespondLate,
    /// Closes the connection in the middle of the response.
    Truncate,
}

/// Reported in place of a call's number when a connection has ended.
const ENDED: u32 = 0;

/// A peer that handles each call by the next of the given behaviours, and responds to all calls after those.
/// Each response is the call's own number. The peer reports on which of its connections each call arrived.
fn peer(behaviours: Vec<Behaviour>) -> (String, Receiver<(usize, u32)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (seen, calls) = channel();
    let behaviours = Arc::new(Mutex::new(behaviours.into_iter()));
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (behaviours, seen) = (behaviours.clone(), seen.clone());
            std::thread::spawn(move || {
                serve(connection, stream.unwrap(), &behaviours, &seen);
                let _ = seen.send((connection, ENDED));
            });
        }
    });
    (address, calls)
}

fn serve(
    connection: usize,
    mut stream: TcpStream,
    behaviours: &Mutex<std::vec::IntoIter<Behaviour>>,
    seen: &Sender<(usize, u32)>,
) {
    while let Some((length, call)) = read(&stream) {
        let behaviour = behaviours.lock().unwrap().next().unwrap_or(Behaviour::Respond);
        seen.send((connection, call)).unwrap();
        if behaviour == Behaviour::Reset {
            // Closing a connection with unread input resets it.
            return;
        }
        stream.read_exact(&mut vec![0; length]).unwrap();
        let text = call.to_string();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        let response = response.as_bytes();
        let (bytes, stays_open) = match behaviour {
            Behaviour::RespondTwice => ([response; 2].concat(), true),
            Behaviour::RespondAndClose => (response.to_vec(), false),
            Behaviour::Truncate => (response[..response.len() - 1].to_vec(), false),
            Behaviour::Close => (vec![], false),
            Behaviour::RespondLate => {
                let end = stream.read(&mut [0]);
                assert!(
                    !matches!(end, Ok(1..)),
                    "the next call reused the connection of a call without a response"
                );
                (response.to_vec(), true)
            }
            Behaviour::Respond | Behaviour::Reset => (response.to_vec(), true),
        };
        if stream.write_all(&bytes).is_err() || !stays_open {
            return;
        }
    }
}

/// Waits for a complete request without consuming it. Returns its length in bytes, and the number of the call
/// in it.
fn read(stream: &TcpStream) -> Option<(usize, u32)> {
    let mut bytes = [0; 4096];
    loop {
        let count = stream.peek(&mut bytes).ok().filter(|count| *count > 0)?;
        let text = String::from_utf8_lossy(&bytes[..count]).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        if body.len() >= length.trim().parse().ok()? {
            return Some((count, body.parse().ok()?));
        }
    }
}

#[test]
fn a_call_is_sent_once_whatever_happens_to_its_response() {
    use Behaviour::*;
    for behaviour in [RespondTwice, RespondAndClose, Close, Reset, RespondLate, Truncate] {
        // The second call reuses a connection. HTTP clients often retry automatically when a reused
        // connection fails.
        let (address, calls) = peer(vec![Respond, behaviour]);
        let client = PeerClient::new(Duration::from_millis(300), Duration::from_millis(300));
        let call = |number: u32| client.post::<u32, u32>(&address, "/follow", &number).ok();
        let expected = matches!(behaviour, RespondTwice | RespondAndClose).then_some(2);
        assert_eq!([call(1), call(2)], [Some(1), expected], "{behaviour:?}");
        let mut seen: Vec<(usize, u32)> = calls.iter().take(2).collect();
        if behaviour == RespondAndClose {
            // Without this wait the next call might be sent before the client sees the close.
            assert_eq!(calls.recv().unwrap(), (0, ENDED));
        }
        assert_eq!([call(3), call(4)], [Some(3), Some(4)], "{behaviour:?}");
        seen.extend(calls.try_iter().filter(|(_, call)| *call != ENDED));
        assert_eq!(seen, [(0, 1), (0, 2), (1, 3), (1, 4)], "{behaviour:?}");
    }
}

#[test]
fn a_call_to_a_peer_that_accepts_and_does_not_respond_ends_after_the_response_timeout() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = PeerClient::new(Duration::from_secs(5), Duration::from_secs(60));
    let started_at = std::time::Instant::now();
    let address = silent.local_addr().unwrap().to_string();
    let result = client.post_with_response_timeout::<_, u32>(&address, "/", &1, Duration::from_millis(50));
    assert!(matches!(result, Err(PeerError::Timeout(_))), "{result:?}");
    assert!(started_at.elapsed() < Duration::from_secs(30));
}
