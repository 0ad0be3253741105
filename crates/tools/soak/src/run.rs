//! One run: start, a time of faults, a time of calm, and the last checks.
use crate::backend::{Requests, LONG_SERVICE, SERVICE};
use crate::clients;
use crate::cluster::{Cluster, Network};
use crate::endpoints::{self, RestartNotices, Slot, Surroundings};
use crate::faults::{FaultSchedule, FaultStep};
use crate::history::{Violation, APPLY, CONTACT};
use crate::observers::{read_back, start_client, start_operator, start_reader, Shared};
use eyre::ensure;
use std::fmt;
use std::path::Path;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(20);
/// Within this of their start the processes serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Faults come in bursts, and between two of them it is calm for long enough that the guarantees about time hold again.
const BURST: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(6);

/// Endpoints of each service that stay for the whole run, and places in which one endpoint after the other leaves.
const LASTING_ENDPOINTS: usize = 2;
const LEAVING_ENDPOINTS: usize = 12;
/// The number of nodes by seed, in turn.
const NODE_COUNTS: [usize; 3] = [3, 2, 4];
/// How many clients of each edge keep their connections.
const KEPT_CONNECTIONS: usize = 4;

/// What a run has shown.
pub(crate) struct Report {
    faults: u64,
    overlapping: u64,
    terminated: u64,
    core_kills: u64,
    lost_disks: u64,
    nodes: usize,
    bodies: u64,
    acknowledged: usize,
    reads: u64,
    answers: u64,
    announced_departures: usize,
    acknowledged_departures: usize,
    unacknowledged_departures: usize,
    latest_edge: Duration,
    pub(crate) violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { faults, overlapping, terminated, core_kills, lost_disks, nodes, .. } = self;
        let Report { acknowledged, reads, answers, bodies, .. } = self;
        write!(
            out,
            "{nodes} nodes, {faults} faults ({overlapping} overlapping, {terminated} SIGTERM, {core_kills} of all nodes, \
             {lost_disks} lost disks), {acknowledged} acknowledged, {reads} reads, {answers} answers on kept connections, \
             {bodies} of them with bodies, {} departures \
             ({} acknowledged, {} not), latest edge {} ms, {} violations",
            self.announced_departures,
            self.acknowledged_departures,
            self.unacknowledged_departures,
            self.latest_edge.as_millis(),
            self.violations.len()
        )?;
        let violations = &self.violations;
        violations.iter().take(10).try_for_each(|violation| write!(out, "\n  {violation}"))
    }
}

/// Runs one seed with faults for so long.
pub(crate) fn run(programs: &Path, seed: u64, edges: usize, faults_for: Duration) -> eyre::Result<Report> {
    let folder = std::env::temp_dir().join(format!("coppersail-soak-{}-{seed}", std::process::id()));
    // Seeds that run at once, and runs of several processes, have addresses of their own.
    let network =
        Network { second: 20 + (std::process::id() % 200) as u8, first_subnet: (seed % 80) as u8 * 3 };
    let node_count = NODE_COUNTS[seed as usize % NODE_COUNTS.len()];
    let mut cluster = Cluster::start(programs, folder.clone(), network, node_count, edges)?;
    let shared = Shared::start();
    let nodes: Vec<String> = (0..node_count).map(|node| cluster.admin_address(node)).collect();
    let requests = Requests::default();
    let surroundings =
        Surroundings { shared: shared.clone(), requests: requests.clone(), nodes: nodes.clone() };
    let mut notices = RestartNotices::default();
    let threads = start_threads(&surroundings, &cluster, &mut notices, edges, seed)?;
    let result = wait_for_start(&shared, edges)
        .and_then(|()| cluster.end_first_start())
        .and_then(|()| {
            let schedule = FaultSchedule::new(seed, node_count, edges, Instant::now());
            inject_faults(&mut cluster, &shared, &notices, schedule, faults_for)
        })
        .map(|faults| (faults, check_end(&cluster, &shared, &nodes)));
    shared.finish();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (faults, ()) = result?;
    let mut history = shared.history();
    let mut violations = std::mem::take(&mut history.violations);
    violations.extend(history.departures.broken().into_iter().map(Violation::Drain));
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(Report {
        faults: faults.begun,
        overlapping: faults.overlapping,
        terminated: faults.terminated,
        core_kills: faults.core_kills,
        lost_disks: faults.lost_disks,
        nodes: node_count,
        bodies: history.bodies,
        acknowledged: history.acknowledged_count(),
        reads: history.reads,
        answers: history.answers,
        announced_departures: history.departures.announced,
        acknowledged_departures: history.departures.acknowledged_count(),
        unacknowledged_departures: history.departures.unacknowledged,
        latest_edge: history.latest_edge,
        violations,
    })
}

