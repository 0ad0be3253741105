use assert_matches::assert_matches;
use coppersail_stub_backend::keys::Grant;
use coppersail_stub_backend::life::Job;
use coppersail_stub_backend::{Ask, Keys, Life, Plan, Reply, Verdict};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn life(split: bool) -> Life {
    let (ident, capacity) = ("i-1".to_string(), 2);
    let (work, heartbeat, empty) = (at(100), at(1000), at(2000));
    Life::new(Plan { ident, capacity, split, work, heartbeat, empty, warm: at(5000), ..Plan::default() })
}

const ASK: Ask = Ask { id: Some("9c41"), wanted: None, key: Some("7"), left: Some("10000"), check: false };

fn waits(life: &mut Life, now: u64, ask: &Ask) -> Job {
    assert_matches!(life.admit(at(now), ask), Verdict::Waits(job) => job)
}

fn grant(from: u32, to: u32, fence: u64) -> Grant {
    (from, to, fence, String::new())
}

fn told(rows: &[Grant], keep: &str) -> Reply {
    Reply { held: Some(rows.to_vec()), keep_time: Some(keep.into()), ..Reply::default() }
}

#[test]
fn what_has_not_run_says_so() {
    let mut host = life(false);
    assert_eq!(host.admit(at(0), &Ask { id: None, ..ASK }), Verdict::NotRun(400));
    assert_eq!(host.admit(at(0), &Ask { wanted: Some("i-2"), ..ASK }), Verdict::NotRun(421));
    let late = waits(&mut host, 0, &Ask { left: Some("50"), ..ASK });
    let other = waits(&mut host, 0, &Ask { wanted: Some("i-1"), ..ASK });
    assert_eq!(host.admit(at(0), &ASK), Verdict::NotRun(503), "as many wait as may");
    assert_eq!(host.start(at(60), late), Verdict::NotRun(503), "its deadline passed in the queue");
    // Slow at first; later as planned, and cut at the deadline.
    assert_eq!(host.start(at(60), other), Verdict::Runs(0, at(260)));
    assert_eq!(host.load(), "1,0,2");
    assert_eq!(host.finish(at(260), 0), Verdict::Ran(200));
    let short = waits(&mut host, 6000, &Ask { left: Some("30"), ..ASK });
    assert_eq!(host.start(at(6000), short), Verdict::Runs(0, at(6030)));
    assert_eq!(host.finish(at(6030), 0), Verdict::Ran(504));
}

#[test]
fn keys_come_and_go_by_the_answers() {
    let mut host = life(true);
    assert_eq!(host.admit(at(0), &Ask { key: None, ..ASK }), Verdict::NotRun(400));
    let job = waits(&mut host, 0, &ASK);
    assert_eq!(host.start(at(0), job), Verdict::NotRun(421), "it holds nothing yet");
    assert_eq!(host.beat(at(0)).held, Some(vec![]));
    host.acknowledged(at(10), &told(&[grant(0, 9, 3)], "4000ms"));
    let job = waits(&mut host, 10, &ASK);
    assert_eq!(host.start(at(10), job), Verdict::Runs(0, at(210)));

    // Keys 5 to 9 are left out: those that nothing runs on go at once, key 7 with its request.
    assert_eq!(host.due(), at(1000));
    host.beat(at(100));
    host.acknowledged(at(110), &told(&[grant(0, 4, 3)], "4000ms"));
    let job = waits(&mut host, 110, &ASK);
    assert_eq!(host.start(at(110), job), Verdict::NotRun(421));
    assert!(host.due() <= at(200), "hurried until they are let go");
    let beat = host.beat(at(150));
    assert_eq!(beat.held, Some(vec![(0, 4, 3), (5, 9, 3)]));
    assert_eq!(host.finish(at(210), 0), Verdict::Ran(200));
    // That beat is lost; the next ones tell the release until one is heard.
    let released = host.beat(at(220)).released.unwrap();
    assert_matches!(&released[..], [(5, 9, handover)] if !handover.is_empty());
    assert_eq!(host.beat(at(300)).released, Some(released));
    host.acknowledged(at(310), &Reply::default());
    assert_eq!((host.due(), host.beat(at(1300)).released), (at(1300), Some(vec![])));

    // The last answers held nothing, so the hold of 100 ms runs out at 4,100, untold, under a request.
    let ask = Ask { key: Some("4"), ..ASK };
    let job = waits(&mut host, 4050, &ask);
    assert_matches!(host.start(at(4050), job), Verdict::Runs(0, _));
    let beat = host.beat(at(4100));
    assert_eq!((beat.held, beat.released), (Some(vec![]), Some(vec![])));
    host.acknowledged(at(4110), &told(&[grant(0, 9, 4)], "4000ms"));
    assert_eq!(host.finish(at(4250), 0), Verdict::Ran(500), "it ran past the end of its hold");
    // A row under a passed fence is not taken; what is held under the higher one stays.
    host.beat(at(4300));
    host.acknowledged(at(4310), &told(&[grant(0, 20, 3)], "9s"));
    assert_eq!(host.beat(at(4400)).held, Some(vec![(0, 9, 4)]));
}

