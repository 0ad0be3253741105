//! The fakes of hosts: they hold each health check open until the world has decided how it ends.

use super::http;
use crate::platform::Platform;
use coppersail::interface::{HostId, Input, LoadReport, Order, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// After how long a health check that times out is closed: longer than the director waits for one.
const TIMED_OUT_CLOSE_DELAY: Duration = Duration::from_secs(3);

/// Connections whose health check has no answer yet, oldest first, by host.
type PendingHealthChecks = BTreeMap<HostId, VecDeque<TcpStream>>;

/// The fakes of all hosts, shared by the threads of their connections.
pub(super) struct Hosts {
    pending: Mutex<PendingHealthChecks>,
    orders: Sender<Vec<Order>>,
}

impl Hosts {
    /// Forwards each health check as an order to `orders`.
    pub(super) fn new(orders: Sender<Vec<Order>>) -> Self {
        Hosts { pending: Mutex::default(), orders }
    }

    fn lock(&self) -> MutexGuard<'_, PendingHealthChecks> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a health check of `host` and forwards it.
    pub(super) fn handle_connection(&self, host: HostId, stream: TcpStream) {
        if !http::read_head(&stream) {
            return;
        }
        // Under the lock, so that the order never comes before the connection that waits for its answer.
        let mut pending = self.lock();
        pending.entry(host).or_default().push_back(stream);
        let _ = self.orders.send(vec![Order::Probe(host)]);
    }

    /// Answers the oldest health check for each outcome among the inputs.
    pub(super) fn deliver(&self, inputs: &[Input]) {
        for input in inputs {
            if let Input::ProbeFinished { host, outcome, load, .. } = input {
                let oldest = self.lock().get_mut(host).and_then(VecDeque::pop_front);
                if let Some(stream) = oldest {
                    answer(stream, *outcome, load);
                }
            }
        }
    }
}

/// Ends a health check as the world decided.
fn answer(mut stream: TcpStream, outcome: Outcome, load: &LoadReport) {
    let status = match outcome {
        Outcome::Succeeded => "200 OK",
        Outcome::Throttled => "503 Service Unavailable",
        Outcome::TimedOut => {
            close_late(stream);
            return;
        }
        // A connection that was accepted cannot be refused any more; closing it without an answer comes nearest.
        _ => return,
    };
    let text = http::response(status, &Platform::health_check_body(load));
    let _ = stream.write_all(text.as_bytes());
}

/// Keeps the connection open without an answer until the director has given up.
fn close_late(stream: TcpStream) {
    std::thread::spawn(move || {
        std::thread::sleep(TIMED_OUT_CLOSE_DELAY);
        drop(stream);
    });
}
