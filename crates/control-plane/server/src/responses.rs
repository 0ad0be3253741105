//! Responses to endpoints and operators, and the rejections that become such responses. Fields of bodies are
//! declared in alphabetical order, which is their order on the wire.
use crate::messages::{Effect, PeerResponse};
use coppersail_consensus::RequestId;
use coppersail_peer_protocol::Update;
use serde::Serialize;

/// Why a write that did not reach all disks of the leadership record is not acknowledged.
pub(crate) const NOT_COMMITTED: &str = "not on two disks";
/// Why an isolated member answers no endpoint.
pub(crate) const ISOLATED: &str = "out of touch with most witnesses";
/// Why a member that is about to end answers no endpoint and no operator.
pub(crate) const SHUTS_DOWN: &str = "shuts down";
/// Why a configuration is refused whose revision was committed with another content.
pub(crate) const CONFLICTING_REVISION: &str =
    "revision: its number has another content already, expected a higher one";

/// The status of a request that was carried out.
pub(crate) const STATUS_OK: u16 = 200;

const EMPTY_BODY: &str = "{}";

#[derive(Serialize)]
struct ErrorBody {
    why: String,
}

/// Serializes a body. Bodies are structs, whose keys are strings, so this does not fail.
fn to_json(body: &impl Serialize) -> String {
    serde_json::to_string(body).unwrap_or_default()
}

/// The body that says why a request is refused: `{"why": REASON}`, in one line.
pub(crate) fn error_body(reason: impl std::fmt::Display) -> String {
    to_json(&ErrorBody { why: reason.to_string() })
}

/// A request that is refused, with the HTTP status and the reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub(crate) struct Rejection {
    pub(crate) status: u16,
    pub(crate) reason: String,
}

impl Rejection {
    fn new(status: u16, reason: impl std::fmt::Display) -> Rejection {
        Rejection { status, reason: reason.to_string() }
    }

    pub(crate) fn bad_request(reason: impl std::fmt::Display) -> Rejection {
        Rejection::new(400, reason)
    }

    pub(crate) fn not_found(reason: impl std::fmt::Display) -> Rejection {
        Rejection::new(404, reason)
    }

    pub(crate) fn conflict(reason: impl std::fmt::Display) -> Rejection {
        Rejection::new(409, reason)
    }

    pub(crate) fn unavailable(reason: impl std::fmt::Display) -> Rejection {
        Rejection::new(503, reason)
    }
}

/// An HTTP response to an endpoint or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn ok(body: String) -> Response {
        Response { status: STATUS_OK, body }
    }

    pub(crate) fn json(body: &impl Serialize) -> Response {
        Response::ok(to_json(body))
    }

    /// The request was carried out; the body is empty.
    pub(crate) fn acknowledged() -> Response {
        Response::ok(EMPTY_BODY.into())
    }

    /// It is not known here whether the request was carried out; the caller has to retry.
    pub(crate) fn indeterminate() -> Response {
        Response { status: 503, body: EMPTY_BODY.into() }
    }

    /// A redirect; the listener sends the URL as `Location`.
    pub(crate) fn redirect(url: String) -> Response {
        Response { status: 307, body: url }
    }
}

impl From<Rejection> for Response {
    fn from(rejection: Rejection) -> Response {
        Response { status: rejection.status, body: error_body(rejection.reason) }
    }
}

/// The first and the last key of a range, its fencing token and its handover state: an array on the wire.
#[derive(Serialize)]
pub(crate) struct GrantedShards(pub(crate) u32, pub(crate) u32, pub(crate) u64, pub(crate) String);

/// The leases of an endpoint of a sharded service.
pub(crate) struct RenewedLeases {
    pub(crate) shards: Vec<GrantedShards>,
    /// In ms.
    pub(crate) lease_duration: u64,
}

#[derive(Serialize)]
struct HeartbeatBody {
    #[serde(rename = "held", skip_serializing_if = "Option::is_none")]
    shards: Option<Vec<GrantedShards>>,
    #[serde(rename = "keep_time", skip_serializing_if = "Option::is_none")]
    lease_duration: Option<String>,
    #[serde(rename = "reportTo", skip_serializing_if = "Option::is_none")]
    report_to: Option<String>,
}

/// The response to a heartbeat. `report_to` is the member that the endpoint has to send its next heartbeat
/// to; without it the endpoint chooses one.
pub(crate) fn heartbeat_response(report_to: Option<String>, leases: Option<RenewedLeases>) -> Response {
    let (shards, lease_duration) =
        leases.map(|leases| (leases.shards, format!("{}ms", leases.lease_duration))).unzip();
    let body = HeartbeatBody { shards, lease_duration, report_to };
    Response::json(&body)
}

/// A response that is due.
pub(crate) enum Reply {
    /// To a follower of the change feed.
    Update(RequestId, Box<Update>),
    /// To an endpoint or an operator.
    Admin(RequestId, Response),
}

impl From<Reply> for Effect {
    fn from(reply: Reply) -> Effect {
        match reply {
            Reply::Update(request_id, update) => {
                Effect::RespondToPeer { request_id, response: PeerResponse::Update(update) }
            }
            Reply::Admin(request_id, Response { status, body }) => {
                Effect::RespondToAdmin { request_id, status, body }
            }
        }
    }
}
