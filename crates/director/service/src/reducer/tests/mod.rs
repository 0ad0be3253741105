//! Each part's state is built directly and one function is called.

mod channel_model;

use super::collector_connections::Sender;
use super::relay_calls::{OrderTarget, RelayOrder, WriteRequest};
use super::relay_subscription::RelayUpdate;
use super::*;
use crate::framing::Framed;
use coppersail::interface as api;
use coppersail::interface::{HostId, Input, ProxyId, SliceId, ZoneId};
use coppersail_protocol::collector::ALIVE;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use test_case::test_case;

fn here() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn elsewhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2))
}

/// Of what may be written now: all.
fn all(request: WriteRequest) -> usize {
    request.orders
}

fn line(slice: u16, host: u32, weight: f64) -> RelayOrder {
    let target = OrderTarget::Weight(SliceId(slice), HostId(host));
    RelayOrder { target, weight, text: format!("SET,{slice},h{host},{weight}") }
}

/// A queue with one connection up and these calls given.
fn calls(given: &[&[RelayOrder]]) -> (RelayCalls, Outbox) {
    let (mut calls, mut out) = (RelayCalls::new(here()), Outbox::default());
    given.iter().for_each(|call| calls.enqueue(call.to_vec()));
    calls.poll(0.0, all, &mut out);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, all, &mut out);
    (calls, out)
}

fn sent(out: &Outbox) -> Vec<String> {
    let text = |effect: &Effect| match effect {
        Effect::Send(_, bytes) => Some(String::from_utf8_lossy(bytes).trim_end().to_string()),
        _ => None,
    };
    out.effects.iter().filter_map(text).collect()
}

#[test]
fn one_call_is_out_at_a_time() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)], &[line(2, 2, 0.5)]]);
    assert_eq!(sent(&out), ["txn SET,1,h1,1"]);
    calls.poll(0.01, all, &mut out);
    assert_eq!(sent(&out).len(), 1, "the first is not answered yet");
    let taken = calls.answer(0.02, LinkId(1), b"OK 1", &mut out);
    assert_eq!(taken, [line(1, 1, 1.0)]);
    calls.poll(0.02, all, &mut out);
    assert_eq!(sent(&out)[1..], ["txn SET,2,h2,0.5"]);
}

#[test_case(&[b"OK 2"], 2, 0, 0 ; "all taken")]
#[test_case(&[b"OK 1", b"OK 0"], 1, 1, 0 ; "the second refused")]
#[test_case(&[b"OK 0", b"OK 0"], 0, 1, 0 ; "the first refused")]
#[test_case(&[b"OK 0", b"OK 2"], 2, 0, 0 ; "a spoilt answer that refuses the first")]
#[test_case(&[b"OK 1", b"OK 1"], 2, 0, 0 ; "a spoilt answer that refuses the second")]
#[test_case(&[b"OK 3"], 0, 0, 1 ; "more than there were cannot be read")]
#[test_case(&[b"OK -1"], 0, 0, 1 ; "fewer than none cannot be read")]
#[test_case(&[b"ValidationError"], 0, 0, 1 ; "not valid once may be spoilt")]
fn answers(answers: &[&[u8]], taken: u64, refused: u64, repeated: u64) {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0), line(1, 2, 0.5)]]);
    calls.enqueue(vec![line(2, 1, 1.0)]);
    let mut told = 0;
    for answer in answers {
        assert!(!sent(&out).concat().contains("SET,2"), "nothing later before it is settled");
        told += calls.answer(0.01, LinkId(1), answer, &mut out).len() as u64;
        calls.poll(0.01, all, &mut out);
    }
    let counts = &out.counters;
    assert_eq!((told, counts.orders_taken, counts.orders_refused), (taken, taken, refused));
    assert_eq!(counts.calls_repeated, repeated);
}

#[test]
fn a_call_that_is_not_valid_twice_is_dropped() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)], &[line(2, 1, 1.0)]]);
    calls.answer(0.01, LinkId(1), b"ValidationError", &mut out);
    calls.poll(0.01, all, &mut out);
    calls.connected(0.01, LinkId(2));
    calls.poll(0.01, all, &mut out);
    calls.answer(0.02, LinkId(2), b"ValidationError", &mut out);
    calls.poll(0.02, all, &mut out);
    assert_eq!(sent(&out), ["txn SET,1,h1,1", "txn SET,1,h1,1", "txn SET,2,h1,1"]);
}

#[test]
fn a_long_call_is_split() {
    let text = "x".repeat(25_000);
    let long: Vec<RelayOrder> =
        (0..5).map(|k| RelayOrder { text: text.clone(), ..line(1, k, 1.0) }).collect();
    let (_, out) = calls(&[&long]);
    assert_eq!((sent(&out)[0].len(), out.counters.calls_sent), (4 + 2 * 25_000 + 1, 1));
}

#[test]
fn a_repeat_waits_until_the_decisions_let_it_go() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)]]);
    calls.connection_down(0.001, LinkId(1), "broken", &mut out);
    let held = |request: WriteRequest| if request.is_retry { 0 } else { 9 };
    calls.poll(0.001, held, &mut out);
    assert_eq!(sent(&out).len(), 1);
    let at = calls.next_timeout();
    calls.poll(at, all, &mut out);
    calls.connected(at, LinkId(2));
    calls.poll(at, all, &mut out);
    assert_eq!(sent(&out), ["txn SET,1,h1,1", "txn SET,1,h1,1"]);
}

// Decided for the proxies of then, written when ten times as many have joined: it goes in parts, none within a table.
#[test_case(1, &["txn SET,1,h1,1", "txn SET,1,h2,0;SET,2,h1,1;SET,2,h2,0"] ; "a table that is longer than the part is cut all the same")]
#[test_case(2, &["txn SET,1,h1,1;SET,1,h2,0", "txn SET,2,h1,1;SET,2,h2,0"] ; "between tables")]
#[test_case(3, &["txn SET,1,h1,1;SET,1,h2,0", "txn SET,2,h1,1;SET,2,h2,0"] ; "before the table that does not fit whole")]
fn what_fits_goes_first(many: usize, expected: &[&str]) {
    let (mut calls, mut out) = (RelayCalls::new(here()), Outbox::default());
    calls.enqueue(vec![line(1, 1, 1.0), line(1, 2, 0.0), line(2, 1, 1.0), line(2, 2, 0.0)]);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, |_| many, &mut out);
    let taken = format!("OK {}", expected[0].matches("SET").count());
    calls.answer(0.01, LinkId(1), taken.as_bytes(), &mut out);
    calls.poll(0.01, all, &mut out);
    assert_eq!(sent(&out), expected);
}

