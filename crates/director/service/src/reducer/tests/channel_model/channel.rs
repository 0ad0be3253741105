//! The model of the relay and of its channel to the proxies.

use super::random::Random;
use super::scenario::{Scenario, MESSAGE_WINDOW_S, OVERHEAD, SLICES};
use crate::reducer::LinkId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A message with at most this many lines left has passed.
const ROUNDING: f64 = 1e-9;
/// Minimum time from the passing of a message to its acknowledgement.
const MIN_ACKNOWLEDGEMENT_DELAY_S: f64 = 0.05;
/// Maximum additional time until the acknowledgement.
const ACKNOWLEDGEMENT_DELAY_SPREAD_S: f64 = 0.4;

/// A message that is queued in the channel.
struct Message {
    proxy: u16,
    /// Lines of it that have not passed yet.
    lines: f64,
    round: Option<String>,
}

struct Acknowledgement {
    at: f64,
    proxy: u16,
    round: String,
}

/// When a host was withdrawn.
struct Withdrawal {
    first: f64,
    last: f64,
}

/// An update that is in transit on a stream.
struct PendingUpdate {
    at: f64,
    line: String,
}

/// The channel: messages pass one after the other, at a speed that the director does not know.
pub(super) struct Channel {
    messages: VecDeque<Message>,
    /// Lines that are queued.
    queued_lines: f64,
    /// Most lines that were queued at a time.
    pub(super) max_queued_lines: f64,
    pub(super) joined: BTreeSet<u16>,
    acknowledgements: VecDeque<Acknowledgement>,
    /// When messages were sent to a proxy within the window.
    message_times: BTreeMap<u16, VecDeque<f64>>,
    /// Most messages to a proxy within the window.
    pub(super) max_messages: usize,
    /// The table of each slice that is assigned to the director: weights as texts by host.
    tables: BTreeMap<u16, BTreeMap<String, String>>,
    withdrawals: BTreeMap<String, Withdrawal>,
    /// Bytes of the longest call.
    pub(super) longest_call: usize,
    streams: BTreeMap<LinkId, VecDeque<PendingUpdate>>,
    update_delay_s: f64,
    /// Acknowledgements are sent in bulk once a second.
    bulk_acknowledgements: bool,
}

