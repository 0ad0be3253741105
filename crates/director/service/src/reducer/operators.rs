//! Operators' changes within the reducer: what stands in their book becomes wishes to the decisions, what comes in
//! goes to the judge as well, and what the book wants done becomes effects. What is decided about a change is decided
//! in `coppersail-changes` and `coppersail-judge`.

use super::news::Standing;
use super::{ControlId, Effect, Out};
use coppersail::interface as api;
use coppersail_admin_socket::{Answer, Difference, Request, Status, Trial, PAGE};
use coppersail_capacity_guard::{Change, Guarded, Mode, Pending};
use coppersail_change_analysis::{Judge, Touch, TrialId};
use coppersail_changes::{
    announced, Act, Book, Leaving, Pool, PoolHost, Ready, Record, Refusal, Submission, Version,
};
use coppersail_operator_config::{difference, Again, Field, GuardMode, Known, Sheet, Value};
use coppersail_settings::Names;
use std::collections::{BTreeMap, BTreeSet};
use tracing::Level;

/// With no new line ordered for so long, what a change asked for is taken to be out...
const QUIET: f64 = 1.0;
/// ...or so long after it was given, as balancing may go on by itself. A large one takes the channel some rounds.
const QUIET_MOST: f64 = 10.0;
/// Between looks at what has become due.
const BEAT: f64 = 0.25;

/// A host as the list tells of it.
#[derive(Clone, Copy)]
struct Listed {
    ready: bool,
    born: Option<f64>,
    zone: api::ZoneId,
}

/// A change that was given to the decisions and whose orders are not settled.
struct Applying {
    by: Version,
    since: f64,
    /// When a line was last ordered.
    ordered: f64,
    slices: BTreeSet<api::SliceId>,
}

/// What stands now, for those who need it.
pub struct Around<'a> {
    pub names: &'a Names,
    pub standing: &'a Standing,
    /// No call is out or waits.
    pub calls_idle: bool,
    pub director: &'a Guarded,
}

pub struct Operators {
    name: String,
    book: Book,
    judge: Judge,
    known: Known,
    ramp_time: f64,
    zones: usize,
    durable: bool,
    /// What the wall clock showed at the zero of all times, seconds.
    wall: f64,
    listed: BTreeMap<api::HostId, Listed>,
    /// What the decisions were last given.
    sent: api::Wishes,
    /// The document has changed, or a host has come that it may name.
    stale: bool,
    /// Hosts that give up their slices as they are announced to leave, and when that changes by itself.
    moving: BTreeSet<api::HostId>,
    turns_at: f64,
    applying: Option<Applying>,
    /// Who waits to hear that a change is in the history.
    owed: BTreeMap<Version, ControlId>,
    beat_at: f64,
}

fn retry(again: Again) -> api::Retry {
    match again {
        Again::Never => api::Retry::Never,
        Again::IfNeverRan => api::Retry::IfNeverRan,
        Again::Once => api::Retry::Once,
        Again::Twice => api::Retry::Twice,
    }
}

impl Operators {
    pub fn new(name: &str, settings: &api::Settings, known: Known, wall_ns: u64) -> Self {
        let importance = settings.routes.iter().map(|route| route.importance).collect();
        let slo = settings.routes.iter().map(|route| route.slo_time).fold(f64::INFINITY, f64::min);
        Operators {
            name: name.to_string(),
            book: Book::default(),
            judge: Judge::new(settings.report_interval, importance, slo),
            known,
            ramp_time: settings.ramp_time,
            zones: settings.zones.len(),
            durable: false,
            wall: wall_ns as f64 / 1e9,
            listed: BTreeMap::new(),
            sent: api::Wishes::default(),
            stale: true,
            moving: BTreeSet::new(),
            turns_at: f64::INFINITY,
            applying: None,
            owed: BTreeMap::new(),
            beat_at: 0.0,
        }
    }

    /// The start: from the history, if there is one, or from the file alone. What the file holds that it did not when
    /// it was last taken is a change like any other.
    pub fn begin(
        &mut self,
        sheet: &Sheet,
        history: Option<Vec<Record>>,
        around: &Around,
        out: &mut Out,
    ) -> Result<(), String> {
        self.durable = history.is_some();
        if !self.durable {
            out.tell("operators: changes are kept in memory alone and end with the director".to_string());
        }
        let records = history.unwrap_or_default();
        if records.is_empty() {
            let (book, record) = Book::found(sheet.document.clone(), self.wall);
            self.book = book;
            out.effects.push(Effect::Record(record));
            return Ok(());
        }
        out.tell(format!("operators: {} records in the history", records.len()));
        self.book = Book::recover(records).map_err(|error| error.to_string())?;
        let (pool, wall) = (self.pool(0.0, around), self.wall);
        let acts = self.book.resume(0.0, wall, &pool);
        self.carry_out(0.0, acts, around, out);
        self.take_file(0.0, Ok(sheet.clone()), around, out);
        Ok(())
    }

