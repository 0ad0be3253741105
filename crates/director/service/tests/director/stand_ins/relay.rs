//! A stand-in relay, which carries out calls, keeps the tables that they set, and sends updates of proxies and
//! slices.

use super::heartbeats::spawn_heartbeats;
use super::shared_state::Shared;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// How the relay handles a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayReply {
    /// Carries it out and confirms it.
    Ok,
    /// Never answers.
    Silence { carried_out: bool },
    /// Answers with bytes that are not a valid answer.
    Unreadable { carried_out: bool },
    /// Closes the connection instead of answering.
    Disconnect { carried_out: bool },
    /// Rejects the whole call as too many.
    Throttling,
    /// Carries out the orders before this one and answers with their number.
    RefuseOrder(usize),
    /// Carries it out, confirms it and closes the connection.
    OkThenDisconnect,
}

/// The lines of a slice's table: hosts and their weights.
pub(crate) type Table = BTreeMap<String, f64>;

/// A call as it was received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    /// The number of its connection.
    pub(crate) connection: usize,
    pub(crate) orders: Vec<String>,
}

/// All connections, with the address to which they were made.
#[derive(Default)]
struct Connections {
    /// How many were accepted.
    accepted: usize,
    /// How often the relay has moved to another address.
    moves: usize,
    /// The connections, each with the number of moves before it was accepted.
    streams: Vec<(usize, TcpStream)>,
}

/// The relay's state. Tests change it to cause faults.
#[derive(Default)]
pub(crate) struct RelayStandIn {
    pub(crate) calls: Vec<ReceivedCall>,
    /// The replies to the next calls; further calls are carried out and confirmed.
    pub(crate) replies: VecDeque<RelayReply>,
    /// The proxies that have joined.
    pub(crate) proxies: BTreeSet<u16>,
    /// The director's slices and their tables.
    pub(crate) slices: BTreeMap<u16, Table>,
    /// Hosts that are withdrawn from all tables.
    pub(crate) withdrawn: BTreeSet<String>,
    /// The smallest and the largest number of lines that a table had after any call since a test reset this to
    /// `None`.
    pub(crate) line_counts: Option<(usize, usize)>,
    connections: Connections,
    /// How many update streams were requested.
    pub(crate) subscribe_requests: usize,
    update_streams: Vec<TcpStream>,
    /// The relay accepts connections but sends no updates and no heartbeats.
    pub(crate) is_mute: bool,
}

impl RelayStandIn {
    /// Creates a relay with these proxies and tables.
    pub(crate) fn new(proxies: BTreeSet<u16>, slices: BTreeMap<u16, Table>) -> Self {
        RelayStandIn { proxies, slices, ..RelayStandIn::default() }
    }

    /// Starts to accept connections, and to send heartbeats on update streams.
    pub(crate) fn spawn(listener: TcpListener, state: &Shared<RelayStandIn>) {
        spawn_accepting(listener, 0, state.clone());
        spawn_heartbeats(state.clone(), |relay| {
            if !relay.is_mute {
                relay.send_update("*");
            }
        });
    }

    /// Accepts connections at another address only; open connections stay open.
    pub(crate) fn relocate(listener: TcpListener, state: &Shared<RelayStandIn>) {
        let moves = state.update(|relay| {
            relay.connections.moves += 1;
            relay.connections.moves
        });
        spawn_accepting(listener, moves, state.clone());
    }