#[test]
fn what_waits_for_a_lost_relay_is_merged() {
    let given: Vec<Vec<RelayOrder>> =
        (0..40).map(|k| vec![line(1, 1, f64::from(k)), line(2, k % 2, 1.0)]).collect();
    let given: Vec<&[RelayOrder]> = given.iter().map(Vec::as_slice).collect();
    let (mut calls, mut out) = (RelayCalls::new(here()), Outbox::default());
    given.iter().for_each(|call| calls.enqueue(call.to_vec()));
    calls.poll(0.0, all, &mut out);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, all, &mut out);
    assert_eq!(
        sent(&out),
        ["txn SET,2,h0,1;SET,2,h1,1;SET,1,h1,39"],
        "the last of each in their order, those of one slice together"
    );
    assert_eq!(out.counters.calls_merged, 1);
}

#[test]
fn a_call_that_is_not_settled_is_not_merged() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)]]);
    (0..40).for_each(|k| calls.enqueue(vec![line(1, 1, f64::from(k))]));
    calls.connection_down(0.01, LinkId(1), "broken", &mut out);
    calls.poll(0.02, all, &mut out);
    calls.connected(0.02, LinkId(2));
    calls.poll(0.02, all, &mut out);
    assert_eq!(sent(&out)[1..], ["txn SET,1,h1,1"], "the same again, and nothing later with it");
    calls.answer(0.03, LinkId(2), b"OK 1", &mut out);
    calls.poll(0.03, all, &mut out);
    assert_eq!(sent(&out)[2..], ["txn SET,1,h1,39"]);
}

#[test_case(true, &["txn SET,1,h1,1", "txn SET,2,h2,1;SET,2,h3,1"] ; "what waits")]
#[test_case(false, &["txn SET,1,h1,1", "txn SET,2,h2,1;SET,2,h3,1"] ; "a repeat that waits")]
fn orders_for_a_slice_that_went_are_forgotten(settled: bool, expected: &[&str]) {
    let (mut calls, mut out) =
        calls(&[&[line(1, 1, 1.0)], &[line(2, 2, 1.0), line(1, 2, 1.0), line(2, 3, 1.0)]]);
    if settled {
        calls.answer(0.01, LinkId(1), b"OK 1", &mut out);
    } else {
        calls.connection_down(0.01, LinkId(1), "broken", &mut out);
    }
    calls.discard_slice(SliceId(1));
    calls.poll(0.02, all, &mut out);
    calls.connected(0.02, LinkId(2));
    calls.poll(0.02, all, &mut out);
    assert_eq!(sent(&out), expected);
}

pub(super) fn lines(texts: &[&str]) -> Vec<Framed> {
    texts.iter().map(|text| Framed::Line(text.as_bytes().to_vec())).collect()
}

/// The news are dialled second, after the watch, and have told of slice 0; a call for it waits.
const NEWS: LinkId = LinkId(2);

fn holding_a_slice() -> (Reducer, HostId) {
    let mut reducer = reducer();
    reducer.reduce(0.0, Event::Settle);
    reducer.reduce(0.0, Event::RelayUp(NEWS));
    reducer.reduce(0.1, Event::RelayLines(NEWS, lines(&["OK", "* lease 0 1", "* line 0 h1 1.0", "*"])));
    reducer.reduce(0.1, Event::Settle);
    let host = reducer.names.host("h9");
    let out = RelayOrder { target: OrderTarget::Withdraw(host), weight: 0.0, text: "OUT,h9".to_string() };
    let set = RelayOrder {
        target: OrderTarget::Weight(SliceId(0), host),
        weight: 1.0,
        text: "SET,0,h9,1".to_string(),
    };
    reducer.calls.enqueue(vec![set, out]);
    (reducer, host)
}

#[test]
fn a_line_that_met_a_new_table_is_told() {
    let (mut reducer, host) = holding_a_slice();
    reducer.calls.poll(0.2, all, &mut reducer.outbox);
    let call = LinkId(reducer.outbox.last_link);
    reducer.calls.connected(0.2, call);
    reducer.calls.poll(0.2, all, &mut reducer.outbox);
    reducer.reduce(0.21, Event::RelayLines(NEWS, lines(&["* lease 0 0", "* lease 0 1"])));
    reducer.outbox.inputs.clear();
    reducer.reduce(0.22, Event::RelayLines(call, lines(&["OK 2"])));
    assert_eq!(reducer.outbox.inputs, [Input::StoredLine { slice: SliceId(0), host, weight: 1.0 }]);
}

#[test]
fn what_waits_for_a_slice_that_is_taken_is_forgotten() {
    let (mut reducer, _) = holding_a_slice();
    reducer.reduce(0.2, Event::RelayLines(NEWS, lines(&["* lease 0 0"])));
    reducer.reduce(0.2, Event::Settle);
    reducer.reduce(0.2, Event::RelayUp(LinkId(reducer.outbox.last_link)));
    reducer.outbox.effects = reducer.reduce(0.2, Event::Settle);
    assert_eq!(sent(&reducer.outbox), ["txn OUT,h9"]);
}

#[test_case(false, 1 ; "while the news are told")]
#[test_case(true, 0 ; "without news")]
fn calls_wait_for_news(lost: bool, dialled: usize) {
    let (mut reducer, _) = holding_a_slice();
    if lost {
        reducer.reduce(0.2, Event::RelayDown(NEWS, "broken".to_string()));
    }
    let effects = reducer.reduce(0.2, Event::Settle);
    assert_eq!(effects.iter().filter(|effect| matches!(effect, Effect::Dial(..))).count(), dialled);
}

