//! Three nodes on one clock, without faults, whose messages and disk writes are recorded as lines of text.
use coppersail_consensus::{Core, InitialState, KeyValue, Output, Request, Response, Timeouts};
use std::collections::{BTreeMap, VecDeque};

const NAMES: [&str; 3] = ["a", "b", "c"];
/// The records of the first two terms.
const FIRST: &str = r#"{"epoch":{"n":1,"by":""},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":0},{"id":"c:1","life":0}]}"#;
const SECOND: &str = r#"{"epoch":{"n":2,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":0},{"id":"c:1","life":0}]}"#;

const TIMEOUTS: Timeouts = Timeouts {
    lease: 1200,
    heartbeat_interval: 400,
    rpc_timeout: 600,
    replace_after: 2000,
    shutdown_grace: 3000,
    max_failures: 1,
};

/// Starts one node of three with the metadata on its disk. With `bootstrap` the whole system starts for the
/// first time.
pub(crate) fn start_core(
    id: &str,
    metadata: &[(&str, &str)],
    bootstrap: bool,
    out: &mut Vec<Output>,
) -> Core {
    let metadata: BTreeMap<String, String> =
        metadata.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let peers = ["a:1", "b:1", "c:1"].map(String::from).into();
    let start = InitialState {
        id: id.into(),
        timeouts: TIMEOUTS,
        peers,
        bootstrap,
        metadata,
        new_incarnation: 77,
        ..InitialState::default()
    };
    Core::start(1, start, out)
}

/// Adds a line for each entry that a node writes.
fn record_write(
    lines: &mut Vec<String>,
    node: &str,
    state: &[KeyValue],
    replace: bool,
    metadata: &[KeyValue],
) {
    let kind = if replace { "all of the state" } else { "state" };
    lines.extend(state.iter().map(|(name, value)| format!("{node} {kind} {name} {value}")));
    lines.extend(metadata.iter().map(|(name, value)| format!("{node} own {name} {value}")));
}

/// Three nodes on one clock, and the record of their messages and disk writes as lines of text.
pub(crate) struct RecordedCluster {
    pub(crate) cores: Vec<Core>,
    pub(crate) now: u64,
    pub(crate) lines: Vec<String>,
}

impl RecordedCluster {
    pub(crate) fn start() -> RecordedCluster {
        let mut cluster = RecordedCluster { cores: Vec::new(), now: 1, lines: Vec::new() };
        for (index, id) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
            let mut out = Vec::new();
            cluster.cores.push(start_core(id, &[], true, &mut out));
            cluster.carry_out(index, out);
        }
        cluster
    }

    /// Executes the outputs of a node and all further outputs that follow from them. Returns the node's
    /// response to another node.
    pub(crate) fn carry_out(&mut self, at: usize, out: Vec<Output>) -> Option<Response> {
        let (mut pending, mut own_response) = (VecDeque::from(out), None);
        while let Some(output) = pending.pop_front() {
            let mut next = Vec::new();
            match output {
                Output::Persist { operation_id, state, replace, metadata } => {
                    record_write(&mut self.lines, NAMES[at], &state, replace, &metadata);
                    self.cores[at].handle_write_result(self.now, operation_id, true, &mut next);
                }
                Output::Send { operation_id, to, request, .. } => {
                    let other = self.cores.iter().position(|core| core.id == to).unwrap();
                    let text = serde_json::to_string(&request).unwrap();
                    self.lines.push(format!("{} to {} {text}", NAMES[at], NAMES[other]));
                    let response = self.call(other, request);
                    self.cores[at].handle_response(self.now, operation_id, response, &mut next);
                }
                Output::Respond { response, .. } => own_response = Some(response),
                _ => {}
            }
            pending.extend(next);
        }
        own_response
    }

    pub(crate) fn call(&mut self, at: usize, request: Request) -> Option<Response> {
        let mut out = Vec::new();
        self.cores[at].handle_request(self.now, 1, request, &mut out);
        let response = self.carry_out(at, out);
        self.lines.push(format!("{} says {}", NAMES[at], serde_json::to_string(&response).unwrap()));
        response
    }

    /// Lets all nodes exchange heartbeats, and then the first one tick.
    pub(crate) fn tick(&mut self) {
        self.now += 50;
        for receiver in 0..3 {
            let mut out = Vec::new();
            for other in (0..3).filter(|other| *other != receiver) {
                let status = self.cores[other].status(self.now);
                self.cores[receiver].handle_peer_status(self.now, &status, Some(self.now), &mut out);
            }
            self.carry_out(receiver, out);
        }
        let mut out = Vec::new();
        self.cores[0].tick(self.now, &mut out);
        self.carry_out(0, out);
    }

    /// Checks the lines recorded since the last check; `@1` and `@2` stand for the records of the first two
    /// terms.
    #[track_caller]
    pub(crate) fn assert_lines(&mut self, expected: &[&str]) {
        let lines = std::mem::take(&mut self.lines);
        let expected: Vec<String> =
            expected.iter().map(|line| line.replace("@1", FIRST).replace("@2", SECOND)).collect();
        assert_eq!(lines, expected);
    }
}
