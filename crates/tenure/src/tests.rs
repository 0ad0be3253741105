//! Rows that pass on: by release, by time, over takeovers; and by lot, against what hosts could hold.
use super::*;

fn hosts(n: u64) -> Vec<Host> {
    (0..n).map(|i| Host::new(&format!("i-{i}"), i)).collect()
}

fn laid(n: u64, slices: u32) -> (Keys, Vec<Host>) {
    let (mut keys, hosts) = (Keys::new(1000), hosts(n));
    let puts = keys.lay(0, "s", slices, &hosts);
    keys.apply(0, &puts);
    (keys, hosts)
}

fn state(keys: &Keys) -> Vec<Put> {
    let rows = keys.tables["s"].rows.iter().enumerate();
    rows.map(|(n, r)| (row_name("s", n), format!("{} {} {}", r.fence, r.holder, r.handover))).collect()
}

#[test]
fn a_row_passes_on_by_release_with_its_handover_and_a_higher_fence() {
    let (mut keys, mut hosts) = laid(2, 64);
    let before = keys.grant(0, "s", "i-0", &[]);
    hosts[0].leaving = true;
    keys.plan(5, "s", &hosts, 4);
    let left = keys.grant(10, "s", "i-0", &["i-1".into()]);
    assert!(left.is_empty(), "all that is to go is left out once its new holder can be told");
    assert!(keys.released("s", "i-1", &[(0, 65535, "x".into())]).is_empty(), "only its holder may release");
    let puts = keys.released("s", "i-0", &[(before[0].from, before[0].to, "token".into())]);
    assert_eq!(puts.len(), 1);
    keys.apply(20, &puts);
    let got = keys.grant(20, "s", "i-1", &[]);
    let row = got.iter().find(|g| g.from == before[0].from).unwrap();
    assert_eq!((row.handover.as_str(), row.fence > before[0].fence), ("token", true));
}

#[test]
fn a_silent_holder_keeps_its_rows_until_its_slow_clock_has_run_out() {
    let (mut keys, mut hosts) = laid(2, 64);
    keys.grant(100, "s", "i-0", &[]);
    hosts[0].silent = true;
    keys.plan(500, "s", &hosts, 4);
    assert!(keys.expire(100 + 1020, "s").is_empty(), "its clock may be 2% slow");
    let puts = keys.expire(100 + 1030, "s");
    assert_eq!(puts.len(), 32);
    keys.apply(1130, &puts);
    assert_eq!(keys.grant(1130, "s", "i-1", &[]).len(), 64);
}

#[test]
fn a_takeover_waits_out_what_an_earlier_primary_may_have_renewed() {
    let (mut keys, mut hosts) = laid(2, 64);
    keys.grant(990, "s", "i-0", &[]);
    let all = state(&keys);
    let mut next = Keys::recover(1000, 1000, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    hosts[0].silent = true;
    next.plan(1000, "s", &hosts, 4);
    assert!(next.expire(2020, "s").is_empty());
    let puts = next.expire(2030, "s");
    let fence = |v: &str| v.split(' ').next().unwrap().parse::<u64>().unwrap();
    let top = all.iter().map(|(_, v)| fence(v)).max().unwrap();
    assert!(puts.len() == 32 && puts.iter().all(|(_, v)| fence(v) > top), "fences rise over takeovers");
}

#[test]
fn a_handover_whose_old_host_dies_waits_and_whose_new_host_dies_goes_elsewhere() {
    let (mut keys, mut hosts) = laid(3, 96);
    let held = keys.grant(0, "s", "i-0", &[]);
    hosts[0].leaving = true;
    keys.plan(0, "s", &hosts, 96);
    keys.grant(10, "s", "i-0", &["i-1".into(), "i-2".into()]);
    hosts[1].silent = true;
    keys.plan(20, "s", &hosts, 96);
    let released: Vec<_> = held.iter().map(|g| (g.from, g.to, "t".to_string())).collect();
    let puts = keys.released("s", "i-0", &released);
    keys.apply(30, &puts);
    assert!(keys.tables["s"].rows.iter().all(|r| r.holder != "i-0"));
    keys.plan(40, "s", &hosts, 96);
    let puts = keys.expire(40, "s");
    keys.apply(40, &puts);
    assert!(keys.grant(50, "s", "i-2", &[]).iter().filter(|g| g.handover == "t").count() == held.len());
}

/// Hosts with slow clocks, lost answers, moves and takeovers by lot: no key is ever held by two.
#[test]
fn no_key_has_two_holders() {
    for seed in 0..150 {
        let mut luck = fastrand::Rng::with_seed(seed);
        let (mut keys, mut hosts) = laid(4, 64);
        // What each host holds: slice -> until, by the true clock.
        let mut held: Vec<BTreeMap<u32, u64>> = vec![BTreeMap::new(); 4];
        let mut told: Vec<Vec<(u32, u32, String)>> = vec![Vec::new(); 4];
        let mut now = 0;
        for _ in 0..400 {
            now += luck.u64(1..120);
            held.iter_mut().for_each(|h| h.retain(|_, until| *until > now));
            let h = luck.usize(0..4);
            let ident = format!("i-{h}");
            match luck.u8(0..10) {
                0 => hosts[h].leaving = !hosts[h].leaving,
                1 => hosts[h].silent = !hosts[h].silent,
                2 => {
                    let all = state(&keys);
                    keys = Keys::recover(1000, now, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
                }
                3 => {
                    keys.plan(now, "s", &hosts, 8);
                    let puts = keys.expire(now, "s");
                    keys.apply(now, &puts);
                }
                _ => {
                    let puts = keys.released("s", &ident, &told[h]);
                    keys.apply(now, &puts);
                    let back: Vec<String> =
                        (0..4).filter(|_| luck.bool()).map(|n| format!("i-{n}")).collect();
                    let rows = keys.grant(now, "s", &ident, &back);
                    if luck.u8(0..4) == 0 {
                        continue;
                    }
                    // The beat was sent up to now; the host's second lasts up to 1.02 of ours.
                    let until = now + 1000 * 102 / 100;
                    let old = std::mem::take(&mut held[h]);
                    held[h] = rows.iter().map(|g| (g.from, until)).collect();
                    told[h] = old
                        .into_keys()
                        .filter(|f| !held[h].contains_key(f))
                        .map(|f| (f, f + 1023, "t".into()))
                        .collect();
                }
            }
            for slice in (0..64).map(|n| n * 1024) {
                let holders = held.iter().filter(|h| h.get(&slice).is_some_and(|until| *until > now)).count();
                assert!(holders <= 1, "seed {seed}: slice {slice} has {holders} holders at {now}");
            }
        }
    }
}
