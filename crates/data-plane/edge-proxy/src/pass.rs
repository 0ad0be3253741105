//! One request: from its head to the answer.
use crate::conns::{Lease, Need, Working};
use crate::edge::{Edge, Told};
use crate::front::Scan;
use crate::reply::{self, Flow, Kind, Long, Reply, Sent};
use crate::sessions::Stay;
use crate::steer::{self, Way};
use bytes::{Bytes, BytesMut};
use coppersail_config::Route;
use coppersail_load_balancing::health::FailureKind;
use coppersail_load_balancing::selection::{select_endpoint, Selection, SelectionRequest, VersionFilter};
use coppersail_load_balancing::{backoff, timeouts, traffic_split, Ms};
use coppersail_retry::{
    AttemptHistory, AttemptOutcome, FinalOutcome, IndeterminateCause, RejectReason, SendFailure,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Bodies up to this are held whole, so that a further try can repeat them and a broken answer never begins. It is
/// many times a usual body, and a few hundred of them fit beside each other.
const WHOLE: usize = 256 * 1024;
/// Connections that do not come up, for one request; each costs the client a part of its time.
const MOST_UNSENT: u32 = 3;

const TRY_ID: HeaderName = HeaderName::from_static("try-id");
const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
const WANTED_SERVER: HeaderName = HeaderName::from_static("wanted-server");
const SHARD_KEY: HeaderName = HeaderName::from_static("shard-key");
const SERVER_ID: HeaderName = HeaderName::from_static("server-id");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// A request that has been read as far as it is held.
pub(crate) struct Taken<'a> {
    pub route: &'a Route,
    pub service: &'a str,
    pub part: u32,
    pub key: Option<u16>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub id: HeaderValue,
    /// When its time is up.
    pub until: Ms,
    /// Of a session that keeps its host.
    pub stay: Option<Stay>,
    /// Its version, where a plan speaks about it.
    pub way: Option<Way>,
}

impl Taken<'_> {
    fn left(&self, now: Ms) -> Ms {
        self.until.saturating_sub(now)
    }
}

/// A whole answer, or a long one whose beginning is sound.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Reply,
}

impl Answer {
    fn out(self) -> Response<Reply> {
        let mut answer = Response::new(self.body);
        (*answer.status_mut(), *answer.headers_mut()) = (self.status, self.headers);
        answer
    }
}

pub async fn serve(edge: &Rc<Edge>, request: Request<Incoming>, scan: Scan, from: IpAddr) -> Response<Reply> {
    if !scan.whole {
        // It came in one piece with the request before it, so that its head was not looked at.
        return reply::closing(reply::later(0));
    }
    if scan.doubtful() {
        return reply::closing(reply::own(400));
    }
    let Some(told) = edge.told() else { return reply::later(back(edge, 1_000, false)) };
    let (head, body) = request.into_parts();
    match read_head(edge, &told, head.method, head.uri, head.version, head.headers, from) {
        Ok(taken) => match edge.sessions.get() {
            Some(sessions) => sessions.guide(edge, &told, taken, body).await,
            None => pass(edge, &told, taken, body).await,
        },
        // What cannot be read may have more behind it that is no request.
        Err(Unfit::Unreadable) => reply::closing(reply::own(400)),
        Err(Unfit::TooLong) => reply::closing(reply::own(413)),
        Err(Unfit::NoRoute) => reply::own(404),
    }
}

fn back(edge: &Edge, left: Ms, for_key: bool) -> Ms {
    backoff::back(left, for_key, edge.chance.borrow_mut().f64())
}

/// Why a head goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unfit {
    Unreadable,
    TooLong,
    NoRoute,
}

fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Unfit> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (one, None) => Ok(one),
        _ => Err(Unfit::Unreadable),
    }
}

fn number(value: Option<&HeaderValue>) -> Result<Option<u64>, Unfit> {
    let Some(value) = value else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number.map(Some).ok_or(Unfit::Unreadable)
}

