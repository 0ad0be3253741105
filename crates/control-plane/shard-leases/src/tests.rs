//! Rows that pass on: by release, by time, over takeovers; and by lot, against what hosts could hold.
use super::*;

fn hosts(n: u64) -> Vec<Candidate> {
    (0..n).map(|i| Candidate::new(&format!("i-{i}"), i)).collect()
}

fn laid(n: u64, slices: u32) -> (LeaseTable, Vec<Candidate>) {
    let (mut keys, hosts) = (LeaseTable::new(1000), hosts(n));
    let puts = keys.assign_initially(0, "s", slices, slices, &hosts);
    keys.apply(0, &puts);
    (keys, hosts)
}

fn state(keys: &LeaseTable) -> Vec<Write> {
    let rows = keys.tables["s"].rows.iter().enumerate();
    rows.map(|(n, r)| (row_name("s", n), format!("{} {} {}", r.fence, r.holder, r.handover))).collect()
}

#[test]
fn a_row_passes_on_by_release_with_its_handover_and_a_higher_fence() {
    let (mut keys, mut hosts) = laid(2, 64);
    let before = keys.renew(0, "s", "i-0", &[], 5000);
    hosts[0].draining = true;
    keys.plan(5, "s", &hosts, 4, true);
    let left = keys.renew(10, "s", "i-0", &["i-1".into()], 5000);
    assert!(left.is_empty(), "all that is to go is left out once its new holder can be told");
    assert!(keys.release("s", "i-1", &[(0, 65535, "x".into())]).is_empty(), "only its holder may release");
    let puts = keys.release("s", "i-0", &[(before[0].from, before[0].to, "token".into())]);
    assert_eq!(puts.len(), 1);
    keys.apply(20, &puts);
    let got = keys.renew(20, "s", "i-1", &[], 5000);
    let row = got.iter().find(|g| g.from == before[0].from).unwrap();
    assert_eq!((row.handover.as_str(), row.fencing_token > before[0].fencing_token), ("token", true));
}

#[test]
fn a_silent_holder_keeps_its_rows_until_its_slow_clock_has_run_out() {
    let (mut keys, mut hosts) = laid(2, 64);
    keys.renew(100, "s", "i-0", &[], 5000);
    hosts[0].suspect = true;
    keys.plan(500, "s", &hosts, 4, true);
    assert!(keys.expire(100 + 1020, "s").is_empty(), "its clock may be 2% slow");
    let puts = keys.expire(100 + 1030, "s");
    assert_eq!(puts.len(), 32);
    keys.apply(1130, &puts);
    assert_eq!(keys.renew(1130, "s", "i-1", &[], 5000).len(), 64);
}

