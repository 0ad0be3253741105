//! One request: from its head to the answer.
use crate::conns::{Lease, Working};
use crate::edge::{Edge, Told};
use crate::front::Scan;
use crate::reply::{self, Flow, Kind, Long, Reply, Sent};
use bytes::{Bytes, BytesMut};
use course::health::Sign;
use course::pick::{self, Ask, Choice};
use course::{pause, Ms};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use terms::Route;
use tidings::Stage;
use tokio::time::timeout_at;
use verdict::{Broke, Closing, Tally, Turned, Unsent, Verdict};

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
struct Taken<'a> {
    route: &'a Route,
    service: &'a str,
    part: u32,
    key: Option<u16>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    id: HeaderValue,
    /// When its time is up.
    until: Ms,
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

pub async fn serve(edge: &Rc<Edge>, request: Request<Incoming>, scan: Scan) -> Response<Reply> {
    let now = edge.now();
    if !scan.whole {
        // It came in one piece with the request before it, so that its head was not looked at.
        return reply::closing(reply::later(0));
    }
    if scan.doubtful() {
        return reply::closing(reply::own(400));
    }
    let Some(told) = edge.told() else { return reply::later(back(edge, 1_000, false)) };
    let (head, body) = request.into_parts();
    match read_head(edge, &told, head.method, head.uri, head.version, head.headers, now) {
        Ok(taken) => pass(edge, &told, taken, body).await,
        Err(answer) => answer,
    }
}

fn back(edge: &Edge, left: Ms, for_key: bool) -> Ms {
    pause::back(left, for_key, edge.chance.borrow_mut().f64())
}

fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, ()> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (one, None) => Ok(one),
        _ => Err(()),
    }
}

fn number(value: Option<&HeaderValue>) -> Result<Option<u64>, ()> {
    let Some(value) = value else { return Ok(None) };
    value.to_str().map_err(drop)?.trim().parse().map(Some).map_err(drop)
}

fn read_head<'a>(
    edge: &Edge,
    told: &'a Told,
    method: Method,
    uri: Uri,
    version: Version,
    mut headers: HeaderMap,
    now: Ms,
) -> Result<Taken<'a>, Response<Reply>> {
    let bad = |()| reply::closing(reply::own(400));
    let host = only(&headers, &HOST).and_then(|host| host.ok_or(())).map_err(bad)?;
    let id = only(&headers, &TRY_ID).and_then(|id| id.ok_or(())).map_err(bad)?.clone();
    let coding = only(&headers, &TRANSFER_ENCODING).map_err(bad)?;
    if method == Method::CONNECT
        || version < Version::HTTP_10
        || coding.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
    {
        return Err(bad(()));
    }
    let Some(route) = host.to_str().ok().and_then(|host| told.routes.lookup(host, uri.path())) else {
        return Err(reply::own(404));
    };
    let Some(name) = pick::service(&route.shares, id.as_bytes()) else { return Err(reply::own(404)) };
    let service = told.config.service(name);
    let divided = service.is_some_and(|service| service.split_up);
    let most = service.map_or(0, |service| service.max_connections);
    let edges = edge.book.borrow().edges;
    let key = if divided { number(headers.get(&SHARD_KEY)).map_err(bad)? } else { None };
    let key = key.map(u16::try_from).transpose().map_err(|_| bad(()))?;
    let left = number(only(&headers, &TIME_LEFT).map_err(bad)?).map_err(bad)?;
    let length = number(headers.get(&CONTENT_LENGTH)).map_err(bad)?;
    if length.is_some_and(|length| length > told.config.caps.body_size) {
        return Err(reply::closing(reply::own(413)));
    }
    strip(&mut headers);
    headers.remove(EXPECT);
    let part = pause::part(most, edges);
    let until = now + pick::deadline(left, route.give_up);
    // In absolute form the authority is the client's business with this edge.
    let uri = match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => Uri::from(path.clone()),
        _ => uri,
    };
    Ok(Taken { route, service: name, part, key, method, uri, headers, id, until })
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