fn read_head<'a>(
    edge: &Edge,
    told: &'a Told,
    method: Method,
    uri: Uri,
    version: Version,
    mut headers: HeaderMap,
    from: IpAddr,
) -> Result<Taken<'a>, Unfit> {
    let now = edge.now();
    let host = only(&headers, &HOST)?.ok_or(Unfit::Unreadable)?;
    let id = only(&headers, &TRY_ID)?.ok_or(Unfit::Unreadable)?.clone();
    let coding = only(&headers, &TRANSFER_ENCODING)?;
    if method == Method::CONNECT
        || version < Version::HTTP_10
        || coding.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
    {
        return Err(Unfit::Unreadable);
    }
    let route = host.to_str().ok().and_then(|host| told.routes.lookup(host, uri.path()));
    let route = route.ok_or(Unfit::NoRoute)?;
    let mut name = traffic_split::select_service(&route.shares, id.as_bytes()).ok_or(Unfit::NoRoute)?;
    let way = if edge.steer.on() { way(edge, told, route, &headers, from, &mut name, now) } else { None };
    let service = told.config.service(name);
    let divided = service.is_some_and(|service| service.split_up);
    let key = if divided { number(only(&headers, &SHARD_KEY)?)? } else { None };
    let key = key.map(u16::try_from).transpose().map_err(|_| Unfit::Unreadable)?;
    let left = number(only(&headers, &TIME_LEFT)?)?;
    let length = number(headers.get(&CONTENT_LENGTH))?;
    if length.is_some_and(|length| length > told.config.caps.body_size) {
        return Err(Unfit::TooLong);
    }
    strip(&mut headers);
    headers.remove(EXPECT);
    let most = service.map_or(0, |service| service.max_connections);
    let part = timeouts::connection_limit(most, edge.book.borrow().edge_count);
    let until = now + timeouts::request_timeout(left, route.give_up);
    // In absolute form the authority is the client's business with this edge.
    let uri = match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => Uri::from(path.clone()),
        _ => uri,
    };
    Ok(Taken { route, service: name, part, key, method, uri, headers, id, until, stay: None, way })
}

/// The version of a request, by the plan that speaks about its service. The service follows from it.
fn way<'a>(
    edge: &Edge,
    told: &'a Told,
    route: &Route,
    headers: &HeaderMap,
    from: IpAddr,
    name: &mut &'a str,
    now: Ms,
) -> Option<Way> {
    let header = edge.steer.member(name, &route.name)?;
    let divided = told.config.service(name).is_some_and(|service| service.split_up);
    // A key has one holder in each version, so that all of its requests go the same way.
    let key = headers.get(&SHARD_KEY).filter(|_| divided);
    let named = key.or_else(|| headers.get(header?)).map(|value| value.as_bytes().to_vec());
    let member = named.unwrap_or_else(|| from.to_string().into_bytes());
    let way = edge.steer.way(now, name, &route.name, &member)?;
    if let Some(service) = way.service() {
        // Only where the configuration in force allows it.
        let (service, _) = route.shares.iter().find(|(one, _)| one == service)?;
        *name = &told.config.service(service)?.name;
    }
    Some(way)
}

/// Takes out what concerns only one connection.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // What the rules and the framing need cannot be named away.
        .filter(|name| ![HOST, CONTENT_LENGTH, TRY_ID, SHARD_KEY, SERVER_SEAL].contains(name))
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
}

pub(crate) enum Held {
    Whole(Bytes),
    Long(Option<Flow>),
}

/// Reads a body whole up to the bound.
async fn hold(mut body: Incoming, most: u64) -> Result<Held, reply::Cut> {
    if body.size_hint().exact().is_some_and(|length| length > WHOLE as u64) {
        return Ok(Held::Long(Some(Flow { first: VecDeque::new(), rest: body, most })));
    }
    let (mut first, mut read) = (VecDeque::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| reply::Cut::Broken)?.into_data() else { continue };
        read += data.len();
        if read as u64 > most {
            return Err(reply::Cut::TooLong);
        }
        first.push_back(data);
        if read > WHOLE {
            return Ok(Held::Long(Some(Flow { first, rest: body, most: most - read as u64 })));
        }
    }
    if first.len() <= 1 {
        return Ok(Held::Whole(first.pop_front().unwrap_or_default()));
    }
    let mut whole = BytesMut::with_capacity(read);
    first.iter().for_each(|bytes| whole.extend_from_slice(bytes));
    Ok(Held::Whole(whole.freeze()))
}

