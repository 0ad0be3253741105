//! Tests of the module `names`: each event becomes the input that it means, each order the line that the bench reads.
use super::*;
use coppersail::interface::{
    CellId, HostId, HostState, Input, KindId, ListScope, Listing, Load, MarkId, Order, Outcome, PeerId,
    ProxyId, Retry, RouteId, Scope, SliceId, WakeId, ZoneId,
};

const ORIGIN_NS: u64 = 5_000_000_000;

fn names() -> Names {
    let line =
        "CONFIGURE who=3 init-seed=2 kinds=k,l zones=a,b classes.count=2 classes.0.name=r classes.1.name=s";
    let wire::Event::Configure { boot, .. } = wire::Event::parse(line, 1).unwrap() else { panic!() };
    let mut names = Names::new(&boot, Clock::starting(ORIGIN_NS));
    let item = "ITEM sku=l born-ns=4000000000 host=h:1 w=1.5 block=7 rack-zone=b status=3";
    names.listing(&wire::Event::parse(item, 1).unwrap()).unwrap();
    names
}

fn input(line: &str) -> Option<Input> {
    names().input(&wire::Event::parse(line, 1).unwrap()).unwrap()
}

fn text(order: Order) -> Option<String> {
    let mut text = String::new();
    names().order(3, order)?.write(&mut text);
    Some(text)
}

#[test]
fn an_entry_that_loses_a_field_is_noticed() {
    let listing = |text: &str| names().listing(&wire::Event::parse(text, 1).unwrap()).unwrap();
    let expected = Listing {
        host: HostId(1),
        state: HostState::Ready,
        born: Some(-1.0),
        weight: 1.5,
        zone: ZoneId(1),
        cell: CellId(7),
        kind: KindId(1),
    };
    let item = "ITEM sku=l born-ns=4000000000 host=h:2 w=1.5 block=7 rack-zone=b status=3";
    assert_eq!(listing(item), expected);
    let cold = Listing { born: None, state: HostState::Draining, ..expected.clone() };
    assert_eq!(listing(&item.replace("4000000000", "0").replace("status=3", "status=2")), cold);
    let gone = Listing { born: None, state: HostState::Gone, host: HostId(0), ..expected };
    let item = item.replace("born-ns=4000000000 ", "").replace("status=3", "status=1").replace("h:2", "h:1");
    assert_eq!(listing(&item), gone);
}

#[test]
fn an_event_that_becomes_another_input_is_noticed() {
    let load = Load { waiting: Some(3.0), service_time: Some(0.25), ..Load::default() };
    let table = [
        (
            "HEAT who=3 covers-ns=500000000 grade=s bad=1 many=4 table=7",
            Input::Demand { slice: SliceId(7), route: RouteId(1), calls: 4, dropped: 1, span: 0.5 },
        ),
        ("TENURE who=3 set=1 table=7", Input::Given(SliceId(7))),
        ("TENURE who=3 set=0 table=7", Input::Taken(SliceId(7))),
        ("REMINDER who=3 ref=9", Input::Wake(WakeId(9))),
        (
            "CHECKED_IN who=3 proxy=41 rack-zone=b w=6.5 set=1",
            Input::Joined { proxy: ProxyId(41), zone: ZoneId(1), calls_per_s: 6.5, fresh: true },
        ),
        (
            "CURRENT_OWNER who=3 table=7 w=0.25 host=h:9",
            Input::StoredLine { slice: SliceId(7), host: HostId(1), weight: 0.25 },
        ),
        ("DATAGRAM who=3 src=1 octets=68ff", Input::Heard { from: PeerId(1), bytes: vec![0x68, 0xff] }),
        (
            "PONG who=3 host=h:1 outcome=broken time-taken-ns=500000000 telemetry=q:3,lat_ms:250",
            Input::Probed { host: HostId(0), outcome: Outcome::Broken, took: 0.5, load },
        ),
        (
            "RECEIPT who=3 proxy=41 time-taken-ns=500000000 rev=17",
            Input::Applied { proxy: ProxyId(41), mark: MarkId(17), took: 0.5 },
        ),
        ("DROPPED_OFF who=3 proxy=41", Input::Left(ProxyId(41))),
        (
            "INTAKE who=3 proxy=41 grade=s many=14 bad=1 covers-ns=500000000",
            Input::Intake { proxy: ProxyId(41), route: RouteId(1), calls: 14, dropped: 1, span: 0.5 },
        ),
        (
            "ROUNDUP who=3 time-taken-ns=250000000 rack-zone=b covers-ns=500000000 host=h:1 many=14 bad=1 telemetry=q:3,lat_ms:250",
            Input::Tries { host: HostId(0), zone: ZoneId(1), span: 0.5, tries: 14, dropped: 1, rt: 0.25, load },
        ),
    ];
    for (line, expected) in table {
        assert_eq!(input(line), Some(expected), "{line}");
    }
    assert_eq!(input("STOP who=3"), None);
    assert_eq!(input("MEMBERS who=3 scope=1 rev=1"), None);
}

