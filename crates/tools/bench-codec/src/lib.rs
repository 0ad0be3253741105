//! Codec for the bench's wire: lines of text, batches of events in, replies of orders out. It knows the wire's
//! names and nothing of what they are used for.

mod field;
mod stream;

pub use field::{Fault, Octets, Outcome, Receiver, Resend, Scope, Status, Telemetry, Text};
pub use stream::{Batch, Reader};

use coppersail_settings::{Bad, Boot, Field, Parts};

/// Declares messages: an enum with one variant each, read from a line and written to one.
macro_rules! messages {
    ($(#[$doc:meta])* $name:ident, $($word:literal => $variant:ident { $($field:ident: $type:ty = $key:literal),* }),+ $(,)?) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub enum $name { $($variant { $($field: $type),* }),+ }
        impl $name {
            /// Reads one line; `line` is its number, for the fault.
            pub fn parse(text: &str, line: u64) -> Result<Self, Fault> {
                let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
                let parts = Parts::new(rest);
                let read = || -> Result<Self, Bad> {
                    match word {
                        $($word => Ok($name::$variant { $($field: <$type>::read(&parts, $key)?),* }),)+
                        _ => Err(Bad { field: "(first word)".to_string(), expected: "a known message" }),
                    }
                };
                read().map_err(|bad| Fault {
                    line,
                    message: word.chars().take(40).collect(),
                    field: bad.field,
                    expected: bad.expected.to_string(),
                })
            }
            /// Writes one line, without its end.
            pub fn write(&self, out: &mut String) {
                match self {
                    $($name::$variant { $($field),* } => {
                        out.push_str($word);
                        $($field.write($key, out);)*
                    })+
                }
            }
        }
    };
}

messages!(
    /// What the simulator sends.
    Event,
    "CONFIGURE" => Configure { who: u64 = "who", seed: u64 = "init-seed", boot: Box<Boot> = "boot-info" },
    "MEMBERS" => Members { who: u64 = "who", scope: Scope = "scope", rev: u64 = "rev", count: Option<u64> = "members-list" },
    "ITEM" => Item {
        sku: String = "sku", born_ns: Option<u64> = "born-ns", host: String = "host", w: f64 = "w",
        block: u64 = "block", zone: String = "rack-zone", status: Status = "status"
    },
    "HEAT" => Heat {
        who: u64 = "who", covers_ns: u64 = "covers-ns", grade: String = "grade", bad: u64 = "bad", many: u64 = "many",
        table: u16 = "table"
    },
    "TENURE" => Tenure { who: u64 = "who", set: bool = "set", table: u16 = "table" },
    "STOP" => Stop { who: u64 = "who" },
    "REMINDER" => Reminder { who: u64 = "who", token: u64 = "ref" },
    "CHECKED_IN" => CheckedIn { who: u64 = "who", proxy: u16 = "proxy", zone: String = "rack-zone", w: f64 = "w", set: bool = "set" },
    "CURRENT_OWNER" => CurrentOwner { who: u64 = "who", table: u16 = "table", w: f64 = "w", host: String = "host" },
    "DATAGRAM" => Datagram { who: u64 = "who", src: u64 = "src", octets: Octets = "octets" },
    "PONG" => Pong {
        who: u64 = "who", host: String = "host", outcome: Outcome = "outcome", time_taken_ns: u64 = "time-taken-ns",
        telemetry: Option<Telemetry> = "telemetry"
    },
    "RECEIPT" => Receipt { who: u64 = "who", proxy: u16 = "proxy", time_taken_ns: u64 = "time-taken-ns", rev: u16 = "rev" },
    "DROPPED_OFF" => DroppedOff { who: u64 = "who", proxy: u16 = "proxy" },
    "INTAKE" => Intake {
        who: u64 = "who", proxy: u16 = "proxy", grade: String = "grade", many: u64 = "many", bad: u64 = "bad",
        covers_ns: u64 = "covers-ns"
    },
    "ROUNDUP" => Roundup {
        who: u64 = "who", time_taken_ns: u64 = "time-taken-ns", zone: String = "rack-zone", covers_ns: u64 = "covers-ns",
        host: String = "host", many: u64 = "many", bad: u64 = "bad", telemetry: Option<Telemetry> = "telemetry"
    },
);

messages!(
    /// What an adapter answers.
    Order,
    "FOLLOW" => Follow { who: u64 = "who", set: bool = "set" },
    "GET_LIST" => GetList { who: u64 = "who" },
    "TRACE" => Trace { who: u64 = "who", reason: Text = "reason-text" },
    "GIVE_IN" => GiveIn { who: u64 = "who", reason: Text = "reason-text" },
    "ADMIT" => Admit { who: u64 = "who", table: u16 = "table", only: u64 = "only", level: f64 = "level", resend: Resend = "resend" },
    "WAKE_AT" => WakeAt { who: u64 = "who", token: u64 = "ref", time_ns: u64 = "time-ns" },
    "SAMPLE" => Sample { who: u64 = "who", host: String = "host" },
    "SIGNAL" => Signal { who: u64 = "who", dst: Receiver = "dst", octets: Octets = "octets" },
    "HOLD_BACK" => HoldBack { who: u64 = "who", host: String = "host", set: bool = "set" },
    "USE_TABLE" => UseTable { who: u64 = "who", proxy: u16 = "proxy", only: u64 = "only", table: u16 = "table" },
    "SET_LINE" => SetLine { who: u64 = "who", host: String = "host", table: u16 = "table", w: f64 = "w" },
    "NONCE" => Nonce { who: u64 = "who", rev: u16 = "rev", set: bool = "set" },
    "RESET_TABLE" => ResetTable { who: u64 = "who", table: u16 = "table" },
);

/// The number that stands for every table in `ADMIT`.
pub const ALL_TABLES: u16 = 65535;

/// A reply: a line for each order, closed by `READY`.
pub fn write_reply(orders: &[Order], out: &mut String) {
    for order in orders {
        order.write(out);
        out.push('\n');
    }
    out.push_str("READY\n");
}

#[cfg(test)]
mod tests;
