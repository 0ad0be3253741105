//! A relay: it takes calls, keeps the tables that they set, and sends news of proxies and slices.

use super::heartbeats::spawn_heartbeats;
use super::shared_state::Shared;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// What the relay does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayReply {
    /// Carries it out and says so.
    Ok,
    /// Never answers.
    Silence { carried_out: bool },
    /// Answers with bytes that are no answer.
    Unreadable { carried_out: bool },
    /// Closes the connection in place of an answer.
    Disconnect { carried_out: bool },
    /// Turns it away whole.
    Throttling,
    /// Carries out the orders before this one and says how many these are.
    RefuseOrder(usize),
    /// Carries it out, says so and closes the connection.
    OkThenDisconnect,
}

/// The lines of a slice's table: hosts and their weights.
pub(crate) type Table = BTreeMap<String, f64>;

/// A call as it came.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    /// The number of its connection.
    pub(crate) connection: usize,
    pub(crate) orders: Vec<String>,
}

/// All connections, by the address at which they came in.
#[derive(Default)]
struct Connections {
    /// How many were accepted.
    accepted: usize,
    /// How often the relay has moved to another address.
    moves: usize,
    /// The connections, and after how many moves each came in.
    streams: Vec<(usize, TcpStream)>,
}

/// The relay's state. Tests change it to bring failures about.
#[derive(Default)]
pub(crate) struct RelayStandIn {
    pub(crate) calls: Vec<ReceivedCall>,
    /// The replies to the next calls; when there are none left, all are carried out and answered.
    pub(crate) replies: VecDeque<RelayReply>,
    /// The proxies that have joined.
    pub(crate) proxies: BTreeSet<u16>,
    /// The director's slices and their tables.
    pub(crate) slices: BTreeMap<u16, Table>,
    /// Hosts that are withdrawn from all tables.
    pub(crate) withdrawn: BTreeSet<String>,
    /// The least and the most lines that any table had at the end of any call since a test has set this to none.
    pub(crate) line_counts: Option<(usize, usize)>,
    connections: Connections,
    /// How often news were asked for.
    pub(crate) news_requests: usize,
    news_streams: Vec<TcpStream>,
    /// It accepts connections but sends no news and no heartbeats.
    pub(crate) is_mute: bool,
}

impl RelayStandIn {
    /// A relay with these proxies and tables.
    pub(crate) fn new(proxies: BTreeSet<u16>, slices: BTreeMap<u16, Table>) -> Self {
        RelayStandIn { proxies, slices, ..RelayStandIn::default() }
    }

    /// Accepts connections from now on, and sends heartbeats to those that have asked for news.
    pub(crate) fn spawn(listener: TcpListener, state: &Shared<RelayStandIn>) {
        spawn_accepting(listener, 0, state.clone());
        spawn_heartbeats(state.clone(), |relay| {
            if !relay.is_mute {
                relay.send_news("*");
            }
        });
    }

    /// Accepts connections at another address only; those that are open stay open.
    pub(crate) fn relocate(listener: TcpListener, state: &Shared<RelayStandIn>) {
        let moves = state.update(|relay| {
            relay.connections.moves += 1;
            relay.connections.moves
        });
        spawn_accepting(listener, moves, state.clone());
    }

    /// Closes all connections that came in at earlier addresses.
    pub(crate) fn close_connections_at_old_address(&mut self) {
        for (moves, stream) in &self.connections.streams {
            if *moves < self.connections.moves {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Sends a line to all connections that have asked for news.
    pub(crate) fn send_news(&mut self, line: &str) {
        self.news_streams.retain_mut(|stream| stream.write_all(format!("{line}\r\n").as_bytes()).is_ok());
    }

    /// Closes all news connections.
    pub(crate) fn close_news_connections(&mut self) {
        for stream in self.news_streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the news connection that was opened first.
    pub(crate) fn close_first_news_connection(&mut self) {
        let _ = self.news_streams.remove(0).shutdown(Shutdown::Both);
    }

    /// Whether each slice's table has so many lines.
    pub(crate) fn all_tables_have(&self, line_count: usize) -> bool {
        self.slices.values().all(|lines| lines.len() == line_count)
    }

    /// Whether any table names the host.
    pub(crate) fn any_table_names(&self, host: &str) -> bool {
        self.slices.values().any(|lines| lines.contains_key(host))
    }

    /// The host with the greatest weight in the slice's table; empty: there is none.
    pub(crate) fn heaviest_host(&self, slice: u16) -> &str {
        let Some(lines) = self.slices.get(&slice) else { return "" };
        let heaviest = lines.iter().max_by(|a, b| a.1.total_cmp(b.1));
        heaviest.map_or("", |(host, _)| host)
    }

    /// What a connection is told first that asks for news.
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
        // A call reaches each proxy as one message: what stands at its end is what proxies have.
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
            _ => panic!("no order: {order}"),
        }
    }

    /// Every proxy that gets a marker acknowledges it.
    fn acknowledge_markers(&mut self, orders: &[String]) {
        let marker = orders.iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
        let Some(marker) = marker else { return };
        let acknowledgements: Vec<String> =
            self.proxies.iter().map(|proxy| format!("* ack {proxy} {marker} 100.0")).collect();
        if !self.is_mute && !acknowledgements.is_empty() {
            self.send_news(&acknowledgements.join("\r\n"));
        }
    }

    fn add_news_connection(&mut self, mut stream: TcpStream) {
        self.news_requests += 1;
        if !self.is_mute && stream.write_all(self.snapshot().as_bytes()).is_ok() {
            self.news_streams.push(stream);
        }
    }

    /// Carries out as much of a call as the next reply says.
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
        self.acknowledge_markers(&orders[..carried_out]);
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

/// The connection's number, if the relay is still at the address at which it came in.
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
            if let Ok(news_stream) = writer.try_clone() {
                state.update(|relay| relay.add_news_connection(news_stream));
            }
            continue;
        }
        let Some(orders) = line.strip_prefix("txn ") else { panic!("no call: {line}") };
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
