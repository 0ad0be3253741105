//! The settings file of a process (`COPPERSAIL_SETTINGS`), read once and checked.
use crate::field::{
    any, filled, flag, fraction, list, maybe, must, object, or, table, text, texts, time, whole, FieldError,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const VARIABLE: &str = "COPPERSAIL_SETTINGS";

const fn ms(n: u64) -> Option<Duration> {
    Some(Duration::from_millis(n))
}

table! {
    /// Every field of the settings that the programs use. Unknown fields are passed over.
    pub struct ProcessSettings {
        node: String = "self.nodeName", text, or(String::new()), any;
        ip: String = "self.ipAddress", text, must(), ip;
        area: String = "self.area", text, must(), filled;
        place: String = "self.place", text, or(String::new()), any;
        counts_as_loss: bool = "self.countsAsLoss", flag, or(false), any, live;
        /// Not assumed: a process that takes itself for new may take its state for empty.
        initial_boot: bool = "self.initialBoot", flag, or(false), any, first;
        data_folder: Option<String> = "self.dataFolder", maybe(text), or(None), any;
        /// No limit where none is given.
        ram_mb: u64 = "self.caps.ramMb", whole, or(u64::MAX), any, live;
        open_files: u64 = "self.caps.openFiles", whole, or(u64::MAX), any, live;
        /// "ip:port" of each; absent where the role does not serve it.
        public_plain: Option<String> = "network.binds.publicPlain", maybe(text), or(None), address;
        readiness: Option<String> = "network.binds.readiness", maybe(text), or(None), address;
        admin: Option<String> = "network.binds.admin", maybe(text), or(None), address;
        /// The first and the last of the ports between directors.
        spare_ports: (u16, u16) = "network.sparePorts", span, must(), any;
        known_peers: Vec<String> = "network.knownPeers", list(text), or(Vec::new()), addresses, live;
        /// area -> place
        zones: BTreeMap<String, String> = "network.zones", texts, or(BTreeMap::new()), any, live;
        heartbeat: Duration = "provider.heartbeat", time, ms(1000), above_zero, live;
        /// `survive.boxes`
        survive: u32 = "terms.survive.boxes", whole, or(0), any, live;
        promises: Vec<String> = "terms.promises", list(text), or(Vec::new()), any, live;
        limits: TimeLimits = "terms.timeLimits", limits, or(TimeLimits::default()), any, each;
    }
}

table! {
    /// `terms.timeLimits`. A limit is left out where no promise needs it; what stands here then is the careful side:
    /// quick where the system has to act, long where it has to wait.
    pub struct TimeLimits {
        peer_delay: Duration = "peerDelay", time, ms(3000), any, live;
        recycle_after: Duration = "recycleAfter", time, ms(1000), any, live;
        in_contact: Duration = "inContact", time, ms(3000), any, live;
        confirm: Duration = "confirm", time, ms(5000), any, live;
        sync_time: Duration = "sync_time", time, ms(5000), any, live;
        empty: Duration = "empty", time, ms(2000), any, live;
        leeway: Duration = "leeway", time, ms(5000), any, live;
        missing: Duration = "missing", time, ms(200), any, live;
        apply: Duration = "apply", time, ms(2000), any, live;
        revert: Duration = "revert", time, ms(200), any, live;
        stretch_time: Duration = "stretch_time", time, ms(5000), any, live;
        retry_ratio: f64 = "retryRatio", fraction, or(0.1), any, live;
        retry_window: Duration = "retryWindow", time, ms(10000), any, live;
        extra_tries: u32 = "extraTries", whole, or(0), any, live;
        heal: Duration = "heal", time, ms(10000), any, live;
        keep_max: Duration = "keepMax", time, ms(5000), any, live;
        unfreeze: Duration = "unfreeze", time, ms(0), any, live;
    }
}

impl ProcessSettings {
    /// Reads the file that the environment names.
    pub fn read() -> Result<ProcessSettings, FieldError> {
        let path = std::env::var(VARIABLE).unwrap_or_default();
        let fault = |value, expected| FieldError { field: VARIABLE.into(), value, expected };
        if path.is_empty() {
            return Err(fault(String::new(), "the path of the settings file"));
        }
        let text = std::fs::read_to_string(&path)
            .map_err(|e| fault(format!("{path:?} ({e})"), "a file that can be read"))?;
        ProcessSettings::from_json(&text)
    }

    /// Reads settings from their text.
    ///
    /// ```
    /// let boot = coppersail_config::Boot::from_json(r#"{
    ///     "self": {"ipAddress": "10.1.0.34", "area": "north", "mood": "new to us"},
    ///     "network": {"sparePorts": [7540, 7555]},
    ///     "provider": {"heartbeat": "1300ms"},
    ///     "terms": {"timeLimits": {"leeway": "6s"}}
    /// }"#).unwrap();
    /// assert_eq!((boot.spare_ports.0, boot.limits.leeway.as_secs()), (7540, 6));
    /// ```
    pub fn from_json(text: &str) -> Result<ProcessSettings, FieldError> {
        let value: Value = serde_json::from_str(text).map_err(|e| FieldError {
            field: String::new(),
            value: format!("not JSON ({e})"),
            expected: "the settings as one table",
        })?;
        ProcessSettings::from_source(object(&value)?)
    }
}

fn limits(value: &Value) -> Result<TimeLimits, FieldError> {
    TimeLimits::from_source(object(value)?)
}

fn span(value: &Value) -> Result<(u16, u16), FieldError> {
    match list(whole)(value)?[..] {
        [first, last] if first <= last => Ok((first, last)),
        _ => Err(FieldError::new(value, "the first and the last port")),
    }
}

fn ip(text: &str) -> Result<(), &'static str> {
    text.parse::<std::net::IpAddr>().map(drop).map_err(|_| "an IP address")
}

fn is_address(text: &str) -> Result<(), &'static str> {
    text.parse::<std::net::SocketAddr>().map(drop).map_err(|_| "an address such as \"10.0.0.4:8080\"")
}

fn address(text: &Option<String>) -> Result<(), &'static str> {
    text.as_deref().map_or(Ok(()), is_address)
}

fn addresses(texts: &[String]) -> Result<(), &'static str> {
    texts.iter().try_for_each(|text| is_address(text))
}

fn above_zero(time: &Duration) -> Result<(), &'static str> {
    if time.is_zero() {
        Err("a time above 0")
    } else {
        Ok(())
    }
}
