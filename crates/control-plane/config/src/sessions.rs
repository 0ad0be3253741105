//! The operators' file for sessions that travel between edges; without one there are none.
use crate::field::{any, filled, flag, list, maybe, must, object, or, table, text, time, whole, FieldError};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(n: u64) -> Option<Duration> {
    Some(Duration::from_millis(n))
}

table! {
    pub struct SessionSettings {
        /// The name of the header or cookie that carries the token; one of them.
        header: Option<String> = "header", maybe(text), or(None), filled_too;
        cookie: Option<String> = "cookie", maybe(text), or(None), filled_too;
        routes: Vec<PeerSite> = "routes", list(place), must(), some;
        /// Services whose host stays with a session as long as it can.
        stay: Vec<String> = "services", list(text), or(Vec::new()), any;
        /// List number -> site number -> "ip:port". Numbers are never given again; a former list stays until the
        /// life of its tokens is over.
        rosters: BTreeMap<u16, BTreeMap<u16, String>> = "sites", rosters, must(), any;
        /// Files with a key each. The first one signs, all are taken.
        keys: Vec<String> = "keys", list(text), must(), some;
        life: Duration = "life", time, ms(3_600_000), above_zero;
        keep: Duration = "keepAnswers", time, ms(600_000), above_zero;
        wait: Duration = "wait", time, ms(500), above_zero;
        rest: Duration = "rest", time, ms(1_000), any;
        skew: Duration = "clocksApart", time, ms(2_000), any;
        held: usize = "sessions", whole, or(20_000), above_none;
        each: usize = "confirmationsEach", whole, or(64), above_none;
        answer: usize = "answerBytes", whole, or(16 * 1024), any;
        tries: u32 = "claimTries", whole, or(3), any;
    }
}

table! {
    /// A route of the configuration, by its own domain and prefix.
    pub struct PeerSite {
        domain: String = "domain", text, must(), filled;
        path_start: String = "pathStart", text, must(), filled;
        /// Its requests are confirmations or deposits: they carry a key and run once.
        confirms: bool = "confirms", flag, or(false), any;
    }
}

impl SessionSettings {
    /// ```
    /// let file = r#"{"cookie": "stay", "keys": ["/etc/coppersail/session.key"], "wait": "300ms",
    ///     "routes": [{"domain": "a.example", "pathStart": "/confirm/", "confirms": true}],
    ///     "sites": {"1": {"1": "10.0.0.1:7541", "2": "10.0.0.2:7541", "3": "10.0.0.3:7541"}}}"#;
    /// let sessions = coppersail_config::Sessions::from_json(file).unwrap();
    /// assert_eq!((sessions.wait.as_millis(), sessions.routes[0].confirms), (300, true));
    ///
    /// let fault = coppersail_config::Sessions::from_json(&file.replace("\"cookie\": \"stay\",", "")).unwrap_err();
    /// assert_eq!(fault.to_string(), "header is left out, expected a header or a cookie, one of them");
    /// let fault = coppersail_config::Sessions::from_json(&file.replace("10.0.0.3", "the-third")).unwrap_err();
    /// assert_eq!(
    ///     fault.to_string(),
    ///     "sites.1.3 is \"the-third:7541\", expected an address such as \"10.0.0.4:7541\"",
    /// );
    /// ```
    pub fn from_json(text: &str) -> Result<SessionSettings, FieldError> {
        let value: Value = serde_json::from_str(text).map_err(|e| FieldError {
            field: String::new(),
            value: format!("not JSON ({e})"),
            expected: "the settings of sessions as one table",
        })?;
        let sessions = SessionSettings::from_source(object(&value)?)?;
        if sessions.header.is_some() == sessions.cookie.is_some() {
            return Err(FieldError::left_out("a header or a cookie, one of them").under("header"));
        }
        Ok(sessions)
    }

    pub fn read(path: &str) -> Result<SessionSettings, FieldError> {
        let text = std::fs::read_to_string(path).map_err(|e| FieldError {
            field: "--sessions".into(),
            value: format!("{path:?} ({e})"),
            expected: "a file that can be read",
        })?;
        SessionSettings::from_json(&text)
    }
}

fn place(value: &Value) -> Result<PeerSite, FieldError> {
    PeerSite::from_source(object(value)?)
}

fn numbered<T>(
    value: &Value,
    read: impl Fn(&Value) -> Result<T, FieldError>,
) -> Result<BTreeMap<u16, T>, FieldError> {
    let one = |(name, value): (&String, &Value)| {
        let number = name.parse().map_err(|_| FieldError::new(&Value::from(name.as_str()), "a number"))?;
        Ok((number, read(value).map_err(|fault| fault.under(name))?))
    };
    object(value)?.iter().map(one).collect()
}

fn rosters(value: &Value) -> Result<BTreeMap<u16, BTreeMap<u16, String>>, FieldError> {
    let site = |value: &Value| {
        let address = text(value)?;
        match address.parse::<std::net::SocketAddr>() {
            Ok(_) => Ok(address),
            Err(_) => Err(FieldError::new(value, "an address such as \"10.0.0.4:7541\"")),
        }
    };
    let all = numbered(value, |sites| match numbered(sites, site)? {
        // With fewer there is no second one to keep what is sent on.
        few if few.len() < 2 => Err(FieldError::new(sites, "two sites at least; three, to bear a loss")),
        sites => Ok(sites),
    })?;
    match all.is_empty() {
        true => Err(FieldError::new(value, "a list of sites at least")),
        false => Ok(all),
    }
}

fn filled_too(text: &Option<String>) -> Result<(), &'static str> {
    text.as_deref().map_or(Ok(()), filled)
}

fn some<T>(all: &[T]) -> Result<(), &'static str> {
    match all.is_empty() {
        true => Err("one at least"),
        false => Ok(()),
    }
}

fn above_zero(time: &Duration) -> Result<(), &'static str> {
    match time.is_zero() {
        true => Err("a time above 0"),
        false => Ok(()),
    }
}

fn above_none(count: &usize) -> Result<(), &'static str> {
    match count {
        0 => Err("a number above 0"),
        _ => Ok(()),
    }
}
