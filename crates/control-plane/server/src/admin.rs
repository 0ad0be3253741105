//! What hosts and operators call, and what becomes of it. No I/O.
use crate::messages::{AdminRequest, Effect};
use crate::orders::{digest, Judged};
use crate::state::{HeartbeatRecord, Kind, PendingReply, Say, State};
use coppersail_consensus::{Ms, RequestId};
use coppersail_peer_protocol::{ConfigDocument, EndpointState, EndpointUpdate};
use serde::Deserialize;

#[derive(Deserialize)]
struct Pulse {
    backend: String,
    address: String,
    #[serde(default)]
    area: String,
    #[serde(default)]
    revision: String,
    #[serde(default)]
    capacity: f64,
    #[serde(default)]
    stage: EndpointState,
    #[serde(default, rename = "warmLeft")]
    warm_left: Option<String>,
    #[serde(default, rename = "callCount")]
    calls: u64,
    #[serde(default)]
    released: Option<Vec<(u32, u32, String)>>,
}

pub fn one_line(why: impl std::fmt::Display) -> String {
    serde_json::json!({ "why": why.to_string() }).to_string()
}

/// Why an order with another content is refused.
pub fn rival() -> String {
    one_line("revision: its number has another content already, expected a higher one")
}

impl State {
    /// Where a call goes that only the primary may answer.
    fn elsewhere(&self, now: Ms, path: &str) -> (u16, String) {
        match self.primary(now).filter(|_| !self.alone(now)) {
            Some(id) => (307, format!("http://{id}{path}")),
            None => (503, one_line("no primary is known")),
        }
    }

    pub fn admin(
        &mut self,
        now: Ms,
        caller: RequestId,
        call: AdminRequest,
        say: &mut Vec<Say>,
        out: &mut Vec<Effect>,
    ) {
        match call {
            AdminRequest::Heartbeat { ident, body } => self.pulse(now, caller, &ident, &body, say),
            AdminRequest::SignOff { ident } => self.sign_off(now, caller, &ident, say),
            AdminRequest::ReplaceConfig { body } => self.replace(now, caller, body, say, out),
            AdminRequest::ReadConfig => self.read(now, caller, say),
            AdminRequest::Rollouts { post, rest, body } => {
                self.plans(now, caller, (post, &rest, &body), say, out)
            }
        }
    }

    fn pulse(&mut self, now: Ms, caller: RequestId, ident: &str, body: &str, say: &mut Vec<Say>) {
        let pulse: Pulse = match serde_json::from_str(body) {
            Ok(pulse) => pulse,
            Err(e) => return say.push(Say::Text(caller, 400, one_line(format!("beat: {e}")))),
        };
        if self.alone(now) {
            return say.push(Say::Text(caller, 503, one_line("out of touch with most witnesses")));
        }
        let listed = self.beats.len() as u64;
        let beat = self.beats.entry(ident.into()).or_insert(HeartbeatRecord {
            listed,
            born: now,
            ..HeartbeatRecord::default()
        });
        // An earlier call that comes late: what it says was said better since.
        if pulse.calls < beat.calls {
            return say.push(Say::Text(caller, 200, "{}".into()));
        }
        let cold_ms = pulse
            .warm_left
            .as_deref()
            .and_then(coppersail_config::duration)
            .map_or(0, |d| d.as_millis() as u64);
        (beat.at, beat.calls, beat.capacity, beat.service) =
            (now, pulse.calls, pulse.capacity, pulse.backend.clone());
        let emptied = pulse.stage > EndpointState::Ready
            && self.feed.host(ident).is_none_or(|h| h.state == EndpointState::Ready);
        let host = EndpointUpdate {
            id: ident.into(),
            service: pulse.backend.clone(),
            address: pulse.address,
            zone: pulse.area,
            capacity: pulse.capacity.round() as u32,
            version: pulse.revision,
            state: pulse.stage,
            suspect: false,
            slow_start_ms: cold_ms,
            heartbeat_sequence: pulse.calls,
            reported_by: self.core.id.clone(),
        };
        self.feed.put_host(&host);
        let heard = if emptied { self.feed.seq } else { 0 };
        let split = self.split(&pulse.backend).unwrap_or(false);
        if split && !self.acting(now) {
            let (status, text) = self.elsewhere(now, &format!("/servers/{ident}/pulse"));
            self.settle(now, say);
            return say.push(Say::Text(caller, status, text));
        }
        let (mut ticket, mut service) = (0, None);
        if split {
            let released = pulse.released.unwrap_or_default();
            let puts = self.keys.release(&pulse.backend, ident, &released);
            if !puts.is_empty() {
                ticket = self.queue(puts);
            }
            if emptied {
                self.place(now);
            }
            service = Some(pulse.backend.clone());
        }
        let until = now + self.spans.receipt;
        let kind = Kind::Beat { ident: ident.into(), service };
        self.parked.push(PendingReply { caller, until, ticket, heard, kind });
        self.settle(now, say);
    }

