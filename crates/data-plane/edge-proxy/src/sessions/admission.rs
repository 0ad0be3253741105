//! Admission of a request when session affinity is enabled: finds its session, and sends a request that must
//! run at most once only if the affinity node admits it.
use super::clock::{millis, unix_millis};
use super::endpoint_affinity::{EndpointAffinity, SentTo};
use super::replay::{self, rejection};
use super::service::{Progress, Sessions};
use super::tokens::ValidToken;
use crate::body::Body;
use crate::edge::{ConfigSnapshot, Edge};
use crate::proxy::{proxy_buffered, proxy_request, read_request_body};
use crate::request::ReceivedRequest;
use crate::response::{close_connection, empty_response, ResponseBody};
use bytes::Bytes;
use coppersail_config::sessions::SessionRoute;
use coppersail_config::Route;
use coppersail_load_balancing::backoff;
use coppersail_session_affinity::token::{fingerprint, SessionToken, TokenError};
use coppersail_session_affinity::{IdempotentRequest, NodeId};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use hyper::Response;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The client's key of a request that must run at most once, as in the IETF draft on the `Idempotency-Key`
/// header.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length (bytes) of an idempotency key. Keys are ids of usually 36 characters; longer keys would
/// take up too much of the session records.
const MAX_KEY_LENGTH: usize = 255;

/// The guarantee that a route requires for its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RouteKind {
    /// Requests may run any number of times (the setting `confirms` is off).
    Lookup,
    /// Requests must run at most once (the setting `confirms` is on).
    Confirmation,
}

/// The session of a request.
struct RequestSession {
    valid: ValidToken,
    /// The peers that store replicas of the session.
    replicas: Vec<NodeId>,
}

/// A request that must run at most once, with its complete body.
struct BufferedRequest<'a> {
    request: ReceivedRequest<'a>,
    body: Bytes,
    /// The description of the request for the affinity node.
    idempotent: IdempotentRequest,
}

/// Why a request has no session.
#[derive(Debug, Clone, Copy)]
enum NoSession {
    NoToken,
    UnknownPeerSet,
    InvalidToken(TokenError),
}

impl NoSession {
    /// The reason for the client, in the header `session-outcome`.
    fn reason(self) -> &'static str {
        match self {
            NoSession::NoToken => "no session",
            NoSession::UnknownPeerSet => "the session's list of sites is gone",
            NoSession::InvalidToken(error) => error.message(),
        }
    }
}

impl Sessions {
    /// Proxies a request when session affinity is enabled, whether or not sessions cover its route.
    pub(crate) async fn proxy_request(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        config: &ConfigSnapshot,
        mut request: ReceivedRequest<'_>,
        body: Incoming,
    ) -> Response<ResponseBody> {
        let Some(kind) = self.route_kind(request.route) else {
            return proxy_request(edge, config, request, body).await;
        };
        let now = unix_millis();
        let session = match self.session_of(&request.headers, now) {
            Ok(session) => session,
            Err(error) => {
                let mut response = match kind {
                    // Without a session, a repeated request could not be recognized.
                    RouteKind::Confirmation => rejection(428, error.reason()),
                    RouteKind::Lookup => proxy_request(edge, config, request, body).await,
                };
                self.attach_new_token(&mut response);
                return response;
            }
        };
        let RequestSession { valid, replicas } = session;
        let token = &valid.token;
        let sent_to = self.prefer_endpoint(&mut request, token);
        let service = request.service.to_owned();
        let mut response = match kind {
            RouteKind::Lookup => {
                // The request does not wait: the session is claimed while the endpoint processes the request.
                self.drive(|node, now| node.touch(now, token.id, token.created_at, &replicas));
                proxy_request(edge, config, request, body).await
            }
            RouteKind::Confirmation => self.confirm(edge, config, request, body, token, replicas).await,
        };
        let endpoint = sent_to.borrow_mut().take();
        if let (Some(endpoint), true) = (endpoint, response.status().is_success()) {
            self.drive(|node, now| node.set_endpoint(now, token.id, &service, &endpoint));
        }
        if replay::ends_session(&response) {
            self.attach_new_token(&mut response);
        } else if self.tokens.needs_renewal(&valid, now) {
            self.tokens.attach(&mut response, &SessionToken { signed_at: now, ..valid.token });
        }
        response
    }

    /// The kind of the route, or `None` if sessions do not cover it.
    fn route_kind(&self, route: &Route) -> Option<RouteKind> {
        let is_same = |session_route: &&SessionRoute| {
            session_route.domain.eq_ignore_ascii_case(&route.domain)
                && session_route.path_prefix == route.path_prefix
        };
        let session_route = self.settings.routes.iter().find(is_same)?;
        Some(if session_route.confirms { RouteKind::Confirmation } else { RouteKind::Lookup })
    }

    fn session_of(&self, headers: &HeaderMap, now: u64) -> Result<RequestSession, NoSession> {
        let text = self.tokens.find(headers).ok_or(NoSession::NoToken)?;
        let valid = self.tokens.verify(text, now).map_err(NoSession::InvalidToken);
        let session = valid.and_then(|valid| {
            let replicas = self.peer_sets.replicas(valid.token.peer_set, valid.token.id);
            replicas.map(|replicas| RequestSession { valid, replicas }).ok_or(NoSession::UnknownPeerSet)
        });
        if session.is_err() {
            self.rejected_tokens.set(self.rejected_tokens.get() + 1);
        }
        session
    }

