//! One attempt: sends a request to one endpoint and reads the response.
use crate::body::RequestBody;
use crate::connection_pool::ConnectionRequirements;
use crate::edge::Edge;
use crate::headers::{set_framing, TIME_LEFT, WANTED_SERVER};
use crate::in_flight::InFlight;
use crate::lease::Lease;
use crate::request::ReceivedRequest;
use crate::rollout::variants::AssignedVariant;
use crate::upstream_response::{Exchange, ResponseOutcome, UpstreamResponse};
use coppersail_load_balancing::health::FailureKind;
use coppersail_load_balancing::{timeouts, Ms};
use coppersail_retry::{AttemptOutcome, IndeterminateCause, SendFailure};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::timeout_at;

/// The result of an attempt.
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome<UpstreamResponse>,
    /// The request body, if no byte of it was sent.
    pub(crate) unsent_body: Option<RequestBody>,
    /// Number of the connection on which the request was sent.
    pub(crate) connection: Option<u64>,
    /// Delay (ms) after which a rejected request may be retried, if the endpoint named one.
    pub(crate) retry_after: Option<Ms>,
}

impl AttemptResult {
    fn new(outcome: AttemptOutcome<UpstreamResponse>, unsent_body: Option<RequestBody>) -> AttemptResult {
        AttemptResult { outcome, unsent_body, connection: None, retry_after: None }
    }
}

/// An attempt to send a request to an endpoint.
pub(crate) struct Attempt<'a> {
    pub(crate) edge: &'a Rc<Edge>,
    pub(crate) request: &'a ReceivedRequest<'a>,
    pub(crate) endpoint: &'a Rc<str>,
    pub(crate) variant: Option<&'a AssignedVariant>,
    /// Numbers of the connections on which earlier attempts were sent.
    pub(crate) used_connections: &'a [u64],
}

/// A connection on which the request can be sent.
struct ReadyConnection {
    lease: Lease,
    /// Value of the header that names the intended endpoint.
    wanted_server: HeaderValue,
    /// Time (ms) of the edge's clock.
    ready_at: Ms,
    /// Expected number of requests at the endpoint, including this one.
    concurrency: f32,
}

impl Attempt<'_> {
    /// Sends the request and reads the response.
    pub(crate) async fn run(&self, body: RequestBody) -> AttemptResult {
        let mut in_flight = InFlight::begin(self.edge, self.endpoint);
        let connection = match self.connect(&mut in_flight).await {
            Ok(connection) => connection,
            Err(failure) => return AttemptResult::new(AttemptOutcome::NotSent(failure), Some(body)),
        };
        let number = connection.lease.number;
        let result = self.exchange(connection, body, &mut in_flight).await;
        AttemptResult { connection: Some(number), ..result }
    }

    /// Checks out a connection and verifies that the endpoint still accepts the request, because an update
    /// may have arrived while the connection was established.
    async fn connect(&self, in_flight: &mut InFlight) -> Result<ReadyConnection, SendFailure> {
        let address = self.edge.registry.borrow().endpoint(self.endpoint).map(|endpoint| endpoint.address);
        let address = address.ok_or(SendFailure::EndpointDraining)?;
        let target = self.request.route.latency_target;
        let requirements = ConnectionRequirements {
            idempotent: self.request.route.idempotent,
            connection_limit: self.request.connection_limit,
            connect_timeout: timeouts::connect_timeout(target, self.request.time_left(self.edge.now())),
            used_connections: self.used_connections,
        };
        let lease = Lease::check_out(&self.edge.pool, self.endpoint, address, requirements).await;
        let lease = lease.inspect_err(|failure| {
            if *failure == SendFailure::Unreachable {
                in_flight.record_failure(FailureKind::Unreachable);
            }
        })?;
        let ready_at = self.edge.now();
        let concurrency = self.concurrency(address, ready_at).ok_or(SendFailure::EndpointDraining)?;
        let wanted_server =
            HeaderValue::from_str(self.endpoint).map_err(|_| SendFailure::EndpointDraining)?;
        Ok(ReadyConnection { lease, wanted_server, ready_at, concurrency })
    }

    /// Expected number of requests at the endpoint including this one, or `None` if it no longer accepts the
    /// request at this address.
    fn concurrency(&self, address: SocketAddr, now: Ms) -> Option<f32> {
        let registry = self.edge.registry.borrow();
        let endpoint = registry.endpoint(self.endpoint)?;
        let accepts = endpoint.still_accepts(now, self.request.key, self.edge.drain_grace());
        (accepts && endpoint.address == address).then(|| endpoint.load.concurrency(now, 0.0))
    }

    async fn exchange(
        &self,
        connection: ReadyConnection,
        body: RequestBody,
        in_flight: &mut InFlight,
    ) -> AttemptResult {
        let ReadyConnection { mut lease, wanted_server, ready_at: sent_at, concurrency } = connection;
        let read_to_end = body.read_to_end();
        let request = self.upstream_request(body, wanted_server, sent_at);
        lease.watch_responses(self.edge, &self.request.request_id, self.variant, &self.request.route.name);
        let deadline = self.edge.instant(self.request.deadline);
        let response = match timeout_at(deadline, lease.sender.try_send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return send_failed(&lease, error, in_flight),
            Err(_) => return AttemptResult::new(timed_out(&lease, in_flight), None),
        };
        // If the response begins before the whole request was sent, the endpoint may parse the rest of the
        // request as a new one and send a second response, so the connection must not be reused.
        let early = !read_to_end() || lease.is_write_pending();
        let (edge, request, endpoint) = (self.edge, self.request, self.endpoint);
        let exchange = Exchange { edge, request, endpoint, lease, sent_at, concurrency, early };
        read_response(exchange, response, in_flight).await
    }

    fn upstream_request(
        &self,
        body: RequestBody,
        wanted_server: HeaderValue,
        now: Ms,
    ) -> Request<RequestBody> {
        let mut headers = self.request.headers.clone();
        set_framing(&mut headers, &body);
        let mut request = Request::new(body);
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = headers;
        request.headers_mut().insert(TIME_LEFT, HeaderValue::from(self.request.time_left(now)));
        request.headers_mut().insert(WANTED_SERVER, wanted_server);
        request
    }
}

