//! The settings of session affinity, from the operators' file that `--sessions` names. Without the file there
//! are no sessions.
use crate::checks::{accept_any, expect, not_blank, positive_time};
use crate::error::FieldError;
use crate::readers::{boolean, list, object, optional, text, time, unsigned};
use crate::table::{default_ms, default_to, required, table};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

table! {
    /// The settings of sessions, which may move between edges. Every edge has the same file.
    pub struct SessionSettings {
        /// The name of the header that carries the session token; either this or `cookie` is given.
        header: Option<String> = "header", optional(text), default_to(None), optional_not_blank;
        /// The name of the cookie that carries the session token.
        cookie: Option<String> = "cookie", optional(text), default_to(None), optional_not_blank;
        /// The routes whose requests belong to sessions.
        routes: Vec<SessionRoute> = "routes", list(session_route), required(), not_empty;
        /// The services of which a session keeps its endpoint as long as that endpoint accepts requests.
        affine_services: Vec<String> = "services", list(text), default_to(Vec::new()), accept_any;
        /// Peer sets by number; each has the addresses, "ip:port", of edges by their number. Numbers are
        /// never reused. A former set stays in the file until its last tokens have expired.
        peer_sets: BTreeMap<u16, BTreeMap<u16, String>> = "sites", peer_sets, required(), accept_any;
        /// Files with one signing key each. Tokens are signed with the first key; all keys are accepted.
        keys: Vec<String> = "keys", list(text), required(), not_empty;
        /// How long a token is valid after it was signed. After half of this time a new one is signed.
        token_lifetime: Duration = "life", time, default_ms(3_600_000), positive_time;
        /// How long the repetition of a confirmation (a request with an `Idempotency-Key`) gets the stored
        /// answer of the first one. Later repetitions learn only that it ran.
        answer_retention: Duration = "keepAnswers", time, default_ms(600_000), positive_time;
        /// How long to wait for other edges before a confirmation is sent, and again after its answer.
        peer_timeout: Duration = "wait", time, default_ms(500), positive_time;
        /// The time after a session was moved to another edge in which a lookup does not claim it back.
        reclaim_delay: Duration = "rest", time, default_ms(1_000), accept_any;
        /// The greatest difference between the clocks of edges. Tokens from further in the future are
        /// rejected.
        max_clock_skew: Duration = "clocksApart", time, default_ms(2_000), accept_any;
        /// The number of sessions that an edge keeps.
        max_sessions: usize = "sessions", unsigned, default_to(20_000), positive_count;
        /// The number of confirmations that a session may have; further ones are rejected.
        max_confirmations: usize = "confirmationsEach", unsigned, default_to(64), positive_count;
        /// The longest answer that is stored, in bytes.
        max_answer_bytes: usize = "answerBytes", unsigned, default_to(16 * 1024), accept_any;
        /// How often a claim of a session is retried after it met a higher fencing token, while requests
        /// wait.
        max_claim_attempts: u32 = "claimTries", unsigned, default_to(3), accept_any;
    }
}

table! {
    /// A route of the configuration, identified by its domain and prefix.
    pub struct SessionRoute {
        /// The domain of the route.
        domain: String = "domain", text, required(), not_blank;
        /// The path prefix of the route.
        path_prefix: String = "pathStart", text, required(), not_blank;
        /// Whether its requests are confirmations: they carry an `Idempotency-Key` and run once.
        confirms: bool = "confirms", boolean, default_to(false), accept_any;
    }
}

impl SessionSettings {
    /// Reads settings from their text.
    ///
    /// # Errors
    /// The text is not JSON, a field is not valid, or not exactly one of header and cookie is given.
    ///
    /// ```
    /// use coppersail_config::SessionSettings;
    /// let file = r#"{"cookie": "stay", "keys": ["/etc/coppersail/session.key"], "wait": "300ms",
    ///     "routes": [{"domain": "a.example", "pathStart": "/confirm/", "confirms": true}],
    ///     "sites": {"1": {"1": "10.0.0.1:7541", "2": "10.0.0.2:7541", "3": "10.0.0.3:7541"}}}"#;
    /// let settings = SessionSettings::from_json(file).unwrap();
    /// assert_eq!((settings.peer_timeout.as_millis(), settings.routes[0].confirms), (300, true));
    ///
    /// let error = SessionSettings::from_json(&file.replace("\"cookie\": \"stay\",", "")).unwrap_err();
    /// assert_eq!(error.to_string(), "header is left out, expected a header or a cookie, one of them");
    /// let error = SessionSettings::from_json(&file.replace("10.0.0.3", "the-third")).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "sites.1.3 is \"the-third:7541\", expected an address such as \"10.0.0.4:7541\"",
    /// );
    /// ```
    pub fn from_json(text: &str) -> Result<SessionSettings, FieldError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| FieldError::not_json(&error, "the settings of sessions as one table"))?;
        let settings = SessionSettings::from_source(object(&value)?)?;
        if settings.header.is_some() == settings.cookie.is_some() {
            return Err(FieldError::missing("a header or a cookie, one of them").within("header"));
        }
        Ok(settings)
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// The file can't be read, or as [`SessionSettings::from_json`].
    pub fn read(path: &str) -> Result<SessionSettings, FieldError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FieldError::unreadable_file("--sessions", path, &error))?;
        SessionSettings::from_json(&text)
    }
}

fn session_route(value: &Value) -> Result<SessionRoute, FieldError> {
    SessionRoute::from_source(object(value)?)
}

/// An object whose keys are numbers.
fn numbered<T>(
    value: &Value,
    read: impl Fn(&Value) -> Result<T, FieldError>,
) -> Result<BTreeMap<u16, T>, FieldError> {
    let entry = |(name, value): (&String, &Value)| {
        let number = name.parse().map_err(|_| FieldError::new(&Value::from(name.as_str()), "a number"))?;
        Ok((number, read(value).map_err(|error| error.within(name))?))
    };
    object(value)?.iter().map(entry).collect()
}

fn peer_sets(value: &Value) -> Result<BTreeMap<u16, BTreeMap<u16, String>>, FieldError> {
    let sets = numbered(value, peer_set)?;
    if sets.is_empty() {
        return Err(FieldError::new(value, "a list of sites at least"));
    }
    Ok(sets)
}

fn peer_set(value: &Value) -> Result<BTreeMap<u16, String>, FieldError> {
    let peers = numbered(value, peer_address)?;
    // A session record is also stored at a second edge.
    if peers.len() < 2 {
        return Err(FieldError::new(value, "two sites at least; three, to bear a loss"));
    }
    Ok(peers)
}

fn peer_address(value: &Value) -> Result<String, FieldError> {
    let address = text(value)?;
    match address.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(address),
        Err(_) => Err(FieldError::new(value, "an address such as \"10.0.0.4:7541\"")),
    }
}

fn optional_not_blank(text: &Option<String>) -> Result<(), &'static str> {
    text.as_deref().map_or(Ok(()), not_blank)
}

fn not_empty<T>(list: &[T]) -> Result<(), &'static str> {
    expect(!list.is_empty(), "one at least")
}

fn positive_count(count: &usize) -> Result<(), &'static str> {
    expect(*count > 0, "a number above 0")
}
