//! The types of settings that are no plain numbers and texts.

use crate::{word_enum, Value};

/// Stands before each item of a list whose items may hold commas.
const UNIT_SEPARATOR: char = '\u{1f}';

word_enum!(
    /// Whether a request may run more than once.
    Semantics, "safe, keyed or unsafe",
    /// It is idempotent.
    "safe" => Idempotent,
    /// It carries a key by which hosts drop repetitions for some time.
    "keyed" => IdempotencyKey,
    /// It must not run twice.
    "unsafe" => NotIdempotent,
);
word_enum!(
    /// Which hosts share the keys of repeated requests.
    KeyScope, "all, zone or cell",
    /// All hosts.
    "all" => All,
    /// Hosts of one zone.
    "zone" => Zone,
    /// Hosts of one cell.
    "cell" => Cell,
);
word_enum!(
    /// How the endpoint list comes.
    Discovery, "pushed or on_request",
    /// By itself.
    "pushed" => Pushed,
    /// When the director asks or subscribes.
    "on_request" => OnRequest,
);
word_enum!(
    /// What proxies can limit admission by.
    Admission, "fraction, per_second or silent",
    /// A share of the requests.
    "fraction" => Fraction,
    /// A rate of requests.
    "per_second" => PerSecond,
    /// They can't.
    "silent" => Silent,
);
word_enum!(
    /// How proxies select a host of a table.
    HostSelection, "random, rotate or p2c",
    /// At random, by weight.
    "random" => Random,
    /// In turn, by weight.
    "rotate" => Rotate,
    /// The less loaded of two random ones (power of two choices).
    "p2c" => P2c,
);
word_enum!(
    /// Where the weights of the endpoint list come from.
    WeightSource, "silent, nominal, rough or live",
    /// The list has none.
    "silent" => Silent,
    /// The nominal capacities.
    "nominal" => Nominal,
    /// Estimates.
    "rough" => Rough,
    /// Measurements.
    "live" => Live,
);
word_enum!(
    /// How load reports come.
    ReportSource, "piggyback, pull or silent",
    /// With the collectors' reports.
    "piggyback" => Piggyback,
    /// In the answers to health checks.
    "pull" => Pull,
    /// They don't.
    "silent" => Silent,
);
word_enum!(
    /// What the value of an answer is counted by.
    ValueUnit, "request or work",
    /// Each request counts the same.
    "request" => Request,
    /// A request counts by its work.
    "work" => Work,
);

/// `true` or `false`; 1 and 0 are read, too.
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

    fn write_text(&self, out: &mut String) {
        out.push_str(if self.0 { "true" } else { "false" });
    }
}

/// A list: its items are separated by commas, or, where items may hold commas, each follows a unit separator (U+001F).
/// Empty items are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List<T>(pub Vec<T>);

impl<T: Value> Value for List<T> {
    const EXPECTED: &'static str = "values joined by commas";

    fn parse(text: &str) -> Option<Self> {
        let separator = if text.starts_with(UNIT_SEPARATOR) { UNIT_SEPARATOR } else { ',' };
        let items = text.split(separator).filter(|item| !item.is_empty());
        items.map(T::parse).collect::<Option<Vec<T>>>().map(List)
    }

    fn write_text(&self, out: &mut String) {
        for (index, item) in self.0.iter().enumerate() {
            if index > 0 {
                out.push(',');
            }
            item.write_text(out);
        }
    }
}
