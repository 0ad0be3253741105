//! The types of settings that are not plain numbers or texts.

use crate::{word_enum, Value};

/// Precedes each item of a list whose items may contain commas.
const UNIT_SEPARATOR: char = '\u{1f}';

word_enum!(
    /// Whether a request may be executed more than once.
    Semantics, "safe, keyed or unsafe",
    /// The request is idempotent.
    "safe" => Idempotent,
    /// The request carries an idempotency key, by which hosts drop repetitions for a limited time.
    "keyed" => IdempotencyKey,
    /// The request must not be executed twice.
    "unsafe" => NotIdempotent,
);
word_enum!(
    /// Which hosts share the idempotency keys of requests.
    KeyScope, "all, zone or cell",
    /// All hosts.
    "all" => All,
    /// Hosts of one zone.
    "zone" => Zone,
    /// Hosts of one cell.
    "cell" => Cell,
);
word_enum!(
    /// How a director receives the endpoint list.
    Discovery, "pushed or on_request",
    /// The list is pushed to the director.
    "pushed" => Pushed,
    /// The director requests the list or subscribes to it.
    "on_request" => OnRequest,
);
word_enum!(
    /// How proxies can limit admission.
    Admission, "fraction, per_second or silent",
    /// To a share of the requests.
    "fraction" => Fraction,
    /// To a rate of requests.
    "per_second" => PerSecond,
    /// They cannot limit admission.
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
    /// The list has no weights.
    "silent" => Silent,
    /// The nominal capacities.
    "nominal" => Nominal,
    /// Estimates.
    "rough" => Rough,
    /// Measurements.
    "live" => Live,
);
word_enum!(
    /// How a director receives load reports.
    ReportSource, "piggyback, pull or silent",
    /// Within the collectors' reports.
    "piggyback" => Piggyback,
    /// In the responses to health checks.
    "pull" => Pull,
    /// There are no load reports.
    "silent" => Silent,
);
word_enum!(
    /// Unit in which the value of an answer is counted.
    ValueUnit, "request or work",
    /// Each request counts the same.
    "request" => Request,
    /// A request counts in proportion to its work.
    "work" => Work,
);

/// A boolean, written as `true` or `false`; `1` and `0` are accepted as well.
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

/// A list. Its items are separated by commas or, where items may contain commas, each is preceded by a unit separator
/// (U+001F). Empty items are ignored. The written form always uses commas.
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
