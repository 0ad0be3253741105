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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("ROUNDUP who=3 time-taken-ns=48250000 rack-zone=b covers-ns=1000000000 host=10.18.74.7:8003 many=14 bad=1 telemetry=q:3,lat_ms:210.5")]
    #[test_case(
        "ITEM sku=four-core born-ns=6100000000 host=10.144.17.242:8044 w=1.5 block=0 rack-zone=b status=3"
    )]
    #[test_case("CHECKED_IN who=3 proxy=41 rack-zone=b w=6.5 set=1")]
    #[test_case("DATAGRAM who=0 src=1 octets=68692037")]
    #[test_case("PONG who=0 host=h:1 outcome=unreachable time-taken-ns=0")]
    #[test_case("CONFIGURE who=3 init-seed=7 az=b kinds=k zones=a,b classes.count=1 classes.0.aim-ns=8 classes.0.name=r guarantees.cold-from=0.15 specifics.mutating=false,true specifics.pick=p2c")]
    fn events_are_written_as_they_are_read(line: &str) {
        let mut written = String::new();
        Event::parse(line, 1).unwrap().write(&mut written);
        assert_eq!(written, line);
    }

    #[test_case("SET_LINE who=3 host=10.144.17.242:8044 table=117 w=0.75")]
    #[test_case("ADMIT who=3 table=65535 only=2 level=0.75 resend=1")]
    #[test_case("SIGNAL who=3 dst=* octets=-")]
    #[test_case("TRACE who=3 reason-text=two servers known w=1")]
    fn orders_are_written_as_they_are_read(line: &str) {
        let mut written = String::new();
        Order::parse(line, 1).unwrap().write(&mut written);
        assert_eq!(written, line);
    }

    #[test]
    fn fields_come_in_any_order_and_unknown_ones_are_passed_over() {
        let line = "HEAT table=7 bad=0 new=x many=4 grade=r covers-ns=9 who=1";
        assert_eq!(
            Event::parse(line, 1),
            Event::parse("HEAT who=1 covers-ns=9 grade=r bad=0 many=4 table=7", 1)
        );
    }

    #[test_case("HEAT who=1 covers-ns=9 grade=r bad=none many=4 table=7", "bad", "a whole number"; "a word for a number")]
    #[test_case("TENURE who=1 set=1", "table", "a whole number below 65536"; "a missing field")]
    #[test_case("TENURE who=1 set=2 table=3", "set", "1 or 0"; "a wrong value")]
    #[test_case("CONFIGURE who=1 init-seed=2 specifics.slices=many", "specifics.slices", "a whole number"; "a wrong setting")]
    #[test_case("HELLO who=1", "(first word)", "a known message"; "an unknown message")]
    fn faults_name_line_field_and_expectation(line: &str, field: &str, expected: &str) {
        let fault = Event::parse(line, 12).unwrap_err();
        assert_eq!((fault.line, fault.field.as_str(), fault.expected.as_str()), (12, field, expected));
    }

    fn batches(input: &str) -> Vec<Result<Batch, Vec<Fault>>> {
        let mut reader = Reader::new(input.as_bytes());
        std::iter::from_fn(|| reader.next_batch().unwrap()).collect()
    }

    #[test]
    fn a_malformed_line_costs_only_itself() {
        let read = batches("MARK sim-time-ns=5\nSTOP who=x\nSTOP who=1\nCOMMIT\n");
        let batch = read[0].as_ref().unwrap();
        assert_eq!((batch.clock_ns, batch.events.len(), batch.faults[0].line), (5, 1, 2));
    }

    #[test]
    fn a_batch_cut_off_is_not_handed_out() {
        let read = batches("MARK sim-time-ns=5\nCOMMIT\nMARK sim-time-ns=6\nSTOP who=1\n");
        assert!(read[0].is_ok());
        assert_eq!(read[1].as_ref().unwrap_err()[0].field, "COMMIT");
        assert_eq!(read.len(), 2);
    }
}
