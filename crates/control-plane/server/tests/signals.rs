//! Signals and changed settings files, at real processes.
mod common;

use common::Core;
use std::time::{Duration, Instant};

fn write(core: &Core, n: usize, from: &str, to: &str) {
    let text = std::fs::read_to_string(core.settings_file(n)).unwrap();
    assert!(text.contains(from), "{from}: {text}");
    std::fs::write(core.settings_file(n), text.replace(from, to)).unwrap();
}

fn lives(core: &mut Core, n: usize) {
    let ended = core.children[n].as_mut().unwrap().try_wait().unwrap();
    assert_eq!(ended, None, "centre {n} has ended: {}", core.log(n));
}

/// Waits until the log has this line, as long as the process lives.
fn told(core: &mut Core, n: usize, text: &str) {
    let end = Instant::now() + Duration::from_secs(30);
    while !core.log(n).contains(text) {
        lives(core, n);
        assert!(Instant::now() < end, "no line with {text}: {}", core.log(n));
        core.held(100);
    }
}

#[test]
fn a_centre_lives_on_after_a_hangup_with_a_changed_a_bad_and_an_unchanged_file() {
    let mut core = Core::start(20);
    assert_eq!(core.replace(1, "/one/"), 200);
    for n in 0..3 {
        write(&core, n, "\"300ms\"", "\"310ms\"");
        core.signal(n, "HUP");
        told(&mut core, n, "provider.heartbeat: 300ms");
        write(&core, n, "\"310ms\"", "\"3 minutes\"");
        core.signal(n, "HUP");
        told(&mut core, n, "\"3 minutes\"");
        assert!(
            core.log(n).lines().filter(|line| line.contains("3 minutes")).count() <= 2,
            "{}",
            core.log(n)
        );
        write(&core, n, "\"3 minutes\"", "\"310ms\"");
        core.signal(n, "HUP");
        lives(&mut core, n);
        assert_eq!(core.replace(2 + n as u64, "/on/"), 200, "orders are still taken");
    }
    // Without a signal; and what only a restart takes over.
    write(&core, 1, "\"area\":\"a\"", "\"area\":\"b\"");
    told(&mut core, 1, "self.area");
    (0..3).for_each(|n| lives(&mut core, n));
    assert_eq!(core.read()["revision"], "r4");
}

#[test]
fn a_centre_that_is_told_to_end_ends_in_order() {
    let mut core = Core::start(21);
    assert_eq!(core.replace(1, "/one/"), 200);
    core.signal(1, "TERM");
    let ended = core.children[1].take().unwrap().wait().unwrap();
    assert_eq!(ended.code(), Some(0), "{}", core.log(1));
    assert_eq!(core.replace(2, "/two/"), 200);
}