/// The result of an attempt whose connection failed before a response.
fn send_failed(
    lease: &Lease,
    mut error: TrySendError<Request<RequestBody>>,
    in_flight: &mut InFlight,
) -> AttemptResult {
    let unsent_body = error.take_message().map(Request::into_body);
    // An idle connection may be closed for many reasons, while the failure of a new one is attributed to the
    // endpoint. Errors in the body that the client sent (`is_user`) are not the endpoint's fault.
    if !lease.reused && !error.error().is_user() {
        in_flight.record_failure(FailureKind::Broken);
    }
    if unsent_body.is_some() || !lease.block_unless_started() {
        let failure = if lease.reused { SendFailure::ConnectionClosed } else { SendFailure::Unreachable };
        return AttemptResult::new(AttemptOutcome::NotSent(failure), unsent_body);
    }
    let cause = if error.error().is_parse() {
        IndeterminateCause::MalformedResponse
    } else {
        IndeterminateCause::ConnectionReset
    };
    AttemptResult::new(AttemptOutcome::Indeterminate(cause), None)
}

/// The outcome of an attempt whose deadline passed before a response.
fn timed_out(lease: &Lease, in_flight: &mut InFlight) -> AttemptOutcome<UpstreamResponse> {
    if !lease.block_unless_started() {
        return AttemptOutcome::NotSent(SendFailure::DeadlineExceeded);
    }
    in_flight.record_failure(FailureKind::Timeout);
    AttemptOutcome::Indeterminate(IndeterminateCause::Timeout)
}

async fn read_response(
    exchange: Exchange<'_>,
    response: Response<Incoming>,
    in_flight: &mut InFlight,
) -> AttemptResult {
    match exchange.read(response, in_flight).await {
        Ok(ResponseOutcome { outcome, retry_after }) => {
            AttemptResult { retry_after, ..AttemptResult::new(outcome, None) }
        }
        Err(cause) => {
            in_flight.record_failure(match cause {
                IndeterminateCause::Timeout => FailureKind::Timeout,
                _ => FailureKind::Broken,
            });
            AttemptResult::new(AttemptOutcome::Indeterminate(cause), None)
        }
    }
}