#[test]
fn a_blind_director_waits_before_it_writes() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)], &[line(2, 1, 1.0)]]);
    calls.set_relay_state_known(0.01, false);
    calls.connection_down(0.1, LinkId(1), "broken", &mut out);
    calls.poll(1.5, all, &mut out);
    assert_eq!((sent(&out).len(), calls.next_timeout()), (1, 1.6), "so long after a call that was lost");
    calls.set_relay_state_known(1.55, true);
    calls.poll(1.55, all, &mut out);
    assert_eq!(out.effects.last(), Some(&Effect::Dial(LinkId(2), here())));
}

#[test_case(b"OK 1", &["txn SET,1,h1,1", "txn SET,2,h1,1"] ; "answered")]
#[test_case(b"O?", &["txn SET,1,h1,1", "txn SET,1,h1,1"] ; "with an answer that cannot be read")]
fn a_call_under_way_is_settled_before_the_relay_is_left(answer: &[u8], expected: &[&str]) {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)], &[line(2, 1, 1.0)]]);
    calls.set_address(elsewhere(), &mut out);
    assert_eq!(out.effects.last(), Some(&Effect::Dial(LinkId(2), elsewhere())), "while the old one serves");
    calls.connected(0.01, LinkId(2));
    calls.poll(0.01, all, &mut out);
    assert!(!out.effects.contains(&Effect::HangUp(LinkId(1))), "its answer is awaited");
    calls.answer(0.02, LinkId(1), answer, &mut out);
    calls.poll(0.02, all, &mut out);
    assert!(out.effects.contains(&Effect::HangUp(LinkId(1))));
    assert_eq!(sent(&out), expected);
    assert!(matches!(out.effects.last(), Some(Effect::Send(LinkId(2), _))));
}

#[test]
fn the_old_relay_serves_until_the_new_one_is_up() {
    let (mut calls, mut out) = calls(&[&[line(1, 1, 1.0)], &[line(2, 1, 1.0)]]);
    calls.answer(0.01, LinkId(1), b"OK 1", &mut out);
    calls.set_address(elsewhere(), &mut out);
    calls.connection_down(0.02, LinkId(2), "refused", &mut out);
    calls.poll(0.02, all, &mut out);
    assert!(matches!(out.effects.last(), Some(Effect::Send(LinkId(1), _))), "nobody is there yet");
    calls.poll(0.2, all, &mut out);
    let again = |effect: &&Effect| **effect == Effect::Dial(LinkId(3), elsewhere());
    assert_eq!(out.effects.iter().filter(again).count(), 1, "it is dialled again");
}

fn joined(proxy: u16) -> RelayUpdate {
    RelayUpdate::ProxyJoined { proxy: ProxyId(proxy), zone: ZoneId(0), calls_per_s: 1.0, fresh: false }
}

fn stored(slice: u16, host: u32, weight: f64) -> RelayUpdate {
    RelayUpdate::WeightStored { slice: SliceId(slice), host: HostId(host), weight }
}

/// News on `link` from its start to the first sign of life; the inputs made of them.
fn told(news: &mut RelaySubscription, now: f64, link: u64, items: &[RelayUpdate]) -> Vec<Input> {
    let mut out = Outbox { last_link: link - 1, ..Outbox::default() };
    if !news.owns(LinkId(link)) {
        news.poll(now, &mut out);
        news.connected(now, LinkId(link), &mut out);
    }
    items.iter().for_each(|item| news.apply(now, LinkId(link), item.clone(), &mut out));
    out.inputs
}

fn lost(news: &mut RelaySubscription, now: f64, link: u64) -> Vec<Input> {
    let mut out = Outbox::default();
    news.connection_down(now, LinkId(link), "broken", &mut out);
    out.inputs
}

const START: [RelayUpdate; 2] =
    [RelayUpdate::SliceAssigned(SliceId(1)), RelayUpdate::SliceAssigned(SliceId(2))];

#[test]
fn a_new_connection_tells_what_went_and_what_changed_elsewhere() {
    let mut news = RelaySubscription::new(here());
    told(
        &mut news,
        0.0,
        1,
        &[
            joined(1),
            joined(2),
            START[0].clone(),
            stored(1, 1, 1.0),
            START[1].clone(),
            stored(2, 1, 1.0),
            RelayUpdate::KeepAlive,
        ],
    );
    news.weight_written(SliceId(1), HostId(2), 0.5);
    lost(&mut news, 5.0, 1);
    let again = [
        joined(1),
        START[0].clone(),
        stored(1, 1, 1.0),
        stored(1, 2, 0.5),
        START[1].clone(),
        stored(2, 7, 1.0),
        RelayUpdate::KeepAlive,
    ];
    let inputs = told(&mut news, 6.0, 2, &again);
    let rest = [
        Input::Left(ProxyId(2)),
        Input::Given(SliceId(2)),
        Input::StoredLine { slice: SliceId(2), host: HostId(7), weight: 1.0 },
    ];
    assert!(matches!(inputs[0], Input::Joined { proxy: ProxyId(1), .. }), "it may have missed something");
    assert_eq!(inputs[1..], rest, "slice 1 stands as it was written");
}

#[test]
fn the_second_connection_takes_over_without_a_gap() {
    let mut news = RelaySubscription::new(here());
    let start = [joined(1), START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive];
    assert_eq!(told(&mut news, 0.0, 1, &start).len(), 3);
    assert_eq!(told(&mut news, 1.0, 2, &start), [], "what it tells is known");
    // The first breaks before it tells what the second has told.
    assert_eq!(
        told(&mut news, 2.0, 2, &[RelayUpdate::ProxyLeft(ProxyId(1)), joined(9), START[1].clone()]),
        []
    );
    let inputs = lost(&mut news, 2.1, 1);
    assert_eq!(inputs[0], Input::Call(api::Call::Deaf), "receipts that only the first has told are missed");
    assert!(matches!(inputs[1], Input::Joined { proxy: ProxyId(9), .. }));
    assert_eq!(inputs[2..], [Input::Left(ProxyId(1)), Input::Given(SliceId(2))]);
    assert_eq!(told(&mut news, 2.2, 2, &[RelayUpdate::SliceRevoked(SliceId(2))]), [Input::Taken(SliceId(2))]);
}