    fn sign_off(&mut self, now: Ms, caller: RequestId, ident: &str, say: &mut Vec<Say>) {
        if self.alone(now) {
            return say.push(Say::Text(caller, 503, one_line("out of touch with most witnesses")));
        }
        let calls = self.beats.get(ident).map_or(0, |b| b.calls) + 1;
        let via = self.core.id.clone();
        if let Some(host) = self.feed.host(ident).cloned() {
            self.feed.put_host(&EndpointUpdate {
                state: EndpointState::Removed,
                heartbeat_sequence: calls,
                reported_by: via,
                ..host
            });
        }
        let (until, heard) = (now + self.spans.receipt, self.feed.seq);
        let kind = Kind::Beat { ident: ident.into(), service: None };
        self.parked.push(PendingReply { caller, until, ticket: 0, heard, kind });
        self.settle(now, say);
    }

    /// One number has one content: the same again is acknowledged, another is refused.
    fn replace(
        &mut self,
        now: Ms,
        caller: RequestId,
        body: String,
        say: &mut Vec<Say>,
        out: &mut Vec<Effect>,
    ) {
        let config = match coppersail_config::config::parse(body.as_bytes()) {
            Ok(config) => config,
            Err(fault) => {
                out.push(Effect::Log(format!("A configuration is refused: {fault}.")));
                return say.push(Say::Text(caller, 400, one_line(fault)));
            }
        };
        if !self.acting(now) {
            let (status, text) = self.elsewhere(now, "/settings/replace");
            return say.push(Say::Text(caller, status, text));
        }
        let (revision, digest) = (config.revision, digest(&body));
        let held = self.feed.settings().map(|s| s.revision);
        let (ticket, kind) = match self.orders.judge(revision, &digest, held) {
            Judged::Again => return say.push(Say::Text(caller, 200, "{}".into())),
            Judged::Taken => {
                out.push(Effect::Log(format!(
                    "A configuration is refused: r{revision} has another content."
                )));
                return say.push(Say::Text(caller, 409, rival()));
            }
            Judged::Waits(ticket) => (ticket, Kind::Order),
            Judged::Rival(ticket) => (ticket, Kind::Rival),
            Judged::New | Judged::Below => {
                let ticket = self.next_ticket();
                self.orders.begin(revision, digest, ticket);
                let mut puts = self.orders.puts(ticket);
                // Of several only the highest comes into force, and only above the one held.
                if self.newest().is_none_or(|newest| newest < revision) {
                    self.queued(revision);
                    let settings = ConfigDocument { revision, body };
                    puts.push(("config".into(), serde_json::to_string(&settings).unwrap_or_default()));
                }
                (self.queue(puts), Kind::Order)
            }
        };
        let until = now + 4 * self.spans.core.rpc_timeout;
        self.parked.push(PendingReply { caller, until, ticket, heard: 0, kind });
    }

    fn read(&mut self, now: Ms, caller: RequestId, say: &mut Vec<Say>) {
        if !self.acting(now) {
            let (status, text) = self.elsewhere(now, "/settings/read");
            return say.push(Say::Text(caller, status, text));
        }
        let body = self.feed.settings().map(|s| s.body.clone());
        let (status, body) = body.map_or((404, one_line("no configuration yet")), |b| (200, b));
        say.push(Say::Text(caller, status, body));
    }

    fn plans(
        &mut self,
        now: Ms,
        caller: RequestId,
        (post, rest, body): (bool, &str, &str),
        say: &mut Vec<Say>,
        out: &mut Vec<Effect>,
    ) {
        if !self.acting(now) {
            let (status, text) = self.elsewhere(now, &format!("/rollouts{rest}"));
            return say.push(Say::Text(caller, status, text));
        }
        let parts: Vec<&str> = rest.split('/').filter(|p| !p.is_empty()).collect();
        let config = self.config.clone();
        let done = match (post, &parts[..]) {
            (false, []) => {
                let names = self.rollouts.names().into_iter();
                let all: Vec<_> = names.filter_map(|n| self.rollouts.show(now, n)).collect();
                Err((200, serde_json::json!({ "rollouts": all }).to_string()))
            }
            (false, [name]) => {
                let found = self.rollouts.show(now, name);
                Err(found.map_or((404, one_line(format!("no plan {name}"))), |v| (200, v.to_string())))
            }
            (true, [name]) => {
                let puts = self.rollouts.submit(now, name, body, config.as_ref());
                puts.map_err(|(status, why)| (status, one_line(why)))
            }
            (true, [name, order]) => match coppersail_rollout::RolloutCommand::named(order) {
                Some(order) => {
                    let puts = self.rollouts.order(now, name, order);
                    puts.map_err(|(status, why)| (status, one_line(why)))
                }
                None => Err((404, one_line(format!("no order {order}")))),
            },
            _ => Err((404, one_line("nothing here"))),
        };
        match done {
            Ok(puts) => {
                // An order that changes nothing waits for what made it so.
                let ticket = if puts.is_empty() { self.last_ticket() } else { self.queue(puts) };
                let until = now + 4 * self.spans.core.rpc_timeout;
                self.parked.push(PendingReply { caller, until, ticket, heard: 0, kind: Kind::Order });
            }
            Err((status, text)) => {
                if status == 400 || status == 409 {
                    out.push(Effect::Log(format!("Plans: {rest} is refused: {text}.")));
                }
                say.push(Say::Text(caller, status, text));
            }
        }
    }
}