    pub fn next(&self) -> f64 {
        let beat = if self.book.idle() { f64::INFINITY } else { self.beat_at };
        self.judge.next().min(beat).min(self.turns_at)
    }

    /// What has come in, as the decisions get it.
    pub fn heard(&mut self, inputs: &[api::Input]) {
        for input in inputs {
            match input {
                api::Input::Demand { slice, route, calls, dropped, .. } => {
                    self.judge.demand(*slice, *route, *calls, *dropped);
                }
                api::Input::Tries { host, tries, dropped, rt, .. } => {
                    self.judge.tries(*host, *tries, *dropped, *rt);
                }
                api::Input::Hosts { scope, entries, .. } if *scope != api::ListScope::Failed => {
                    if *scope != api::ListScope::Changes {
                        self.listed.clear();
                    }
                    for entry in entries {
                        let ready = entry.state == api::HostState::Ready;
                        let listed = Listed { ready, born: entry.born, zone: entry.zone };
                        match entry.state {
                            api::HostState::Gone => drop(self.listed.remove(&entry.host)),
                            _ => drop(self.listed.insert(entry.host, listed)),
                        }
                    }
                    self.stale = true;
                }
                api::Input::StoredLine { .. } => self.stale = true,
                _ => {}
            }
        }
    }

    /// The decisions have ordered a line.
    pub fn ordered(&mut self, now: f64, slice: api::SliceId) {
        if let Some(applying) = &mut self.applying {
            applying.ordered = now;
            applying.slices.insert(slice);
        }
    }

    /// How the guard stands.
    pub fn guard(&self) -> Mode {
        match self.book.document().get(&Field::Guard) {
            Some(Value::Guard(GuardMode::Watch)) => Mode::Watch,
            Some(Value::Guard(GuardMode::On)) => Mode::On,
            _ => Mode::Off,
        }
    }

    fn pool(&self, now: f64, around: &Around) -> Pool {
        let guarded = (self.guard() == Mode::On).then_some(around.director.guard().pool());
        let carries = |host: &api::HostId| {
            let pool = guarded?;
            Some(pool.hosts.get(host)?.unit(now, &pool.bounds) * pool.bounds.carries?.low)
        };
        let host = |(host, listed): (&api::HostId, &Listed)| {
            let warm = listed.born.is_none_or(|born| now - born >= self.ramp_time);
            let carries = carries(host).unwrap_or(f64::INFINITY);
            (around.names.host_name(*host).to_string(), PoolHost { ready: listed.ready, warm, carries })
        };
        Pool { hosts: self.listed.iter().map(host).collect(), calls: around.director.asked() }
    }

    /// What has become due, and what the decisions are to go by if that has changed.
    pub fn pump(&mut self, now: f64, around: &Around, out: &mut Out) -> Option<api::Wishes> {
        if now >= self.judge.next() {
            let judged = self.judging();
            for (TrialId(number), found) in self.judge.close(now) {
                if judged {
                    let (wall, pool) = (self.wall + now, self.pool(now, around));
                    let found = (self.said(&found, around.names), found.unsure());
                    let acts = self.book.harmful(now, wall, Version(number), found, &pool);
                    self.carry_out(now, acts, around, out);
                }
            }
        }
        if !self.book.idle() && now >= self.beat_at {
            self.beat_at = now + BEAT;
            self.settle(now, around, out);
            let (wall, pool) = (self.wall + now, self.pool(now, around));
            let (baseline, judged) = (self.judge.baseline(), self.judging());
            let believed =
                |(number, trial): &(Version, f64)| judged && self.judge.believed(TrialId(number.0), *trial);
            let heard: BTreeSet<Version> =
                self.book.trials().filter(believed).map(|(number, _)| number).collect();
            let judge = &self.judge;
            let ready = |number: Option<Version>| Ready {
                baseline,
                heard: number.is_some_and(|number| heard.contains(&number)),
                calm: number.is_some_and(|number| judged && judge.calm(TrialId(number.0))),
            };
            let acts = self.book.tick(now, wall, &pool, &ready);
            self.carry_out(now, acts, around, out);
        }
        self.announced(now, around, out);
        if !std::mem::take(&mut self.stale) {
            return None;
        }
        let wishes = self.wishes(around.names);
        (wishes != self.sent).then(|| {
            self.sent = wishes.clone();
            wishes
        })
    }

