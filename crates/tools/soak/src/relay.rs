//! A TCP relay in front of a node's port for edges and other nodes, which cuts, slows, or loses answers.
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How often a connection looks whether the mode has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 4096;
/// The pause after each buffer of a slow link: some 80 KB/s for each connection.
const SLOW_PAUSE: Duration = Duration::from_millis(50);

/// What a relay does to the bytes of all its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Open,
    /// Nothing passes; connections stay, as behind a partition.
    Cut,
    /// Requests pass, and their answers are dropped.
    LosesAnswers,
    Slow,
}

impl LinkMode {
    fn from_number(number: u8) -> LinkMode {
        match number {
            0 => LinkMode::Open,
            1 => LinkMode::Cut,
            2 => LinkMode::LosesAnswers,
            _ => LinkMode::Slow,
        }
    }
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// The mode of a relay, shared with its threads.
#[derive(Clone, Default)]
pub(crate) struct Link(Arc<AtomicU8>);

impl Link {
    pub(crate) fn set(&self, mode: LinkMode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> LinkMode {
        LinkMode::from_number(self.0.load(Ordering::Relaxed))
    }
}

/// Relays connections at `from` to `to` ("ip:port" both), until the process ends.
pub(crate) fn start(from: &str, to: String) -> io::Result<Link> {
    let listener = TcpListener::bind(from)?;
    let link = Link::default();
    let shared = link.clone();
    spawn(move || {
        for client in listener.incoming().flatten() {
            let (link, to) = (shared.clone(), to.clone());
            spawn(move || relay(client, &to, &link));
        }
    });
    Ok(link)
}

fn relay(client: TcpStream, to: &str, link: &Link) -> Option<()> {
    while link.mode() == LinkMode::Cut {
        sleep(CHECK_INTERVAL);
    }
    let server = TcpStream::connect(to).ok()?;
    let (client_copy, server_copy, link_copy) =
        (client.try_clone().ok()?, server.try_clone().ok()?, link.clone());
    spawn(move || copy(client_copy, server_copy, &link_copy, Direction::Request));
    copy(server, client, link, Direction::Answer);
    Some(())
}

/// Copies until either side ends, and then ends both.
fn copy(mut from: TcpStream, mut to: TcpStream, link: &Link, direction: Direction) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        while link.mode() == LinkMode::Cut {
            sleep(CHECK_INTERVAL);
        }
        let mode = link.mode();
        if mode == LinkMode::LosesAnswers && direction == Direction::Answer {
            break;
        }
        if mode == LinkMode::Slow {
            sleep(SLOW_PAUSE);
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
