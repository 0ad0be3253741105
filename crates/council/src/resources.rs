//! One handler for each resource: what hosts and operators call on `admin`, and what directors call among themselves.
use crate::state::{Beat, Kind, Parked, Say, State};
use crate::Centre;
use accord::Ms;
use serde::Deserialize;
use std::io::Read;
use std::sync::Arc;
use tidings::{Copy, CopySay, Follow, HostNews, SeatCall, Settings, Stage};
use tiny_http::{Method, Request};

pub trait Resource: Send + Sync {
    /// The part of the path that it is about, if the call is for it.
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str>;
    fn handle(&self, centre: &Arc<Centre>, part: &str, request: Request, body: String);
}

/// Reads the body, as much as it says, and no more than a configuration may have.
pub fn read(request: &mut Request) -> Option<String> {
    let mut body = String::new();
    let most = 16 << 20;
    request.as_reader().take(most).read_to_string(&mut body).ok()?;
    request.body_length().is_none_or(|n| n == body.len()).then_some(body)
}

fn admin(state: &State, now: Ms, path: &str) -> (u16, String) {
    match state.primary(now) {
        Some(id) => (307, format!("http://{id}{path}")),
        None => (503, "{\"why\":\"no primary is known\"}".into()),
    }
}

fn one_line(why: impl std::fmt::Display) -> String {
    serde_json::json!({ "why": why.to_string() }).to_string()
}

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
    stage: Stage,
    #[serde(default, rename = "warmLeft")]
    warm_left: Option<String>,
    #[serde(default, rename = "callCount")]
    calls: u64,
    #[serde(default)]
    released: Option<Vec<(u32, u32, String)>>,
}

/// `POST /servers/ID/pulse`
pub struct Pulses;

impl Resource for Pulses {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        let ident = path.strip_prefix("/servers/")?.strip_suffix("/pulse")?;
        (*method == Method::Post && !ident.is_empty()).then_some(ident)
    }

    fn handle(&self, centre: &Arc<Centre>, ident: &str, request: Request, body: String) {
        let pulse: Pulse = match serde_json::from_str(&body) {
            Ok(pulse) => pulse,
            Err(e) => return centre.text(request, 400, one_line(format!("beat: {e}"))),
        };
        let url = request.url().to_string();
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        if state.alone(now) {
            drop(state);
            return centre.text(request, 503, one_line("out of touch with most seats"));
        }
        let listed = state.beats.len() as u64;
        let beat = state.beats.entry(ident.into()).or_insert(Beat { listed, born: now, ..Beat::default() });
        // An earlier call that comes late: what it says was said better since.
        if pulse.calls < beat.calls {
            drop(state);
            return centre.text(request, 200, "{}".into());
        }
        let cold_ms =
            pulse.warm_left.as_deref().and_then(terms::duration).map_or(0, |d| d.as_millis() as u64);
        (beat.at, beat.calls, beat.capacity, beat.service) =
            (now, pulse.calls, pulse.capacity, pulse.backend.clone());
        let emptied =
            pulse.stage > Stage::Ready && state.feed.host(ident).is_none_or(|h| h.stage == Stage::Ready);
        let host = HostNews {
            ident: ident.into(),
            backend: pulse.backend.clone(),
            address: pulse.address,
            area: pulse.area,
            capacity: pulse.capacity.round() as u32,
            revision: pulse.revision,
            stage: pulse.stage,
            silent: false,
            cold_ms,
            calls: pulse.calls,
            via: state.me.clone(),
        };
        state.feed.put_host(&host);
        let heard = if emptied { state.feed.seq } else { 0 };
        let split = state.split(&pulse.backend).unwrap_or(false);
        if split && !state.acting(now) {
            let (status, text) = admin(&state, now, &url);
            state.settle(now, &mut say);
            drop(state);
            centre.say(say);
            return centre.text(request, status, text);
        }
        let (mut ticket, mut service) = (0, None);
        if split {
            let released = pulse.released.unwrap_or_default();
            let puts = state.keys.released(&pulse.backend, ident, &released);
            if !puts.is_empty() {
                ticket = state.queue(puts, None);
            }
            if emptied {
                state.place(now);
            }
            service = Some(pulse.backend.clone());
        }
        let until = now + state.spans.receipt;
        let kind = Kind::Beat { ident: ident.into(), service };
        state.parked.push(Parked { request, until, ticket, heard, kind });
        state.settle(now, &mut say);
        drop(state);
        centre.say(say);
        if ticket > 0 {
            centre.wake();
        }
    }
}

/// `POST /servers/ID/sign-off`
pub struct SignOffs;

impl Resource for SignOffs {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        let ident = path.strip_prefix("/servers/")?.strip_suffix("/sign-off")?;
        (*method == Method::Post && !ident.is_empty()).then_some(ident)
    }

    fn handle(&self, centre: &Arc<Centre>, ident: &str, request: Request, _body: String) {
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        if state.alone(now) {
            drop(state);
            return centre.text(request, 503, one_line("out of touch with most seats"));
        }
        let calls = state.beats.get(ident).map_or(0, |b| b.calls) + 1;
        let via = state.me.clone();
        if let Some(host) = state.feed.host(ident).cloned() {
            state.feed.put_host(&HostNews { stage: Stage::Gone, calls, via, ..host });
        }
        let (until, heard) = (now + state.spans.receipt, state.feed.seq);
        let kind = Kind::Beat { ident: ident.into(), service: None };
        state.parked.push(Parked { request, until, ticket: 0, heard, kind });
        state.settle(now, &mut say);
        drop(state);
        centre.say(say);
    }
}

/// `POST /settings/replace` and `GET /settings/read`
pub struct Configurations;

