//! The start-up settings as pairs of path and value, as they are named outside.

use crate::{words, Bad, Value};
use std::collections::BTreeMap;
use std::fmt::Write;

words!(Semantics, "safe, keyed or unsafe", "safe" => Safe, "keyed" => Keyed, "unsafe" => Unsafe);
words!(Group, "all, zone or cell", "all" => All, "zone" => Zone, "cell" => Cell);
words!(Discovery, "pushed or on_request", "pushed" => Pushed, "on_request" => OnRequest);
words!(Admission, "fraction, per_second or silent",
    "fraction" => Fraction, "per_second" => PerSecond, "silent" => Silent);
words!(Pick, "random, rotate or p2c", "random" => Random, "rotate" => Rotate, "p2c" => P2c);
words!(WeightSource, "silent, nominal, rough or live",
    "silent" => Silent, "nominal" => Nominal, "rough" => Rough, "live" => Live);
words!(ReportSource, "piggyback, pull or silent", "piggyback" => Piggyback, "pull" => Pull, "silent" => Silent);
words!(ValueBy, "request or work", "request" => Request, "work" => Work);

/// true or false, as settings spell it; 1 and 0 are taken too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flag(pub bool);

impl Value for Flag {
    const EXPECTED: &'static str = "true or false";
    fn parse(text: &str) -> Option<Self> {
        match text {
            "true" | "1" => Some(Flag(true)),
            "false" | "0" => Some(Flag(false)),
            _ => None,
        }
    }
    fn print(&self, out: &mut String) {
        out.push_str(if self.0 { "true" } else { "false" });
    }
}

/// A list of plain values: joined by commas, or, where names may hold commas, with a unit separator before each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List<T>(pub Vec<T>);

impl<T: Value> Value for List<T> {
    const EXPECTED: &'static str = "values joined by commas";
    fn parse(text: &str) -> Option<Self> {
        let unit = '\u{1f}';
        let between = if text.starts_with(unit) { unit } else { ',' };
        text.split(between).filter(|item| !item.is_empty()).map(T::parse).collect::<Option<_>>().map(List)
    }
    fn print(&self, out: &mut String) {
        for (at, item) in self.0.iter().enumerate() {
            out.push_str(if at == 0 { "" } else { "," });
            item.print(out);
        }
    }
}

/// Values by path, while they are read.
pub type Paths<'a> = BTreeMap<&'a str, &'a str>;

fn take<T: Value>(paths: &Paths<'_>, path: &str) -> Result<Option<T>, Bad> {
    let bad = || Bad { field: path.to_string(), expected: T::EXPECTED };
    paths.get(path).map(|text| T::parse(text).ok_or_else(bad)).transpose()
}

/// One section: every key may be absent, unknown keys are passed over.
macro_rules! section {
    ($name:ident, $($field:ident: $type:ty = $key:literal),+ $(,)?) => {
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct $name { $(pub $field: Option<$type>),+ }
        impl $name {
            fn read(paths: &Paths<'_>, prefix: &str) -> Result<Self, Bad> {
                Ok($name { $($field: take(paths, &format!("{prefix}{}", $key))?),+ })
            }
            fn write(&self, prefix: &str, out: &mut String) {
                $(if let Some(value) = &self.$field {
                    let _ = write!(out, " {prefix}{}=", $key);
                    value.print(out);
                })+
            }
        }
    };
}

section!(Class,
    aim_stretch: f64 = "aim-stretch", aim_ns: u64 = "aim-ns", give_up_ns: u64 = "give-up-ns",
    semantics: Semantics = "semantics", group: Group = "group", late_worth: f64 = "late-worth",
    name: String = "name", window_ns: u64 = "window-ns", worth: f64 = "worth");
section!(Top,
    az: String = "az", balancers: u64 = "balancers", discovery: Discovery = "discovery", family: String = "family",
    kinds: List<String> = "kinds", me: u64 = "me", round_ns: u64 = "round-ns", value_by: ValueBy = "value-by",
    weight_source: WeightSource = "weight-source", zones: List<String> = "zones",
    report_columns: List<String> = "report.columns", report_source: ReportSource = "report.source");
