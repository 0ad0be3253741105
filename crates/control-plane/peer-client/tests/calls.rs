//! No call is sent twice, and no answer is taken for another call's.
use coppersail_peer_client::{PeerClient, PeerError};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a peer does with a call that it has received.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Answer,
    /// Sends a second answer together with the right one.
    AnswerTwice,
    /// Answers, then closes the connection although it was to be kept alive.
    AnswerAndClose,
    /// Closes without an answer.
    Close,
    Reset,
    /// Answers only after the caller has given up.
    AnswerLate,
    /// Closes in the middle of the answer.
    Truncate,
}

/// In the place of a call's number, when its connection has ended.
const ENDED: u32 = 0;

/// A peer that behaves as given, one call after the other, then answers all; each answer is the call's own number. It reports
/// which call came on which of its connections.
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
        let behaviour = behaviours.lock().unwrap().next().unwrap_or(Behaviour::Answer);
        seen.send((connection, call)).unwrap();
        if behaviour == Behaviour::Reset {
            // What is left unread makes a close a reset.
            return;
        }
        stream.read_exact(&mut vec![0; length]).unwrap();
        let text = call.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        let answer = answer.as_bytes();
        let (bytes, stays) = match behaviour {
            Behaviour::AnswerTwice => ([answer; 2].concat(), true),
            Behaviour::AnswerAndClose => (answer.to_vec(), false),
            Behaviour::Truncate => (answer[..answer.len() - 1].to_vec(), false),
            Behaviour::Close => (vec![], false),
            Behaviour::AnswerLate => {
                let gone = stream.read(&mut [0]);
                assert!(!matches!(gone, Ok(1..)), "the next call came on the connection of a silent one");
                (answer.to_vec(), true)
            }
            Behaviour::Answer | Behaviour::Reset => (answer.to_vec(), true),
        };
        if stream.write_all(&bytes).is_err() || !stays {
            return;
        }
    }
}

/// The length of the message that waits, and the call in it.
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
fn a_call_is_sent_once_whatever_becomes_of_its_answer() {
    use Behaviour::*;
    for behaviour in [AnswerTwice, AnswerAndClose, Close, Reset, AnswerLate, Truncate] {
        // The second call goes on a kept connection, where a client might think that sending it again does no harm.
        let (address, calls) = peer(vec![Answer, behaviour]);
        let client = PeerClient::new(Duration::from_millis(300), Duration::from_millis(300));
        let call = |number: u32| client.post::<u32, u32>(&address, "/follow", &number).ok();
        let answered = matches!(behaviour, AnswerTwice | AnswerAndClose).then_some(2);
        assert_eq!([call(1), call(2)], [Some(1), answered], "{behaviour:?}");
        let mut seen: Vec<(usize, u32)> = calls.iter().take(2).collect();
        if behaviour == AnswerAndClose {
            // Else the closing may cross the next call.
            assert_eq!(calls.recv().unwrap(), (0, ENDED));
        }
        assert_eq!([call(3), call(4)], [Some(3), Some(4)], "{behaviour:?}");
        seen.extend(calls.try_iter().filter(|(_, call)| *call != ENDED));
        assert_eq!(seen, [(0, 1), (0, 2), (1, 3), (1, 4)], "{behaviour:?}");
    }
}

#[test]
fn a_peer_that_accepts_and_does_not_answer_times_out_after_the_response_timeout() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = PeerClient::new(Duration::from_secs(5), Duration::from_secs(60));
    let begun = std::time::Instant::now();
    let address = silent.local_addr().unwrap().to_string();
    let answer = client.post_with_response_timeout::<_, u32>(&address, "/", &1, Duration::from_millis(50));
    assert!(matches!(answer, Err(PeerError::Timeout(_))), "{answer:?}");
    assert!(begun.elapsed() < Duration::from_secs(30));
}
