//! The centre: configuration, hosts and keys, on two disks before it answers. `docs/system.md` is the design.
pub mod feed;
#[cfg(test)]
mod feed_tests;
pub mod helm;
pub mod links;
pub mod muster;
#[cfg(test)]
mod muster_tests;
pub mod resources;
pub mod rollouts;
pub mod state;
pub mod store;
pub mod voice;

use accord::{Ballot, Held, Id, Ms, No, Record, Seat};
use eyre::{eyre, Result};
use resources::Resource;
use state::{Role, Say, Spans, State};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::{Found, Scribe, Write};
use terms::Boot;
use tidings::{Copy, CopySay, SeatCall, SeatSay};

type Done<T> = Box<dyn FnOnce(T) + Send>;

pub struct Centre {
    state: Mutex<State>,
    work: Condvar,
    pub scribe: Scribe,
    pub spans: Spans,
    pub survive: u32,
    start: Instant,
    port: u16,
    log: slog::Logger,
}

impl Centre {
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms + 1
    }

    pub fn lock(&self) -> (MutexGuard<'_, State>, Ms) {
        // A thread that panicked under the lock ends the process: see `main`.
        let state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let now = self.now();
        (state, now)
    }

    /// Waits until there may be something to write.
    pub fn lock_for_work(&self) -> (MutexGuard<'_, State>, Ms) {
        let (state, _) = self.lock();
        let idle = |s: &mut State| s.queue.is_empty() || !matches!(s.role, Role::Acting(_));
        let waited = self.work.wait_timeout_while(state, Duration::from_millis(500), idle);
        let state = waited.map(|(s, _)| s).unwrap_or_else(|e| e.into_inner().0);
        (state, self.now())
    }

    pub fn wake(&self) {
        self.work.notify_all();
    }

    pub fn note(&self, text: &str) {
        slog::info!(self.log, "{text}");
    }

    pub fn say(&self, say: Vec<Say>) {
        voice::speak(say);
    }

    pub fn text(&self, request: tiny_http::Request, status: u16, text: String) {
        voice::respond(request, status, text);
    }

    pub fn peer_address(&self, id: &Id) -> String {
        state::peer_address(id, self.port)
    }

    /// A call to this centre's seat. What changes it is on the disk before it is answered.
    pub fn seat(&self, call: SeatCall, done: Done<SeatSay>) {
        let (mut state, now) = self.lock();
        let Some(seat) = state.seat.as_mut() else {
            drop(state);
            let no = Some(No { why: "no seat".into(), ..No::default() });
            return done(SeatSay { record: None, no });
        };
        let (outcome, changed, record) = match &call {
            SeatCall::Prepare(ballot) => (seat.prepare(now, ballot).map(Some), true, None),
            SeatCall::Accept(record, span) => {
                (seat.accept(now, record, *span).map(|()| None), true, Some(record))
            }
            SeatCall::Renew(record, span) => match seat.renew(now, record, *span) {
                Ok(new) => (Ok(None), new, Some(record)),
                Err(no) => (Err(no), false, None),
            },
        };
        let say = match outcome {
            Ok(record) => SeatSay { record, no: None },
            Err(no) => SeatSay { record: None, no: Some(no) },
        };
        let held = serde_json::to_string(&seat.held).unwrap_or_default();
        if let Some(record) = record.filter(|r| say.no.is_none() && r.epoch > state.record.epoch) {
            state.record = record.clone();
        }
        if !changed || say.no.is_some() {
            drop(state);
            return done(say);
        }
        // Asked for under the lock, so that the disk has them in the order in which the seat said them.
        let failed = No { why: "the disk does not take it".into(), ..No::default() };
        let done =
            Box::new(move |ok| done(if ok { say } else { SeatSay { record: None, no: Some(failed) } }));
        self.scribe.write(Write { state: Vec::new(), whole: false, own: vec![("seat".into(), held)], done });
    }

    /// What another seat holds, for one that has lost its disk.
    pub fn heard_seat(&self, state: &mut State, now: Ms, peer: &Id, held: Option<Held>) {
        if !state.lost {
            return;
        }
        if state.seat.is_none() && state.seats.contains(&state.me) {
            let others: Vec<Id> = state.seats.iter().filter(|s| **s != state.me).cloned().collect();
            state.seat = Some(Seat::lost(others, now + self.spans.promise));
        }
        let (span, seats) = (self.spans.promise, serde_json::to_string(&state.seats).unwrap_or_default());
        let whole = match (&mut state.seat, held) {
            (Some(seat), Some(held)) => seat.hear(now, peer, &held, span).then(|| seat.held.clone()),
            _ => None,
        };
        if let Some(held) = whole {
            state.lost = false;
            self.note("The seat has heard all others and is whole again.");
            let held = serde_json::to_string(&held).unwrap_or_default();
            let own = vec![("seat".into(), held), ("seats".into(), seats)];
            self.scribe.write(Write { state: Vec::new(), whole: false, own, done: Box::new(|_| ()) });
        }
    }

    /// A primary writes to this centre.
    pub fn copy(self: &Arc<Self>, copy: Copy, done: Done<CopySay>) {
        let (mut state, _) = self.lock();
        let no =
            |state: &State, why: &str| CopySay { ok: false, why: why.into(), floor: state.floor.clone() };
        let follows = copy.whole || (copy.epoch == state.floor && !state.broken);
        let gap = !copy.whole && copy.seq != state.seq + 1 && copy.seq != state.seq;
        if copy.epoch < state.floor || !follows || gap {
            let say = no(&state, if gap { "a gap" } else { "another epoch" });
            drop(state);
            return done(say);
        }
        let again = !copy.whole && copy.seq == state.seq;
        if copy.whole {
            state.step_down();
            state.held.clear();
            state.broken = true;
        }
        state.floor = copy.epoch.clone();
        state.seq = copy.seq;
        let puts = if again { Vec::new() } else { copy.puts };
        state.held.extend(puts.iter().cloned());
        let floor = serde_json::to_string(&copy.epoch).unwrap_or_default();
        let (centre, whole, floor_now) = (self.clone(), copy.whole, copy.epoch);
        let done = Box::new(move |ok: bool| {
            let (mut state, _) = centre.lock();
            // After a write that failed only a snapshot makes memory and disk the same again.
            if !ok {
                state.broken = true;
            } else if whole && state.floor == floor_now {
                state.broken = false;
            }
            let ok = ok && !state.broken;
            drop(state);
            done(CopySay { ok, why: String::new(), floor: floor_now })
        });
        self.scribe.write(Write { state: puts, whole: copy.whole, own: vec![("floor".into(), floor)], done });
    }

    pub fn start(boot: &Boot, log: slog::Logger) -> Result<Arc<Centre>> {
        let folder =
            boot.data_folder.clone().ok_or_else(|| eyre!("self.dataFolder: null, expected a folder"))?;
        let me =
            boot.admin.clone().ok_or_else(|| eyre!("network.binds.admin: missing, expected an address"))?;
        let say = |text: &str| slog::warn!(log, "{text}");
        let (scribe, found) = Scribe::start(std::path::Path::new(&folder), say)?;
        let spans = Spans::new(boot);
        if boot.survive > 1 {
            slog::warn!(
                log,
                "terms.survive.boxes is {}: two disks are kept of each change, and three seats.",
                boot.survive
            );
        }
        let state = first_state(boot, &me, spans, found, &scribe)?;
        let (port, survive) = (boot.spare_ports.0, boot.survive);
        let (state, work, start) = (Mutex::new(state), Condvar::new(), Instant::now());
        let centre = Arc::new(Centre { state, work, scribe, spans, survive, start, port, log });
        let mut known = Vec::new();
        links::start(&centre, &mut known);
        let spawn = |name: &str, run: fn(Arc<Centre>)| {
            let c = centre.clone();
            std::thread::Builder::new()
                .name(name.into())
                .stack_size(512 * 1024)
                .spawn(move || run(c))
                .map(drop)
        };
        spawn("helm", helm::run)?;
        spawn("write", helm::write)?;
        spawn("tick", tick)?;
        let peers: Vec<Box<dyn Resource>> =
            vec![Box::new(resources::Follows), Box::new(resources::Seats), Box::new(resources::Copies)];
        let admin: Vec<Box<dyn Resource>> = vec![
            Box::new(resources::Pulses),
            Box::new(resources::SignOffs),
            Box::new(resources::Configurations),
            Box::new(resources::Plans),
        ];
        serve(&centre, &format!("{}:{port}", boot.ip), peers)?;
        serve(&centre, &me, admin)?;
        Ok(centre)
    }
}

