//! Tests of the module `input`.
use super::*;
use crate::names::tests::names;
use coppersail::interface::{
    CellId, HostId, HostListEntry, HostState, Input, ListScope, LoadReport, MachineTypeId, Outcome, PeerId,
    ProxyId, RoundId, RouteId, SliceId, TimerId, ZoneId,
};

fn input_of(line: &str) -> Option<Input> {
    input(&Event::parse(line, 1).unwrap(), &mut names()).unwrap()
}

#[test]
fn an_entry_that_loses_a_field_is_noticed() {
    let listing = |text: &str| super::listing(&Event::parse(text, 1).unwrap(), &mut names()).unwrap();
    let expected = HostListEntry {
        host: HostId(1),
        state: HostState::Ready,
        started_at: Some(-1.0),
        weight: 1.5,
        zone: ZoneId(1),
        cell: CellId(7),
        machine_type: MachineTypeId(1),
    };
    let item = "ITEM sku=l born-ns=4000000000 host=h:2 w=1.5 block=7 rack-zone=b status=3";
    assert_eq!(listing(item), expected);
    let cold = HostListEntry { started_at: None, state: HostState::Draining, ..expected.clone() };
    assert_eq!(listing(&item.replace("4000000000", "0").replace("status=3", "status=2")), cold);
    let gone = HostListEntry { started_at: None, state: HostState::Removed, host: HostId(0), ..expected };
    let item = item.replace("born-ns=4000000000 ", "").replace("status=3", "status=1").replace("h:2", "h:1");
    assert_eq!(listing(&item), gone);
}

#[test]
fn an_event_that_becomes_another_input_is_noticed() {
    let load = LoadReport { queued: Some(3.0), service_time: Some(0.25), ..LoadReport::default() };
    let table = [
        (
            "HEAT who=3 covers-ns=500000000 grade=s bad=1 many=4 table=7",
            Input::SliceDemand { slice: SliceId(7), route: RouteId(1), requests: 4, dropped: 1, window: 0.5 },
        ),
        ("TENURE who=3 set=1 table=7", Input::SliceAssigned(SliceId(7))),
        ("TENURE who=3 set=0 table=7", Input::SliceRevoked(SliceId(7))),
        ("REMINDER who=3 ref=9", Input::TimerFired(TimerId(9))),
        (
            "CHECKED_IN who=3 proxy=41 rack-zone=b w=6.5 set=1",
            Input::ProxyJoined { proxy: ProxyId(41), zone: ZoneId(1), requests_per_s: 6.5, without_tables: true },
        ),
        (
            "CURRENT_OWNER who=3 table=7 w=0.25 host=h:9",
            Input::StoredWeight { slice: SliceId(7), host: HostId(1), weight: 0.25 },
        ),
        ("DATAGRAM who=3 src=1 octets=68ff", Input::PeerMessage { from: PeerId(1), payload: vec![0x68, 0xff] }),
        (
            "PONG who=3 host=h:1 outcome=broken time-taken-ns=500000000 telemetry=q:3,lat_ms:250",
            Input::ProbeFinished { host: HostId(0), outcome: Outcome::ConnectionLost, duration: 0.5, load },
        ),
        (
            "RECEIPT who=3 proxy=41 time-taken-ns=500000000 rev=17",
            Input::RoundAcknowledged { proxy: ProxyId(41), round: RoundId(17), latency: 0.5 },
        ),
        ("DROPPED_OFF who=3 proxy=41", Input::ProxyLeft(ProxyId(41))),
        (
            "INTAKE who=3 proxy=41 grade=s many=14 bad=1 covers-ns=500000000",
            Input::ProxyDemand { proxy: ProxyId(41), route: RouteId(1), requests: 14, dropped: 1, window: 0.5 },
        ),
        (
            "ROUNDUP who=3 time-taken-ns=250000000 rack-zone=b covers-ns=500000000 host=h:1 many=14 bad=1 telemetry=q:3,lat_ms:250",
            Input::AttemptStats { host: HostId(0), zone: ZoneId(1), window: 0.5, attempts: 14, dropped: 1, mean_response_time: 0.25, load },
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
        ("success", Outcome::Succeeded),
        ("failure", Outcome::ErrorResponse),
        ("overloaded", Outcome::Throttled),
        ("timed_out", Outcome::TimedOut),
        ("unreachable", Outcome::ConnectFailed),
        ("broken", Outcome::ConnectionLost),
        ("withdrawn", Outcome::Withdrawn),
        ("void", Outcome::Discarded),
    ];
    for (word, outcome) in outcomes {
        let probed =
            Input::ProbeFinished { host: HostId(0), outcome, duration: 0.0, load: LoadReport::default() };
        assert_eq!(input_of(&format!("PONG who=3 host=h:1 outcome={word} time-taken-ns=0")), Some(probed));
    }
    let scopes = [
        (coppersail_bench_codec::Scope::Delta, ListScope::Delta),
        (coppersail_bench_codec::Scope::Full, ListScope::Snapshot),
        (coppersail_bench_codec::Scope::Cached, ListScope::CachedSnapshot),
        (coppersail_bench_codec::Scope::Failed, ListScope::Failed),
    ];
    for (code, scope) in scopes {
        assert_eq!(list_scope(code), scope);
    }
}
