//! The operators' settings of sessions, turned into what the other modules need.
use super::clock::millis;
use coppersail_config::{FieldError, SessionSettings};
use coppersail_session_affinity::token::SigningKeys;
use coppersail_session_affinity::{AffinitySettings, NodeId, PeerSets};
use std::collections::BTreeMap;

/// Why sessions cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum SessionsError {
    /// The file of settings cannot be read, or a field of it is wrong.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// A key file cannot be read.
    #[error("key file {path}")]
    KeyFile {
        /// Path as the settings name it.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The keys are too few or too short.
    #[error("sessions: expected {expected}")]
    SigningKeys {
        /// What was expected of them.
        expected: String,
    },
    /// This edge is no member of the newest peer set.
    #[error("sessions: {address} is not in the newest list of sites")]
    NotAPeer {
        /// Where other edges would reach this one, `ip:port`.
        address: String,
    },
    /// The process settings leave no port for messages of peer edges.
    #[error("sessions: there is no second spare port")]
    NoPort,
}

pub(super) fn signing_keys(settings: &SessionSettings) -> Result<SigningKeys, SessionsError> {
    let read = |path: &String| {
        std::fs::read(path).map_err(|source| SessionsError::KeyFile { path: path.clone(), source })
    };
    let keys = settings.keys.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    SigningKeys::new(keys).map_err(|expected| SessionsError::SigningKeys { expected: expected.to_string() })
}

pub(super) fn peer_sets(settings: &SessionSettings) -> PeerSets {
    let peers =
        |sites: &BTreeMap<u16, String>| sites.iter().map(|(id, address)| (*id, address.clone())).collect();
    PeerSets(settings.peer_sets.iter().map(|(number, sites)| (*number, peers(sites))).collect())
}

/// The number that the newest peer set gives to the edge at this address.
pub(super) fn node_id(newest: &BTreeMap<u16, String>, address: &str) -> Result<NodeId, SessionsError> {
    let own = newest.iter().find(|(_, site)| *site == address);
    let id = own.map(|(id, _)| *id);
    id.ok_or_else(|| SessionsError::NotAPeer { address: address.to_owned() })
}

pub(super) fn affinity_settings(settings: &SessionSettings) -> AffinitySettings {
    AffinitySettings {
        max_sessions: settings.max_sessions,
        max_requests_per_session: settings.max_confirmations,
        response_retention_ms: millis(settings.answer_retention),
        peer_timeout_ms: millis(settings.peer_timeout),
        max_claim_retries: settings.max_claim_attempts,
        reclaim_delay_ms: millis(settings.reclaim_delay),
        max_clock_skew_ms: millis(settings.max_clock_skew),
        max_response_bytes: settings.max_answer_bytes,
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
