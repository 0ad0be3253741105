//! Operators' requests on a Unix socket that only its owner and root may use. It serves a few connections at a time,
//! each with one outstanding request.

use super::sockets::{timeout_error, ACCEPT_RETRY_DELAY};
use super::task::AbortOnDropTask;
use coppersail_admin_socket::{encode, parse_request, Answer, MAX_LINE_BYTES};
use coppersail_director::framing::{FramedLine, LineFramer};
use coppersail_director::reducer::{AdminRequestId, Event};
use std::collections::BTreeMap;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{oneshot, Semaphore};
use tokio::task::JoinSet;

/// Maximum number of connections; each may buffer a line of the maximum length.
const MAX_CONNECTIONS: usize = 4;
/// A connection on which nothing is received for this long is closed, to make room for others.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Limits how long an operator waits for the answer, for example while the change log's disk stalls.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 1 << 13;
/// Read and write permission for the owner only.
const SOCKET_MODE: u32 = 0o600;
const ROOT_UID: u32 = 0;

/// Requests that the reducer has not answered yet.
#[derive(Default)]
struct PendingRequests {
    last_id: u64,
    senders: BTreeMap<AdminRequestId, oneshot::Sender<Answer>>,
}

/// The outstanding requests of all connections.
#[derive(Clone, Default)]
struct SharedPendingRequests(Arc<Mutex<PendingRequests>>);

impl SharedPendingRequests {
    fn lock(&self) -> MutexGuard<'_, PendingRequests> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Registers a new request; its answer arrives at the returned receiver.
    fn add(&self) -> (AdminRequestId, oneshot::Receiver<Answer>) {
        let (sender, answer) = oneshot::channel();
        let mut pending = self.lock();
        pending.last_id += 1;
        let id = AdminRequestId(pending.last_id);
        pending.senders.insert(id, sender);
        (id, answer)
    }

    fn remove(&self, id: AdminRequestId) -> Option<oneshot::Sender<Answer>> {
        self.lock().senders.remove(&id)
    }
}

/// The socket and its outstanding requests. Dropping it removes the socket's file.
pub(crate) struct AdminSocket {
    path: PathBuf,
    pending: SharedPendingRequests,
    _accept_task: AbortOnDropTask,
}

impl AdminSocket {
    /// Binds the socket at `path`; requests are sent to `events`.
    pub(crate) fn bind(path: &str, events: Sender<Event>) -> io::Result<Self> {
        let path = PathBuf::from(path);
        remove_stale_socket(&path)?;
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, Permissions::from_mode(SOCKET_MODE))?;
        let owner = std::fs::metadata(&path)?.uid();
        let pending = SharedPendingRequests::default();
        let accept_task = AbortOnDropTask::spawn(accept(listener, owner, events, pending.clone()));
        Ok(AdminSocket { path, pending, _accept_task: accept_task })
    }

    /// Answers a request, unless it has timed out or its connection is closed.
    pub(crate) fn answer(&self, id: AdminRequestId, answer: Answer) {
        if let Some(sender) = self.pending.remove(id) {
            let _ = sender.send(answer);
        }
    }
}

impl Drop for AdminSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Removes a socket that a killed director left behind, but neither one on which a process listens nor any other
/// file.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    let Ok(found) = std::fs::symlink_metadata(path) else { return Ok(()) };
    if !found.file_type().is_socket() {
        return Err(io::Error::other("the path exists and is not a socket"));
    }
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(io::Error::other("another process is listening on it"));
    }
    std::fs::remove_file(path)
}

/// Accepts connections; their tasks are aborted when this one ends.
async fn accept(listener: UnixListener, owner: u32, events: Sender<Event>, pending: SharedPendingRequests) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut tasks = JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        while tasks.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Any user may have connected between the bind and the setting of the socket's permissions.
        let is_allowed = stream.peer_cred().is_ok_and(|peer| peer.uid() == owner || peer.uid() == ROOT_UID);
        if !is_allowed {
            continue;
        }
        let (events, pending) = (events.clone(), pending.clone());
        tasks.spawn(async move {
            let _ = serve_connection(stream, events, pending).await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    mut stream: UnixStream,
    events: Sender<Event>,
    pending: SharedPendingRequests,
) -> io::Result<()> {
    let mut framer = LineFramer::new(MAX_LINE_BYTES);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = tokio::time::timeout(IDLE_TIMEOUT, stream.read(&mut buffer)).await;
        let count = read.map_err(|_| timeout_error())??;
        if count == 0 {
            return Ok(());
        }
        for framed in framer.push(&buffer[..count]) {
            match framed {
                FramedLine::Line(bytes) => {
                    let answer = answer_to(&bytes, &events, &pending).await;
                    stream.write_all(&encode(&answer)).await?;
                }
                FramedLine::TooLong => {
                    let reason = format!("a request: expected at most {MAX_LINE_BYTES} bytes");
                    stream.write_all(&encode(&Answer::Unreadable { reason })).await?;
                    return Ok(());
                }
            }
        }
    }
}

/// Has the reducer answer the request in a line; returns its answer, or a refusal that says why there is none.
async fn answer_to(line: &[u8], events: &Sender<Event>, pending: &SharedPendingRequests) -> Answer {
    let request = match parse_request(line) {
        Ok(request) => request,
        Err(error) => return Answer::Unreadable { reason: error.to_string() },
    };
    let (id, answer) = pending.add();
    let is_sent = events.send(Event::AdminRequest(id, Box::new(request))).await.is_ok();
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    pending.remove(id);
    match answer {
        Ok(Ok(answer)) if is_sent => answer,
        _ => Answer::Rejected { reason: "no answer in time; ask whether it was done".to_string() },
    }
}
