//! Signals and changed settings files, with real processes.
mod common;

use common::Core;
use std::time::{Duration, Instant};

fn edit_settings(core: &Core, n: usize, from: &str, to: &str) {
    let text = std::fs::read_to_string(core.settings_file(n)).unwrap();
    assert!(text.contains(from), "{from}: {text}");
    std::fs::write(core.settings_file(n), text.replace(from, to)).unwrap();
}

fn assert_running(core: &mut Core, n: usize) {
    let ended = core.children[n].as_mut().unwrap().try_wait().unwrap();
    assert_eq!(ended, None, "node {n} has ended: {}", core.log(n));
}

/// Waits until the log has this text; fails at once if the process has ended.
fn wait_for_log(core: &mut Core, n: usize, text: &str) {
    let end = Instant::now() + Duration::from_secs(30);
    while !core.log(n).contains(text) {
        assert_running(core, n);
        assert!(Instant::now() < end, "no line with {text}: {}", core.log(n));
        core.long_poll(100);
    }
}

#[test]
fn sighup_with_a_changed_an_invalid_and_an_unchanged_file_does_not_end_the_process() {
    let mut core = Core::start(20);
    assert_eq!(core.replace(1, "/one/"), 200);
    for n in 0..3 {
        edit_settings(&core, n, "\"300ms\"", "\"310ms\"");
        core.signal(n, "HUP");
        wait_for_log(&mut core, n, "provider.heartbeat: 300ms");
        edit_settings(&core, n, "\"310ms\"", "\"3 minutes\"");
        core.signal(n, "HUP");
        wait_for_log(&mut core, n, "\"3 minutes\"");
        assert!(
            core.log(n).lines().filter(|line| line.contains("3 minutes")).count() <= 2,
            "{}",
            core.log(n)
        );
        edit_settings(&core, n, "\"3 minutes\"", "\"310ms\"");
        core.signal(n, "HUP");
        assert_running(&mut core, n);
        assert_eq!(core.replace(2 + n as u64, "/on/"), 200, "configurations are still accepted");
    }
    // A change without a signal, of a field that takes effect only after a restart.
    edit_settings(&core, 1, "\"area\":\"a\"", "\"area\":\"b\"");
    wait_for_log(&mut core, 1, "self.area");
    (0..3).for_each(|n| assert_running(&mut core, n));
    assert_eq!(core.read()["revision"], "r4");
}

#[test]
fn sigterm_ends_with_status_0_and_the_others_go_on() {
    let mut core = Core::start(21);
    assert_eq!(core.replace(1, "/one/"), 200);
    core.signal(1, "TERM");
    let ended = core.children[1].take().unwrap().wait().unwrap();
    assert_eq!(ended.code(), Some(0), "{}", core.log(1));
    assert_eq!(core.replace(2, "/two/"), 200);
}