#[test]
fn the_old_news_lead_until_the_new_relay_has_told_all() {
    let (mut news, mut out) = (RelaySubscription::new(here()), Outbox::default());
    let start = [joined(1), START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive];
    told(&mut news, 0.0, 1, &start);
    news.set_address(1.0, elsewhere(), &mut out);
    assert_eq!(told(&mut news, 1.0, 2, &start[..3]), [], "what it tells is known");
    let left = told(&mut news, 1.1, 1, &[RelayUpdate::ProxyLeft(ProxyId(1))]);
    assert_eq!(left, [Input::Left(ProxyId(1))], "the old one is heard meanwhile");
    news.apply(1.2, LinkId(2), RelayUpdate::ProxyLeft(ProxyId(1)), &mut out);
    news.apply(1.3, LinkId(2), RelayUpdate::KeepAlive, &mut out);
    assert_eq!((out.effects.contains(&Effect::HangUp(LinkId(1))), out.inputs), (true, vec![]));
    assert!(news.is_synchronized() && !news.owns(LinkId(1)));
}

#[test]
fn what_was_written_since_both_began_is_no_change_elsewhere() {
    let mut news = RelaySubscription::new(here());
    let start = [joined(1), START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive];
    told(&mut news, 0.0, 1, &start);
    told(&mut news, 1.0, 2, &start);
    news.weight_written(SliceId(1), HostId(2), 0.5);
    assert_eq!(lost(&mut news, 1.5, 1), [Input::Call(api::Call::Deaf)]);
}

#[test_case(0.0503073, 0.05, 0 ; "rounded to three decimals")]
#[test_case(0.0503073, 0.052, 2 ; "another one")]
fn a_line_that_the_store_has_rounded_is_no_change_elsewhere(wrote: f64, stands: f64, inputs: usize) {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[START[0].clone(), RelayUpdate::KeepAlive]);
    news.weight_written(SliceId(1), HostId(1), wrote);
    lost(&mut news, 1.0, 1);
    assert_eq!(
        told(&mut news, 1.0, 2, &[START[0].clone(), stored(1, 1, stands), RelayUpdate::KeepAlive]).len(),
        inputs
    );
}

#[test]
fn what_is_written_while_all_is_told_is_no_change_elsewhere() {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive]);
    lost(&mut news, 1.0, 1);
    told(&mut news, 1.0, 2, &[START[0].clone(), stored(1, 1, 1.0)]);
    news.weight_written(SliceId(1), HostId(2), 0.5);
    assert_eq!(told(&mut news, 1.2, 2, &[RelayUpdate::KeepAlive]), []);
}

#[test]
fn a_slice_whose_lines_are_under_way_is_not_held_for_changed() {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive]);
    lost(&mut news, 1.0, 1);
    news.slices_in_flight.insert(SliceId(1));
    assert_eq!(told(&mut news, 2.0, 2, &[START[0].clone(), stored(1, 4, 1.0), RelayUpdate::KeepAlive]), []);
}

#[test]
fn a_proxy_that_says_hello_again_has_joined_again() {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[joined(1), RelayUpdate::KeepAlive]);
    assert_eq!(told(&mut news, 1.0, 1, &[joined(1)]).len(), 1);
}

#[test]
fn a_line_that_is_known_counts_once() {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[START[0].clone(), stored(1, 1, 1.0), RelayUpdate::KeepAlive]);
    assert_eq!(told(&mut news, 1.0, 1, &[stored(1, 1, 1.0)]), []);
}

#[test_case(RelayUpdate::ProxyLeft(ProxyId(5)) ; "a proxy that never joined")]
#[test_case(RelayUpdate::SliceRevoked(SliceId(5)) ; "a slice that was never given")]
#[test_case(stored(5, 1, 1.0) ; "a line of no slice of ours")]
fn news_of_strangers_change_nothing(item: RelayUpdate) {
    let mut news = RelaySubscription::new(here());
    told(&mut news, 0.0, 1, &[joined(1), RelayUpdate::KeepAlive]);
    assert_eq!(told(&mut news, 1.0, 1, &[item]), []);
}

pub(super) const CONFIG: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","relay":{"address":"127.0.0.1:3"},
    "settings":{"zones":["a"],"kinds":["m2"],"classes":[{"name":"r","give-up-ns":3000000000}],"specifics":{"slices":1,"proxy-count":2}}}"#;

fn reducer() -> Reducer {
    Reducer::new(&Config::parse(CONFIG.as_bytes()).unwrap(), 0).unwrap()
}

const AGENT: &[u8] = b"{\"msg\":\"agent\",\"az\":\"a\"}\n";
const PROBE: &[u8] = b"{\"msg\":\"probe\"}\n";
const HOT: &[u8] = b"{\"msg\":\"hot\",\"partition\":0,\"kind\":\"r\",\"n\":4,\"bad\":0,\"window\":1000.0}\n";
const CONN: ConnId = ConnId(7);

/// What is said at 0.1 s on a connection taken at 0, piece by piece.
fn said(pieces: &[&[u8]]) -> (Reducer, Vec<Effect>) {
    let mut reducer = reducer();
    reducer.reduce(0.0, Event::Accepted(CONN));
    let heard = |piece: &&[u8]| reducer.reduce(0.1, Event::Heard(CONN, piece.to_vec()));
    let effects = pieces.iter().flat_map(heard).collect();
    (reducer, effects)
}

#[test_case(&[b"GET / HTTP/1.1\r\nHost: a\r\n"] ; "HTTP")]
#[test_case(&[b"\x00\x00\x00\x20{\"msg\":"] ; "a binary length")]
#[test_case(&[&[b'{'; 1025]] ; "a line that is too long")]
#[test_case(&[b"{\"msg\":\n"] ; "half a message")]
#[test_case(&[HOT] ; "a report")]
#[test_case(&[PROBE, HOT] ; "a report after a sign of life")]
#[test_case(&[b"txn OUT,h1\r\n"] ; "an order")]
#[test_case(&[b"{\"msg\":\"agent\",\"az\":\"b\"}\n"] ; "an unknown zone")]
#[test_case(&[b"{\"msg\":\"agent\"}\n"] ; "no zone")]
#[test_case(&[b"{\"msg\":\"hello\",\"az\":\"a\",\"sidecar\":0,\"share\":1.0}\n", AGENT] ; "a proxy")]
fn what_is_no_joining_closes_a_new_connection(pieces: &[&[u8]]) {
    let (mut reducer, effects) = said(pieces);
    assert!(effects.contains(&Effect::Drop(CONN)), "{effects:?}");
    assert!(reducer.outbox.inputs.is_empty() && reducer.collectors.count() == 0);
    assert_eq!(reducer.reduce(0.2, Event::Heard(CONN, HOT.to_vec())), [], "nothing later is heard");
}

