//! Tests of the module `output`.
use crate::names::tests::names;
use coppersail::interface::{
    HostId, Order, PeerId, ProxyId, RetryPolicy, RoundId, RouteId, Scope, SliceId, TimerId,
};

fn line_of(order: Order) -> Option<String> {
    let mut text = String::new();
    super::order(3, order, &mut names())?.write(&mut text);
    Some(text)
}

#[test]
fn an_order_that_becomes_another_line_is_noticed() {
    let admit = |scope, routes, retry| Order::SetAdmission { scope, routes, level: 0.5, retry };
    let slice = Scope::Slice(SliceId(7));
    let table = [
        (
            Order::SetWeight { slice: SliceId(7), host: HostId(0), weight: 0.5 },
            "SET_LINE who=3 host=h:1 table=7 w=0.5",
        ),
        (
            Order::SetWeight { slice: SliceId(7), host: HostId(9), weight: 0.0 },
            "SET_LINE who=3 host=(forgotten) table=7 w=0",
        ),
        (Order::ClearTable(SliceId(7)), "RESET_TABLE who=3 table=7"),
        (Order::SetWithdrawn { host: HostId(0), withdrawn: true }, "HOLD_BACK who=3 host=h:1 set=1"),
        (admit(slice, vec![], RetryPolicy::Never), "ADMIT who=3 table=7 only=0 level=0.5 resend=0"),
        (
            admit(slice, vec![RouteId(1)], RetryPolicy::IfNotExecuted),
            "ADMIT who=3 table=7 only=2 level=0.5 resend=1",
        ),
        (
            admit(Scope::AllProxies, vec![RouteId(0), RouteId(1)], RetryPolicy::Once),
            "ADMIT who=3 table=65535 only=3 level=0.5 resend=2",
        ),
        (admit(slice, vec![RouteId(0)], RetryPolicy::Twice), "ADMIT who=3 table=7 only=1 level=0.5 resend=3"),
        (
            Order::BindTable { proxy: ProxyId(41), routes: vec![RouteId(1)], table: SliceId(7) },
            "USE_TABLE who=3 proxy=41 only=2 table=7",
        ),
        (
            Order::RequestAcknowledgement { round: RoundId(17), include_idle_proxies: false },
            "NONCE who=3 rev=17 set=0",
        ),
        (Order::WatchHostList(true), "FOLLOW who=3 set=1"),
        (Order::FetchHostList, "GET_LIST who=3"),
        (Order::Probe(HostId(0)), "SAMPLE who=3 host=h:1"),
        (Order::SendToPeers { to: None, payload: vec![] }, "SIGNAL who=3 dst=* octets=-"),
        (Order::SendToPeers { to: Some(PeerId(1)), payload: vec![0x68] }, "SIGNAL who=3 dst=1 octets=68"),
        (Order::SetTimer { timer: TimerId(9), fires_at: 0.5 }, "WAKE_AT who=3 ref=9 time-ns=5500000000"),
        (
            Order::Log { text: "t".into(), hosts: vec![HostId(0), HostId(9)] },
            "TRACE who=3 reason-text=t: h:1 (forgotten)",
        ),
    ];
    for (order, expected) in table {
        assert_eq!(line_of(order).as_deref(), Some(expected));
    }
    assert_eq!(line_of(Order::ReleaseHost(HostId(0))), None);
}