pub(crate) async fn pass(edge: &Rc<Edge>, told: &Told, taken: Taken<'_>, body: Incoming) -> Response<Reply> {
    match take_body(edge, told, taken.until, body).await {
        Ok(held) => forward(edge, taken, held).await.answer,
        Err(answer) => answer,
    }
}

/// How a request ended.
pub(crate) struct Passed {
    pub answer: Response<Reply>,
    /// None: the answer is the host's own.
    pub closing: Option<FinalOutcome>,
}

impl Passed {
    fn own(answer: Answer) -> Passed {
        Passed { answer: answer.out(), closing: None }
    }
}

pub(crate) async fn take_body(
    edge: &Edge,
    told: &Told,
    until: Ms,
    body: Incoming,
) -> Result<Held, Response<Reply>> {
    match timeout_at(edge.at(until), hold(body, told.config.caps.body_size)).await {
        Ok(Ok(held)) => Ok(held),
        Ok(Err(reply::Cut::TooLong)) => Err(reply::closing(reply::own(413))),
        Ok(Err(_)) => Err(reply::closing(reply::own(400))),
        Err(_) => Err(reply::closing(reply::own(408))),
    }
}

pub(crate) async fn forward(edge: &Rc<Edge>, taken: Taken<'_>, mut held: Held) -> Passed {
    let now = edge.now();
    edge.with_budget(taken.service, |budget| budget.record_request(&edge.budget_terms(), now));
    if let Some(slice) = taken.key.and_then(|key| edge.book.borrow().slice(taken.service, key)) {
        edge.tallies.count(taken.service, slice);
    }
    let mut tally = AttemptHistory::default();
    let mut tried: Vec<Rc<str>> = Vec::new();
    // A host's own failure, kept in case that no other host does better.
    let mut failed: Option<Answer> = None;
    let mut for_key = false;
    let mut told_back = None;
    let mut way = taken.way.clone();
    // Connections that have carried it.
    let mut carried: Vec<u64> = Vec::new();
    let wait_until = now + timeouts::owner_wait(taken.route.target_time, taken.left(now));
    loop {
        let now = edge.now();
        let left = taken.left(now);
        if left == 0 || tally.delivered >= taken.route.tries.max(1) || tally.unsent >= MOST_UNSENT {
            break;
        }
        let ask = SelectionRequest {
            service: taken.service,
            key: taken.key,
            idempotent: taken.route.repeatable,
            rank: taken.route.rank,
            left,
            drain_grace: edge.stays(),
            version: way.as_ref().and_then(Way::hosts).map(|(name, is)| {
                if is {
                    VersionFilter::Only(name)
                } else {
                    VersionFilter::Except(name)
                }
            }),
            tried: &tried,
        };
        let choice = select_endpoint(&edge.book.borrow(), &ask, now, &mut edge.chance.borrow_mut());
        let ident = match choice {
            Selection::Endpoint(ident) => match &taken.stay {
                Some(stay) => stay.steer(edge, &taken, ident, &tried),
                None => ident,
            },
            Selection::NoLeaseHolder => {
                for_key = true;
                // A row is doubted for a while only, so that there is more to wait for than news.
                let news = edge.news.notified();
                if now >= wait_until || timeout_at(edge.at(wait_until), news).await.is_err() {
                    break;
                }
                continue;
            }
            // What has certainly not run may go to the sound version.
            Selection::NoEndpoint
                if !tally.may_have_run()
                    && way.as_ref().is_some_and(|way| way.hosts().is_some_and(|h| h.1)) =>
            {
                way = way.map(Way::old);
                continue;
            }
            Selection::NoEndpoint | Selection::Overloaded => break,
        };
        if tally.delivered > 0 {
            let (terms, edges) = (edge.budget_terms(), edge.book.borrow().edge_count);
            if !edge.with_budget(taken.service, |budget| budget.try_spend(&terms, edges, now)) {
                break;
            }
        }
        let body = match &mut held {
            Held::Whole(bytes) => Sent::Whole((!bytes.is_empty()).then(|| bytes.clone())),
            Held::Long(flow) => match flow.take() {
                Some(flow) => Sent::Flow(flow, Rc::default()),
                // Its beginning is gone with the try before.
                None => break,
            },
        };
        let (since, aside) = match &way {
            Some(way) => (Some(Instant::now()), edge.steered(way, &ident, now)),
            None => (None, false),
        };
        let (verdict, unused) =
            go(edge, &taken, &ident, body, &mut told_back, &mut carried, way.as_ref()).await;
        if let (Some(way), Some(since)) = (&way, since) {
            let failed =
                matches!(&verdict, AttemptOutcome::Completed(answer) if answer.status.is_server_error());
            let aim = taken.route.target_time.map_or(Ms::MAX, |time| time.as_millis() as Ms);
            edge.weigh(way, &taken.route.name, &ident, &verdict, failed, steer::took(since), aim, aside);
        }
        if let (Held::Long(flow), Some(Sent::Flow(back, _))) = (&mut held, unused) {
            *flow = Some(back);
        }
        tally.record(&verdict);
        match &verdict {
            AttemptOutcome::NotSent(SendFailure::ConnectionClosed) => {}
            AttemptOutcome::Rejected(RejectReason::NotOwner) => {
                for_key = true;
                let key = taken.key.unwrap_or_default();
                edge.book.borrow_mut().suspect_owner(taken.service, key, &ident, edge.now());
            }
            // The holder alone can run it, so that it is asked again, but not before one of its slots may be free.
            AttemptOutcome::Rejected(RejectReason::Overloaded) if taken.key.is_some() => {
                if edge.now() >= wait_until {
                    break;
                }
                tokio::time::sleep_until(edge.at(wait_until)).await;
            }
            AttemptOutcome::Rejected(RejectReason::StaleAddress) => {
                edge.book.borrow_mut().mark_stale_address(&ident, edge.now())
            }
            _ => tried.push(ident),
        }
        let again = verdict.is_retryable(taken.route.repeatable);
        match verdict {
            AttemptOutcome::Completed(answer) => return Passed::own(answer),
            AttemptOutcome::Failed(answer) if again && failed.is_none() && matches!(held, Held::Whole(_)) => {
                failed = Some(answer);
            }
            AttemptOutcome::Failed(answer) => return Passed::own(answer),
            _ if !again => break,
            _ => {}
        }
    }
    if let Some(answer) = failed {
        return Passed::own(answer);
    }
    let closing = tally.final_outcome();
    let answer = match closing {
        FinalOutcome::Unavailable => {
            let left = taken.left(edge.now());
            reply::later(told_back.map_or_else(|| back(edge, left, for_key), |told: Ms| told.min(left / 3)))
        }
        other => reply::own(other.status()),
    };
    Passed { answer, closing: Some(closing) }
}