#[test]
fn a_code_that_becomes_another_value_is_noticed() {
    let outcomes = [
        ("success", Outcome::Answered),
        ("failure", Outcome::Error),
        ("overloaded", Outcome::Throttled),
        ("timed_out", Outcome::TimedOut),
        ("unreachable", Outcome::Unreachable),
        ("broken", Outcome::Broken),
        ("withdrawn", Outcome::Withdrawn),
        ("void", Outcome::Void),
    ];
    for (word, outcome) in outcomes {
        let probed = Input::Probed { host: HostId(0), outcome, took: 0.0, load: Load::default() };
        assert_eq!(input(&format!("PONG who=3 host=h:1 outcome={word} time-taken-ns=0")), Some(probed));
    }
    let scopes = [
        (wire::Scope::Delta, ListScope::Changes),
        (wire::Scope::Full, ListScope::Whole),
        (wire::Scope::Cached, ListScope::Remembered),
        (wire::Scope::Failed, ListScope::Failed),
    ];
    for (code, scope) in scopes {
        assert_eq!(scope_of(code), scope);
    }
}

#[test]
fn an_order_that_becomes_another_line_is_noticed() {
    let admit = |scope, routes, retry| Order::Admit { scope, routes, level: 0.5, retry };
    let slice = Scope::Slice(SliceId(7));
    let table = [
        (
            Order::Line { slice: SliceId(7), host: HostId(0), weight: 0.5 },
            "SET_LINE who=3 host=h:1 table=7 w=0.5",
        ),
        (
            Order::Line { slice: SliceId(7), host: HostId(9), weight: 0.0 },
            "SET_LINE who=3 host=(forgotten) table=7 w=0",
        ),
        (Order::Clear(SliceId(7)), "RESET_TABLE who=3 table=7"),
        (Order::Withdraw { host: HostId(0), out: true }, "HOLD_BACK who=3 host=h:1 set=1"),
        (admit(slice, vec![], Retry::Never), "ADMIT who=3 table=7 only=0 level=0.5 resend=0"),
        (admit(slice, vec![RouteId(1)], Retry::IfNeverRan), "ADMIT who=3 table=7 only=2 level=0.5 resend=1"),
        (
            admit(Scope::Everywhere, vec![RouteId(0), RouteId(1)], Retry::Once),
            "ADMIT who=3 table=65535 only=3 level=0.5 resend=2",
        ),
        (admit(slice, vec![RouteId(0)], Retry::Twice), "ADMIT who=3 table=7 only=1 level=0.5 resend=3"),
        (
            Order::Bind { proxy: ProxyId(41), routes: vec![RouteId(1)], table: SliceId(7) },
            "USE_TABLE who=3 proxy=41 only=2 table=7",
        ),
        (Order::Mark { mark: MarkId(17), all: false }, "NONCE who=3 rev=17 set=0"),
        (Order::Follow(true), "FOLLOW who=3 set=1"),
        (Order::FetchList, "GET_LIST who=3"),
        (Order::Probe(HostId(0)), "SAMPLE who=3 host=h:1"),
        (Order::Tell { to: None, bytes: vec![] }, "SIGNAL who=3 dst=* octets=-"),
        (Order::Tell { to: Some(PeerId(1)), bytes: vec![0x68] }, "SIGNAL who=3 dst=1 octets=68"),
        (Order::WakeAt { wake: WakeId(9), at: 0.5 }, "WAKE_AT who=3 ref=9 time-ns=5500000000"),
        (
            Order::Log { text: "t".into(), hosts: vec![HostId(0), HostId(9)] },
            "TRACE who=3 reason-text=t: h:1 (forgotten)",
        ),
    ];
    for (order, expected) in table {
        assert_eq!(text(order).as_deref(), Some(expected));
    }
    assert_eq!(text(Order::Forget(HostId(0))), None);
}