section!(Goal,
    tail: f64 = "tail", tail_miss: f64 = "tail-miss", whole: f64 = "whole", worst_class: f64 = "worst-class",
    worst_tenant: f64 = "worst-tenant", worst_window: f64 = "worst-window");
section!(Guarantees,
    ask_within_ns: u64 = "ask-within-ns", cold_from: f64 = "cold-from", fall_multiple: f64 = "fall-multiple",
    fall_ns: u64 = "fall-ns", full_may_have_run: Flag = "full-may-have-run", gone_is_advice: Flag = "gone-is-advice",
    ramp_time_ns: u64 = "ramp-time-ns", stop_sending_within_ns: u64 = "stop-sending-within-ns");
section!(Limits,
    connect_timeout_ns: u64 = "connect-timeout-ns", cpu_us_per_s: f64 = "cpu-us-per-s",
    idle_close_ns: u64 = "idle-close-ns", may_probe: Flag = "may-probe", multiplex: u64 = "multiplex",
    peers: Flag = "peers");
section!(Specifics,
    admission: Admission = "admission", backlog: f64 = "backlog", class_own_zone: List<Flag> = "class-own-zone",
    cost_per_line: f64 = "cost-per-line", default_size: u64 = "default-size", ejects: u64 = "ejects",
    exclusive: Flag = "exclusive", handover_fee: f64 = "handover-fee", in_flight_max_ns: u64 = "in-flight-max-ns",
    ingest_rate: f64 = "ingest-rate", interval_ns: u64 = "interval-ns", lines_per_s: f64 = "lines-per-s",
    mutating: List<Flag> = "mutating", overhead: f64 = "overhead", per_try: f64 = "per-try", pick: Pick = "pick",
    proxy_count: u64 = "proxy-count", reloads_max: u64 = "reloads-max", retry_default: u64 = "retry-default",
    slices: u64 = "slices", smallest_conn_table: f64 = "smallest-conn-table", tenure_ns: u64 = "tenure-ns",
    transit_max_ns: u64 = "transit-max-ns", transit_ns: u64 = "transit-ns", unserved_max_ns: u64 = "unserved-max-ns",
    update_window_ns: u64 = "update-window-ns", waits_for_table_ns: u64 = "waits-for-table-ns",
    warm_keys: Flag = "warm-keys", zonal: Flag = "zonal");
section!(Tariffs,
    connection: f64 = "connection", cross_zone: f64 = "cross-zone", discovery: f64 = "discovery", fleet: f64 = "fleet",
    handshake: f64 = "handshake", late_fail: f64 = "late-fail", moves: f64 = "moves", peer: f64 = "peer",
    probe: f64 = "probe", waste: f64 = "waste");

/// All sections of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Boot {
    pub top: Top,
    pub classes: Vec<Class>,
    pub goal: Goal,
    pub guarantees: Guarantees,
    pub limits: Limits,
    pub specifics: Specifics,
    pub tariffs: Tariffs,
}

impl Boot {
    /// Reads the settings from their paths; unknown ones are passed over.
    pub fn read(paths: &Paths<'_>) -> Result<Self, Bad> {
        let count: u64 = take(paths, "classes.count")?.unwrap_or(0);
        if count > 32 {
            return Err(Bad { field: "classes.count".to_string(), expected: "32 at most" });
        }
        Ok(Boot {
            top: Top::read(paths, "")?,
            classes: (0..count)
                .map(|k| Class::read(paths, &format!("classes.{k}.")))
                .collect::<Result<_, _>>()?,
            goal: Goal::read(paths, "goal.")?,
            guarantees: Guarantees::read(paths, "guarantees.")?,
            limits: Limits::read(paths, "limits.")?,
            specifics: Specifics::read(paths, "specifics.")?,
            tariffs: Tariffs::read(paths, "tariffs.")?,
        })
    }

    /// Writes path=value pairs, a space before each.
    pub fn write(&self, out: &mut String) {
        self.top.write("", out);
        let _ = write!(out, " classes.count={}", self.classes.len());
        for (k, class) in self.classes.iter().enumerate() {
            class.write(&format!("classes.{k}."), out);
        }
        self.goal.write("goal.", out);
        self.guarantees.write("guarantees.", out);
        self.limits.write("limits.", out);
        self.specifics.write("specifics.", out);
        self.tariffs.write("tariffs.", out);
    }
}