    /// Closes all connections to earlier addresses.
    pub(crate) fn close_connections_at_old_address(&mut self) {
        for (moves, stream) in &self.connections.streams {
            if *moves < self.connections.moves {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Sends a line on all update streams.
    pub(crate) fn send_update(&mut self, line: &str) {
        self.update_streams.retain_mut(|stream| stream.write_all(format!("{line}\r\n").as_bytes()).is_ok());
    }

    /// Closes all update streams.
    pub(crate) fn close_update_streams(&mut self) {
        for stream in self.update_streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the oldest update stream.
    pub(crate) fn close_first_update_stream(&mut self) {
        let _ = self.update_streams.remove(0).shutdown(Shutdown::Both);
    }

    /// Whether every slice's table has this many lines.
    pub(crate) fn all_tables_have(&self, line_count: usize) -> bool {
        self.slices.values().all(|lines| lines.len() == line_count)
    }

    /// Whether any table names the host.
    pub(crate) fn any_table_names(&self, host: &str) -> bool {
        self.slices.values().any(|lines| lines.contains_key(host))
    }

    /// The host with the largest weight in the slice's table, or an empty text if there is none.
    pub(crate) fn heaviest_host(&self, slice: u16) -> &str {
        let Some(lines) = self.slices.get(&slice) else { return "" };
        let heaviest = lines.iter().max_by(|a, b| a.1.total_cmp(b.1));
        heaviest.map_or("", |(host, _)| host)
    }

    /// The snapshot at the start of an update stream.
    fn snapshot(&self) -> String {
        let mut text = String::from("OK\r\n");
        for proxy in &self.proxies {
            text += &format!("* hello {proxy} a 5.0 0\r\n");
        }
        for (slice, lines) in &self.slices {
            text += &format!("* lease {slice} 1\r\n");
            for (host, weight) in lines {
                text += &format!("* line {slice} {host} {weight}\r\n");
            }
        }
        text
    }

    fn carry_out(&mut self, orders: &[String]) {
        for order in orders {
            self.carry_out_order(order);
        }
        // A call reaches each proxy as one message, so proxies only have the tables at its end.
        for line_count in self.slices.values().map(BTreeMap::len) {
            let (least, most) = self.line_counts.unwrap_or((line_count, line_count));
            self.line_counts = Some((least.min(line_count), most.max(line_count)));
        }
    }

    fn carry_out_order(&mut self, order: &str) {
        match order.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, host, weight] => {
                let weight: f64 = weight.parse().unwrap();
                let Some(lines) = self.slices.get_mut(&slice.parse().unwrap()) else { return };
                if weight > 0.0 {
                    lines.insert(host.into(), weight);
                } else {
                    lines.remove(host);
                }
            }
            ["OUT", host] => {
                self.withdrawn.insert(host.into());
            }
            ["IN", host] => {
                self.withdrawn.remove(host);
            }
            ["LIMIT", ..] | ["SYNC", ..] | ["DEL", ..] => {}
            _ => panic!("unknown order: {order}"),
        }
    }

    /// Every proxy acknowledges the round that the orders end, if any.
    fn acknowledge_round(&mut self, orders: &[String]) {
        let round = orders.iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
        let Some(round) = round else { return };
        let acknowledgements: Vec<String> =
            self.proxies.iter().map(|proxy| format!("* ack {proxy} {round} 100.0")).collect();
        if !self.is_mute && !acknowledgements.is_empty() {
            self.send_update(&acknowledgements.join("\r\n"));
        }
    }

    fn add_update_stream(&mut self, mut stream: TcpStream) {
        self.subscribe_requests += 1;
        if !self.is_mute && stream.write_all(self.snapshot().as_bytes()).is_ok() {
            self.update_streams.push(stream);
        }
    }

    /// Carries out the part of a call that the next reply specifies.
    fn receive_call(&mut self, connection: usize, orders: Vec<String>) -> RelayReply {
        let reply = self.replies.pop_front().unwrap_or(RelayReply::Ok);
        let carried_out = match reply {
            RelayReply::Ok | RelayReply::OkThenDisconnect => orders.len(),
            RelayReply::Silence { carried_out }
            | RelayReply::Unreadable { carried_out }
            | RelayReply::Disconnect { carried_out } => orders.len() * usize::from(carried_out),
            RelayReply::Throttling => 0,
            RelayReply::RefuseOrder(index) => index.min(orders.len()),
        };
        self.carry_out(&orders[..carried_out]);
        self.acknowledge_round(&orders[..carried_out]);
        self.calls.push(ReceivedCall { connection, orders });
        reply
    }
}

/// Accepts connections for as long as the relay is at this address.
fn spawn_accepting(listener: TcpListener, moves: usize, state: Shared<RelayStandIn>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let state = state.clone();
            std::thread::spawn(move || {
                if let Some(connection) = state.update(|relay| register(relay, moves, &stream)) {
                    serve_connection(connection, &stream, &state);
                }
            });
        }
    });
}

/// Registers a connection and returns its number, unless the relay has moved from the address to which it was made.
fn register(relay: &mut RelayStandIn, moves: usize, stream: &TcpStream) -> Option<usize> {
    let connections = &mut relay.connections;
    let kept = stream.try_clone().ok().filter(|_| connections.moves == moves)?;
    connections.streams.push((moves, kept));
    connections.accepted += 1;
    Some(connections.accepted)
}

fn serve_connection(connection: usize, stream: &TcpStream, state: &Shared<RelayStandIn>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line == "follow" {
            if let Ok(update_stream) = writer.try_clone() {
                state.update(|relay| relay.add_update_stream(update_stream));
            }
            continue;
        }
        let Some(orders) = line.strip_prefix("txn ") else { panic!("not a call: {line}") };
        let orders: Vec<String> = orders.split(';').map(str::to_string).collect();
        let order_count = orders.len();
        let reply = state.update(|relay| relay.receive_call(connection, orders));
        let answer = match reply {
            RelayReply::Ok | RelayReply::OkThenDisconnect => format!("OK {order_count}\r\n"),
            RelayReply::RefuseOrder(index) => format!("OK {}\r\n", index.min(order_count)),
            RelayReply::Unreadable { .. } => "O\u{1}?\r\n".to_string(),
            RelayReply::Throttling => "Throttling\r\n".to_string(),
            RelayReply::Silence { .. } => continue,
            RelayReply::Disconnect { .. } => String::new(),
        };
        let _ = writer.write_all(answer.as_bytes());
        if matches!(reply, RelayReply::Disconnect { .. } | RelayReply::OkThenDisconnect) {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}