    /// What is announced of hosts that are known, by the monotonic clock.
    fn leaving<'a>(&'a self, names: &'a Names) -> impl Iterator<Item = (api::HostId, f64)> + 'a {
        announced(self.book.document())
            .filter_map(|(name, at)| Some((names.known_host(name)?, at - self.wall)))
    }

    fn born(&self, host: api::HostId) -> Option<f64> {
        self.listed.get(&host).and_then(|listed| listed.born)
    }

    /// Whose time has come, or is over.
    fn announced(&mut self, now: f64, around: &Around, out: &mut Out) {
        let moves =
            |(host, at): &(api::HostId, f64)| Leaving::of(now, *at, self.born(*host)) == Leaving::Moving;
        let moving: BTreeSet<api::HostId> =
            self.leaving(around.names).filter(moves).map(|(host, _)| host).collect();
        self.turns_at =
            self.leaving(around.names).map(|(_, at)| Leaving::turns(now, at)).fold(f64::INFINITY, f64::min);
        if moving != self.moving {
            for host in moving.difference(&self.moving) {
                out.tell(format!("announced: {} gives up its slices", around.names.host_name(*host)));
            }
            for host in self.moving.difference(&moving) {
                out.tell(format!("announced: {} may serve again", around.names.host_name(*host)));
            }
            (self.moving, self.stale) = (moving, true);
        }
    }

    /// What the guard is to look ahead to.
    pub fn pending(&self, now: f64, names: &Names) -> Vec<Pending> {
        let coming =
            |(host, at): &(api::HostId, f64)| Leaving::of(now, *at, self.born(*host)) != Leaving::Over;
        let event = |(host, at)| Pending { at, host, what: Change::Leaves };
        self.leaving(names).filter(coming).map(event).collect()
    }

    fn judging(&self) -> bool {
        self.book.document().get(&Field::Judge) != Some(&Value::Flag(false))
    }

    fn said(&self, found: &coppersail_change_analysis::Found, names: &Names) -> String {
        let text = found.to_string();
        match found.part {
            coppersail_change_analysis::Part::Route(route) => {
                text.replacen(&format!("route {}", route.0), &format!("route {}", names.route_name(route)), 1)
            }
            _ => text,
        }
    }

    /// Whether the orders of the change that was given last are out and settled.
    fn settle(&mut self, now: f64, around: &Around, out: &mut Out) {
        let Some(applying) = &self.applying else { return };
        let out_by = applying.ordered + QUIET <= now || applying.since + QUIET_MOST <= now;
        if !out_by || !around.calls_idle || self.stale {
            return;
        }
        let Some(applying) = self.applying.take() else { return };
        self.judge.touches(TrialId(applying.by.0), applying.slices);
        let acts = self.book.settled(now, self.wall + now, applying.by);
        self.carry_out(now, acts, around, out);
    }

    /// Everything that operators have set, by the numbers that the decisions know. Hosts that nobody has named yet
    /// follow when somebody does.
    fn wishes(&self, names: &Names) -> api::Wishes {
        let mut wishes = api::Wishes::default();
        let zone = |name: &str| names.zone(name).ok().map(|zone| zone.0 as usize);
        let routes = &mut wishes.routes;
        for (field, value) in self.book.document() {
            match (field, value) {
                (Field::HostWeight(name), Value::Number(weight)) => {
                    wishes.hosts.extend(names.known_host(name).map(|host| (host, *weight)));
                }
                (Field::HostDrained(name), Value::Flag(true)) => {
                    wishes.drained.extend(names.known_host(name))
                }
                (Field::ZoneWeight(name), Value::Number(weight)) => {
                    wishes.zones.resize(self.zones, 1.0);
                    zone(name)
                        .and_then(|at| wishes.zones.get_mut(at))
                        .into_iter()
                        .for_each(|of| *of = *weight);
                }
                (Field::Apart(slice, name), _) => {
                    wishes.apart.extend(names.known_host(name).map(|host| (api::SliceId(*slice), host)));
                }
                (Field::RouteCeiling(name), Value::Number(ceiling)) => {
                    let route = names.route(name).ok();
                    route.into_iter().for_each(|r| routes.entry(r).or_default().ceiling = Some(*ceiling));
                }
                (Field::RouteAgain(name), Value::Again(again)) => {
                    let route = names.route(name).ok();
                    route.into_iter().for_each(|r| routes.entry(r).or_default().again = Some(retry(*again)));
                }
                _ => {}
            }
        }
        wishes.drained.extend(&self.moving);
        wishes
    }

