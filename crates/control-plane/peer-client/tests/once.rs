//! Nothing is sent a second time by itself, and no answer is taken for another call's.
use coppersail_peer_client::PeerClient;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a peer does with a call that it has read.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    Answer,
    /// One answer too many, at once with the right one.
    Twice,
    /// Answers, then closes the connection although it was to be kept.
    Drop,
    /// Closes without an answer.
    End,
    Reset,
    /// Answers nothing until the caller has given up, then all the same.
    Late,
    /// Closes in the middle of the answer.
    Cut,
}

/// In the place of a call's number, when its connection has ended.
const ENDED: u32 = 0;

/// A peer that deals with calls as told, one after the other, then answers all; each answer is the call's own number.
/// It hands out which call came on which of its connections.
fn peer(acts: Vec<Act>) -> (String, Receiver<(usize, u32)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (seen, calls) = channel();
    let acts = Arc::new(Mutex::new(acts.into_iter()));
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (acts, seen) = (acts.clone(), seen.clone());
            std::thread::spawn(move || {
                serve(connection, stream.unwrap(), &acts, &seen);
                let _ = seen.send((connection, ENDED));
            });
        }
    });
    (address, calls)
}

fn serve(
    connection: usize,
    mut stream: TcpStream,
    acts: &Mutex<std::vec::IntoIter<Act>>,
    seen: &Sender<(usize, u32)>,
) {
    while let Some((length, call)) = read(&stream) {
        let act = acts.lock().unwrap().next().unwrap_or(Act::Answer);
        seen.send((connection, call)).unwrap();
        if act == Act::Reset {
            // What is left unread makes a close a reset.
            return;
        }
        stream.read_exact(&mut vec![0; length]).unwrap();
        let text = call.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        let answer = answer.as_bytes();
        let (bytes, stays) = match act {
            Act::Twice => ([answer; 2].concat(), true),
            Act::Drop => (answer.to_vec(), false),
            Act::Cut => (answer[..answer.len() - 1].to_vec(), false),
            Act::End => (vec![], false),
            Act::Late => {
                let gone = stream.read(&mut [0]);
                assert!(!matches!(gone, Ok(1..)), "the next call came on the connection of a silent one");
                (answer.to_vec(), true)
            }
            Act::Answer | Act::Reset => (answer.to_vec(), true),
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
    use Act::*;
    for act in [Twice, Drop, End, Reset, Late, Cut] {
        // The second call goes on a kept connection, where a client might think that sending it again does no harm.
        let (address, calls) = peer(vec![Answer, act]);
        let caller = PeerClient::new(Duration::from_millis(300), Duration::from_millis(300));
        let call = |number: u32| caller.post::<u32, u32>(&address, "/follow", &number).ok();
        let answered = matches!(act, Twice | Drop).then_some(2);
        assert_eq!([call(1), call(2)], [Some(1), answered], "{act:?}");
        let mut seen: Vec<(usize, u32)> = calls.iter().take(2).collect();
        if act == Drop {
            // Else the closing may cross the next call.
            assert_eq!(calls.recv().unwrap(), (0, ENDED));
        }
        assert_eq!([call(3), call(4)], [Some(3), Some(4)], "{act:?}");
        seen.extend(calls.try_iter().filter(|(_, call)| *call != ENDED));
        assert_eq!(seen, [(0, 1), (0, 2), (1, 3), (1, 4)], "{act:?}");
    }
}

#[test]
fn a_peer_that_takes_the_connection_and_says_nothing_is_given_up_early_where_that_is_asked() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let caller = PeerClient::new(Duration::from_secs(5), Duration::from_secs(60));
    let begun = std::time::Instant::now();
    let address = silent.local_addr().unwrap().to_string();
    let said = caller.post_with_response_timeout::<_, u32>(&address, "/", &1, Duration::from_millis(50));
    assert!(said.is_err() && begun.elapsed() < Duration::from_secs(30));
}
