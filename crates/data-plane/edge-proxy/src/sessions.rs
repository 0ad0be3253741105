//! Sessions that travel between edges: the sockets and headers around `coppersail-session-affinity`, which decides. Off without a file.
use crate::edge::{Edge, Told};
use crate::pass::{self, Held, Passed, Taken};
use crate::reply::{self, Kind, Reply};
use bytes::Bytes;
use coppersail_config::{ProcessSettings, Route};
use coppersail_retry::FinalOutcome;
use coppersail_session_affinity::token::{fingerprint, SessionToken, SigningKeys};
use coppersail_session_affinity::{
    AffinityNode, AffinitySettings, Counters, Decision as Said, IdempotentRequest, Message, Ms, NodeId,
    Outcome, Output, PeerSets, RecordedResponse, SessionId,
};
use eyre::{eyre, WrapErr};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, COOKIE, RETRY_AFTER, SET_COOKIE};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::timeout;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Why a confirmation was not sent on, in a word.
const OUTCOME: HeaderName = HeaderName::from_static("session-outcome");
const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// Counters go to the log this often, and only if they changed.
const TOLD_EVERY: Ms = 60_000;
/// Keys are ids, as a rule of 36 signs; what is longer fills what is kept.
const LONGEST_KEY: usize = 255;
/// Calls at once to one other edge; messages that come meanwhile go together with the next.
const MOST_CALLS: usize = 8;
/// Messages of one call: enough that a crowd that crosses at once takes few, and an answer to all can be held.
const BATCH: usize = 16;

/// What a request of a session shares with the choice of its host.
pub(crate) struct Stay {
    had: Option<Rc<str>>,
    chosen: Rc<RefCell<Option<Rc<str>>>>,
}

impl Stay {
    pub fn steer(&self, edge: &Edge, taken: &Taken<'_>, picked: Rc<str>, tried: &[Rc<str>]) -> Rc<str> {
        let book = edge.book.borrow();
        let usable = |ident: &str| {
            let serves = |host: &coppersail_load_balancing::registry::Endpoint| {
                &*host.service == taken.service && host.usable(edge.now())
            };
            !tried.iter().any(|one| &**one == ident) && book.endpoint(ident).is_some_and(serves)
        };
        // Who holds a key is not for a session to say.
        let had = self.had.as_ref().filter(|_| taken.key.is_none());
        let stays = had
            .filter(|had| {
                coppersail_session_affinity::preferred_endpoint(Some(had), &picked, usable) == &***had
            })
            .cloned();
        let ident = stays.unwrap_or(picked);
        *self.chosen.borrow_mut() = Some(ident.clone());
        ident
    }
}

#[derive(Serialize, Deserialize)]
struct Post<M> {
    from: NodeId,
    msgs: Vec<M>,
}

/// What `session list` shows.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Listed {
    pub site: NodeId,
    pub sessions: Vec<String>,
    pub counts: Counters,
    /// Tokens that were not taken.
    pub unfit: u64,
    /// Messages to other sites, and their bytes.
    pub messages: u64,
    pub bytes: u64,
}

enum Turn {
    Run,
    Done,
    Answer(Said),
}

#[derive(Default)]
struct Peer {
    idle: Vec<SendRequest<Full<Bytes>>>,
    calls: usize,
    waiting: VecDeque<Box<RawValue>>,
}

pub struct Sessions {
    log: Logger,
    file: coppersail_config::SessionSettings,
    keys: SigningKeys,
    rosters: PeerSets,
    me: NodeId,
    site: RefCell<AffinityNode>,
    turns: RefCell<FxHashMap<u64, UnboundedSender<Turn>>>,
    tickets: Cell<u64>,
    peers: RefCell<FxHashMap<NodeId, Peer>>,
    chance: RandomState,
    unfit: Cell<u64>,
    sent: Cell<(u64, u64)>,
}

/// What a route asks of a session.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Part {
    Visit,
    Confirm,
}

fn now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as Ms)
}

