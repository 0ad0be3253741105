//! Actions of operators: requests on the admin socket, and the submission of changes.

use super::environment::Testbed;
use crate::stand_ins::WAIT_TIMEOUT;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// Twice the usual timeout, as a change may first wait for the trial of another one.
const STAGE_TIMEOUT: Duration = Duration::from_secs(2 * WAIT_TIMEOUT.as_secs());
const STAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Testbed {
    /// Sends a request on a new connection, and returns the answer's fields.
    pub(crate) fn admin_request(&self, request: &str) -> Value {
        let socket = self.folder().join("control.sock");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match UnixStream::connect(&socket) {
                Ok(mut stream) => {
                    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
                    let mut line = String::new();
                    BufReader::new(stream).read_line(&mut line).unwrap();
                    return serde_json::from_str(&line).unwrap();
                }
                Err(_) => assert!(Instant::now() < deadline, "the admin socket is not reachable"),
            }
            std::thread::yield_now();
        }
    }

    /// Submits a change with a trial of `trial_s` seconds. Returns its number, or why it is refused.
    pub(crate) fn submit_change(&self, base: u64, trial_s: f64, edits: &str) -> Result<u64, String> {
        let submission =
            format!(r#"{{"base":{base},"who":"op","why":"test","edits":{edits},"trial":{trial_s}}}"#);
        let answer = self.admin_request(&format!(r#"{{"do":"submit","submission":{submission}}}"#));
        answer["number"].as_u64().ok_or(answer["why"].to_string())
    }

    /// Waits until a change has reached a stage, given as its name or the name of its only field. Returns the change.
    pub(crate) fn wait_for_stage(&self, number: u64, stage: &str) -> Value {
        let deadline = Instant::now() + STAGE_TIMEOUT;
        loop {
            let answer = self.admin_request(&format!(r#"{{"do":"show","number":{number}}}"#));
            let found = &answer["stage"];
            if found == stage || found.get(stage).is_some() {
                return answer;
            }
            assert!(Instant::now() < deadline, "change {number} does not reach the stage {stage}: {answer}");
            std::thread::park_timeout(STAGE_CHECK_INTERVAL);
        }
    }
}