    /// What a change has to do with, as tables stand before it.
    fn touch(&self, number: Version, around: &Around) -> Touch {
        let mut touch = Touch::default();
        let Some(change) = self.book.change(number) else { return touch };
        for field in change.submission.edits.keys() {
            match field {
                Field::HostWeight(name) | Field::HostDrained(name) | Field::HostLeaves(name) => {
                    touch.hosts.extend(around.names.known_host(name))
                }
                Field::ZoneWeight(name) => {
                    let zone = around.names.zone(name).ok();
                    let within = self.listed.iter().filter(|(_, listed)| Some(listed.zone) == zone);
                    touch.hosts.extend(within.map(|(host, _)| *host));
                }
                Field::Apart(slice, _) => _ = touch.slices.insert(api::SliceId(*slice)),
                Field::RouteCeiling(name) | Field::RouteAgain(name) => {
                    touch.routes.extend(around.names.route(name).ok());
                }
                Field::Trial | Field::Judge | Field::Guard => {}
            }
        }
        let meets = |lines: &BTreeMap<api::HostId, f64>| lines.keys().any(|host| touch.hosts.contains(host));
        let slices = around.standing.slices.iter().filter(|(_, (_, lines))| meets(lines));
        let slices: Vec<api::SliceId> = slices.map(|(slice, _)| *slice).collect();
        touch.slices.extend(slices);
        touch
    }

    fn carry_out(&mut self, now: f64, acts: Vec<Act>, around: &Around, out: &mut Out) {
        for act in acts {
            match act {
                Act::Write(record) => {
                    let accepted = match &record {
                        Record::Accepted { number, .. } => Some(*number),
                        _ => None,
                    };
                    if self.durable {
                        out.effects.push(Effect::Record(record));
                    } else if let Some(number) = accepted {
                        let acts = self.book.written(self.wall + now, number);
                        self.carry_out(now, acts, around, out);
                        self.pay(number, out);
                    }
                }
                Act::Give { by, .. } => {
                    self.stale = true;
                    let applying = Applying { by, since: now, ordered: now, slices: BTreeSet::new() };
                    self.applying = Some(applying);
                    self.beat_at = self.beat_at.min(now + BEAT);
                }
                Act::Watch(number) => {
                    let touch = self.touch(number, around);
                    let expected =
                        self.book.change(number).map_or(0.0, |change| change.submission.expected_loss);
                    self.judge.watch(TrialId(number.0), touch, expected);
                }
                Act::Unwatch(number) => self.judge.unwatch(TrialId(number.0)),
                Act::SetAside(number) => self.judge.set_aside(TrialId(number.0)),
                Act::Resume(number) => self.judge.resume(TrialId(number.0)),
                Act::Say { about, text } => {
                    let undone = ["undone", "dropped", "set aside"].iter().any(|word| text.starts_with(word));
                    let level = if undone { Level::WARN } else { Level::INFO };
                    let text = about.map_or(text.clone(), |number| format!("change {number}: {text}"));
                    out.effects.push(Effect::Log(level, about, text));
                }
            }
        }
    }

    /// Tells who submitted a change that the history holds it.
    fn pay(&mut self, number: Version, out: &mut Out) {
        if let Some(who) = self.owed.remove(&number) {
            out.effects.push(Effect::Answer(who, Answer::Accepted { number, durable: self.durable }));
        }
    }

    pub fn written(&mut self, now: f64, number: Version, around: &Around, out: &mut Out) {
        let acts = self.book.written(self.wall + now, number);
        self.carry_out(now, acts, around, out);
        self.pay(number, out);
    }

    pub fn unwritten(
        &mut self,
        now: f64,
        number: Option<Version>,
        why: &str,
        around: &Around,
        out: &mut Out,
    ) {
        let acts = self.book.unwritten(self.wall + now, number, why);
        self.carry_out(now, acts, around, out);
        if let Some(who) = number.and_then(|number| self.owed.remove(&number)) {
            let why = Refusal::History(why.to_string()).to_string();
            out.effects.push(Effect::Answer(who, Answer::Rejected { reason: why }));
        }
    }