impl Resource for Configurations {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        match (method, path) {
            (Method::Post, "/settings/replace") | (Method::Get, "/settings/read") => Some(path),
            _ => None,
        }
    }

    fn handle(&self, centre: &Arc<Centre>, path: &str, request: Request, body: String) {
        let replace = path == "/settings/replace";
        let parsed = if replace { Some(terms::config::parse(body.as_bytes())) } else { None };
        if let Some(Err(fault)) = &parsed {
            centre.note(&format!("A configuration is refused: {fault}."));
            return centre.text(request, 400, one_line(fault));
        }
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        if !state.acting(now) {
            let (status, text) = admin(&state, now, path);
            drop(state);
            return centre.text(request, status, text);
        }
        let held = state.feed.settings().map(|s| s.revision);
        match parsed {
            Some(Ok(config)) if held.is_none_or(|held| held < config.revision) => {
                let settings = Settings { revision: config.revision, body };
                let ticket = state.queue(Vec::new(), Some(settings));
                let until = now + 4 * state.spans.call;
                state.parked.push(Parked { request, until, ticket, heard: 0, kind: Kind::Order });
            }
            Some(_) => say.push(Say::Text(request, 200, "{}".into())),
            None => {
                let body = state.feed.settings().map(|s| s.body.clone());
                let (status, body) = body.map_or((404, one_line("no configuration yet")), |b| (200, b));
                say.push(Say::Text(request, status, body));
            }
        }
        drop(state);
        centre.say(say);
        centre.wake();
    }
}

/// `POST /rollouts/NAME`, `POST /rollouts/NAME/ORDER`, `GET /rollouts/NAME`, `GET /rollouts`
pub struct Plans;

impl Resource for Plans {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix("/rollouts")?;
        let whole = rest.is_empty() || rest.starts_with('/');
        (whole && matches!(method, Method::Get | Method::Post)).then_some(rest)
    }

    fn handle(&self, centre: &Arc<Centre>, rest: &str, request: Request, body: String) {
        let (mut state, now) = centre.lock();
        if !state.acting(now) {
            let (status, text) = admin(&state, now, &format!("/rollouts{rest}"));
            drop(state);
            return centre.text(request, status, text);
        }
        let parts: Vec<&str> = rest.split('/').filter(|p| !p.is_empty()).collect();
        let post = *request.method() == Method::Post;
        let (config, state_now) = (state.config.clone(), &mut *state);
        let done = match (post, &parts[..]) {
            (false, []) => {
                let names = state_now.rollouts.names().into_iter();
                let all: Vec<_> = names.filter_map(|n| state_now.rollouts.show(now, n)).collect();
                Err((200, serde_json::json!({ "rollouts": all }).to_string()))
            }
            (false, [name]) => {
                let found = state_now.rollouts.show(now, name);
                Err(found.map_or((404, one_line(format!("no plan {name}"))), |v| (200, v.to_string())))
            }
            (true, [name]) => {
                let puts = state_now.rollouts.submit(now, name, &body, config.as_ref());
                puts.map_err(|(status, why)| (status, one_line(why)))
            }
            (true, [name, order]) => match stride::Order::named(order) {
                Some(order) => {
                    let puts = state_now.rollouts.order(now, name, order);
                    puts.map_err(|(status, why)| (status, one_line(why)))
                }
                None => Err((404, one_line(format!("no order {order}")))),
            },
            _ => Err((404, one_line("nothing here"))),
        };
        match done {
            Ok(puts) => {
                // An order that changes nothing waits for what made it so.
                let ticket = if puts.is_empty() { state.tickets } else { state.queue(puts, None) };
                let until = now + 4 * state.spans.call;
                state.parked.push(Parked { request, until, ticket, heard: 0, kind: Kind::Order });
                drop(state);
                centre.wake();
            }
            Err((status, text)) => {
                drop(state);
                if status == 400 || status == 409 {
                    centre.note(&format!("Plans: {rest} is refused: {text}."));
                }
                centre.text(request, status, text);
            }
        }
    }
}

/// `POST /follow`: edges, and other centres.
pub struct Follows;

impl Resource for Follows {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::Post && path == "/follow").then_some(path)
    }

    fn handle(&self, centre: &Arc<Centre>, _part: &str, request: Request, body: String) {
        let Ok(follow) = serde_json::from_str::<Follow>(&body) else {
            return centre.text(request, 400, one_line("not a poll"));
        };
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        state.follow(now, &follow, request, &mut say);
        // A receipt may be what an acknowledgement waits for.
        if state.parked.iter().any(|p| p.heard > 0) {
            state.settle(now, &mut say);
        }
        drop(state);
        centre.say(say);
    }
}

/// `POST /seat`
pub struct Seats;

impl Resource for Seats {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::Post && path == "/seat").then_some(path)
    }

    fn handle(&self, centre: &Arc<Centre>, _part: &str, request: Request, body: String) {
        match serde_json::from_str::<SeatCall>(&body) {
            Ok(call) => centre.seat(call, Box::new(move |say| answer(request, &say))),
            Err(e) => centre.text(request, 400, one_line(e)),
        }
    }
}

/// `POST /copy`: a primary writes to its backup.
pub struct Copies;

impl Resource for Copies {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::Post && path == "/copy").then_some(path)
    }

    fn handle(&self, centre: &Arc<Centre>, _part: &str, request: Request, body: String) {
        match serde_json::from_str::<Copy>(&body) {
            Ok(copy) => centre.copy(copy, Box::new(move |say: CopySay| answer(request, &say))),
            Err(e) => centre.text(request, 400, one_line(e)),
        }
    }
}

fn answer<T: serde::Serialize>(request: Request, say: &T) {
    crate::voice::respond(request, 200, serde_json::to_string(say).unwrap_or_default());
}