fn ms(time: Duration) -> Ms {
    time.as_millis() as Ms
}

impl Sessions {
    /// `address`: where other edges reach this one.
    pub fn new(
        file: coppersail_config::SessionSettings,
        address: &str,
        fresh: bool,
        log: Logger,
    ) -> eyre::Result<Rc<Sessions>> {
        let read = |path: &String| std::fs::read(path).wrap_err_with(|| format!("key file {path}"));
        let keys = file.keys.iter().map(read).collect::<eyre::Result<Vec<_>>>()?;
        let keys = SigningKeys::new(keys).map_err(|expected| eyre!("sessions: expected {expected}"))?;
        let sites = |sites: &std::collections::BTreeMap<u16, String>| {
            sites.iter().map(|(place, address)| (*place, address.clone())).collect()
        };
        let rosters = PeerSets(file.rosters.iter().map(|(number, list)| (*number, sites(list))).collect());
        let newest = &file.rosters[&rosters.newest()];
        let me = newest.iter().find(|(_, site)| *site == address).map(|(place, _)| *place);
        let me = me.ok_or_else(|| eyre!("sessions: {address} is not in the newest list of sites"))?;
        let terms = AffinitySettings {
            sessions: file.held,
            keys: file.each,
            keep: ms(file.keep),
            wait: ms(file.wait),
            tries: file.tries,
            rest: ms(file.rest),
            skew: ms(file.skew),
            answer: file.answer,
        };
        let floor = if fresh { 0 } else { terms.floor(now()) };
        let start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
        let site = RefCell::new(AffinityNode::new(me, &terms, start, floor));
        info!(log, "session: site {me} of {} in list {}", newest.len(), rosters.newest());
        Ok(Rc::new(Sessions {
            log,
            file,
            keys,
            rosters,
            me,
            site,
            turns: RefCell::default(),
            tickets: Cell::new(1),
            peers: RefCell::default(),
            chance: RandomState::new(),
            unfit: Cell::new(0),
            sent: Cell::new((0, 0)),
        }))
    }

    /// With the file of `--sessions`, as the settings place this edge: on the second of the spare ports.
    pub fn from_boot(
        path: &str,
        boot: &ProcessSettings,
        log: Logger,
    ) -> eyre::Result<(Rc<Sessions>, String)> {
        let port = boot.spare_ports.0 + 1;
        if port > boot.spare_ports.1 {
            return Err(eyre!("sessions: there is no second spare port"));
        }
        let address = format!("{}:{port}", boot.ip);
        Ok((
            Sessions::new(coppersail_config::SessionSettings::read(path)?, &address, boot.initial_boot, log)?,
            address,
        ))
    }

    pub fn start(self: &Rc<Self>, listener: TcpListener) {
        let (sessions, every) = (self.clone(), self.file.wait / 10);
        spawn_local(async move {
            let mut ticks = tokio::time::interval(every.max(Duration::from_millis(1)));
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            let (mut told, mut told_at) = (Counters::default(), now());
            loop {
                ticks.tick().await;
                sessions.with(|site, now| site.tick(now));
                if now() >= told_at + TOLD_EVERY {
                    let counts = sessions.site.borrow().counts();
                    if counts != told {
                        sessions.tell(&counts);
                    }
                    (told, told_at) = (counts, now());
                }
            }
        });
        spawn_local(self.clone().listen(listener));
    }

    fn tell(&self, counts: &Counters) {
        let Counters { claims, crossings, let_go, waits, repeats_answered, refused, unknown, .. } = counts;
        info!(
            self.log,
            "session: {claims} claims, {crossings} taken over, {let_go} let go, {waits} waited, \
             {repeats_answered} repeats answered, {refused} refused, {unknown} unknown, {} tokens not taken",
            self.unfit.get()
        );
    }

    pub fn listed(&self) -> Listed {
        let site = self.site.borrow();
        let (messages, bytes) = self.sent.get();
        Listed {
            site: self.me,
            sessions: site.list().iter().map(SessionId::to_string).collect(),
            counts: site.counts(),
            unfit: self.unfit.get(),
            messages,
            bytes,
        }
    }