#[test_case(&[], true ; "that says nothing")]
#[test_case(&[&AGENT[..9]], true ; "that says half a message")]
#[test_case(&[PROBE], true ; "that asks for a sign of life and stays")]
#[test_case(&[PROBE, &AGENT[..9], &AGENT[9..]], false ; "that joins in pieces")]
fn who_has_not_joined_in_a_second_is_dropped(pieces: &[&[u8]], dropped: bool) {
    let (mut reducer, effects) = said(pieces);
    assert_eq!(effects.contains(&Effect::Say(CONN, ALIVE)), pieces.contains(&PROBE));
    let wake = |effects: Vec<Effect>| matches!(effects.last(), Some(Effect::Wake(at)) if *at <= 1.0);
    assert!(wake(reducer.reduce(0.9, Event::Settle)) && !effects.contains(&Effect::Drop(CONN)));
    assert_eq!(reducer.reduce(1.0, Event::Settle).contains(&Effect::Drop(CONN)), dropped);
}

#[test]
fn nothing_is_written_to_a_collector() {
    let (reducer, effects) = said(&[AGENT, PROBE, HOT]);
    assert!(effects.is_empty() && reducer.outbox.inputs.len() == 1, "{effects:?}");
}

const BAD: &[u8] = b"\x01{\"\xff\n";

#[test_case(&[BAD, BAD, HOT, BAD, BAD, HOT], None ; "now and then")]
#[test_case(&[b"{\"msg\":\"hot\"}\n", b"{\"msg\":\"hot\"}\n", b"{\"msg\":\"hot\"}\n", HOT], None ; "messages with faults")]
#[test_case(&[HOT, BAD, BAD, BAD], Some(0.1) ; "lines of them on end")]
#[test_case(&[HOT, b"\x01\x02"], Some(0.6) ; "a line that does not end")]
#[test_case(&[HOT, b"\x01", &[b'x'; 20_000]], Some(0.1) ; "much of one")]
fn a_collector_that_goes_on_unreadable_is_closed(pieces: &[&[u8]], at: Option<f64>) {
    let (mut reducer, mut effects) = said(&[&[AGENT], pieces].concat());
    for now in [0.1, 0.6, 5.0] {
        effects.extend(reducer.reduce(now, Event::Settle));
        assert_eq!(effects.contains(&Effect::Drop(CONN)), at.is_some_and(|at| now >= at), "{now}");
    }
    let reports = pieces.iter().filter(|piece| **piece == HOT).count();
    assert_eq!(reducer.outbox.counters.sums_of_calls, reports as u64, "what stands beside it is used");
}

/// Each field of each report in turn, spoilt in each way that was seen on sockets.
#[test]
fn a_spoilt_field_reaches_no_measurement() {
    let tries = [
        ("msg", "\"outcomes\""),
        ("az", "\"a\""),
        ("host", "\"h\""),
        ("n", "2"),
        ("bad", "1"),
        ("avg", "40.0"),
    ];
    let tries = [&tries[..], &[("window", "1000.0"), ("report", "{\"q\":1.0,\"lat_ms\":30.0}")]].concat();
    let demand = [
        ("msg", "\"hot\""),
        ("partition", "0"),
        ("kind", "\"r\""),
        ("n", "2"),
        ("bad", "1"),
        ("window", "1000.0"),
    ];
    let spoilt = ["", "-3", "1e30", "38654705664", "\"nan\"", "\"\"", "\"s-zz\"", "[1]", "{}", "true"];
    for (report, spoilt) in
        [&tries[..], &demand].iter().flat_map(|report| spoilt.map(|spoilt| (report, spoilt)))
    {
        for at in 0..report.len() {
            let (mut reducer, _) = said(&[AGENT]);
            let host = reducer.names.host("h");
            let mut fields = report.to_vec();
            fields[at] = if spoilt.is_empty() { ("x", "0") } else { (fields[at].0, spoilt) };
            let (field, pairs) =
                (report[at].0, fields.iter().map(|(name, value)| format!("\"{name}\":{value}")));
            let line = format!("{{{}}}\n", pairs.collect::<Vec<_>>().join(","));
            reducer.reduce(0.1, Event::Heard(CONN, [line.as_bytes(), HOT].concat()));
            let mut inputs = reducer.outbox.inputs;
            assert!(
                matches!(inputs.pop(), Some(Input::Demand { calls: 4, .. })),
                "what follows {line} is used"
            );
            // Of an unsound load report only that is lost; extra fields are none of ours.
            let load = api::Load::default();
            let expected =
                Input::Tries { host, zone: ZoneId(0), span: 1.0, tries: 2, dropped: 1, rt: 0.04, load };
            let kept = if field == "report" { vec![expected] } else { vec![] };
            assert_eq!(inputs, kept, "{line}");
        }
    }
}

#[test_case("q=1.0, lat_ms=20000", Some(1.0), Some(20.0) ; "sound, of a host that is slower than its callers wait")]
#[test_case("q=-1.0, lat_ms=500", None, Some(0.5) ; "negative")]
#[test_case("q=1e30, lat_ms=500", None, Some(0.5) ; "absurdly large")]
#[test_case("q=NaN, lat_ms=500", None, Some(0.5) ; "not finite")]
#[test_case("q=2, lat_ms=38654705664", Some(2.0), None ; "a time that cannot be")]
fn a_spoilt_figure_of_a_probes_answer_costs_only_itself(
    figures: &str,
    waiting: Option<f64>,
    time: Option<f64>,
) {
    let mut reducer = reducer();
    let (host, body) = (reducer.names.host("h"), format!("TEXT {figures}").into_bytes());
    reducer.reduce(0.0, Event::Probed { host, end: ProbeEnd::Status(200), took: 0.1, body });
    let Some(Input::Probed { load, .. }) = reducer.outbox.inputs.pop() else { panic!("no answer") };
    assert_eq!((load.waiting, load.service_time), (waiting, time));
    assert_eq!(reducer.outbox.counters.load_figures_odd, (waiting.is_none() || time.is_none()) as u64);
}

