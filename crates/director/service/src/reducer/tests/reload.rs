//! Reloaded configurations, and the changes of address in them.

use super::{
    lines, new_reducer, reducer_with_slice, reducer_with_slice_and_queued_call, CONFIG, SNAPSHOT,
    UPDATES_LINK,
};
use crate::reducer::{Effect, Event, FileError, LinkId};
use coppersail::interface::Input;
use coppersail_protocol::config::Config;
use std::collections::BTreeSet;
use test_case::test_case;

/// A reload of the configuration with another port of the relay and other machine kinds.
fn reload_event(relay_port: u16, kinds: &str) -> Event {
    let text = CONFIG.replace("127.0.0.1:3", &format!("127.0.0.1:{relay_port}")).replace("\"m2\"", kinds);
    Event::Reload(Box::new(Config::parse(text.as_bytes()).map_err(FileError::new)))
}

#[test_case(reload_event(3, "\"m2\""), "applied, discovery 127.0.0.1:2, relay 127.0.0.1:3", 0 ; "unchanged")]
#[test_case(reload_event(4, "\"m2\""), "applied, discovery 127.0.0.1:2, relay 127.0.0.1:4", 2 ; "another relay")]
#[test_case(reload_event(3, "\"m3\""), "a restart is needed for settings", 0 ; "a setting that needs a restart")]
#[test_case(reload_event(4, "\"m2\"],\"me\":[\"x\""), "field settings.me", 0 ; "a field that cannot be used")]
#[test_case(Event::Reload(Box::new(Err(FileError::new("EOF")))), "not applied: EOF", 0 ; "cut off")]
fn reloaded_configuration_is_applied_as_a_whole_or_not_at_all(event: Event, expected: &str, dialled: usize) {
    let (mut reducer, _) = reducer_with_slice_and_queued_call();
    reducer.calls.connected(0.2, LinkId(9));
    reducer.reduce(0.2, Event::EndOfBatch);
    let mut effects = reducer.reduce(0.2, event);
    let log_line = effects.iter().position(|effect| matches!(effect, Effect::Log(..))).expect("a log line");
    let Effect::Log(_, _, text) = effects.remove(log_line) else { unreachable!() };
    assert!(text.contains(expected), "{text}");
    assert_eq!(
        effects.len(),
        dialled,
        "one connects for the calls; the stream that is not synchronized is closed: {effects:?}"
    );
    let after = reducer.reduce(0.2, Event::EndOfBatch);
    assert!(
        !after.iter().any(|effect| matches!(effect, Effect::CloseRelay(_) | Effect::CloseWatch(_))),
        "{after:?}"
    );
    assert!(reducer.subscription.is_synchronized(), "the known state is kept");
}

#[test]
fn second_relay_move_replaces_an_unfinished_first_one() {
    let mut reducer = reducer_with_slice();
    let mut dialled = BTreeSet::new();
    let mut closed = BTreeSet::new();
    for (now, relay_port) in [(0.2, 4), (0.3, 5)] {
        for event in [reload_event(relay_port, "\"m2\""), Event::EndOfBatch] {
            for effect in reducer.reduce(now, event) {
                match effect {
                    Effect::ConnectRelay(link, address) => {
                        dialled.insert((address.port(), link));
                    }
                    Effect::CloseRelay(link) => {
                        closed.insert(link);
                    }
                    _ => {}
                }
            }
        }
    }
    let dialled_to = |port| dialled.iter().filter(move |(to, _)| *to == port).map(|(_, link)| *link);
    assert!(dialled_to(4).all(|link| closed.contains(&link)), "{dialled:?} {closed:?}");
    assert!(dialled_to(5).count() > 0, "{dialled:?} {closed:?}");
    assert!(!closed.contains(&UPDATES_LINK), "the first stream stays in use");
    assert!(reducer.subscription.is_synchronized(), "the first stream stays in use");
    let new = dialled_to(5).find(|link| reducer.subscription.owns(*link)).unwrap();
    reducer.reduce(0.4, Event::RelayConnected(new));
    reducer.reduce(0.4, Event::RelayLines(new, lines(&SNAPSHOT)));
    assert!(!reducer.subscription.owns(UPDATES_LINK));
    assert!(reducer.subscription.owns(new));
    assert!(!reducer.outbox.inputs.iter().any(|input| matches!(input, Input::SliceRevoked(_))));
}

#[test]
fn discovery_move_keeps_the_old_watch_until_the_new_one_answers() {
    let mut reducer = new_reducer();
    reducer.reduce(0.0, Event::EndOfBatch);
    let watch = LinkId(1);
    reducer.reduce(0.1, Event::WatchLines(watch, lines(&[""])));
    let text = CONFIG.replace("127.0.0.1:2", "127.0.0.1:5");
    reducer.reduce(0.2, Event::Reload(Box::new(Ok(Config::parse(text.as_bytes()).unwrap()))));
    let effects = reducer.reduce(0.2, Event::EndOfBatch);
    let new = effects.iter().find_map(|effect| match effect {
        Effect::OpenWatch(link, address, _) if address.port() == 5 => Some(*link),
        _ => None,
    });
    let new = new.expect("a watch at the new address");
    assert!(!effects.contains(&Effect::CloseWatch(watch)), "{effects:?}");
    let effects = reducer.reduce(0.3, Event::WatchLines(new, lines(&[""])));
    assert_eq!(effects, [Effect::CloseWatch(watch)]);
}