/// What a disk says, or the first start of all, or a lost disk.
fn first_state(boot: &Boot, me: &Id, spans: Spans, found: Found, scribe: &Scribe) -> Result<State> {
    let own = |name: &str| found.own.get(name).map(|s| s.as_str()).unwrap_or("");
    let mut seats: Vec<Id> = serde_json::from_str(own("seats")).unwrap_or_default();
    let mut floor: Ballot = serde_json::from_str(own("floor")).unwrap_or_default();
    let held: Option<Held> = serde_json::from_str(own("seat")).ok();
    let (mut seat, mut record, mut lost) = (None, Record::default(), false);
    if !seats.is_empty() {
        record = held.as_ref().map(|h| h.record.clone()).unwrap_or_default();
        seat = held.map(|h| Seat::again(h, spans.promise + 1));
        lost = seat.is_none() && seats.contains(me);
    } else if boot.initial_boot {
        // The same three are told to all: they are the seats, and the first two of them hold what there is: nothing.
        seats = boot.known_peers.clone();
        seats.sort();
        seats.dedup();
        let name = |n: usize| seats.get(n).or(seats.first()).unwrap_or(me).clone();
        record = Record { epoch: Ballot::new(1, ""), primary: name(0), backup: name(1) };
        let mut own = vec![("seats".to_string(), serde_json::to_string(&seats)?)];
        if seats.contains(me) {
            let first = Seat::first(record.clone());
            own.push(("seat".into(), serde_json::to_string(&first.held)?));
            seat = Some(first);
        }
        if record.names(me) {
            floor = record.epoch.clone();
            own.push(("floor".into(), serde_json::to_string(&floor)?));
        }
        let (tell, told) = std::sync::mpsc::channel();
        let done = Box::new(move |ok| tell.send(ok).unwrap_or(()));
        scribe.write(Write { state: Vec::new(), whole: false, own, done });
        if !told.recv().unwrap_or(false) {
            return Err(eyre!("the disk does not take the first write"));
        }
    } else {
        lost = true;
    }
    let mut members: std::collections::BTreeSet<Id> =
        boot.known_peers.iter().chain(&seats).cloned().collect();
    members.insert(me.clone());
    // Numbers up to 2^53 are safe in every JSON reader.
    let life = fastrand::u64(1..1 << 53);
    Ok(State {
        me: me.clone(),
        port: boot.spare_ports.0,
        area: boot.area.clone(),
        spans,
        seats,
        seat,
        members,
        peers: BTreeMap::new(),
        held: found.state,
        floor,
        seq: 0,
        role: Role::Idle,
        promises: Default::default(),
        record,
        fit: true,
        lost,
        broken: true,
        top: 0,
        bad_backup: None,
        feed: feed::Feed::new(life),
        config: None,
        followers: BTreeMap::new(),
        polls: Vec::new(),
        parked: Vec::new(),
        queue: Default::default(),
        tickets: 0,
        written: 0,
        failed: 0,
        beats: BTreeMap::new(),
        keys: tenure::Keys::new(spans.keep),
        settled_at: 0,
        shown: 0,
        laid: BTreeMap::new(),
        asked: BTreeMap::new(),
        edges: BTreeMap::new(),
        rollouts: Default::default(),
    })
}