/// Starts the operator, the reader, the endpoints, and the clients of the edges.
fn start_threads(
    surroundings: &Surroundings,
    cluster: &Cluster,
    notices: &mut RestartNotices,
    edges: usize,
    seed: u64,
) -> eyre::Result<Vec<JoinHandle<()>>> {
    let Surroundings { shared, requests, .. } = surroundings;
    let mut threads = vec![
        start_operator(shared.clone(), surroundings.nodes.clone(), seed),
        start_reader(shared.clone(), surroundings.nodes.clone(), seed + 1),
    ];
    for number in 0..2 * LASTING_ENDPOINTS + LEAVING_ENDPOINTS {
        let slot = Slot {
            number,
            service: if number < LASTING_ENDPOINTS { LONG_SERVICE } else { SERVICE },
            address: cluster.endpoint_address(number),
            leaves: number >= 2 * LASTING_ENDPOINTS,
        };
        let seed = seed.wrapping_mul(100) + number as u64;
        threads.push(endpoints::start(slot, surroundings.clone(), notices, seed)?);
    }
    threads.extend((0..edges).map(|edge| start_client(shared.clone(), edge, cluster.client_address(edge))));
    let clients = (0..edges * KEPT_CONNECTIONS).map(|number| {
        let edge = number % edges;
        let address = cluster.client_address(edge);
        clients::start(
            shared.clone(),
            edge,
            address,
            requests.clone(),
            seed.wrapping_mul(1_000) + number as u64,
        )
    });
    threads.extend(clients);
    Ok(threads)
}

fn wait_for_start(shared: &Shared, edges: usize) -> eyre::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    let all_serve = || {
        let history = shared.history();
        (0..edges).all(|edge| history.highest_seen(edge) > 0)
    };
    while !all_serve() {
        ensure!(
            Instant::now() < end,
            "the edges have no configuration {} s after the start",
            START_TIMEOUT.as_secs()
        );
        sleep(STEP);
    }
    Ok(())
}

/// Bursts of faults with times of calm between them, the last at the end.
fn inject_faults(
    cluster: &mut Cluster,
    shared: &Shared,
    notices: &RestartNotices,
    mut faults: FaultSchedule,
    faults_for: Duration,
) -> eyre::Result<FaultSchedule> {
    // What a new process answers must not be taken for an answer of the last one.
    let mut on_restart = |edge| shared.history().restart_edge(edge);
    let mut now = Instant::now();
    let end = now + faults_for;
    while now < end {
        let burst_end = end.min(now + BURST);
        while now < burst_end {
            let step = faults.step(cluster, now, true, &mut on_restart)?;
            record(shared, now, &step, &faults, notices);
            sleep(STEP);
            now = Instant::now();
        }
        faults.end_burst(now);
        while faults.is_under_way() {
            let step = faults.step(cluster, now, false, &mut on_restart)?;
            record(shared, now, &step, &faults, notices);
            sleep(STEP);
            now = Instant::now();
        }
        shared.history().end_faults(now);
        sleep(CALM);
        now = Instant::now();
    }
    Ok(faults)
}

/// Records a step that was begun at `begun`.
fn record(
    shared: &Shared,
    begun: Instant,
    step: &FaultStep,
    faults: &FaultSchedule,
    notices: &RestartNotices,
) {
    let mut history = shared.history();
    if step.began || faults.is_active() {
        history.begin_fault();
    }
    let now = Instant::now();
    for at in [begun, now].map(|at| shared.time_of(at)) {
        if step.disturbed_core {
            history.departures.disturb_core(at);
        }
        step.disturbed_edges.iter().for_each(|edge| history.departures.disturb_edge(*edge, at));
    }
    if step.restarted_all_nodes {
        notices.send();
    }
    step.killed_edges.iter().for_each(|edge| history.kill_edge(*edge, now));
    let not_ended = step.not_ended.iter().map(|process| Violation::DidNotEnd { process: *process });
    history.violations.extend(not_ended);
}

/// The newest configuration can be read at every node, and no process has logged a fault of its own.
fn check_end(cluster: &Cluster, shared: &Shared, nodes: &[String]) {
    if let Some(node) = read_back(shared, nodes, Instant::now() + CONTACT + APPLY) {
        shared.history().violations.push(Violation::NotReadBack { node });
    }
    let lines = cluster.suspicious_log_lines();
    shared.history().violations.extend(lines.into_iter().map(|line| Violation::Logged { line }));
}
