//! Requests of endpoints: heartbeats and sign-offs.
use crate::departures;
use crate::pending_replies::{Departure, PendingReply, ReplyKind};
use crate::responses::{Rejection, Reply, Response, ISOLATED};
use crate::state::State;
use coppersail_consensus::{Ms, RequestId};
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};
use coppersail_shard_leases::ReleasedRange;
use serde::Deserialize;

/// The address of a removed endpoint that is not known here. Edges of earlier builds ignore an update without an
/// address.
const UNKNOWN_ADDRESS: &str = "0.0.0.0:0";

/// The body of a heartbeat. Endpoints of other versions may leave out the fields that have a default.
#[derive(Deserialize)]
struct HeartbeatRequest {
    #[serde(rename = "backend")]
    service: String,
    address: String,
    #[serde(default, rename = "area")]
    zone: String,
    #[serde(default, rename = "revision")]
    version: String,
    #[serde(default)]
    capacity: f64,
    #[serde(default, rename = "stage")]
    state: EndpointState,
    #[serde(default, rename = "warmLeft")]
    slow_start: Option<String>,
    #[serde(default, rename = "callCount")]
    sequence: u64,
    /// The released ranges of keys, each with the handover state for its next owner.
    #[serde(default)]
    released: Option<Vec<ReleasedRange>>,
}

impl HeartbeatRequest {
    fn slow_start_ms(&self) -> u64 {
        let slow_start = self.slow_start.as_deref().and_then(coppersail_config::parse_duration);
        slow_start.map_or(0, |duration| duration.as_millis() as u64)
    }
}