/// One try at one host, and the body back if none of it was sent.
async fn go(
    edge: &Rc<Edge>,
    taken: &Taken<'_>,
    ident: &Rc<str>,
    body: Sent,
    told_back: &mut Option<Ms>,
    carried: &mut Vec<u64>,
    way: Option<&Way>,
) -> (AttemptOutcome<Answer>, Option<Sent>) {
    let mut working = Working::new(edge, ident);
    let Some(address) = edge.book.borrow().endpoint(ident).map(|host| host.address) else {
        return (AttemptOutcome::NotSent(SendFailure::EndpointDraining), Some(body));
    };
    let most = timeouts::connect_timeout(taken.route.target_time, taken.left(edge.now()));
    let need = Need { repeatable: taken.route.repeatable, part: taken.part, most, before: carried };
    let mut lease = match Lease::take(edge, ident, address, need).await {
        Ok(lease) => lease,
        Err(unsent) => {
            if unsent == SendFailure::Unreachable {
                working.bad(FailureKind::Unreachable);
            }
            return (AttemptOutcome::NotSent(unsent), Some(body));
        }
    };
    // News may have come while the connection did.
    let sent_at = edge.now();
    let busy = match edge.book.borrow().endpoint(ident) {
        Some(host) if host.still_accepts(sent_at, taken.key, edge.stays()) && host.address == address => {
            host.load.concurrency(sent_at, 0.0)
        }
        _ => return (AttemptOutcome::NotSent(SendFailure::EndpointDraining), Some(body)),
    };
    let Ok(wanted) = HeaderValue::from_str(ident) else {
        return (AttemptOutcome::NotSent(SendFailure::EndpointDraining), Some(body));
    };
    carried.push(lease.number);
    let taken_whole = body.taken();
    let mut request = Request::new(body);
    *request.method_mut() = taken.method.clone();
    *request.uri_mut() = taken.uri.clone();
    *request.headers_mut() = taken.headers.clone();
    request.headers_mut().insert(TIME_LEFT, HeaderValue::from(taken.left(sent_at)));
    request.headers_mut().insert(WANTED_SERVER, wanted);
    lease.watch(edge, &taken.id, way, &taken.route.name);
    let until = edge.at(taken.until);
    let answer = match timeout_at(until, lease.sender.try_send_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(mut wrong)) => {
            let body = wrong.take_message().map(Request::into_body);
            // Kept connections end for many reasons; a new one ends for the host's.
            // Nor is a host to blame for what the client sent.
            if !lease.reused && !wrong.error().is_user() {
                working.bad(FailureKind::Broken);
            }
            if body.is_some() || !lease.begun() {
                let unsent =
                    if lease.reused { SendFailure::ConnectionClosed } else { SendFailure::Unreachable };
                return (AttemptOutcome::NotSent(unsent), body);
            }
            let foreign = wrong.error().is_parse();
            return (
                AttemptOutcome::Indeterminate(if foreign {
                    IndeterminateCause::ForeignResponse
                } else {
                    IndeterminateCause::ConnectionReset
                }),
                None,
            );
        }
        Err(_) if !lease.begun() => return (AttemptOutcome::NotSent(SendFailure::DeadlineExceeded), None),
        Err(_) => {
            working.bad(FailureKind::Timeout);
            return (AttemptOutcome::Indeterminate(IndeterminateCause::Timeout), None);
        }
    };
    // What comes before all of the request was sent may be answered again when the rest has come.
    let early = !taken_whole() || lease.choked();
    let one = Try { edge, taken, ident, lease, sent_at, busy, early };
    match one.read(answer, &mut working, told_back).await {
        Ok(verdict) => (verdict, None),
        Err(broke) => {
            working.bad(if broke == IndeterminateCause::Timeout {
                FailureKind::Timeout
            } else {
                FailureKind::Broken
            });
            (AttemptOutcome::Indeterminate(broke), None)
        }
    }
}