/// Twenty times a second: what has waited long enough, who fell silent, where keys should be.
fn tick(centre: Arc<Centre>) {
    let (mut known, mut round) = (Vec::new(), 0u64);
    loop {
        std::thread::sleep(Duration::from_millis(50));
        round += 1;
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        let mut lines = Vec::new();
        if round % 4 == 0 {
            state.listen(now);
            state.place(now);
            lines = state.steer(now);
        }
        if round % 100 == 0 {
            state.keys.fade();
        }
        state.settle(now, &mut say);
        let work = !state.queue.is_empty();
        drop(state);
        lines.iter().for_each(|line| centre.note(line));
        centre.say(say);
        if work {
            centre.wake();
        }
        if round % 10 == 0 {
            links::start(&centre, &mut known);
        }
    }
}

fn serve(centre: &Arc<Centre>, address: &str, all: Vec<Box<dyn Resource>>) -> Result<()> {
    let server = tiny_http::Server::http(address).map_err(|e| eyre!("{address}: {e}"))?;
    let (centre, all) = (centre.clone(), Arc::new(all));
    let run = move || loop {
        let Ok(mut request) = server.recv() else { continue };
        // Up to this much has been read already; more may be long in coming.
        if request.body_length().is_some_and(|n| n <= 1024) || request.method() == &tiny_http::Method::Get {
            let body = resources::read(&mut request);
            dispatch(&centre, &all, request, body);
        } else {
            let (centre, all) = (centre.clone(), all.clone());
            let run = move || {
                let body = resources::read(&mut request);
                dispatch(&centre, &all, request, body);
            };
            let _ = std::thread::Builder::new().stack_size(512 * 1024).spawn(run);
        }
    };
    std::thread::Builder::new().name("serve".into()).stack_size(512 * 1024).spawn(run)?;
    Ok(())
}

fn dispatch(
    centre: &Arc<Centre>,
    all: &[Box<dyn Resource>],
    request: tiny_http::Request,
    body: Option<String>,
) {
    let url = request.url().to_string();
    let path = url.split('?').next().unwrap_or("");
    let found = all.iter().find_map(|r| r.takes(request.method(), path).map(|part| (r, part)));
    match (found, body) {
        (Some((resource, part)), Some(body)) => resource.handle(centre, part, request, body),
        (Some(_), None) => centre.text(request, 400, "{\"why\":\"the body was cut short\"}".into()),
        (None, _) => centre.text(request, 404, "{\"why\":\"nothing here\"}".into()),
    }
}