    fn attach_new_token(&self, response: &mut Response<ResponseBody>) {
        let token = self.tokens.issue(unix_millis(), self.new_request_id(), self.peer_sets.newest());
        self.tokens.attach(response, &token);
    }

    /// Makes the request prefer the session's endpoint, for the services in the setting `services`. The
    /// returned cell receives the id of the endpoint to which the request is sent.
    fn prefer_endpoint(&self, request: &mut ReceivedRequest<'_>, token: &SessionToken) -> SentTo {
        let sent_to = SentTo::default();
        if self.settings.affine_services.iter().any(|service| service == request.service) {
            let previous = self.node.borrow().endpoint(token.id, request.service).map(Rc::from);
            request.affinity = Some(EndpointAffinity::new(previous, sent_to.clone()));
        }
        sent_to
    }

    /// Handles a request that must run at most once: buffers its body, has the affinity node admit it and
    /// sends it.
    async fn confirm(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        config: &ConfigSnapshot,
        request: ReceivedRequest<'_>,
        body: Incoming,
        token: &SessionToken,
        replicas: Vec<NodeId>,
    ) -> Response<ResponseBody> {
        let Some(key) = idempotency_key(&request.headers) else {
            return close_connection(rejection(400, "no key"));
        };
        let body = match read_request_body(edge, config, request.deadline, body).await {
            Ok(Body::Buffered(body)) => body,
            // A body that is not buffered cannot be compared with the body of a repeated request.
            Ok(Body::Streaming(_)) => return close_connection(empty_response(413)),
            Err(response) => return response,
        };
        let time_left = request.deadline.saturating_sub(edge.now());
        let idempotent = IdempotentRequest {
            request_id: self.new_request_id(),
            session: token.id,
            created_at: token.created_at,
            replicas,
            key,
            fingerprint: request_fingerprint(&request, &body),
            // Until one peer timeout after its deadline, the request counts as in flight for repeated
            // requests; after that, its outcome counts as unknown if none was recorded.
            deadline: unix_millis() + time_left + millis(self.settings.peer_timeout),
        };
        self.send_detached(edge, BufferedRequest { request, body, idempotent }).await
    }

    /// Sends the request in a separate task, which continues if the client disconnects. A repeated request of
    /// the client then gets the recorded outcome.
    async fn send_detached(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        buffered: BufferedRequest<'_>,
    ) -> Response<ResponseBody> {
        let BufferedRequest { request, body, idempotent } = buffered;
        // The configuration may allow retries on the route, but a request that must run at most once is never
        // retried.
        let route = Route { idempotent: false, ..request.route.clone() };
        let service = request.service.to_owned();
        let ReceivedRequest {
            connection_limit,
            key,
            method,
            uri,
            headers,
            request_id,
            deadline,
            affinity,
            variant,
            ..
        } = request;
        let (sessions, edge) = (self.clone(), edge.clone());
        let task = spawn_local(async move {
            let (route, service) = (&route, service.as_str());
            let request = ReceivedRequest {
                route,
                service,
                connection_limit,
                key,
                method,
                uri,
                headers,
                request_id,
                deadline,
                affinity,
                variant,
            };
            sessions.send_once(&edge, BufferedRequest { request, body, idempotent }).await
        });
        task.await.unwrap_or_else(|_| replay::outcome_unknown())
    }

    /// Asks the affinity node for admission, then sends the request or responds without sending it, as the
    /// node decides.
    async fn send_once(
        self: &Rc<Self>,
        edge: &Rc<Edge>,
        BufferedRequest { request, body, idempotent }: BufferedRequest<'_>,
    ) -> Response<ResponseBody> {
        let (request_id, attempt_id) = (idempotent.request_id, request.request_id.clone());
        let mut progress = self.progress_of(request_id);
        self.drive(|node, now| node.admit(now, idempotent));
        let mut response = match progress.recv().await {
            Some(Progress::Send) => {
                let sent = proxy_buffered(edge, request, Body::Buffered(body)).await;
                self.drive(|node, now| node.complete(now, request_id, replay::recorded_outcome(&sent)));
                // The client gets the response when a majority has recorded it or the wait for the majority
                // has timed out.
                let _ = progress.recv().await;
                sent.response
            }
            Some(Progress::Decided(decision)) => replay::decision_response(decision, || {
                let wait = millis(self.settings.peer_timeout);
                backoff::retry_after(wait, true, edge.random.borrow_mut().f64())
            }),
            Some(Progress::Recorded) | None => replay::outcome_unknown(),
        };
        self.forget_request(request_id);
        if replay::is_replay(&response) {
            response.headers_mut().insert(replay::ATTEMPT_ID, attempt_id);
        }
        response
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let key = headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
    (1..=MAX_KEY_LENGTH).contains(&key.len()).then(|| key.to_owned())
}

/// A hash that distinguishes a repeated request from a different request with the same key.
fn request_fingerprint(request: &ReceivedRequest<'_>, body: &Bytes) -> u64 {
    let path = request.uri.path_and_query().map_or("", |path| path.as_str());
    fingerprint(&[request.method.as_str().as_bytes(), path.as_bytes(), body])
}