#[test]
fn an_answer_to_a_probe_that_is_none_is_no_sign_of_death() {
    let mut reducer = reducer();
    let (host, body) = (reducer.names.host("h"), Vec::new());
    reducer.reduce(0.0, Event::Probed { host, end: ProbeEnd::Unreadable, took: 0.1, body });
    assert!(matches!(reducer.outbox.inputs[..], [Input::Probed { outcome: api::Outcome::Error, .. }]));
}

/// A table of connections with room for four, and a memory for two long lines.
fn table(now: f64, conns: &[u64]) -> (CollectorConnections, Outbox) {
    let (mut taken, mut out) = (CollectorConnections::new(4, 3 << 19), Outbox::default());
    conns.iter().for_each(|conn| taken.accepted(now, ConnId(*conn), &mut out));
    (taken, out)
}

fn dropped(out: &Outbox) -> Vec<u64> {
    let drop = |effect: &Effect| if let Effect::Drop(conn) = effect { Some(conn.0) } else { None };
    out.effects.iter().filter_map(drop).collect()
}

#[test]
fn in_a_flood_collectors_stay_and_each_new_one_is_heard_first() {
    let (mut taken, mut out) = table(0.0, &[1, 2, 3, 4]);
    taken.joined(0.0, ConnId(1), ZoneId(0), &mut out);
    taken.poll(0.1, &mut out);
    assert_eq!(out.effects, [Effect::Accept(false)], "nobody has had its chance yet");
    taken.answer(ConnId(3), ALIVE, &mut out);
    taken.poll(0.1, &mut out);
    assert_eq!(
        (dropped(&out), out.effects.last()),
        (vec![3], Some(&Effect::Accept(true))),
        "it has its answer"
    );
    taken.accepted(0.2, ConnId(5), &mut out);
    taken.poll(0.25, &mut out);
    assert_eq!(dropped(&out), [3, 2], "the one that came first and has said nothing");
}

#[test]
fn collectors_that_vanished_make_room_at_last() {
    let (mut taken, mut out) = table(0.0, &[1, 2, 3, 4]);
    (1..=4).for_each(|conn| taken.joined(f64::from(conn), ConnId(conn as u64), ZoneId(0), &mut out));
    (1..=4).for_each(|conn| {
        _ = taken.next_line(5.0 - f64::from(conn), ConnId(conn as u64), &mut &b" "[..], &mut out)
    });
    taken.poll(5.0, &mut out);
    assert_eq!(dropped(&out), [4], "the one that was silent longest");
}

#[test_case(9.0, &[] ; "that was heard lately")]
#[test_case(11.0, &[1] ; "that was silent long")]
fn a_collector_that_returns_takes_the_place_of_the_one_before(at: f64, expected: &[u64]) {
    let (mut taken, mut out) = table(0.0, &[1]);
    taken.joined(0.0, ConnId(1), ZoneId(0), &mut out);
    taken.accepted(at, ConnId(2), &mut out);
    taken.joined(at, ConnId(2), ZoneId(0), &mut out);
    assert_eq!(dropped(&out), expected);
}

#[test]
fn lines_begun_stay_within_their_part_of_the_memory() {
    let (mut taken, mut out) = table(0.0, &[1, 2]);
    let long = [&b"{\"msg\":\""[..], &[b'x'; 1 << 20][..(1 << 20) - 100]].concat();
    let lines = [1, 2].map(|conn| {
        taken.joined(0.0, ConnId(conn), ZoneId(0), &mut out);
        taken.next_line(0.1, ConnId(conn), &mut &long[..], &mut out)
    });
    assert_eq!(lines, [None, Some((Sender::Joined, Framed::TooLong))]);
    assert_eq!(
        taken
            .next_line(0.1, ConnId(1), &mut &b"\"}\n"[..], &mut out)
            .map(|(_, line)| line != Framed::TooLong),
        Some(true)
    );
}

fn configured(relay: u16, more: &str) -> Event {
    let text = CONFIG.replace("127.0.0.1:3", &format!("127.0.0.1:{relay}")).replace("\"m2\"", more);
    Event::Reload(Box::new(Config::parse(text.as_bytes()).map_err(|fault| fault.0)))
}

#[test_case(configured(3, "\"m2\""), "taken, discovery 127.0.0.1:2, relay 127.0.0.1:3", 0 ; "unchanged")]
#[test_case(configured(4, "\"m2\""), "taken, discovery 127.0.0.1:2, relay 127.0.0.1:4", 2 ; "another relay")]
#[test_case(configured(3, "\"m3\""), "only a start takes settings", 0 ; "a setting that only a start takes")]
#[test_case(configured(4, "\"m2\"],\"me\":[\"x\""), "field settings.me", 0 ; "a field that cannot be used")]
#[test_case(Event::Reload(Box::new(Err("EOF".to_string()))), "all stays as it was, EOF", 0 ; "cut off")]
fn a_new_configuration_is_taken_whole_or_not_at_all(event: Event, expected: &str, dialled: usize) {
    let (mut reducer, _) = holding_a_slice();
    reducer.calls.connected(0.2, LinkId(9));
    reducer.reduce(0.2, Event::Settle);
    let mut effects = reducer.reduce(0.2, event);
    let Some(at) = effects.iter().position(|effect| matches!(effect, Effect::Log(..))) else {
        panic!("no line")
    };
    let Effect::Log(_, _, text) = effects.remove(at) else { unreachable!() };
    assert!(text.contains(expected), "{text}");
    assert_eq!(
        effects.len(),
        dialled,
        "a dial for the calls; the news that have not told all are left: {effects:?}"
    );
    let after = reducer.reduce(0.2, Event::Settle);
    assert!(
        !after.iter().any(|effect| matches!(effect, Effect::HangUp(_) | Effect::Unwatch(_))),
        "{after:?}"
    );
    assert!(reducer.subscription.is_synchronized(), "nothing learnt is lost");
}