    fn with(self: &Rc<Self>, act: impl FnOnce(&mut AffinityNode, Ms) -> Vec<Output>) {
        let outs = act(&mut self.site.borrow_mut(), now());
        self.post(outs);
    }

    fn post(self: &Rc<Self>, outs: Vec<Output>) {
        let mut mail: Vec<(NodeId, Vec<Message>)> = vec![];
        for out in outs {
            let (ticket, turn) = match out {
                Output::Send { to, msg } => {
                    match mail.iter_mut().find(|(place, _)| *place == to) {
                        Some((_, msgs)) => msgs.push(msg),
                        None => mail.push((to, vec![msg])),
                    }
                    continue;
                }
                Output::Run { ticket } => (ticket, Turn::Run),
                Output::Done { ticket } => (ticket, Turn::Done),
                Output::Answer { ticket, reply } => (ticket, Turn::Answer(reply)),
            };
            if let Some(to) = self.turns.borrow().get(&ticket) {
                let _ = to.send(turn);
            }
        }
        for (to, msgs) in mail {
            self.mail(to, &msgs);
        }
    }

    fn mail(self: &Rc<Self>, to: NodeId, msgs: &[Message]) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(to).or_default();
        // Beyond a message for each session that may be held, the other edge is no longer there: they are lost,
        // which sites bear.
        let room = self.file.held.saturating_sub(peer.waiting.len());
        peer.waiting.extend(msgs.iter().filter_map(|msg| to_raw_value(msg).ok()).take(room));
        if peer.calls < MOST_CALLS {
            peer.calls += 1;
            spawn_local(self.clone().call(to));
        }
    }

    /// Sends what waits for another edge, until nothing does.
    async fn call(self: Rc<Self>, to: NodeId) {
        loop {
            let msgs: Vec<Box<RawValue>> = {
                let mut peers = self.peers.borrow_mut();
                let peer = peers.entry(to).or_default();
                let count = peer.waiting.len().min(BATCH);
                if count == 0 {
                    peer.calls -= 1;
                    return;
                }
                peer.waiting.drain(..count).collect()
            };
            let count = msgs.len() as u64;
            let body = serde_json::to_vec(&Post { from: self.me, msgs }).unwrap_or_default();
            let (messages, bytes) = self.sent.get();
            self.sent.set((messages + count, bytes + body.len() as u64));
            let address = self.rosters.address(to).unwrap_or_default();
            let said = timeout(self.file.wait, self.exchange(to, address, body.into())).await;
            // No answer is as good as a lost one: waits end by the clock.
            for msg in said.ok().flatten().unwrap_or_default() {
                self.with(|site, now| site.hear(now, to, msg));
            }
        }
    }

    async fn exchange(&self, to: NodeId, address: &str, body: Bytes) -> Option<Vec<Message>> {
        let request = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static("/sojourn");
            request.headers_mut().insert(hyper::header::HOST, HeaderValue::from_str(address).ok()?);
            Some(request)
        };
        loop {
            let kept = self.peers.borrow_mut().entry(to).or_default().idle.pop();
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => {
                    let stream = TcpStream::connect(address).await.ok()?;
                    let _ = stream.set_nodelay(true);
                    let (sender, connection) =
                        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
                    spawn_local(connection);
                    sender
                }
            };
            // A message that arrives twice does no harm.
            match sender.send_request(request()?).await {
                Ok(answer) => {
                    let body = Limited::new(answer.into_body(), self.most()).collect().await.ok()?.to_bytes();
                    let msgs: Vec<Message> = serde_json::from_slice(&body).ok()?;
                    self.peers.borrow_mut().entry(to).or_default().idle.push(sender);
                    return Some(msgs);
                }
                Err(_) if fresh => return None,
                Err(_) => {}
            }
        }
    }

    /// As long as the records of a call can be, written as text.
    fn most(&self) -> usize {
        BATCH * (self.file.each + 1) * (2 * self.file.answer + 4096)
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let sessions = self.clone();
            let service = hyper::service::service_fn(move |request: Request<Incoming>| {
                let sessions = sessions.clone();
                async move {
                    let (status, body) = sessions.told(request).await;
                    let mut answer = Response::new(Full::new(Bytes::from(body)));
                    *answer.status_mut() = status;
                    Ok::<_, Infallible>(answer)
                }
            });
            spawn_local(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    }

    /// A call of another edge, or of a person who looks.
    async fn told(self: &Rc<Self>, request: Request<Incoming>) -> (StatusCode, Vec<u8>) {
        let json = |value: serde_json::Result<Vec<u8>>| match value {
            Ok(bytes) => (StatusCode::OK, bytes),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, vec![]),
        };
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/sojourn") => {
                let body = Limited::new(request.into_body(), self.most()).collect().await;
                let post =
                    body.ok().and_then(|body| serde_json::from_slice::<Post<Message>>(&body.to_bytes()).ok());
                let Some(Post { from, msgs }) = post else { return (StatusCode::BAD_REQUEST, vec![]) };
                if self.rosters.address(from).is_none() {
                    return (StatusCode::BAD_REQUEST, vec![]);
                }
                let mut back = vec![];
                for msg in msgs {
                    let outs = self.site.borrow_mut().hear(now(), from, msg);
                    let mut others = vec![];
                    for out in outs {
                        match out {
                            Output::Send { to, msg } if to == from => back.push(msg),
                            other => others.push(other),
                        }
                    }
                    self.post(others);
                }
                json(serde_json::to_vec(&back))
            }
            (&Method::GET, "/sessions") => json(serde_json::to_vec(&self.listed())),
            (&Method::GET, path) => {
                let id = path.strip_prefix("/sessions/").and_then(|id| id.parse::<SessionId>().ok());
                match id.and_then(|id| self.site.borrow().show(now(), id)) {
                    Some(shown) => json(serde_json::to_vec(&shown)),
                    None => (StatusCode::NOT_FOUND, vec![]),
                }
            }
            _ => (StatusCode::NOT_FOUND, vec![]),
        }
    }

    fn part(&self, route: &Route) -> Option<Part> {
        let same = |place: &&coppersail_config::sessions::PeerSite| {
            place.domain.eq_ignore_ascii_case(&route.domain) && place.path_start == route.path_start
        };
        let place = self.file.routes.iter().find(same)?;
        Some(if place.confirms { Part::Confirm } else { Part::Visit })
    }

    fn carried<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        if let Some(name) = &self.file.header {
            return headers.get(name.as_str())?.to_str().ok();
        }
        let name = self.file.cookie.as_deref()?;
        let lines = headers.get_all(COOKIE).iter().filter_map(|line| line.to_str().ok());
        let mut all = lines.flat_map(|line| line.split(';')).filter_map(|one| one.trim().split_once('='));
        all.find(|(one, _)| *one == name).map(|(_, token)| token)
    }

    fn hand_out(&self, answer: &mut Response<Reply>, token: &SessionToken) {
        let text = self.keys.sign(token);
        let (name, text) = match (&self.file.header, &self.file.cookie) {
            (Some(name), _) => (HeaderName::from_bytes(name.as_bytes()).ok(), text),
            (_, cookie) => {
                let name = cookie.as_deref().unwrap_or_default();
                (Some(SET_COOKIE), format!("{name}={text}; Path=/; HttpOnly; SameSite=Lax"))
            }
        };
        if let (Some(name), Ok(text)) = (name, HeaderValue::from_str(&text)) {
            answer.headers_mut().append(name, text);
        }
    }

    fn newborn(&self) -> SessionToken {
        let (now, number) = (now(), self.ticket());
        let half = |which: u8| self.chance.hash_one((which, now, number));
        SessionToken {
            id: SessionId([half(0), half(1)]),
            roster: self.rosters.newest(),
            born: now,
            signed: now,
        }
    }

    fn ticket(&self) -> u64 {
        self.tickets.replace(self.tickets.get() + 1)
    }

    /// Any request, once sessions are on.
    pub(crate) async fn guide(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        told: &Told,
        mut taken: Taken<'_>,
        body: Incoming,
    ) -> Response<Reply> {
        let Some(part) = self.part(taken.route) else { return pass::pass(edge, told, taken, body).await };
        let now = now();
        let (life, skew) = (ms(self.file.life), ms(self.file.skew));
        let read = self.carried(&taken.headers).map(|text| self.keys.read(text, now, life, skew));
        let (token, why) = match read {
            Some(Ok((token, first))) => match self.rosters.seats(token.roster, token.id) {
                Some(seats) => (Some((token, first, seats)), "no session"),
                None => (None, "the session's list of sites is gone"),
            },
            Some(Err(unfit)) => (None, unfit.why()),
            None => (None, "no session"),
        };
        if token.is_none() && read.is_some() {
            self.unfit.set(self.unfit.get() + 1);
        }
        let Some((token, first, seats)) = token else {
            let mut answer = match part {
                // Without a session a repeat could not be told from a first.
                Part::Confirm => outcome(428, why),
                Part::Visit => pass::pass(edge, told, taken, body).await,
            };
            self.hand_out(&mut answer, &self.newborn());
            return answer;
        };
        let chosen = Rc::new(RefCell::new(None));
        let stays = self.file.stay.iter().any(|service| service == taken.service);
        if stays {
            let had = self.site.borrow().host(token.id, taken.service).map(Rc::from);
            taken.stay = Some(Stay { had, chosen: chosen.clone() });
        }
        let service = taken.service.to_owned();
        let mut answer = match part {
            Part::Visit => {
                // Nothing is waited for: the session is claimed while the request is at its host.
                self.with(|site, now| site.visit(now, token.id, token.born, &seats));
                pass::pass(edge, told, taken, body).await
            }
            Part::Confirm => self.confirm(edge, told, taken, body, &token, seats).await,
        };
        let chosen = chosen.borrow_mut().take();
        if let (Some(host), true) = (chosen, answer.status().is_success()) {
            self.with(|site, now| site.served(now, token.id, &service, &host));
        }
        if answer.headers().get(OUTCOME).is_some_and(|word| word == FORGOTTEN || word == SPENT) {
            self.hand_out(&mut answer, &self.newborn());
        } else if !first || now >= token.signed + life / 2 {
            self.hand_out(&mut answer, &SessionToken { signed: now, ..token });
        }
        answer
    }

    async fn confirm(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        told: &Told,
        taken: Taken<'_>,
        body: Incoming,
        token: &SessionToken,
        seats: Vec<NodeId>,
    ) -> Response<Reply> {
        let key = taken.headers.get(IDEMPOTENCY_KEY).and_then(|key| key.to_str().ok());
        let Some(key) = key.filter(|key| (1..=LONGEST_KEY).contains(&key.len())).map(str::to_owned) else {
            return reply::closing(outcome(400, "no key"));
        };
        let bytes = match pass::take_body(edge, told, taken.until, body).await {
            Ok(Held::Whole(bytes)) => bytes,
            // What cannot be held whole cannot be told from another.
            Ok(Held::Long(_)) => return reply::closing(reply::own(413)),
            Err(answer) => return answer,
        };
        let path = taken.uri.path_and_query().map_or("", |path| path.as_str());
        let print = fingerprint(&[taken.method.as_str().as_bytes(), path.as_bytes(), &bytes]);
        let (ticket, left) = (self.ticket(), taken.until.saturating_sub(edge.now()));
        // After its time it is told for a wait longer how it ended.
        let until = now() + left + ms(self.file.wait);
        let ask = IdempotentRequest { ticket, id: token.id, born: token.born, seats, key, print, until };
        // A route of the configuration may allow repeats; a confirmation never does.
        let route = Route { repeatable: false, ..taken.route.clone() };
        let service = taken.service.to_owned();
        let Taken { part, key, method, uri, headers, id, until, stay, way, .. } = taken;
        let (sessions, edge) = (self.clone(), edge.clone());
        // A client that breaks off ends its wait, not the sending: the repeat is told how it ended.
        let task = spawn_local(async move {
            let (route, service) = (&route, service.as_str());
            let taken = Taken { route, service, part, key, method, uri, headers, id, until, stay, way };
            sessions.send(&edge, taken, bytes, ask).await
        });
        task.await.unwrap_or_else(|_| outcome(502, "unknown"))
    }

    async fn send(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        taken: Taken<'_>,
        body: Bytes,
        ask: IdempotentRequest,
    ) -> Response<Reply> {
        let (ticket, id) = (ask.ticket, taken.id.clone());
        let (send, mut turns) = unbounded_channel();
        self.turns.borrow_mut().insert(ticket, send);
        self.with(|site, now| site.ask(now, ask));
        let mut answer = match turns.recv().await {
            Some(Turn::Run) => {
                let passed = pass::forward(edge, taken, Held::Whole(body)).await;
                self.with(|site, now| site.ran(now, ticket, ended(&passed)));
                // Until it is kept twice, or the wait for that is over.
                let _ = turns.recv().await;
                passed.answer
            }
            Some(Turn::Answer(said)) => self.say(said, edge),
            Some(Turn::Done) | None => outcome(502, "unknown"),
        };
        self.turns.borrow_mut().remove(&ticket);
        if answer.headers().contains_key(&REPLAYED) {
            answer.headers_mut().insert(TRY_ID, id);
        }
        answer
    }

    fn say(&self, said: Said, edge: &Edge) -> Response<Reply> {
        match said {
            Said::Kept(kept) => replayed(kept),
            Said::Past => outcome(410, "ran, the answer is no longer kept"),
            Said::UnderWay => {
                let mut answer = outcome(409, "under way");
                answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                answer
            }
            Said::Unknown => outcome(502, "unknown"),
            Said::Other => outcome(422, "another request went under this key"),
            Said::NotNow => {
                let wait = coppersail_load_balancing::backoff::back(
                    ms(self.file.wait),
                    true,
                    edge.chance.borrow_mut().f64(),
                );
                let mut answer = reply::later(wait);
                answer.headers_mut().insert(OUTCOME, HeaderValue::from_static("not run"));
                answer
            }
            Said::Forgotten => outcome(428, FORGOTTEN),
            Said::Spent => outcome(429, SPENT),
        }
    }
}

