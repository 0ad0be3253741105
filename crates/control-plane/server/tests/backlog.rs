//! Many connections at once, as after a restart or a partition, when all edges and endpoints reconnect
//! together.
mod common;

use common::Core;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// More connections than a pool of idle threads could serve, and fewer than the backlog holds.
const CLIENTS: usize = 100;
/// After this time a real client would have switched to the next node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const READ_CONFIG: &[u8] = b"GET /settings/read HTTP/1.1\r\nHost: node\r\n\r\n";

fn connect_and_ask(address: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    client.write_all(READ_CONFIG).unwrap();
    client
}

#[test]
fn each_connection_in_the_backlog_is_answered_while_the_others_stay_open() {
    let core = Core::start(40);
    let address = format!("{}:8544", core.ips[0]);
    core.signal(0, "STOP");
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect_and_ask(&address)).collect();
    core.signal(0, "CONT");
    let is_answered = |client: &mut TcpStream| client.read(&mut [0; 16]).is_ok_and(|length| length > 0);
    // Stops at the first connection without an answer, so that the timeout passes only once.
    let answered = clients.iter_mut().map(is_answered).take_while(|answered| *answered).count();
    assert_eq!(answered, CLIENTS, "of {CLIENTS} clients the one after these got no answer");
}