impl Channel {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let mut channel = Channel {
            messages: VecDeque::new(),
            queued_lines: 0.0,
            max_queued_lines: 0.0,
            joined: (0..scenario.proxies).collect(),
            acknowledgements: VecDeque::new(),
            message_times: BTreeMap::new(),
            max_messages: 0,
            tables: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            longest_call: 0,
            streams: BTreeMap::new(),
            update_delay_s: scenario.update_delay_s,
            bulk_acknowledgements: scenario.limits_messages,
        };
        for slice in 0..SLICES {
            channel.add_table(scenario, slice);
        }
        channel
    }

    fn add_table(&mut self, scenario: &Scenario, slice: u16) {
        let table = BTreeMap::from([(scenario.host_in_table(slice), "1".to_string())]);
        self.tables.insert(slice, table);
    }

    /// The director has restarted: only the relay's tables and proxies are left.
    pub(super) fn restart(&mut self) {
        self.queued_lines = 0.0;
        self.messages.clear();
        self.acknowledgements.clear();
        self.streams.clear();
        self.message_times.clear();
        self.withdrawals.clear();
    }

    /// Carries out a call and returns its answer.
    pub(super) fn carry_out(&mut self, now: f64, call: &str) -> String {
        self.longest_call = self.longest_call.max(call.len());
        let orders: Vec<&str> = call.trim_start_matches("txn ").trim_end().split(';').collect();
        let round = orders.iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
        for order in &orders {
            self.carry_out_order(now, order);
        }
        let lines = OVERHEAD + orders.len() as f64;
        for proxy in self.joined.clone() {
            self.messages.push_back(Message { proxy, lines, round: round.map(str::to_string) });
            self.queued_lines += lines;
            self.count_message(now, proxy);
        }
        self.max_queued_lines = self.max_queued_lines.max(self.queued_lines);
        format!("OK {}", orders.len())
    }

    fn carry_out_order(&mut self, now: f64, order: &str) {
        let parts: Vec<&str> = order.split(',').collect();
        match parts[..] {
            ["SET", slice, host, weight] => {
                // An order for a slice that is no longer assigned counts as accepted and changes nothing.
                let Some(table) = self.tables.get_mut(&slice.parse().unwrap()) else { return };
                if weight == "0" {
                    table.remove(host);
                } else {
                    table.insert(host.to_string(), weight.to_string());
                }
            }
            ["OUT", host] => {
                let first = Withdrawal { first: now, last: now };
                self.withdrawals.entry(host.to_string()).or_insert(first).last = now;
            }
            _ => {}
        }
    }

    fn count_message(&mut self, now: f64, proxy: u16) {
        let times = self.message_times.entry(proxy).or_default();
        times.push_back(now);
        times.retain(|at| now - at <= MESSAGE_WINDOW_S);
        self.max_messages = self.max_messages.max(times.len());
    }

    /// Lets this many lines pass, and sends the acknowledgements that are due.
    pub(super) fn pass(&mut self, now: f64, lines: f64, lost_acknowledgements: u32, random: &mut Random) {
        self.pass_lines(now, lines, lost_acknowledgements, random);
        // In bulk: all acknowledgements of a second are sent at its end.
        let until = if self.bulk_acknowledgements { now.floor() } else { now };
        let (due, later) =
            self.acknowledgements.drain(..).partition(|acknowledgement| acknowledgement.at <= until);
        self.acknowledgements = later;
        let due: VecDeque<Acknowledgement> = due;
        for acknowledgement in due {
            if !self.joined.contains(&acknowledgement.proxy) {
                continue;
            }
            let line = format!("* ack {} {} 90.0", acknowledgement.proxy, acknowledgement.round);
            for stream in self.streams.values_mut() {
                stream.push_back(PendingUpdate { at: now, line: line.clone() });
            }
        }
    }

    fn pass_lines(&mut self, now: f64, mut lines: f64, lost_acknowledgements: u32, random: &mut Random) {
        while let Some(message) = self.messages.front_mut() {
            let passed = message.lines.min(lines);
            message.lines -= passed;
            lines -= passed;
            self.queued_lines -= passed;
            if message.lines > ROUNDING {
                break;
            }
            let Some(Message { proxy, round, .. }) = self.messages.pop_front() else { break };
            let Some(round) = round.filter(|_| self.joined.contains(&proxy)) else { continue };
            if !random.percent(lost_acknowledgements) {
                let at = now + MIN_ACKNOWLEDGEMENT_DELAY_S + ACKNOWLEDGEMENT_DELAY_SPREAD_S * random.share();
                self.acknowledgements.push_back(Acknowledgement { at, proxy, round });
            }
        }
    }

    pub(super) fn leave(&mut self, now: f64, proxy: u16, keeps_lines: bool, random: &mut Random) {
        if !self.joined.remove(&proxy) {
            return;
        }
        self.message_times.remove(&proxy);
        self.publish(now, random, &format!("* bye {proxy}"));
        if !keeps_lines {
            let to_leaver = self.messages.iter().filter(|message| message.proxy == proxy);
            let lines: f64 = to_leaver.map(|message| message.lines).sum();
            self.messages.retain(|message| message.proxy != proxy);
            self.queued_lines -= lines;
        }
    }

    pub(super) fn join(&mut self, now: f64, proxy: u16, random: &mut Random) {
        if self.joined.insert(proxy) {
            self.publish(now, random, &format!("* hello {proxy} a 1.5 0"));
        }
    }

    /// The slices of four other directors are assigned to this one as well.
    pub(super) fn take_over(&mut self, now: f64, scenario: &Scenario, random: &mut Random) {
        for slice in SLICES..5 * SLICES {
            self.add_table(scenario, slice);
            self.publish(now, random, &format!("* lease {slice} 1"));
            let host = scenario.host_in_table(slice);
            self.publish(now, random, &format!("* line {slice} {host} 1"));
        }
    }

    /// The slices are assigned to the other directors again.
    pub(super) fn hand_back(&mut self, now: f64, random: &mut Random) {
        for slice in SLICES..5 * SLICES {
            self.tables.remove(&slice);
            self.publish(now, random, &format!("* lease {slice} 0"));
        }
    }

    pub(super) fn has_taken_over(&self) -> bool {
        self.tables.len() > SLICES as usize
    }

    /// Sends an update on each stream, with the delay of the scenario.
    pub(super) fn publish(&mut self, now: f64, random: &mut Random, line: &str) {
        let at = now + self.update_delay_s * random.share();
        for stream in self.streams.values_mut() {
            stream.push_back(PendingUpdate { at, line: line.to_string() });
        }
    }

    /// Opens a stream and returns the snapshot.
    pub(super) fn subscribe(&mut self, link: LinkId) -> Vec<String> {
        self.streams.insert(link, VecDeque::new());
        let mut snapshot = vec!["OK".to_string()];
        for proxy in &self.joined {
            snapshot.push(format!("* hello {proxy} a 1.5 0"));
        }
        for (slice, table) in &self.tables {
            snapshot.push(format!("* lease {slice} 1"));
            for (host, weight) in table {
                snapshot.push(format!("* line {slice} {host} {weight}"));
            }
        }
        snapshot.push("*".to_string());
        snapshot
    }

    pub(super) fn close_stream(&mut self, link: LinkId) {
        self.streams.remove(&link);
    }

    /// Closes all streams and returns their ids.
    pub(super) fn break_streams(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.streams).into_keys().collect()
    }

    /// The updates that are due, by stream.
    pub(super) fn due_updates(&mut self, now: f64) -> Vec<(LinkId, Vec<String>)> {
        let mut due = Vec::new();
        for (link, stream) in &mut self.streams {
            let mut lines = Vec::new();
            while stream.front().is_some_and(|update| update.at <= now) {
                lines.extend(stream.pop_front().map(|update| update.line));
            }
            if !lines.is_empty() {
                due.push((*link, lines));
            }
        }
        due
    }

    /// Whether a table names the host.
    fn mentions(&self, host: &str) -> bool {
        self.tables.values().any(|table| table.contains_key(host))
    }

    /// Whether the host was withdrawn after `since`, or no table names it.
    pub(super) fn is_withdrawn_or_unused(&self, since: f64, host: &str) -> bool {
        let withdrawal = self.withdrawals.get(host);
        withdrawal.is_some_and(|withdrawal| withdrawal.last > since) || !self.mentions(host)
    }

    /// Whether a table names the host although it was never withdrawn.
    pub(super) fn is_missed(&self, host: &str) -> bool {
        !self.withdrawals.contains_key(host) && self.mentions(host)
    }

    /// When the host was first withdrawn.
    pub(super) fn first_withdrawal(&self, host: &str) -> Option<f64> {
        self.withdrawals.get(host).map(|withdrawal| withdrawal.first)
    }
}