enum Held {
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

async fn pass(edge: &Rc<Edge>, told: &Told, taken: Taken<'_>, body: Incoming) -> Response<Reply> {
    let until = edge.at(taken.until);
    let mut held = match timeout_at(until, hold(body, told.config.caps.body_size)).await {
        Ok(Ok(held)) => held,
        Ok(Err(reply::Cut::TooLong)) => return reply::closing(reply::own(413)),
        Ok(Err(_)) => return reply::closing(reply::own(400)),
        Err(_) => return reply::closing(reply::own(408)),
    };
    let now = edge.now();
    edge.with_budget(taken.service, |budget| budget.request(&edge.budget_terms(), now));
    if let Some(slice) = taken.key.and_then(|key| edge.book.borrow().slice(taken.service, key)) {
        edge.tallies.count(taken.service, slice);
    }
    let mut tally = Tally::default();
    let mut tried: Vec<Rc<str>> = Vec::new();
    // A host's own failure, kept in case that no other host does better.
    let mut failed: Option<Answer> = None;
    let mut for_key = false;
    let mut told_back = None;
    let wait_until = now + pause::for_holder(taken.route.target_time, taken.left(now));
    loop {
        let now = edge.now();
        let left = taken.left(now);
        if left == 0 || tally.arrived >= taken.route.tries.max(1) || tally.unsent >= MOST_UNSENT {
            break;
        }
        let ask = Ask {
            service: taken.service,
            key: taken.key,
            repeatable: taken.route.repeatable,
            rank: taken.route.rank,
            left,
            tried: &tried,
        };
        let choice = pick::pick(&edge.book.borrow(), &ask, now, &mut edge.chance.borrow_mut());
        let ident = match choice {
            Choice::Host(ident) => ident,
            Choice::Unheld => {
                for_key = true;
                // A row is doubted for a while only, so that there is more to wait for than news.
                let news = edge.news.notified();
                if now >= wait_until || timeout_at(edge.at(wait_until), news).await.is_err() {
                    break;
                }
                continue;
            }
            Choice::Nobody | Choice::Overrun => break,
        };
        if tally.arrived > 0 {
            let (terms, edges) = (edge.budget_terms(), edge.book.borrow().edges);
            if !edge.with_budget(taken.service, |budget| budget.spend(&terms, edges, now)) {
                break;
            }
        }
        let body = match &mut held {
            Held::Whole(bytes) => Sent::Whole((!bytes.is_empty()).then(|| bytes.clone())),
            Held::Long(flow) => match flow.take() {
                Some(flow) => Sent::Flow(flow),
                // Its beginning is gone with the try before.
                None => break,
            },
        };
        let (verdict, unused) = go(edge, &taken, &ident, body, &mut told_back).await;
        if let (Held::Long(flow), Some(Sent::Flow(back))) = (&mut held, unused) {
            *flow = Some(back);
        }
        tally.take(&verdict);
        match &verdict {
            Verdict::NotSent(Unsent::Closed) => {}
            Verdict::TurnedAway(Turned::Unheld) => {
                for_key = true;
                let key = taken.key.unwrap_or_default();
                edge.book.borrow_mut().doubt(taken.service, key, &ident, edge.now());
            }
            Verdict::TurnedAway(Turned::Elsewhere) => edge.book.borrow_mut().spurn(&ident, edge.now()),
            _ => tried.push(ident),
        }
        let again = verdict.again(taken.route.repeatable);
        if let Verdict::Ran(answer) = verdict {
            // Such a failure is a host's own, and another may do better; a 504 has used up the time.
            let own = [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY].contains(&answer.status);
            if own && taken.route.repeatable && failed.is_none() && matches!(held, Held::Whole(_)) {
                failed = Some(answer);
                continue;
            }
            return answer.out();
        }
        if !again {
            break;
        }
    }
    if let Some(answer) = failed {
        return answer.out();
    }
    match tally.closing() {
        Closing::Later => {
            let left = taken.left(edge.now());
            reply::later(told_back.map_or_else(|| back(edge, left, for_key), |told: Ms| told.min(left / 3)))
        }
        other => reply::own(other.status()),
    }
}

/// One try at one host, and the body back if none of it was sent.
async fn go(
    edge: &Rc<Edge>,
    taken: &Taken<'_>,
    ident: &Rc<str>,
    body: Sent,
    told_back: &mut Option<Ms>,
) -> (Verdict<Answer>, Option<Sent>) {
    let mut working = Working::new(edge, ident);
    let Some(address) = edge.book.borrow().host(ident).map(|host| host.address) else {
        return (Verdict::NotSent(Unsent::Leaving), Some(body));
    };
    let left = taken.left(edge.now());
    let lease = Lease::take(edge, ident, address, taken.route.repeatable, taken.part, left).await;
    let mut lease = match lease {
        Ok(lease) => lease,
        Err(unsent) => {
            if unsent == Unsent::Unreachable {
                working.bad(Sign::Unreachable);
            }
            return (Verdict::NotSent(unsent), Some(body));
        }
    };
    // News may have come while the connection did.
    let now = edge.now();
    let busy = match edge.book.borrow().host(ident) {
        Some(host) if host.stage == Stage::Ready && host.address == address => host.load.busy(now, 0.0),
        _ => return (Verdict::NotSent(Unsent::Leaving), Some(body)),
    };
    let mut request = Request::new(body);
    *request.method_mut() = taken.method.clone();
    *request.uri_mut() = taken.uri.clone();
    let mut headers = taken.headers.clone();
    headers.insert(TIME_LEFT, HeaderValue::from(taken.left(now)));
    let Ok(wanted) = HeaderValue::from_str(ident) else {
        return (Verdict::NotSent(Unsent::Leaving), Some(request.into_body()));
    };
    headers.insert(WANTED_SERVER, wanted);
    *request.headers_mut() = headers;
    let until = edge.at(taken.until);
    let answer = match timeout_at(until, lease.sender.try_send_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(mut wrong)) => {
            if let Some(request) = wrong.take_message() {
                return (Verdict::NotSent(Unsent::Closed), Some(request.into_body()));
            }
            // Kept connections end for many reasons; a new one ends for the host's.
            // Nor is a host to blame for what the client sent.
            if !lease.reused && !wrong.error().is_user() {
                working.bad(Sign::Broken);
            }
            let foreign = wrong.error().is_parse();
            return (Verdict::MayHaveRun(if foreign { Broke::Foreign } else { Broke::Reset }), None);
        }
        Err(_) => {
            working.bad(Sign::Silent);
            return (Verdict::MayHaveRun(Broke::Silent), None);
        }
    };
    let verdict = read(edge, taken, ident, answer, lease, &mut working, told_back, (now, busy)).await;
    match verdict {
        Ok(verdict) => (verdict, None),
        Err(broke) => {
            working.bad(if broke == Broke::Silent { Sign::Silent } else { Sign::Broken });
            (Verdict::MayHaveRun(broke), None)
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

#[allow(clippy::too_many_arguments)]
async fn read(
    edge: &Rc<Edge>,
    taken: &Taken<'_>,
    ident: &Rc<str>,
    answer: Response<Incoming>,
    mut lease: Lease,
    working: &mut Working,
    told_back: &mut Option<Ms>,
    (sent_at, busy): (Ms, f32),
) -> Result<Verdict<Answer>, Broke> {
    let (head, body) = answer.into_parts();
    let (status, mut headers) = (head.status, head.headers);
    // One answer too many may have been waiting on the connection.
    if headers.get(&TRY_ID) != Some(&taken.id) || status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Broke::Foreign);
    }
    let now = edge.now();
    note_load(edge, ident, &headers, now);
    lease.keep = kept_for(&headers);
    let kept = (head.version == Version::HTTP_11 && !closes(&headers)).then_some(lease);
    let framed = body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING);
    let until = edge.at(taken.until);
    let turned = if status == StatusCode::MISDIRECTED_REQUEST {
        let other = headers.get(&SERVER_ID).is_some_and(|id| id.as_bytes() != ident.as_bytes());
        Some(if taken.key.is_some() && !other { Turned::Unheld } else { Turned::Elsewhere })
    } else {
        headers.contains_key(&NOT_RUN).then_some(Turned::Full)
    };
    if let Some(turned) = turned {
        if turned == Turned::Full {
            *told_back = seconds(headers.get(RETRY_AFTER)).or(*told_back);
            if let Some(host) = edge.book.borrow_mut().host_mut(ident) {
                host.load.full(now);
            }
        }
        working.good();
        if let (Some(lease), true, Ok(Ok(Held::Whole(_)))) =
            (kept, framed, timeout_at(until, hold(body, WHOLE as u64)).await)
        {
            lease.give_back();
        }
        return Ok(Verdict::TurnedAway(turned));
    }
    // A promise that the host did not make must not be passed on as one.
    if [408, 429, 503].contains(&status.as_u16()) {
        return Err(Broke::Unsealed);
    }
    let sealed = !status.is_success() || headers.contains_key(&SERVER_SEAL);
    if !sealed || headers.contains_key(CONTENT_ENCODING) {
        return Err(Broke::Unsealed);
    }
    // A body that ends with its connection cannot be told from one that was cut.
    if !framed {
        return Err(Broke::Cut);
    }
    strip(&mut headers);
    let held = match timeout_at(until, hold(body, u64::MAX)).await {
        Ok(Ok(held)) => held,
        Ok(Err(_)) => return Err(Broke::Cut),
        Err(_) => return Err(Broke::Silent),
    };
    if status.is_success() {
        note_time(edge, taken.service, ident, edge.now().saturating_sub(sent_at), busy);
    }
    let body = match held {
        Held::Whole(bytes) => {
            if let Some(lease) = kept {
                lease.give_back();
            }
            working.good();
            Reply::whole(bytes)
        }
        Held::Long(flow) => {
            let flow = flow.expect("just read");
            let until = Box::pin(tokio::time::sleep_until(until));
            let working = Working::new(edge, ident);
            Reply { kind: Kind::Long(Box::new(Long { flow, lease: kept, working, until })), done: None }
        }
    };
    Ok(Verdict::Ran(Answer { status, headers, body }))
}

/// "running,waiting,slots"
fn note_load(edge: &Edge, ident: &str, headers: &HeaderMap, now: Ms) {
    let Some(told) = headers.get(&SERVER_LOAD).and_then(|told| told.to_str().ok()) else { return };
    let mut numbers = told.split(',').map(|part| part.trim().parse::<u32>());
    if let (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) =
        (numbers.next(), numbers.next(), numbers.next())
    {
        if let Some(host) = edge.book.borrow_mut().host_mut(ident) {
            host.load.told(running, waiting, slots, now);
        }
    }
}

fn note_time(edge: &Edge, service: &str, ident: &str, took: Ms, busy: f32) {
    let mut book = edge.book.borrow_mut();
    let Some(host) = book.host_mut(ident) else { return };
    host.load.took(took, busy);
    let mean = host.load.mean();
    if let Some(part) = book.part_mut(service) {
        part.note(mean);
    }
}