#[test]
fn of_two_configurations_in_a_row_only_the_last_is_followed() {
    let mut reducer = reducer();
    reducer.reduce(0.0, Event::Settle);
    reducer.reduce(0.0, Event::RelayUp(NEWS));
    reducer.reduce(0.1, Event::RelayLines(NEWS, lines(&["OK", "* lease 0 1", "* line 0 h1 1.0", "*"])));
    let (mut dialled, mut left) = (BTreeSet::new(), BTreeSet::new());
    for (now, relay) in [(0.2, 4), (0.3, 5)] {
        for event in [configured(relay, "\"m2\""), Event::Settle] {
            for effect in reducer.reduce(now, event) {
                match effect {
                    Effect::Dial(link, address) => _ = dialled.insert((address.port(), link)),
                    Effect::HangUp(link) => _ = left.insert(link),
                    _ => {}
                }
            }
        }
    }
    let to = |port| dialled.iter().filter(move |(to, _)| *to == port).map(|(_, link)| *link);
    assert!(to(4).all(|link| left.contains(&link)) && to(5).count() > 0, "{dialled:?} {left:?}");
    assert!(!left.contains(&NEWS) && reducer.subscription.is_synchronized(), "what served first serves on");
    let new = to(5).find(|link| reducer.subscription.owns(*link)).unwrap();
    reducer.reduce(0.4, Event::RelayUp(new));
    reducer.reduce(0.4, Event::RelayLines(new, lines(&["OK", "* lease 0 1", "* line 0 h1 1.0", "*"])));
    assert!(!reducer.subscription.owns(NEWS) && reducer.subscription.owns(new));
    assert!(!reducer.outbox.inputs.iter().any(|input| matches!(input, Input::Taken(_))));
}

#[test]
fn the_old_watch_is_kept_until_the_new_one_tells() {
    let mut reducer = reducer();
    reducer.reduce(0.0, Event::Settle);
    let watch = LinkId(1);
    reducer.reduce(0.1, Event::WatchLines(watch, lines(&[""])));
    let text = CONFIG.replace("127.0.0.1:2", "127.0.0.1:5");
    reducer.reduce(0.2, Event::Reload(Box::new(Ok(Config::parse(text.as_bytes()).unwrap()))));
    let effects = reducer.reduce(0.2, Event::Settle);
    let new = effects.iter().find_map(|effect| match effect {
        Effect::Watch(link, address, _) if address.port() == 5 => Some(*link),
        _ => None,
    });
    assert!(new.is_some() && !effects.contains(&Effect::Unwatch(watch)), "{effects:?}");
    let effects = reducer.reduce(0.3, Event::WatchLines(new.unwrap(), lines(&[""])));
    assert_eq!(effects, [Effect::Unwatch(watch)]);
}

/// Surroundings that answer every effect at once: a relay, a discovery and hosts that do what they are asked.
fn answered(reducer: &mut Reducer, now: f64, event: Event) {
    let mut events = std::collections::VecDeque::from([event, Event::Settle]);
    while let Some(event) = events.pop_front() {
        for effect in reducer.reduce(now, event) {
            let answer = match effect {
                Effect::Dial(link, _) => Event::RelayUp(link),
                Effect::Send(link, bytes) if bytes.starts_with(b"txn ") => {
                    let many = bytes.iter().filter(|byte| **byte == b';').count() + 1;
                    Event::RelayLines(link, lines(&[&format!("OK {many}")]))
                }
                Effect::Send(link, _) => {
                    let news = ["OK", "* hello 0 a 5.0 0", "* lease 0 1", "* line 0 h0 1.0", "*"];
                    Event::RelayLines(link, lines(&news))
                }
                Effect::Probe { host, .. } => {
                    Event::Probed { host, end: ProbeEnd::Status(200), took: 0.01, body: Vec::new() }
                }
                _ => continue,
            };
            events.extend([answer, Event::Settle]);
        }
    }
}

