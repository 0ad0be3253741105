//! Carries out calls to other centres: a thread with one kept connection for each peer and kind of call, so that a held
//! poll or a long snapshot holds up nothing else.
use crate::node::{PeerRequest, PeerResponse};
use crate::state::peer_address;
use coppersail_consensus::{Id, Ms, OperationId, Request};
use coppersail_peer_client::PeerClient;
use std::collections::BTreeMap;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Takes what came of a call.
pub type Told = Arc<dyn Fn(OperationId, Option<PeerResponse>) + Send + Sync>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Polls,
    Witnesses,
    Copies,
}

struct Job {
    token: OperationId,
    call: PeerRequest,
    wait: Ms,
    since: Instant,
}

pub struct PeerRpcWorkers {
    port: u16,
    lanes: Mutex<BTreeMap<(Id, Kind), Sender<Job>>>,
}

impl PeerRpcWorkers {
    pub fn new(port: u16) -> PeerRpcWorkers {
        PeerRpcWorkers { port, lanes: Mutex::default() }
    }

    pub fn send(&self, token: OperationId, to: Id, call: PeerRequest, wait: Ms, told: &Told) {
        let kind = match &call {
            PeerRequest::Watch(_) => Kind::Polls,
            PeerRequest::Consensus(Request::Voter(_)) => Kind::Witnesses,
            PeerRequest::Consensus(Request::ReplicaWrite(_)) => Kind::Copies,
        };
        let job = Job { token, call, wait, since: Instant::now() };
        let mut lanes = self.lanes.lock().unwrap_or_else(|e| e.into_inner());
        let lane = lanes.entry((to.clone(), kind)).or_insert_with(|| {
            let ((jobs, todo), told) = (channel(), told.clone());
            let address = peer_address(&to, self.port);
            let thread = std::thread::Builder::new().name("lane".into()).stack_size(256 * 1024);
            // Without a thread the sender's other end is gone, and the call has failed.
            let _ = thread.spawn(move || run(&address, &todo, &told));
            jobs
        });
        if let Err(failed) = lane.send(job) {
            lanes.remove(&(to, kind));
            drop(lanes);
            told(failed.0.token, None);
        }
    }
}

fn run(address: &str, todo: &Receiver<Job>, told: &Told) {
    let mut caller: Option<(Ms, PeerClient)> = None;
    while let Ok(job) = todo.recv() {
        let wait = Duration::from_millis(job.wait);
        // What has waited behind another call for as long as it may take is not sent any more.
        if job.since.elapsed() >= wait {
            told(job.token, None);
            continue;
        }
        if caller.as_ref().is_none_or(|(for_wait, _)| *for_wait != job.wait) {
            caller = Some((job.wait, PeerClient::new(wait / 2, wait)));
        }
        let Some((_, to)) = &caller else { continue };
        let say = match &job.call {
            PeerRequest::Watch(follow) => {
                to.post(address, "/follow", follow).map(|n| PeerResponse::Update(Box::new(n)))
            }
            PeerRequest::Consensus(call) => to.post(address, "/core", call).map(PeerResponse::Consensus),
        };
        told(job.token, say.ok());
    }
}