    /// The file was read anew: what differs from when it was last taken is submitted as a change.
    pub fn take_file(&mut self, now: f64, sheet: Result<Sheet, String>, around: &Around, out: &mut Out) {
        let sheet = match sheet {
            Ok(sheet) => sheet,
            Err(wrong) => {
                out.counters.configurations_bad += 1;
                return out.warn(format!("operators' file: all stays as it was, {wrong}"));
            }
        };
        let edits = difference(self.book.file(), &sheet.document);
        if edits.is_empty() {
            return;
        }
        let submission = Submission {
            base: self.book.head(),
            who: "the operators' file".to_string(),
            why: "it was read anew".to_string(),
            edits,
            file: Some(sheet.document.into_iter().collect()),
            ..Submission::default()
        };
        if let Err(refusal) = self.submit(now, submission, around, out) {
            out.counters.configurations_bad += 1;
            out.warn(format!("operators' file: not taken, {refusal}"));
        }
    }

    fn submit(
        &mut self,
        now: f64,
        wanted: Submission,
        around: &Around,
        out: &mut Out,
    ) -> Result<Version, Refusal> {
        let pool = self.pool(now, around);
        let (number, acts) = self.book.submit(now, self.wall + now, wanted, &self.known, &pool)?;
        self.carry_out(now, acts, around, out);
        Ok(number)
    }

    /// Answers an operator's command.
    pub fn asked(&mut self, now: f64, who: ControlId, request: Request, around: &Around, out: &mut Out) {
        out.counters.commands += 1;
        let (wall, pool) = (self.wall + now, self.pool(now, around));
        let done = |acts: Vec<Act>| (Answer::Done, acts);
        let answered: Result<(Answer, Vec<Act>), Refusal> = match request {
            Request::Status => Ok((Answer::Status(Box::new(self.status(now, around))), vec![])),
            Request::Submit { submission } => {
                // Drafts and others alike are answered when they are in the history.
                let token = submission.token.clone();
                let again = self.book.changes().any(|c| !token.is_empty() && c.submission.token == token);
                match self.book.submit(now, wall, submission, &self.known, &pool) {
                    Ok((number, acts)) if again => {
                        Ok((Answer::Accepted { number, durable: self.durable }, acts))
                    }
                    Ok((number, acts)) => {
                        self.owed.insert(number, who);
                        return self.carry_out(now, acts, around, out);
                    }
                    Err(refusal) => Err(refusal),
                }
            }
            Request::Diff { edits } => {
                let differs = self.book.preview(&edits).into_iter();
                let differs = differs
                    .map(|(field, is, becomes)| Difference { field, current: is, proposed: becomes })
                    .collect();
                Ok((Answer::Diff { differs }, vec![]))
            }
            Request::List { before } => {
                let older = || self.book.changes().filter(|c| before.is_none_or(|before| c.number < before));
                let changes = older().take(PAGE).cloned().collect();
                Ok((Answer::Changes { changes, more: older().nth(PAGE).is_some() }, vec![]))
            }
            Request::Show { number } => {
                let change = self.book.change(number).cloned().ok_or(Refusal::NoSuch(number));
                change.map(|change| (Answer::Change(Box::new(change)), vec![]))
            }
            Request::Stage { number } => {
                self.book.stage_draft(now, wall, number, &self.known, &pool).map(done)
            }
            Request::Confirm { number, who } => self.book.confirm(wall, number, who).map(done),
            Request::Extend { number, by, who } => self.book.extend(number, by, &who).map(done),
            Request::Undo { number, who, why } => {
                self.book.undo(now, wall, number, (who, why), &pool).map(done)
            }
            Request::Freeze { who, why } => Ok(done(self.book.freeze(wall, who, why))),
            Request::Thaw { who } => Ok(done(self.book.thaw(wall, who))),
        };
        let (answer, acts) = answered.unwrap_or_else(|refusal| {
            out.counters.commands_refused += 1;
            (Answer::Rejected { reason: refusal.to_string() }, vec![])
        });
        self.carry_out(now, acts, around, out);
        out.effects.push(Effect::Answer(who, answer));
    }

    fn status(&self, now: f64, around: &Around) -> Status {
        let trial = |(number, trial): (Version, f64)| Trial {
            number,
            remaining_seconds: self.book.trial_left(now, number).unwrap_or(0.0),
            reports: self.judge.heard(TrialId(number.0)),
            sufficient: self.judge.believed(TrialId(number.0), trial),
        };
        Status {
            name: self.name.clone(),
            version: self.book.head(),
            durable: self.durable,
            frozen: self.book.frozen().cloned(),
            baseline: self.judge.baseline(),
            trials: self.book.trials().map(trial).collect(),
            in_force: self.book.document().iter().map(|(field, value)| (field.clone(), *value)).collect(),
            hosts: self.listed.len(),
            slices: around.standing.slices.len(),
            proxies: around.standing.proxies.len(),
        }
    }
}
