//! Threads that act as an operator, a reader and the clients of edges, and tell the history what they see.
use crate::backend::{ID_HEADER, LONG_SERVICE, SERVICE};
use crate::history::History;
use crate::request_id::RequestId;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_PAUSE: Duration = Duration::from_millis(60);
const READ_PAUSE: Duration = Duration::from_millis(20);
const PROBE_PAUSE: Duration = Duration::from_millis(15);
const MAX_REDIRECTS: usize = 2;
/// A configuration routes the path of the first revision and those of so many others, its own the last: more than an edge may be
/// ahead of the one that it should have.
const ROUTED_REVISIONS: u64 = 200;
/// The path of long requests, which every configuration routes.
pub(crate) const LONG_PATH: &str = "/long/";
/// No configuration routes it.
const UNROUTED_PATH: &str = "/never/";

/// What the threads of a run share.
#[derive(Clone)]
pub(crate) struct Shared {
    started: Instant,
    history: Arc<Mutex<History>>,
    is_over: Arc<AtomicBool>,
}

impl Shared {
    /// Begins a run.
    pub(crate) fn start() -> Shared {
        Shared { started: Instant::now(), history: Arc::default(), is_over: Arc::default() }
    }

    /// The time since the start of the run.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// The time from the start of the run to a moment.
    pub(crate) fn time_of(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    /// The id of a request that is sent through an edge now.
    pub(crate) fn request_id(&self, edge: usize, random: &mut fastrand::Rng) -> RequestId {
        RequestId { edge, sent: self.elapsed(), nonce: random.u32(..) }
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the threads.
    pub(crate) fn finish(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

pub(crate) fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_global(Some(CALL_TIMEOUT))
        .build();
    config.into()
}

/// The configuration of a revision: its path and those of the ones before it lead to the endpoint.
pub(crate) fn configuration(revision: u64) -> Value {
    let first = revision.saturating_sub(ROUTED_REVISIONS - 1).max(2);
    let rows: Vec<Value> = std::iter::once(1)
        .chain(first..=revision)
        .map(|n| json!(["d.example", format!("/{n}/"), "repeatable", SERVICE]))
        .chain(std::iter::once(json!(["d.example", LONG_PATH, "repeatable", LONG_SERVICE])))
        .collect();
    json!({
        "revision": format!("r{revision}"),
        "routes": {"columns": ["domain", "pathStart", "sort", "backend"], "rows": rows},
        "backends": {"columns": ["name"], "rows": [[SERVICE], [LONG_SERVICE]]},
        "caps": {}
    })
}

/// A call of an operator, which follows redirects. `None`: no answer.
pub(crate) fn call(
    agent: &ureq::Agent,
    address: &str,
    path: &str,
    body: Option<&str>,
) -> Option<(u16, String)> {
    let mut url = format!("http://{address}{path}");
    for _ in 0..=MAX_REDIRECTS {
        let mut response = match body {
            Some(body) => agent.post(&url).send(body).ok()?,
            None => agent.get(&url).call().ok()?,
        };
        let status = response.status().as_u16();
        if status != 307 {
            return Some((status, response.body_mut().read_to_string().ok()?));
        }
        url = response.headers().get("location")?.to_str().ok()?.to_owned();
    }
    None
}

/// Sends one configuration after the other, each until it has a clear answer, and each acknowledged one again.
pub(crate) fn start_operator(shared: Shared, nodes: Vec<String>, seed: u64) -> JoinHandle<()> {
    spawn(move || {
        let (agent, mut random) = (agent(), fastrand::Rng::with_seed(seed));
        let mut revision = 0;
        while !shared.is_over() {
            revision += random.u64(1..4);
            send_order(&shared, &agent, &nodes, revision, &mut random);
            sleep(ORDER_PAUSE);
        }
    })
}

fn send_order(
    shared: &Shared,
    agent: &ureq::Agent,
    nodes: &[String],
    revision: u64,
    random: &mut fastrand::Rng,
) {
    let body = configuration(revision).to_string();
    let mut acknowledgements = 0;
    while acknowledgements < 2 && !shared.is_over() {
        let node = random.usize(0..nodes.len());
        match call(agent, &nodes[node], "/settings/replace", Some(&body)) {
            Some((200, _)) => {
                shared.history().acknowledge(revision, Instant::now());
                acknowledgements += 1;
            }
            Some((status @ 400..=499, _)) => return shared.history().refuse(revision, status),
            _ => sleep(ORDER_PAUSE),
        }
    }
}

/// Reads the configuration at any node, again and again.
pub(crate) fn start_reader(shared: Shared, nodes: Vec<String>, seed: u64) -> JoinHandle<()> {
    spawn(move || {
        let (agent, mut random) = (agent(), fastrand::Rng::with_seed(seed));
        while !shared.is_over() {
            let node = random.usize(0..nodes.len());
            read(&shared, &agent, node, &nodes[node]);
            sleep(READ_PAUSE);
        }
    })
}

/// Reads the configuration at a node; whether there was an answer.
fn read(shared: &Shared, agent: &ureq::Agent, node: usize, address: &str) -> bool {
    let acknowledged = shared.history().newest_acknowledged();
    let Some((200, body)) = call(agent, address, "/settings/read", None) else { return false };
    let document: Value = serde_json::from_str(&body).unwrap_or_default();
    let revision = document["revision"].as_str().and_then(|text| text[1..].parse().ok()).unwrap_or(0);
    shared.history().read(node, acknowledged, revision, document == configuration(revision));
    true
}

/// Whether each node lets the newest configuration be read until then; the index of the first that does not.
pub(crate) fn read_back(shared: &Shared, nodes: &[String], until: Instant) -> Option<usize> {
    let agent = agent();
    let is_read = |(node, address): &(usize, &String)| loop {
        if read(shared, &agent, *node, address) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        sleep(READ_PAUSE);
    };
    nodes.iter().enumerate().find(|node| !is_read(node)).map(|(node, _)| node)
}

/// Asks an edge for the paths of revisions, to see by which it serves.
pub(crate) fn start_client(shared: Shared, edge: usize, address: String) -> JoinHandle<()> {
    spawn(move || {
        let (agent, mut random) = (agent(), fastrand::Rng::new());
        while !shared.is_over() {
            probe_edge(&shared, &agent, edge, &address, &mut random);
            sleep(PROBE_PAUSE);
        }
    })
}

/// The revisions that tell most: the one that the edge should have, the one that it had, and the newest.
fn probe_edge(shared: &Shared, agent: &ureq::Agent, edge: usize, address: &str, random: &mut fastrand::Rng) {
    let revisions = {
        let history = shared.history();
        [history.newest_due(Instant::now()), history.highest_seen(edge), history.newest_acknowledged()]
    };
    for revision in revisions.into_iter().filter(|revision| *revision > 0) {
        let probe = shared.history().probe(edge, Instant::now());
        let id = shared.request_id(edge, random);
        match has_route(agent, address, id, revision) {
            Some(true) => shared.history().see_at_least(probe, revision),
            Some(false) => shared.history().see_below(probe, revision),
            None => return,
        }
    }
}

/// Whether the edge routes the path of this revision. `None`: no answer. An edge without the route answers 404, and one without a
/// configuration 503 to everything.
fn has_route(agent: &ureq::Agent, address: &str, id: RequestId, revision: u64) -> Option<bool> {
    let has_config = status_of(agent, address, id, UNROUTED_PATH)? == 404;
    Some(has_config && status_of(agent, address, id, &format!("/{revision}/"))? != 404)
}

fn status_of(agent: &ureq::Agent, address: &str, id: RequestId, path: &str) -> Option<u16> {
    let request = agent.get(format!("http://{address}{path}"));
    let request =
        request.header("Host", "d.example").header(ID_HEADER, id.to_string()).header("Time-Left-Ms", "500");
    request.call().ok().map(|response| response.status().as_u16())
}