#[test]
fn a_takeover_waits_out_what_an_earlier_primary_may_have_renewed() {
    let (mut keys, mut hosts) = laid(2, 64);
    keys.renew(990, "s", "i-0", &[], 5000);
    let all = state(&keys);
    let mut next = LeaseTable::recover(1000, 1000, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    hosts[0].suspect = true;
    next.plan(1000, "s", &hosts, 4, true);
    assert!(next.expire(2020, "s").is_empty());
    let puts = next.expire(2030, "s");
    let fence = |v: &str| v.split(' ').next().unwrap().parse::<u64>().unwrap();
    let top = all.iter().map(|(_, v)| fence(v)).max().unwrap();
    assert!(puts.len() == 32 && puts.iter().all(|(_, v)| fence(v) > top), "fences rise over takeovers");
}

#[test]
fn a_handover_whose_old_host_dies_waits_and_whose_new_host_dies_goes_elsewhere() {
    let (mut keys, mut hosts) = laid(3, 96);
    let held = keys.renew(0, "s", "i-0", &[], 5000);
    hosts[0].draining = true;
    keys.plan(0, "s", &hosts, 96, true);
    keys.renew(10, "s", "i-0", &["i-1".into(), "i-2".into()], 5000);
    hosts[1].suspect = true;
    keys.plan(20, "s", &hosts, 96, true);
    let released: Vec<_> = held.iter().map(|g| (g.from, g.to, "t".to_string())).collect();
    let puts = keys.release("s", "i-0", &released);
    keys.apply(30, &puts);
    assert!(keys.tables["s"].rows.iter().all(|r| r.holder != "i-0"));
    keys.plan(40, "s", &hosts, 96, true);
    let puts = keys.expire(40, "s");
    keys.apply(40, &puts);
    assert!(keys.renew(50, "s", "i-2", &[], 5000).iter().filter(|g| g.handover == "t").count() == held.len());
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
                0 => hosts[h].draining = !hosts[h].draining,
                1 => hosts[h].suspect = !hosts[h].suspect,
                2 => {
                    let all = state(&keys);
                    keys = LeaseTable::recover(1000, now, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
                }
                3 => {
                    keys.plan(now, "s", &hosts, 8, luck.bool());
                    let puts = keys.expire(now, "s");
                    keys.apply(now, &puts);
                }
                _ => {
                    let puts = keys.release("s", &ident, &told[h]);
                    keys.apply(now, &puts);
                    let back: Vec<String> =
                        (0..4).filter(|_| luck.bool()).map(|n| format!("i-{n}")).collect();
                    let rows = keys.renew(now, "s", &ident, &back, 300);
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

#[test]
fn rows_of_a_host_that_goes_while_they_wait_to_be_asked_for_pass_on_by_time() {
    let (mut keys, mut hosts) = laid(3, 96);
    keys.renew(0, "s", "i-0", &[], 5000);
    hosts[0].draining = true;
    keys.plan(0, "s", &hosts, 96, true);
    // Its new holder's beat is not due, so it is not asked yet; then it signs off.
    assert_eq!(keys.renew(10, "s", "i-0", &[], 5000).len(), 32);
    let left = &hosts[1..];
    keys.plan(20, "s", left, 96, true);
    let puts = keys.expire(2000, "s");
    assert_eq!(puts.len(), 32);
}

#[test]
fn a_new_primary_gives_hosts_the_time_to_beat() {
    let (mut keys, hosts) = laid(3, 96);
    keys.plan(0, "s", &hosts[..1], 96, false);
    assert!(keys.expire(5000, "s").is_empty(), "not heard yet is not gone");
    keys.plan(0, "s", &hosts[..1], 96, true);
    assert_eq!(keys.expire(5000, "s").len(), 64);
}

#[test]
fn an_answer_never_grows_past_what_a_host_takes() {
    let (mut keys, mut hosts) = laid(2, 512);
    hosts[0].suspect = true;
    keys.plan(0, "s", &hosts, 512, true);
    let puts = keys.expire(5000, "s");
    keys.apply(5000, &puts);
    let text =
        |g: &LeaseGrant| format!("[{},{},{},\"{}\"],", g.from, g.to, g.fencing_token, g.handover).len();
    let bytes: usize = keys.renew(5000, "s", "i-1", &[], 5000).iter().map(text).sum();
    assert!((3000..3900).contains(&bytes), "{bytes}");
}

#[test]
fn a_busy_stretch_of_keys_is_cut_and_spread_though_counts_are_even() {
    let (mut keys, hosts) = (LeaseTable::new(1000), hosts(4));
    let puts = keys.assign_initially(0, "s", 1024, 128, &hosts);
    keys.apply(0, &puts);
    hosts.iter().for_each(|h| drop(keys.renew(0, "s", &h.id, &[], 0)));
    // Half of all requests go to the eight rows of one piece, the rest everywhere.
    let counts: Vec<(u32, u32)> = (0..1024).map(|n| (n, if n < 8 { 128 } else { 1 })).collect();
    keys.record_requests("s", &counts);
    for round in 0..60 {
        let now = round * 10;
        keys.plan(now, "s", &hosts, 16, true);
        for host in &hosts {
            let held = keys.tables["s"].rows.iter().enumerate();
            let gone: Vec<_> = held.filter(|(_, r)| r.holder == host.id && r.wanted.is_some()).collect();
            let gone: Vec<_> =
                gone.iter().map(|(n, _)| (*n as u32 * 64, *n as u32 * 64 + 63, "t".into())).collect();
            keys.renew(now, "s", &host.id, &[], 0);
            let puts = keys.release("s", &host.id, &gone);
            keys.apply(now, &puts);
        }
    }
    let load = |ident: &str| {
        let rows = keys.tables["s"].rows.iter().enumerate().filter(|(_, r)| r.holder == ident);
        rows.map(|(n, _)| counts[n].1).sum::<u32>()
    };
    let loads: Vec<u32> = hosts.iter().map(|h| load(&h.id)).collect();
    assert!(loads.iter().all(|l| (350..=700).contains(l)), "{loads:?}");
}