impl State {
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Ms,
        request_id: RequestId,
        endpoint: &str,
        body: &str,
        replies: &mut Vec<Reply>,
    ) {
        let heartbeat = match self.read_heartbeat(now, body) {
            Ok(heartbeat) => heartbeat,
            Err(rejection) => return replies.push(Reply::Admin(request_id, rejection.into())),
        };
        let is_late = !self.record_heartbeat(now, endpoint, &heartbeat);
        if is_late && heartbeat.state == EndpointState::Ready {
            return replies.push(Reply::Admin(request_id, Response::acknowledged()));
        }
        let departure = self.uncommitted_departure(now, endpoint, heartbeat.state);
        self.publish_endpoint(endpoint, &heartbeat);
        let is_sharded = self.is_sharded(&heartbeat.service);
        if (is_sharded || departure.is_some()) && !self.holds_leader_lease(now) {
            let path = format!("/servers/{endpoint}/pulse");
            return self.redirect_and_publish(now, request_id, &path, departure, replies);
        }
        // What a late heartbeat says of leases has been overtaken.
        let reports_leases = is_sharded && !is_late;
        let mut ticket = None;
        if reports_leases {
            ticket = self.release_leases(endpoint, &heartbeat);
        }
        if departure.is_some() {
            ticket = self.propose_departure(endpoint).or(ticket);
            if is_sharded {
                self.reconcile_assignments(now);
            }
        }
        let sequence = departure.is_some().then_some(self.feed.sequence);
        let sharded_service = reports_leases.then_some(heartbeat.service);
        let kind = ReplyKind::Heartbeat { endpoint: endpoint.into(), departure, sharded_service };
        let deadline = now + self.timeouts.acknowledgement_wait;
        self.pending_replies.push(PendingReply { request_id, deadline, ticket, sequence, kind });
        self.send_due_replies(now, replies);
    }

    fn read_heartbeat(&self, now: Ms, body: &str) -> Result<HeartbeatRequest, Rejection> {
        let heartbeat =
            serde_json::from_str(body).map_err(|error| Rejection::bad_request(format!("beat: {error}")))?;
        if self.is_isolated(now) {
            return Err(Rejection::unavailable(ISOLATED));
        }
        Ok(heartbeat)
    }

    /// Records a heartbeat. Returns false, and records nothing, if a later heartbeat has already arrived:
    /// that one is more current.
    fn record_heartbeat(&mut self, now: Ms, endpoint: &str, heartbeat: &HeartbeatRequest) -> bool {
        let record = self.heartbeats.entry(now, endpoint);
        if heartbeat.sequence < record.sequence {
            return false;
        }
        (record.received_at, record.sequence, record.capacity) =
            (now, heartbeat.sequence, heartbeat.capacity);
        true
    }

    /// What an endpoint announces with this state, unless it has announced nothing or that is committed.
    ///
    /// Only the leader knows what is committed. Other members pass every announcement on to it.
    fn uncommitted_departure(&mut self, now: Ms, endpoint: &str, state: EndpointState) -> Option<Departure> {
        let is_committed =
            self.holds_leader_lease(now) && departures::committed_state(self.core.state(), endpoint) >= state;
        if state == EndpointState::Ready || is_committed {
            return None;
        }
        let departure = Departure { state, announced_at: now };
        self.log_departure(endpoint, &departure);
        Some(departure)
    }

    /// Proposes the published departure of an endpoint. Returns the ticket of the proposal.
    fn propose_departure(&mut self, endpoint: &str) -> Option<u64> {
        let departure = departures::write(self.feed.endpoint(endpoint)?);
        Some(self.proposals.submit(vec![departure]))
    }

    /// Logs that an endpoint leaves, and what this member knew of it before.
    fn log_departure(&mut self, endpoint: &str, departure: &Departure) {
        let known = self.feed.endpoint(endpoint).map(|known| known.state);
        let known = known.map_or("not known".into(), |state| format!("known as {state}"));
        self.log_lines.push(format!(
            "Endpoint {endpoint} announces that it is {}; it is {known} here.",
            departure.state
        ));
    }

    fn publish_endpoint(&mut self, endpoint: &str, heartbeat: &HeartbeatRequest) {
        self.feed.put_endpoint(&EndpointUpdate {
            id: endpoint.into(),
            service: heartbeat.service.clone(),
            address: heartbeat.address.clone(),
            zone: heartbeat.zone.clone(),
            capacity: heartbeat.capacity.round() as u32,
            version: heartbeat.version.clone(),
            state: heartbeat.state,
            suspect: false,
            slow_start_ms: heartbeat.slow_start_ms(),
            heartbeat_sequence: heartbeat.sequence,
            reported_by: self.core.id.clone(),
            drain_acknowledged: false,
        });
    }

    /// Proposes the transfers of the shards that an endpoint has released. Returns the ticket of the
    /// proposal, if there is one.
    fn release_leases(&mut self, endpoint: &str, heartbeat: &HeartbeatRequest) -> Option<u64> {
        let released = heartbeat.released.as_deref().unwrap_or_default();
        let writes = self.assignments.leases.release(&heartbeat.service, endpoint, released);
        (!writes.is_empty()).then(|| self.proposals.submit(writes))
    }

    /// Removes an endpoint that shuts down, known here or not. The reply waits until that is committed, and
    /// until followers have acknowledged it, because they send requests to the endpoint until then.
    pub(crate) fn sign_off(
        &mut self,
        now: Ms,
        request_id: RequestId,
        endpoint: &str,
        replies: &mut Vec<Reply>,
    ) {
        if self.is_isolated(now) {
            return replies.push(Reply::Admin(request_id, Rejection::unavailable(ISOLATED).into()));
        }
        let departure = self.uncommitted_departure(now, endpoint, EndpointState::Removed);
        self.publish_removal(now, endpoint);
        if !self.holds_leader_lease(now) {
            let path = format!("/servers/{endpoint}/sign-off");
            return self.redirect_and_publish(now, request_id, &path, departure, replies);
        }
        let ticket = departure.and_then(|_| self.propose_departure(endpoint));
        self.pending_replies.push(PendingReply {
            request_id,
            deadline: now + self.timeouts.acknowledgement_wait,
            ticket,
            sequence: Some(self.feed.sequence),
            kind: ReplyKind::Heartbeat { endpoint: endpoint.into(), departure, sharded_service: None },
        });
        self.send_due_replies(now, replies);
    }

    fn publish_removal(&mut self, now: Ms, endpoint: &str) {
        let last_sequence = self.heartbeats.entry(now, endpoint).sequence;
        let known = self.feed.endpoint(endpoint).cloned();
        let known = known.unwrap_or_else(|| EndpointUpdate {
            id: endpoint.into(),
            address: UNKNOWN_ADDRESS.into(),
            ..EndpointUpdate::default()
        });
        self.feed.put_endpoint(&EndpointUpdate {
            state: EndpointState::Removed,
            heartbeat_sequence: known.heartbeat_sequence.max(last_sequence) + 1,
            reported_by: self.core.id.clone(),
            ..known
        });
    }

    /// Passes a request on to the leader, and tells followers what it has changed here.
    fn redirect_and_publish(
        &mut self,
        now: Ms,
        request_id: RequestId,
        path: &str,
        departure: Option<Departure>,
        replies: &mut Vec<Reply>,
    ) {
        let redirect = self.redirect_to_leader(now, path);
        if let Some(departure) = departure {
            let line =
                format!("{path} is answered {} as {}: not the leader.", redirect.status, departure.state);
            self.log_lines.push(line);
        }
        self.send_due_replies(now, replies);
        replies.push(Reply::Admin(request_id, redirect));
    }
}
