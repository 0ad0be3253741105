//! Operators' commands on a Unix socket that only its owner may use: a few connections at a time, one request of each
//! under way.

use crate::framing::{Framed, Framer};
use crate::net::Task;
use crate::reducer::{ControlId, Event};
use coppersail_admin_socket::{encode, parse_request, Answer, MAX_LINE_BYTES};
use std::collections::BTreeMap;
use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{oneshot, Semaphore};

/// Operators at a time; each may have a line of the longest under way.
const CONNECTIONS_MOST: usize = 4;
/// One who says nothing makes room for others.
const SILENT_MOST: Duration = Duration::from_secs(60);
/// A history on a disk that stalls must not leave its operator waiting for ever.
const ANSWER_MOST: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Owed {
    next: u64,
    answers: BTreeMap<ControlId, oneshot::Sender<Answer>>,
}

/// The socket, and the answers that are owed. Dropping it removes the socket.
pub struct Control {
    path: PathBuf,
    owed: Arc<Mutex<Owed>>,
    _taking: Task,
}

fn owed(owed: &Mutex<Owed>) -> std::sync::MutexGuard<'_, Owed> {
    owed.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A socket that a killed director left is taken away, one that somebody listens at is not, nor anything else.
fn make_room(path: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(path) {
        Err(_) => Ok(()),
        Ok(found) if !found.file_type().is_socket() => {
            Err(io::Error::other("something that is no socket is there"))
        }
        Ok(_) if std::os::unix::net::UnixStream::connect(path).is_ok() => {
            Err(io::Error::other("another process listens there"))
        }
        Ok(_) => std::fs::remove_file(path),
    }
}

impl Control {
    pub fn bind(path: &str, events: Sender<Event>) -> io::Result<Self> {
        let path = PathBuf::from(path);
        make_room(&path)?;
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?;
        let owner = std::fs::metadata(&path)?.uid();
        let (owed, places) =
            (Arc::new(Mutex::new(Owed::default())), Arc::new(Semaphore::new(CONNECTIONS_MOST)));
        let shared = owed.clone();
        let taking = Task::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            loop {
                let Ok(place) = places.clone().acquire_owned().await else { return };
                while tasks.try_join_next().is_some() {}
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                // Between bind and the permissions anybody could have connected.
                let theirs = stream.peer_cred().is_ok_and(|peer| peer.uid() == owner || peer.uid() == 0);
                let (events, owed) = (events.clone(), shared.clone());
                if theirs {
                    tasks.spawn(async move {
                        let _ = talk(stream, events, owed).await;
                        drop(place);
                    });
                }
            }
        });
        Ok(Control { path, owed, _taking: taking })
    }

    pub fn answer(&self, who: ControlId, answer: Answer) {
        // Whoever asked may be gone.
        if let Some(waiting) = owed(&self.owed).answers.remove(&who) {
            let _ = waiting.send(answer);
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

async fn asked(bytes: &[u8], events: &Sender<Event>, all: &Mutex<Owed>) -> Answer {
    let request = match parse_request(bytes) {
        Ok(request) => request,
        Err(error) => return Answer::Unreadable { reason: error.to_string() },
    };
    let (sender, answer) = oneshot::channel();
    let who = {
        let mut owed = owed(all);
        owed.next += 1;
        let who = ControlId(owed.next);
        owed.answers.insert(who, sender);
        who
    };
    let sent = events.send(Event::Asked(who, Box::new(request))).await.is_ok();
    let answer = tokio::time::timeout(ANSWER_MOST, answer).await;
    owed(all).answers.remove(&who);
    match answer {
        Ok(Ok(answer)) if sent => answer,
        _ => Answer::Rejected { reason: "no answer in time; ask whether it was done".to_string() },
    }
}

async fn talk(mut stream: UnixStream, events: Sender<Event>, owed: Arc<Mutex<Owed>>) -> io::Result<()> {
    let (mut framer, mut piece) = (Framer::new(MAX_LINE_BYTES), vec![0; 1 << 13]);
    loop {
        let read = tokio::time::timeout(SILENT_MOST, stream.read(&mut piece)).await;
        let many = read.map_err(|_| crate::net::late())??;
        if many == 0 {
            return Ok(());
        }
        for framed in framer.take(&piece[..many]) {
            let (answer, last) = match framed {
                Framed::Line(bytes) => (asked(&bytes, &events, &owed).await, false),
                Framed::TooLong => (
                    Answer::Unreadable {
                        reason: format!("a request: expected at most {MAX_LINE_BYTES} bytes"),
                    },
                    true,
                ),
            };
            stream.write_all(&encode(&answer)).await?;
            if last {
                return Ok(());
            }
        }
    }
}
