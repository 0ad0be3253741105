//! Each revision has one content, with real processes: conflicting and repeated orders, failovers and
//! restarts.
mod common;

use common::{settings, Core};
use std::sync::Barrier;
use std::time::{Duration, Instant};

fn submit(core: &Core, n: usize, revision: u64, prefix: &str) -> Option<(u16, String)> {
    core.at(n, "POST", "/settings/replace", &settings(revision, prefix).to_string())
}

/// Submits an order as an operator does: again and again, beginning with one member, until the response is
/// 200 or 409.
fn submit_until_decided(core: &Core, first: usize, revision: u64, prefix: &str) -> u16 {
    let end = Instant::now() + Duration::from_secs(30);
    for n in (first..).map(|n| n % 3) {
        assert!(Instant::now() < end, "no clear answer to r{revision}");
        match submit(core, n, revision, prefix) {
            Some((status, why)) => {
                assert!(status == 200 || status == 409, "r{revision} {prefix}: {status} {why}");
                assert!(!why.is_empty() && !why.contains('\n'), "one line: {why}");
                return status;
            }
            None => drop(core.long_poll(50)),
        }
    }
    unreachable!()
}

fn restart(core: &mut Core) {
    (0..3).for_each(|n| core.kill(n));
    (0..3).for_each(|n| core.run(n, false));
}

#[test]
fn another_content_under_a_revision_is_refused_by_every_member() {
    let mut core = Core::start(30);
    assert_eq!(submit_until_decided(&core, 0, 5, "/five/"), 200);
    assert_eq!(submit_until_decided(&core, 0, 9, "/nine/"), 200);
    for again in 0..2 {
        for n in 0..3 {
            assert_eq!(submit_until_decided(&core, n, 9, "/other/"), 409, "newest, at {n}");
            assert_eq!(submit_until_decided(&core, n, 5, "/other/"), 409, "older, at {n}");
            assert_eq!(submit_until_decided(&core, n, 9, "/nine/"), 200, "the same again, at {n}");
            assert_eq!(submit_until_decided(&core, n, 5, "/five/"), 200, "the same older one again, at {n}");
        }
        // An unknown lower revision is acknowledged, leaves the configuration as it is, and has one content
        // then.
        assert_eq!(submit_until_decided(&core, again, 7 + again as u64, "/late/"), 200);
        assert_eq!(submit_until_decided(&core, again, 7 + again as u64, "/later/"), 409);
        assert_eq!(core.read(), settings(9, "/nine/"));
        restart(&mut core);
    }
    assert_eq!(submit_until_decided(&core, 0, 7, "/later/"), 409);
}

#[test]
fn concurrent_contents_under_one_revision_get_one_acknowledgement() {
    let core = Core::start(31);
    assert_eq!(submit_until_decided(&core, 0, 1, "/one/"), 200);
    for revision in 2..22 {
        let (start, contents) = (Barrier::new(2), ["/a/", "/b/"]);
        let statuses = std::thread::scope(|scope| {
            let both = [0, 1].map(|operator| {
                let (core, start) = (&core, &start);
                scope.spawn(move || {
                    start.wait();
                    submit_until_decided(core, operator + revision as usize, revision, contents[operator])
                })
            });
            both.map(|operator| operator.join().unwrap())
        });
        assert!(statuses == [200, 409] || statuses == [409, 200], "r{revision}: {statuses:?}");
        let first = contents[statuses.iter().position(|s| *s == 200).unwrap()];
        assert_eq!(core.read(), settings(revision, first));
    }
}

#[test]
fn a_failover_never_refuses_an_order_that_is_submitted_again() {
    let mut core = Core::start(32);
    assert_eq!(submit_until_decided(&core, 0, 1, "/one/"), 200);
    for round in 0..6u64 {
        let (killed, revision) = (round as usize % 3, 10 + 2 * round);
        assert_eq!(submit_until_decided(&core, killed, revision, "/taken/"), 200);
        // This order may be lost on its way, committed, or committed without a response.
        let sent = std::thread::scope(|scope| {
            let sent = scope.spawn(|| submit(&core, killed, revision + 1, "/sent/"));
            if round % 2 == 0 {
                core.long_poll(1);
            }
            core.signal(killed, "KILL");
            sent.join().unwrap()
        });
        assert!(sent.is_none_or(|(status, _)| status == 200), "an order was refused");
        core.kill(killed);
        // These are sent while no member leads and afterwards; `submit_until_decided` accepts only 200 and
        // 409.
        for n in [killed + 1, killed + 2] {
            assert_eq!(submit_until_decided(&core, n, revision, "/taken/"), 200, "round {round}");
            assert_eq!(submit_until_decided(&core, n, revision + 1, "/sent/"), 200, "round {round}");
            assert_eq!(submit_until_decided(&core, n, revision, "/other/"), 409, "round {round}");
            assert_eq!(submit_until_decided(&core, n, revision + 1, "/other/"), 409, "round {round}");
        }
        assert_eq!(core.read(), settings(revision + 1, "/sent/"));
        core.run(killed, false);
    }
}

#[test]
fn concurrent_orders_are_remembered_over_a_restart_of_all_members() {
    let mut core = Core::start(33);
    assert_eq!(submit_until_decided(&core, 0, 1, "/one/"), 200);
    for round in 0..3u64 {
        // The seventh and the eighth order have the same revision, the second highest.
        let base = 100 * (round + 1);
        let numbers = [7, 1, 5, 2, 4, 3, 6, 6].map(|n| base + n);
        let contents = [0, 1, 2, 3, 4, 5, 6, 7].map(|n| format!("/{round}-{n}/"));
        let start = Barrier::new(8);
        let statuses = std::thread::scope(|scope| {
            let all = [0, 1, 2, 3, 4, 5, 6, 7].map(|n| {
                let (core, start, contents) = (&core, &start, &contents);
                scope.spawn(move || {
                    start.wait();
                    submit_until_decided(core, n, numbers[n], &contents[n])
                })
            });
            all.map(|one| one.join().unwrap())
        });
        assert_eq!(statuses[..6], [200; 6]);
        assert!(statuses[6..] == [200, 409] || statuses[6..] == [409, 200], "{statuses:?}");
        for _ in 0..2 {
            assert_eq!(core.read(), settings(numbers[0], &contents[0]));
            for n in 0..8 {
                assert_eq!(
                    submit_until_decided(&core, n, numbers[n], &contents[n]),
                    statuses[n],
                    "round {round}, order {n}"
                );
            }
            restart(&mut core);
        }
    }
}
