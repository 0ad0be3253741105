use crate::stand_ins::{self, list, spawn, Deal, World};
use test_case::test_case;

const OUTCOMES: &str = r#"{"msg":"outcomes","az":"a","host":"s-1","n":5,"bad":0,"avg":40.0,"window":1000.0,"report":{"q":1.0,"lat_ms":30.0}}"#;

#[test]
fn it_serves() {
    let mut world = World::laid();
    let mut collector = world.connect();
    assert!(collector.alive(), "a probe is answered on any connection");
    collector.say(br#"{"msg":"agent","az":"a"}"#);
    collector.say(OUTCOMES.as_bytes());
    collector.say(br#"{"msg":"hot","partition":1,"kind":"lookup","n":4,"bad":0,"window":1000.0}"#);
    world.counted("sums_of_calls", 1);
    assert_eq!((world.counter("sums_of_tries"), world.counter("zones_named")), (1, 1));
    world.discovery.wait("a watch from the remembered version", |state| {
        state.asked.iter().any(|path| path == "/v1/endpoints?follow=1&since=1").then_some(())
    });
    world.host.wait("a probe that asks for the load", |state| {
        state.asked.iter().any(|path| path == "/status/load").then_some(())
    });
    world.counted("probes_answered", 3);
    world.signal("TERM");
    assert_eq!(world.exit(), Some(0));
    world.logged(" counters connections_taken=1 ");
}

#[test]
fn a_draining_host_is_shut_out_and_let_back() {
    let world = World::laid();
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
    world.relay.wait("no table names s-1", |state| {
        state.slices.values().all(|lines| !lines.contains_key("s-1")).then_some(())
    });
    world.list_change(3, "s-1", "in_service");
    world.relay.wait("s-1 is let back", |state| state.out.is_empty().then_some(()));
}

#[test_case(Deal::Silent(true), true ; "carried out but unanswered")]
#[test_case(Deal::Silent(false), true ; "not carried out")]
#[test_case(Deal::Unreadable(true), true ; "answered unreadably, carried out")]
#[test_case(Deal::Unreadable(false), true ; "answered unreadably, not carried out")]
#[test_case(Deal::Break(true), true ; "broken off, carried out")]
#[test_case(Deal::Break(false), true ; "broken off, not carried out")]
#[test_case(Deal::Throttle, false ; "turned away")]
fn a_call_is_settled_before_anything_later(deal: Deal, repeated: bool) {
    let world = World::laid();
    let before = world.relay.change(|state| {
        state.deals.extend([deal, deal]);
        state.calls.len()
    });
    world.list_change(2, "s-3", "terminating");
    world.list_change(3, "s-2", "terminating");
    let calls = world.relay.wait("both are shut out, and three calls", |state| {
        (state.out.len() == 2 && state.calls.len() >= before + 3).then(|| state.calls[before..].to_vec())
    });
    assert!(
        calls[..3].iter().all(|(_, orders)| *orders == calls[0].1),
        "the same until it is settled: {calls:?}"
    );
    assert_eq!(calls[1].0 != calls[0].0, repeated, "a late answer must not be taken for another call's");
    assert_eq!(world.counter("calls_repeated"), 2 * repeated as u64);
    assert_eq!(world.counter("calls_throttled"), 2 * !repeated as u64);
    world.counted("calls_answered", 1);
}

#[test]
fn a_refused_order_is_dropped_and_the_rest_sent() {
    let world = World::laid();
    let before = world.relay.change(|state| {
        state.deals.extend([Deal::Refuse(0); 2]);
        state.calls.len()
    });
    world.list_change(2, "s-1", "terminating");
    let calls = world
        .relay
        .wait("the rest", |state| (state.calls.len() >= before + 3).then(|| state.calls[before..].to_vec()));
    assert!(
        calls[0].1.len() > 1 && calls[1].1 == calls[0].1 && calls[2].1[..] == calls[0].1[1..],
        "{calls:?}"
    );
    world.counted("orders_refused", 1);
    world.logged("order refused: OUT,s-1");
    assert!(world.relay.change(|state| state.out.is_empty()), "what was refused is not sent again");
}

#[test]
fn a_connection_that_closed_when_idle_costs_nothing() {
    let world = World::laid();
    world.relay.change(|state| state.deals.push_back(Deal::Close));
    world.list_change(2, "s-3", "terminating");
    world.relay.wait("s-3 is shut out", |state| state.out.contains("s-3").then_some(()));
    world.list_change(3, "s-2", "terminating");
    world.relay.wait("s-2 is shut out", |state| state.out.contains("s-2").then_some(()));
    assert_eq!(world.counter("calls_repeated"), 0);
}

#[test_case(false ; "that break")]
#[test_case(true ; "that fall silent")]
fn news_are_dialled_again_and_reconciled(silent: bool) {
    let world = World::laid();
    world.relay.wait("a second connection stands by", |state| (state.follows >= 2).then_some(()));
    world.relay.change(|state| {
        // While nobody hears it: a proxy leaves, a slice goes, another is changed elsewhere and comes back.
        state.mute = true;
        state.proxies.remove(&3);
        state.slices.remove(&1);
        state.slices.insert(0, [("s-3".to_string(), 1.0)].into());
        if !silent {
            state.cut_news();
        }
    });
    world.counted("news_lost", 2);
    world.relay.change(|state| state.mute = false);
    world.counted("slices_taken", 1);
    world.counted("proxies_left", 1);
    world.relay.wait("the changed slice has a second line again", |state| {
        (state.slices[&0].len() == 2).then_some(())
    });
    assert_eq!(world.counter("slices_given"), 3, "only the changed one is given anew");
}

#[test]
fn one_news_connection_that_breaks_loses_nothing() {
    let world = World::laid();
    world.relay.wait("a second connection stands by", |state| (state.follows >= 2).then_some(()));
    world.counted("news_lines", 16);
    world.relay.change(|state| state.cut_first_news());
    world.counted("news_lost", 1);
    world.relay.change(|state| {
        state.proxies.insert(4);
        state.tell("* hello 4 a 5.0 1");
    });
    world.counted("proxies_joined", 4);
    assert_eq!((world.counter("slices_given"), world.counter("proxies_left")), (2, 0));
}

#[test_case("* hello 99999 a 1 1" ; "a number too high")]
#[test_case("* lea" ; "cut off")]
fn broken_news_cost_their_connection(line: &str) {
    let world = World::laid();
    world.relay.change(|state| state.tell(line));
    world.counted("news_bad", 1);
    world.relay.wait("news are asked for again", |state| (state.follows >= 3).then_some(()));
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
}

#[test_case("* hello 2 nowhere 1 1" ; "an unknown zone")]
#[test_case("* hello 9 a 1 1" ; "an unknown proxy")]
#[test_case("* lease 2 1" ; "an unknown slice")]
fn news_of_what_we_do_not_know_cost_only_themselves(line: &str) {
    let world = World::laid();
    world.relay.change(|state| state.tell(line));
    world.counted("news_bad", 1);
    world.logged("relay: news passed over, field ");
    assert_eq!(world.counter("news_lost"), 0);
}

#[test_case(&[] ; "in peace")]
#[test_case(&[Deal::Silent(true)] ; "while a call is out that was carried out")]
#[test_case(&[Deal::Silent(false)] ; "while a call is out that was not carried out")]
fn a_new_configuration_is_followed_without_a_gap(deals: &[Deal]) {
    let mut world = World::laid();
    let mut collector = world.joined();
    world.relay.wait("a second connection stands by", |state| (state.follows >= 2).then_some(()));
    for version in [2, 4] {
        let follows = world.relay.change(|state| {
            state.deals.extend(deals);
            state.follows
        });
        world.list_change(version, "s-1", "terminating");
        world.relocate();
        world.relay.wait("news are asked for there", |state| (state.follows >= follows + 2).then_some(()));
        world.relay.change(|state| state.leave_old());
        world.discovery.change(|state| state.leave_old());
        world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
        world.list_change(version + 1, "s-1", "in_service");
        world.relay.wait("s-1 is let back", |state| state.out.is_empty().then_some(()));
    }
    collector.say(OUTCOMES.as_bytes());
    world.counted("sums_of_tries", 1);
    let counts = ["proxies_joined", "proxies_left", "slices_given", "configurations_taken", "calls_repeated"];
    assert_eq!(counts.map(|name| world.counter(name)), [3, 0, 2, 2, 2 * deals.len() as u64]);
    world.signal("TERM");
    assert_eq!(world.exit(), Some(0));
}

#[test_case(Some("{\"name\":") ; "cut off")]
#[test_case(Some("") ; "empty")]
#[test_case(None ; "missing")]
fn a_configuration_that_cannot_be_used_changes_nothing(text: Option<&str>) {
    let world = World::laid();
    world.configure(text);
    world.logged("configuration: all stays as it was, ");
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
    assert_eq!((world.counter("configurations_bad"), world.counter("news_lost")), (1, 0));
}

#[test]
fn where_nobody_answers_yet_the_old_connections_serve() {
    let mut world = World::laid();
    let nobody = "127.0.0.1:1".parse().unwrap();
    for _ in 0..2 {
        world.configure(Some(&stand_ins::config(world.listen, nobody, nobody, &list(1, true, &[]))));
    }
    world.counted("configurations_taken", 1);
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
    assert_eq!((world.counter("proxies_left"), world.counter("slices_taken")), (0, 0));
    world.signal("TERM");
    assert_eq!(world.exit(), Some(0));
}

#[test]
fn a_watch_that_ends_is_opened_from_the_version_held() {
    let world = World::laid();
    world.list_change(7, "s-3", "terminating");
    world.relay.wait("s-3 is shut out", |state| state.out.contains("s-3").then_some(()));
    world.discovery.change(|state| state.cut());
    world.discovery.wait("a watch from version 7", |state| {
        state.asked.iter().any(|path| path.ends_with("since=7")).then_some(())
    });
}

#[test]
fn a_silent_watch_is_given_up() {
    let world = World::laid();
    world.discovery.change(|state| state.mute = true);
    world.discovery.wait("further watches", |state| (state.asked.len() >= 3).then_some(()));
    world.discovery.change(|state| state.mute = false);
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
}

#[test_case("{\"version\":", "lists_bad" ; "an object that does not parse")]
#[test_case(r#"{"version":0,"full":true,"servers":[]}"#, "lists_bad" ; "a version that goes back")]
#[test_case(r#"{"version":2,"full":true,"servers":[{"id":"s-1"},{"id":"s-2"},{"id":"s-3"},7]}"#, "entries_unsound" ; "unsound entries")]
fn a_bad_list_costs_only_itself(line: &str, counter: &str) {
    let world = World::laid();
    world.discovery.change(|state| state.tell(line));
    world.counted(counter, 1);
    world.list_change(3, "s-3", "terminating");
    world.relay.wait("s-3 is shut out", |state| state.out.contains("s-3").then_some(()));
    assert!(world.relay.change(|state| state.out.len() == 1), "no host seems gone");
}

#[test]
fn a_whole_list_takes_the_place_of_the_old_one() {
    let world = World::laid();
    let whole = world.whole_list(2, &["s-2", "s-3", "s-4"]);
    world.discovery.change(|state| state.tell(&whole));
    world.relay.wait("s-1 is gone from all tables", |state| {
        state.slices.values().all(|lines| !lines.contains_key("s-1") && lines.len() == 2).then_some(())
    });
}

#[test]
fn a_probe_whose_connection_breaks_is_asked_once_more() {
    let world = World::laid();
    let asked = world.host.change(|state| {
        state.broken = 1;
        state.asked.len()
    });
    world.host.wait("the same again", |state| (state.asked.len() >= asked + 8).then_some(()));
    world.counted("probes_answered", 6);
    assert_eq!(world.counter("probes_broken"), 0);
    world.host.change(|state| state.broken = usize::MAX);
    world.counted("probes_broken", 1);
}

#[test_case(500, "probes_failed" ; "an error")]
#[test_case(503, "probes_throttled" ; "turned away")]
fn probes_are_told_apart(status: u16, counter: &str) {
    let world = World::laid();
    world.host.change(|state| state.status = status);
    world.counted(counter, 1);
}

#[test_case(b"{not json" ; "no JSON")]
#[test_case(b"\xff\xfe\x00" ; "no text")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"s-1"}"# ; "fields missing")]
#[test_case(br#"{"msg":"agent","az":"nowhere"}"# ; "an unknown zone")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"s-9","n":1,"bad":0,"avg":1.0,"window":1.0}"# ; "an unknown host")]
#[test_case(br#"{"msg":"hot","partition":0,"kind":"other","n":1,"bad":0,"window":1.0}"# ; "an unknown route")]
#[test_case(br#"{"msg":"hot","partition":2,"kind":"lookup","n":1,"bad":0,"window":1.0}"# ; "an unknown slice")]
#[test_case(br#"{"msg":"hot","partition":0,"kind":"lookup","n":"one","bad":0,"window":1.0}"# ; "a wrong type")]
#[test_case(br#"{"msg":"gossip"}"# ; "an unknown kind")]
fn a_bad_line_costs_only_itself(line: &[u8]) {
    let world = World::laid();
    let mut collector = world.joined();
    collector.say(line);
    collector.say(OUTCOMES.as_bytes());
    world.counted("sums_of_tries", 1);
    assert_eq!((world.counter("lines_bad"), world.counter("collectors_dropped")), (1, 0));
    world.logged("collector: line passed over, ");
}

#[test]
fn odd_figures_of_a_load_report_cost_only_themselves() {
    let world = World::laid();
    let mut collector = world.joined();
    collector.say(OUTCOMES.replace("30.0", "\"slow\"").as_bytes());
    world.counted("sums_of_tries", 1);
    assert_eq!(world.counter("load_figures_odd"), 1);
    world.logged("load report: 1 figures passed over");
}

#[test]
fn a_flood_of_strangers_costs_no_collector_and_no_probe() {
    let world = World::laid();
    let mut collector = world.joined();
    // More than descriptors: some say nothing, some half a message, some ask for a sign of life and stay.
    let mut strangers: Vec<_> = (0..400).map(|_| world.connect()).collect();
    strangers.iter_mut().step_by(3).for_each(|stranger| _ = stranger.bytes(b"{\"msg\":"));
    assert!(world.connect().alive(), "who comes last is answered");
    let mut second = world.joined();
    assert!(world.descriptors() < 250);
    strangers.iter_mut().for_each(|stranger| assert!(stranger.ended(), "each is closed"));
    collector.say(OUTCOMES.as_bytes());
    second.say(OUTCOMES.as_bytes());
    world.counted("sums_of_tries", 2);
    assert_eq!(world.counter("collectors_dropped"), 0);
    assert_eq!(world.counter("strangers_dropped") + world.counter("connections_ended"), 401);
    world.logged("stranger: connection dropped, ");
}

#[test_case(b"GET / HTTP/1.1\r\n" ; "HTTP")]
#[test_case(OUTCOMES.as_bytes() ; "a report before joining")]
#[test_case(br#"{"msg":"hello","sidecar":1,"az":"a","share":1.0,"standing":true}"# ; "a proxy")]
#[test_case(br#"{"msg":"agent","az":"nowhere"}"# ; "an unknown zone")]
fn who_does_not_join_is_closed(line: &[u8]) {
    let world = World::laid();
    let mut stranger = world.connect();
    stranger.say(line);
    assert!(stranger.ended());
    assert_eq!((world.counter("sums_of_tries"), world.counter("strangers_dropped")), (0, 1));
}

#[test]
fn a_stranger_without_end_is_closed() {
    let world = World::laid();
    let mut stranger = world.connect();
    while stranger.bytes(&[b' '; 1000]) {}
    assert!(world.connect().alive());
}

#[test]
fn a_collector_gone_unreadable_is_closed_and_returns() {
    let world = World::laid();
    let mut collector = world.joined();
    collector.bytes(&[1; 40_000]);
    assert!(collector.ended());
    world.joined().say(OUTCOMES.as_bytes());
    world.counted("sums_of_tries", 1);
}

#[test]
fn a_log_that_nobody_takes_holds_nobody_up() {
    let world = World::laid();
    assert!(world.connect().alive());
    let held = world.log.hold();
    // Each asks for a line of about a kilobyte: far more than a pipe takes.
    for _ in 0..150 {
        world.signal("USR1");
        assert!(world.connect().alive(), "it serves on");
    }
    drop(held);
    world.counted("alive_answers", 151);
}

#[test]
fn bytes_come_in_pieces() {
    let world = World::laid();
    let mut collector = world.joined();
    let (head, tail) = OUTCOMES.as_bytes().split_at(31);
    assert!(
        collector.bytes(head) && world.connect().alive() && collector.bytes(tail) && collector.bytes(b"\n")
    );
    world.counted("sums_of_tries", 1);
}

#[test]
fn killed_and_back_under_its_name() {
    let mut world = World::laid();
    world.restart();
    assert!(world.connect().alive());
    world.counted("slices_given", 2);
    world.logged("2 slices laid");
    assert_eq!(world.counter("orders_given"), 0, "the tables of the store are kept");
    world.list_change(2, "s-1", "terminating");
    world.relay.wait("s-1 is shut out", |state| state.out.contains("s-1").then_some(()));
}

#[test_case("{", "{\"name\":", "configuration: " ; "not whole")]
#[test_case("\"relay\"", "\"relais\"", "field relay.address" ; "no relay")]
#[test_case("\"seed\":\"8", "\"seed\":\"x", "field seed" ; "a seed that is no number")]
#[test_case("\"slices\":2", "\"slices\":\"many\"", "field settings.specifics.slices" ; "a word for a number")]
#[test_case("\"slices\":2", "\"slices\":65536", "specifics.slices: 65536, expected 65535 at most" ; "more slices than have numbers")]
#[test_case("\"proxy-count\":5", "\"proxy-count\":70000", "specifics.proxy-count: 70000, expected 65536 at most" ; "more proxies than have numbers")]
#[test_case("\"known\":{", "\"known\":7,\"old\":{", "field known" ; "a list that is a number")]
fn a_bad_configuration_gets_one_line(sound: &str, unsound: &str, expected: &str) {
    let at = "127.0.0.1:0".parse().unwrap();
    let text = stand_ins::config(at, at, at, &list(1, true, &[])).replacen(sound, unsound, 1);
    let path =
        std::env::temp_dir().join(format!("coppersail-{}-{}.json", std::process::id(), expected.len()));
    std::fs::write(&path, text).unwrap();
    let (mut director, log) = spawn(&path);
    assert_eq!(director.wait().unwrap().code(), Some(2));
    log.wait(expected, |lines| lines.iter().any(|line| line.contains(expected)).then_some(()));
    assert_eq!(log.change(|lines| lines.len()), 1);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_missing_configuration_gets_one_line() {
    let (mut director, log) = spawn(std::path::Path::new("/nonexistent/config.json"));
    assert_eq!(director.wait().unwrap().code(), Some(2));
    log.wait("the path", |lines| lines.iter().any(|line| line.contains("EDGE_CONFIG: ")).then_some(()));
}

/// The size that no bound may cap, with as many slices as are one director's part of them.
#[test]
fn a_thousand_hosts_and_directors_and_five_thousand_proxies_are_served() {
    let world = World::fleet(1024, 5000, 8, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":4096");
    world.logged("n0 serves");
    let mut collector = world.joined();
    world.counted("proxies_joined", 5000);
    for _ in 0..2 {
        for n in 1..=1024 {
            collector.say(OUTCOMES.replace("s-1", &format!("s-{n}")).as_bytes());
        }
    }
    world.counted("sums_of_tries", 2048);
    world.relay.wait("all slices have two lines", |state| {
        state.slices.values().all(|lines| lines.len() == 2).then_some(())
    });
    world.counted("probes_answered", 1024);
    world.list_change(2, "s-7", "terminating");
    world.relay.wait("s-7 is shut out", |state| state.out.contains("s-7").then_some(()));
    let (memory, descriptors) = (world.memory(), world.descriptors());
    assert!(memory < 192.0 && descriptors < 2048, "{memory} MB, {descriptors} descriptors");
    println!("{memory:.1} MB, {descriptors} descriptors");
}