/// A thousand hosts replaced by new ones with new ids, a thousand connections that come and go.
#[test]
fn what_is_kept_by_name_and_connection_is_given_back() {
    let text = CONFIG
        .replace("\"slices\"", "\"lines-per-s\":60000.0,\"backlog\":120000.0,\"overhead\":12.0,\"slices\"");
    let mut reducer = Reducer::new(&Config::parse(text.as_bytes()).unwrap(), 0).unwrap();
    answered(&mut reducer, 0.0, Event::Time);
    for beat in 0..5000 {
        let (n, now) = (beat / 5, f64::from(beat) / 5.0);
        if beat % 5 == 0 {
            let entry = |n: i32, state: &str| {
                format!(
                    r#"{{"id":"h{n}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
                )
            };
            let entries = format!("{},{}", entry(n, "in_service"), entry(n - 4, "terminated"));
            let list = format!(r#"{{"version":{},"full":false,"servers":[{entries}]}}"#, n + 1);
            let watch = LinkId(
                (1..=reducer.outbox.last_link)
                    .rev()
                    .find(|link| reducer.discovery.owns(LinkId(*link)))
                    .unwrap(),
            );
            answered(&mut reducer, now, Event::WatchLines(watch, lines(&[&list])));
            let conn = ConnId(n as u64);
            answered(&mut reducer, now, Event::Accepted(conn));
            answered(&mut reducer, now, Event::Heard(conn, AGENT.to_vec()));
            answered(&mut reducer, now, Event::Heard(conn, HOT.to_vec()));
            if n % 2 == 0 {
                answered(&mut reducer, now, Event::Ended(conn));
            }
        }
        for link in (1..=reducer.outbox.last_link)
            .rev()
            .take(9)
            .map(LinkId)
            .filter(|link| reducer.subscription.owns(*link))
            .collect::<Vec<_>>()
        {
            let life = if beat % 1000 == 999 { "gone" } else { "*" };
            answered(&mut reducer, now, Event::RelayLines(link, lines(&[life])));
        }
        answered(&mut reducer, now, Event::Time);
    }
    let kept = [
        reducer.names.count(),
        reducer.discovery.count(),
        reducer.forgotten.count(),
        reducer.collectors.count(),
        reducer.timers.count(),
    ];
    assert!(kept.iter().all(|many| *many < 50), "{kept:?}");
    assert!(reducer.outbox.counters.hosts_forgotten > 900 && reducer.outbox.counters.orders_taken > 1000);
    let gone = br#"{"msg":"outcomes","az":"a","host":"h3","n":1,"bad":0,"avg":1.0,"window":1.0}"#;
    let conn = ConnId(999);
    reducer.reduce(1000.0, Event::Heard(conn, [&gone[..], b"\n"].concat()));
    assert!(reducer.outbox.inputs.is_empty(), "what is late for a host that went changes nothing");
}

/// All proxies of a large deployment join one director, which holds every slice, while a host drains.
#[test]
fn with_many_proxies_at_one_director_the_queue_stays_short() {
    let (proxies, slices, lines_per_s, backlog, overhead) = (400.0, 190, 60_000.0, 120_000.0, 12.0);
    let text = CONFIG.replace("\"slices\":1,\"proxy-count\":2", &format!(
        "\"slices\":{slices},\"proxy-count\":400,\"lines-per-s\":{lines_per_s:?},\"backlog\":{backlog:?},\"overhead\":{overhead:?}"
    ));
    let mut reducer = Reducer::new(&Config::parse(text.as_bytes()).unwrap(), 0).unwrap();
    let entry = |n: usize, state: &str| {
        format!(
            r#"{{"id":"h{n}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    };
    let hosts: Vec<String> = (0..30).map(|n| entry(n, "in_service")).collect();
    let list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, hosts.join(","));
    let drain = format!(r#"{{"version":2,"full":false,"servers":[{}]}}"#, entry(3, "terminating"));
    let mut news = vec!["OK".to_string()];
    news.extend((0..400).map(|proxy| format!("* hello {proxy} a 1.5 0")));
    news.extend((0..slices).flat_map(|n| [format!("* lease {n} 1"), format!("* line {n} h{} 1.0", n % 30)]));
    news.push("*".to_string());
    let news: Vec<&str> = news.iter().map(String::as_str).collect();
    reducer.reduce(0.0, Event::Settle);
    reducer.reduce(0.0, Event::WatchLines(LinkId(1), lines(&[&list])));
    let (mut waiting, mut most, mut shut) = (0.0, 0.0f64, None);
    for beat in 0..200 {
        let now = f64::from(beat) / 20.0;
        waiting = f64::max(waiting - lines_per_s / 20.0, 0.0);
        let mut events = std::collections::VecDeque::from([Event::Time, Event::Settle]);
        events.push_front(Event::WatchLines(LinkId(1), lines(&[""])));
        if beat == 0 {
            events.push_front(Event::RelayUp(NEWS));
        }
        if beat == 100 {
            events.push_front(Event::WatchLines(LinkId(1), lines(&[&drain])));
        }
        events.extend(
            (1..=reducer.outbox.last_link)
                .map(LinkId)
                .filter(|link| reducer.subscription.owns(*link))
                .map(|link| Event::RelayLines(link, lines(&["*"]))),
        );
        while let Some(event) = events.pop_front() {
            for effect in reducer.reduce(now, event) {
                match effect {
                    Effect::Dial(link, _) => events.extend([Event::RelayUp(link), Event::Settle]),
                    Effect::Send(link, bytes) if bytes.starts_with(b"txn ") => {
                        let many = bytes.iter().filter(|byte| **byte == b';').count() + 1;
                        waiting += proxies * (overhead + many as f64);
                        most = most.max(waiting);
                        if bytes.windows(6).any(|part| part == b"OUT,h3") {
                            shut.get_or_insert(now);
                        }
                        let text = String::from_utf8(bytes).unwrap();
                        let mark = text
                            .split_once("SYNC,")
                            .and_then(|(_, rest)| rest.split(',').next())
                            .unwrap_or("0");
                        let acks: Vec<String> =
                            (0..400).map(|proxy| format!("* ack {proxy} {mark} 90.0")).collect();
                        let acks: Vec<&str> = acks.iter().map(String::as_str).collect();
                        events.extend([
                            Event::RelayLines(link, lines(&[&format!("OK {many}")])),
                            Event::Settle,
                        ]);
                        events.push_back(Event::RelayLines(NEWS, lines(&acks)));
                    }
                    Effect::Send(link, _) => events.push_back(Event::RelayLines(link, lines(&news))),
                    _ => {}
                }
            }
        }
    }
    assert!(
        reducer.outbox.counters.proxies_joined == 400 && most > 0.1 * backlog && most < backlog,
        "{most}"
    );
    assert!(shut.is_some_and(|at| at < 5.5), "a drain is told at once all the same: {shut:?}");
}

#[test]
fn no_part_of_a_message_does_harm() {
    let mut reducer = reducer();
    let entry = r#"{"id":"h","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"in_service","weight":1.0,"started_ms":9}"#;
    let list = format!(r#"{{"version":3,"full":true,"servers":[{entry}]}}"#);
    let sums =
        r#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"avg":1.0,"window":1.0,"report":{"q":1}}"#;
    let texts =
        [list.as_str(), sums, "* hello 1 a 2.0 1", "* lease 0 1", "* line 0 h 1.0", "* ack 1 2 3.0", "OK 3"];
    reducer.reduce(0.0, Event::Accepted(ConnId(0)));
    reducer.reduce(0.0, Event::Heard(ConnId(0), AGENT.to_vec()));
    let mut now = 0.0;
    for text in texts {
        for end in (0..=text.len()).rev() {
            reducer.reduce(now, Event::Settle);
            // Links are numbered from 1; a few go with each round, as some parts cost their connection.
            let lines = vec![Framed::Line(text.as_bytes()[..end].to_vec())];
            reducer.reduce(now, Event::Heard(ConnId(0), [&text.as_bytes()[..end], b"\n"].concat()));
            reducer.reduce(now, Event::Accepted(ConnId(end as u64 + 1)));
            reducer.reduce(now, Event::Heard(ConnId(end as u64 + 1), text.as_bytes()[..end].to_vec()));
            reducer.reduce(now, Event::Accepted(ConnId(0)));
            reducer.reduce(now, Event::Heard(ConnId(0), AGENT.to_vec()));
            for link in (0..=reducer.outbox.last_link).rev().take(6).map(LinkId) {
                reducer.reduce(now, Event::RelayUp(link));
                reducer.reduce(now, Event::RelayLines(link, lines.clone()));
                reducer.reduce(now, Event::WatchLines(link, lines.clone()));
            }
            now += 0.5;
        }
    }
    assert!(
        reducer.outbox.counters.lists > 0
            && reducer.outbox.counters.sums_of_tries > 0
            && reducer.outbox.counters.slices_given > 0
    );
}
