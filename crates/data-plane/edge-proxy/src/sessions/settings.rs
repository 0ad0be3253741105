//! Converts the settings file of sessions to the types that the other modules need.
use super::clock::millis;
use coppersail_config::{FieldError, SessionSettings};
use coppersail_session_affinity::token::SigningKeys;
use coppersail_session_affinity::{AffinitySettings, NodeId, PeerSets};
use std::collections::BTreeMap;

/// Why sessions cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum SessionsError {
    /// The settings file cannot be read, or one of its fields is invalid.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// A key file cannot be read.
    #[error("cannot read key file {path}")]
    KeyFile {
        /// Path of the key file in the settings.
        path: String,
        /// The system error.
        source: std::io::Error,
    },
    /// There are too few keys, or a key is too short.
    #[error("sessions: expected {expected}")]
    SigningKeys {
        /// The requirement that the keys do not meet.
        expected: String,
    },
    /// This edge is not a member of the newest peer set.
    #[error("sessions: {address} is not in the newest peer set of the setting `sites`")]
    NotAPeer {
        /// The address at which other edges would reach this one, `ip:port`.
        address: String,
    },
    /// The process settings leave no port for messages of peer edges.
    #[error("sessions: network.sparePorts has no second port, which peer edges need")]
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

/// The node id of the edge at this address in the newest peer set.
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
