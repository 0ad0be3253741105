//! Tests of the module `input`.
use super::*;
use crate::names::tests::names;
use coppersail::interface::{
    CellId, HostId, HostState, Input, KindId, ListScope, Listing, Load, MarkId, Outcome, PeerId, ProxyId,
    RouteId, SliceId, WakeId, ZoneId,
};

fn input_of(line: &str) -> Option<Input> {
    input(&Event::parse(line, 1).unwrap(), &mut names()).unwrap()
}

#[test]
fn an_entry_that_loses_a_field_is_noticed() {
    let listing = |text: &str| super::listing(&Event::parse(text, 1).unwrap(), &mut names()).unwrap();
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
        assert_eq!(input_of(line), Some(expected), "{line}");
    }
    assert_eq!(input_of("STOP who=3"), None);
    assert_eq!(input_of("MEMBERS who=3 scope=1 rev=1"), None);
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
        assert_eq!(input_of(&format!("PONG who=3 host=h:1 outcome={word} time-taken-ns=0")), Some(probed));
    }
    let scopes = [
        (coppersail_bench_codec::Scope::Delta, ListScope::Changes),
        (coppersail_bench_codec::Scope::Full, ListScope::Whole),
        (coppersail_bench_codec::Scope::Cached, ListScope::Remembered),
        (coppersail_bench_codec::Scope::Failed, ListScope::Failed),
    ];
    for (code, scope) in scopes {
        assert_eq!(list_scope(code), scope);
    }
}
