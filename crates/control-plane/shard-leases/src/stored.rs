//! The stored form of a lease: the key `row/SERVICE/SLICE` with the value `FENCING_TOKEN OWNER HANDOVER`.
//!
//! Other versions read these rows during a rolling upgrade, so the format must not change.

/// A change of the replicated state: key and value. An empty value deletes the key.
pub type Write = (String, String);

const KEY_PREFIX: &str = "row/";

/// A stored row.
#[derive(Debug, PartialEq)]
pub(crate) struct StoredLease {
    pub(crate) service: String,
    pub(crate) slice: usize,
    pub(crate) fencing_token: u64,
    pub(crate) owner: String,
    pub(crate) handover: String,
}

pub(crate) fn key(service: &str, slice: usize) -> String {
    format!("{KEY_PREFIX}{service}/{slice:05}")
}

pub(crate) fn value(fencing_token: u64, owner: &str, handover: &str) -> String {
    format!("{fencing_token} {owner} {handover}")
}

/// Parses a row; `None` if the key is not that of a lease, or the value is not a lease.
pub(crate) fn parse(key: &str, value: &str) -> Option<StoredLease> {
    // The name of a service may contain slashes.
    let (service, slice) = key.strip_prefix(KEY_PREFIX)?.rsplit_once('/')?;
    let mut fields = value.splitn(3, ' ');
    Some(StoredLease {
        service: service.to_string(),
        slice: slice.parse().ok()?,
        fencing_token: fields.next()?.parse().ok()?,
        owner: fields.next()?.to_string(),
        handover: fields.next().unwrap_or("").to_string(),
    })
}