#[test]
fn it_leaves_once_it_was_heard() {
    let mut host = life(false);
    assert_eq!(host.beat(at(0)).stage, "ready");
    host.leave(at(300));
    host.acknowledged(at(400), &Reply::default());
    assert_eq!((host.due(), host.over(at(5299))), (at(300), false), "a beat from before does not count");
    assert!(host.over(at(5300)), "unheard for seconds");
    assert_eq!(host.beat(at(400)).stage, "emptying");
    host.acknowledged(at(500), &Reply::default());
    assert_eq!((host.over(at(2999)), host.over(at(3000))), (false, true));
    let check = waits(&mut host, 600, &Ask { check: true, ..Ask::default() });
    assert_eq!(host.start(at(600), check), Verdict::Runs(0, at(600)));
    assert_eq!(host.finish(at(600), 0), Verdict::Ran(503));
}

/// Spans against a plain table of single keys, over drawn answers.
#[test]
fn holds_agree_with_a_table_of_keys() {
    #[derive(Clone, Copy, Default, PartialEq, Debug)]
    struct Key {
        seen: u64,
        until: u64,
        fence: u64,
        leaving: bool,
    }
    const KEYS: usize = 24;
    let mut seed = fastrand::Rng::with_seed(4);
    for _ in 0..400 {
        let (mut keys, mut plain) = (Keys::default(), [Key::default(); KEYS]);
        for step in 1..30u64 {
            let now = step * 10;
            let mut rows: Vec<Grant> = Vec::new();
            let mut from = seed.u32(0..6);
            while from < KEYS as u32 {
                let to = (from + seed.u32(0..8)).min(KEYS as u32 - 1);
                rows.push(grant(from, to, seed.u64(1..4 + step)));
                from = to + 1 + seed.u32(0..5);
            }
            let keep = seed.u64(5..60);
            keys.granted(at(now), at(now - 5), at(keep), &rows);
            let before = plain;
            let taken = |row: &Grant| (row.0..=row.1).all(|k| before[k as usize].seen <= row.2);
            for (k, key) in plain.iter_mut().enumerate() {
                match rows.iter().find(|row| (row.0..=row.1).contains(&(k as u32))) {
                    Some(row) if taken(row) => {
                        *key = Key { seen: row.2, until: now - 5 + keep, fence: row.2, leaving: false }
                    }
                    Some(_) => {}
                    // Nothing runs, so what is left out goes at once.
                    None => key.until = 0,
                }
            }
            let held = keys.told(at(now)).0;
            for (k, key) in plain.iter().enumerate() {
                let rows: Vec<_> = held.iter().filter(|row| (row.0..=row.1).contains(&(k as u32))).collect();
                let one = (key.until > now).then_some(key.fence);
                assert_eq!(
                    rows.iter().map(|row| row.2).collect::<Vec<_>>(),
                    Vec::from_iter(one),
                    "{k} {held:?}"
                );
            }
        }
    }
}