const FORGOTTEN: &str = "forgotten";
const SPENT: &str = "spent";

fn outcome(status: u16, word: &'static str) -> Response<Reply> {
    let mut answer = reply::own(status);
    answer.headers_mut().insert(OUTCOME, HeaderValue::from_static(word));
    answer
}

/// What is kept of how a sending ended.
fn ended(Passed { answer, closing }: &Passed) -> Outcome {
    match closing {
        Some(FinalOutcome::Unavailable) => return Outcome::NotRun,
        Some(FinalOutcome::OutcomeUnknown | FinalOutcome::DeadlineExceeded) => return Outcome::Unknown,
        None => {}
    }
    let Kind::Whole(body) = &answer.body().kind else { return Outcome::RanLong };
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        (*name != TRY_ID && *name != CONTENT_LENGTH).then(|| (name.as_str().to_owned(), value))
    };
    Outcome::Ran(RecordedResponse {
        status: answer.status().as_u16(),
        headers: answer.headers().iter().filter_map(text).collect(),
        body: body.as_ref().map(|body| body.to_vec()).unwrap_or_default(),
    })
}

fn replayed(kept: RecordedResponse) -> Response<Reply> {
    let length = kept.body.len();
    let mut answer = Response::new(Reply::whole(kept.body.into()));
    *answer.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in kept.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            answer.headers_mut().append(name, value);
        }
    }
    answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    answer.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    answer
}
