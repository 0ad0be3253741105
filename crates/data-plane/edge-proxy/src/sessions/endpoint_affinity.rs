//! Endpoint affinity: requests of a session prefer the endpoint that served the session before.
use coppersail_load_balancing::{EndpointRegistry, Ms};
use coppersail_session_affinity::preferred_endpoint;
use std::cell::RefCell;
use std::rc::Rc;

/// The endpoint to which a request was sent last, shared between its session and the endpoint selection.
pub(crate) type SentTo = Rc<RefCell<Option<Rc<str>>>>;

/// The affinity of a request that belongs to a session.
pub(crate) struct EndpointAffinity {
    previous: Option<Rc<str>>,
    sent_to: SentTo,
}

/// The attempt for which an endpoint is selected.
pub(crate) struct AttemptTarget<'a> {
    pub(crate) service: &'a str,
    /// Whether the request has a shard key: the key's owner takes precedence over a session's endpoint.
    pub(crate) sharded: bool,
    /// Ids of the endpoints that earlier attempts of the request have used.
    pub(crate) attempted: &'a [Rc<str>],
}

impl EndpointAffinity {
    /// `previous` is the endpoint that served the session last.
    pub(crate) fn new(previous: Option<Rc<str>>, sent_to: SentTo) -> EndpointAffinity {
        EndpointAffinity { previous, sent_to }
    }

    /// The endpoint for an attempt: the session's endpoint if it is usable and was not attempted yet,
    /// otherwise the selected one. Records the result as the endpoint to which the request is sent.
    pub(crate) fn choose_endpoint(
        &self,
        registry: &EndpointRegistry,
        now: Ms,
        selected: Rc<str>,
        target: &AttemptTarget<'_>,
    ) -> Rc<str> {
        let is_usable = |id: &str| {
            !target.attempted.iter().any(|attempted| &**attempted == id)
                && registry
                    .endpoint(id)
                    .is_some_and(|endpoint| &*endpoint.service == target.service && endpoint.usable(now))
        };
        let previous = self.previous.as_ref().filter(|_| !target.sharded);
        let kept = previous
            .filter(|previous| preferred_endpoint(Some(previous), &selected, is_usable) == &***previous)
            .cloned();
        let endpoint = kept.unwrap_or(selected);
        *self.sent_to.borrow_mut() = Some(endpoint.clone());
        endpoint
    }
}
