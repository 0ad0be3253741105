//! Many connections at once, as after a restart or a partition, when all edges and endpoints come back together.
mod common;

use common::Core;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// More than a listener's idle threads could be, and fewer than its backlog holds.
const CALLERS: usize = 100;
/// Each of them would have gone to the next node by then.
const SILENCE: Duration = Duration::from_secs(1);
const READ_CONFIG: &[u8] = b"GET /settings/read HTTP/1.1\r\nHost: node\r\n\r\n";

fn connect_and_ask(address: &str) -> TcpStream {
    let mut caller = TcpStream::connect(address).unwrap();
    caller.set_read_timeout(Some(SILENCE)).unwrap();
    caller.write_all(READ_CONFIG).unwrap();
    caller
}

#[test]
fn each_connection_in_the_backlog_is_answered_while_the_others_stay_open() {
    let core = Core::start(40);
    let address = format!("{}:8544", core.ips[0]);
    core.signal(0, "STOP");
    let mut callers: Vec<TcpStream> = (0..CALLERS).map(|_| connect_and_ask(&address)).collect();
    core.signal(0, "CONT");
    let is_answered = |caller: &mut TcpStream| caller.read(&mut [0; 16]).is_ok_and(|length| length > 0);
    // One that is silent for so long is not read at all: it need not be waited for a second time.
    let answered = callers.iter_mut().map(is_answered).take_while(|answered| *answered).count();
    assert_eq!(answered, CALLERS, "of {CALLERS} callers the one after these got no answer");
}