/// A request that is out at a host.
struct Try<'a> {
    edge: &'a Rc<Edge>,
    taken: &'a Taken<'a>,
    ident: &'a Rc<str>,
    lease: Lease,
    sent_at: Ms,
    /// Requests at the host when it was sent.
    busy: f32,
    /// Answered before all of it was sent.
    early: bool,
}

impl Try<'_> {
    async fn read(
        mut self,
        answer: Response<Incoming>,
        working: &mut Working,
        told_back: &mut Option<Ms>,
    ) -> Result<AttemptOutcome<Answer>, IndeterminateCause> {
        let (head, body) = answer.into_parts();
        let (status, mut headers) = (head.status, head.headers);
        // One answer too many may have been waiting on the connection.
        if only(&headers, &TRY_ID) != Ok(Some(&self.taken.id)) || status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(IndeterminateCause::ForeignResponse);
        }
        self.note_load(&headers);
        self.lease.keep = kept_for(&headers);
        let keeps = head.version == Version::HTTP_11 && !closes(&headers) && !self.early;
        let framed = body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING);
        let until = self.edge.at(self.taken.until);
        if let Some(turned) = self.turned(status, &headers) {
            if turned == RejectReason::Overloaded {
                *told_back = seconds(headers.get(RETRY_AFTER)).or(*told_back);
                let now = self.edge.now();
                if let Some(host) = self.edge.book.borrow_mut().endpoint_mut(self.ident) {
                    host.load.record_rejection(now);
                }
            }
            working.good();
            // Without a length it would have to be read until the host closes, which the next try need not wait for.
            if keeps && framed && body.size_hint().exact().is_some_and(|length| length <= WHOLE as u64) {
                if let Ok(Ok(_)) = timeout_at(until, hold(body, WHOLE as u64)).await {
                    self.lease.give_back();
                }
            }
            return Ok(AttemptOutcome::Rejected(turned));
        }
        // A promise that the host did not make must not be passed on as one, nor one beside an answer.
        if [408, 429, 503].contains(&status.as_u16()) || headers.contains_key(&NOT_RUN) {
            return Err(IndeterminateCause::Unsealed);
        }
        let sealed = !status.is_success() || headers.contains_key(&SERVER_SEAL);
        if !sealed || headers.contains_key(CONTENT_ENCODING) {
            return Err(IndeterminateCause::Unsealed);
        }
        // A body that ends with its connection cannot be told from one that was cut.
        if !framed {
            return Err(IndeterminateCause::Truncated);
        }
        strip(&mut headers);
        let held = match timeout_at(until, hold(body, u64::MAX)).await {
            Ok(Ok(held)) => held,
            Ok(Err(_)) => return Err(IndeterminateCause::Truncated),
            Err(_) => return Err(IndeterminateCause::Timeout),
        };
        if status.is_success() {
            self.note_time();
        }
        let lease = keeps.then_some(self.lease);
        let body = match held {
            Held::Whole(bytes) => {
                if let Some(lease) = lease {
                    lease.give_back();
                }
                working.good();
                Reply::whole(bytes)
            }
            Held::Long(flow) => {
                let flow = flow.expect("just read");
                let until = Box::pin(tokio::time::sleep_until(until));
                let working = Working::new(self.edge, self.ident);
                Reply { kind: Kind::Long(Box::new(Long { flow, lease, working, until })), done: None }
            }
        };
        let answer = Answer { status, headers, body };
        // Such a failure is a host's own; a 504 has used up the time.
        Ok(match status {
            StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY => AttemptOutcome::Failed(answer),
            _ => AttemptOutcome::Completed(answer),
        })
    }

    fn turned(&self, status: StatusCode, headers: &HeaderMap) -> Option<RejectReason> {
        if status != StatusCode::MISDIRECTED_REQUEST {
            let error = status.is_client_error() || status.is_server_error();
            return (error && headers.contains_key(&NOT_RUN)).then_some(RejectReason::Overloaded);
        }
        let other = headers.get(&SERVER_ID).is_some_and(|id| id.as_bytes() != self.ident.as_bytes());
        Some(if self.taken.key.is_some() && !other {
            RejectReason::NotOwner
        } else {
            RejectReason::StaleAddress
        })
    }

    /// "running,waiting,slots"
    fn note_load(&self, headers: &HeaderMap) {
        let Some(told) = headers.get(&SERVER_LOAD).and_then(|told| told.to_str().ok()) else { return };
        let mut numbers = told.split(',').map(|part| part.trim().parse::<u32>());
        if let (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) =
            (numbers.next(), numbers.next(), numbers.next())
        {
            let now = self.edge.now();
            if let Some(host) = self.edge.book.borrow_mut().endpoint_mut(self.ident) {
                host.load.record_report(running, waiting, slots, now);
            }
        }
    }

    fn note_time(&self) {
        let took = self.edge.now().saturating_sub(self.sent_at);
        let mut book = self.edge.book.borrow_mut();
        let usual = book.service(self.taken.service).map_or(0.0, |part| part.mean_latency);
        let Some(host) = book.endpoint_mut(self.ident) else { return };
        host.load.record_latency(took, self.busy, usual);
        let mean = host.load.mean_latency();
        if let Some(part) = book.service_mut(self.taken.service) {
            part.record_latency(mean);
        }
    }
}

fn seconds(value: Option<&HeaderValue>) -> Option<Ms> {
    let seconds: f64 = value?.to_str().ok()?.trim().parse().ok()?;
    (0.0..86_400.0).contains(&seconds).then_some((seconds * 1000.0) as Ms)
}

fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let told = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
    let timeout = told.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

fn closes(headers: &HeaderMap) -> bool {
    let words = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    words.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}
