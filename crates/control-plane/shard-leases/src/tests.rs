//! Transfers by release, by expiry and over changes of the leader, also at random, compared with what
//! endpoints may believe that they own.
use super::*;
use std::collections::BTreeMap;

fn endpoints(n: u64) -> Vec<Candidate> {
    (0..n).map(|i| Candidate::new(&format!("i-{i}"), i)).collect()
}

fn assigned(n: u64, slices: u32) -> (LeaseTable, Vec<Candidate>) {
    let (mut leases, endpoints) = (LeaseTable::new(1000), endpoints(n));
    let writes = leases.assign_initially(0, "s", slices, slices, &endpoints);
    leases.apply(0, &writes);
    (leases, endpoints)
}

fn released(from: u32, to: u32, handover: &str) -> ReleasedRange {
    ReleasedRange { from, to, handover: handover.into() }
}

fn state(leases: &LeaseTable) -> Vec<Write> {
    let rows = leases.services["s"].leases.iter().enumerate();
    rows.map(|(n, r)| (stored::key("s", n), stored::value(r.fencing_token, &r.owner, &r.handover))).collect()
}

#[test]
fn a_released_slice_is_transferred_with_its_handover_and_a_higher_fencing_token() {
    let (mut leases, mut endpoints) = assigned(2, 64);
    let before = leases.renew(0, "s", "i-0", &[], 5000);
    endpoints[0].draining = true;
    leases.plan_transfers(5, "s", &endpoints, 4, true);
    let left = leases.renew(10, "s", "i-0", &["i-1".into()], 5000);
    assert!(left.is_empty(), "what is to be transferred is left out once its target can be granted it");
    assert!(leases.release("s", "i-1", &[released(0, 65535, "x")]).is_empty(), "only the owner may release");
    let writes = leases.release("s", "i-0", &[released(before[0].from, before[0].to, "token")]);
    assert_eq!(writes.len(), 1);
    leases.apply(20, &writes);
    let got = leases.renew(20, "s", "i-1", &[], 5000);
    let row = got.iter().find(|g| g.from == before[0].from).unwrap();
    assert_eq!((row.handover.as_str(), row.fencing_token > before[0].fencing_token), ("token", true));
}

#[test]
fn a_suspect_owner_keeps_its_leases_until_they_expire_by_its_slow_clock() {
    let (mut leases, mut endpoints) = assigned(2, 64);
    leases.renew(100, "s", "i-0", &[], 5000);
    endpoints[0].suspect = true;
    leases.plan_transfers(500, "s", &endpoints, 4, true);
    assert!(leases.expire(100 + 1020, "s").is_empty(), "its clock may be 2% slow");
    let writes = leases.expire(100 + 1030, "s");
    assert_eq!(writes.len(), 32);
    leases.apply(1130, &writes);
    assert_eq!(leases.renew(1130, "s", "i-1", &[], 5000).len(), 64);
}

#[test]
fn a_new_leader_waits_for_what_an_earlier_leader_may_have_renewed() {
    let (mut leases, mut endpoints) = assigned(2, 64);
    leases.renew(990, "s", "i-0", &[], 5000);
    let all = state(&leases);
    let mut next = LeaseTable::recover(1000, 1000, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    endpoints[0].suspect = true;
    next.plan_transfers(1000, "s", &endpoints, 4, true);
    assert!(next.expire(2020, "s").is_empty());
    let writes = next.expire(2030, "s");
    let token = |v: &str| v.split(' ').next().unwrap().parse::<u64>().unwrap();
    let top = all.iter().map(|(_, v)| token(v)).max().unwrap();
    assert!(
        writes.len() == 32 && writes.iter().all(|(_, v)| token(v) > top),
        "fencing tokens rise over changes of the leader"
    );
}

#[test]
fn a_handover_survives_the_loss_of_its_target_and_goes_to_another_endpoint() {
    let (mut leases, mut endpoints) = assigned(3, 96);
    let owned = leases.renew(0, "s", "i-0", &[], 5000);
    endpoints[0].draining = true;
    leases.plan_transfers(0, "s", &endpoints, 96, true);
    leases.renew(10, "s", "i-0", &["i-1".into(), "i-2".into()], 5000);
    endpoints[1].suspect = true;
    leases.plan_transfers(20, "s", &endpoints, 96, true);
    let ranges: Vec<_> = owned.iter().map(|g| released(g.from, g.to, "t")).collect();
    let writes = leases.release("s", "i-0", &ranges);
    leases.apply(30, &writes);
    assert!(leases.services["s"].leases.iter().all(|r| r.owner != "i-0"));
    leases.plan_transfers(40, "s", &endpoints, 96, true);
    let writes = leases.expire(40, "s");
    leases.apply(40, &writes);
    assert!(
        leases.renew(50, "s", "i-2", &[], 5000).iter().filter(|g| g.handover == "t").count() == owned.len()
    );
}

/// Endpoints with slow clocks, lost answers, transfers and new leaders at random: no key ever has two owners.
#[test]
fn no_key_has_two_owners() {
    for seed in 0..150 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut leases, mut endpoints) = assigned(4, 64);
        // The slices that each endpoint believes it owns: first key -> expiry, by the true clock.
        let mut owned: Vec<BTreeMap<u32, u64>> = vec![BTreeMap::new(); 4];
        let mut to_release: Vec<Vec<ReleasedRange>> = vec![Vec::new(); 4];
        let mut now = 0;
        for _ in 0..400 {
            now += random.u64(1..120);
            owned.iter_mut().for_each(|slices| slices.retain(|_, expiry| *expiry > now));
            let index = random.usize(0..4);
            let id = format!("i-{index}");
            match random.u8(0..10) {
                0 => endpoints[index].draining = !endpoints[index].draining,
                1 => endpoints[index].suspect = !endpoints[index].suspect,
                2 => {
                    let all = state(&leases);
                    leases =
                        LeaseTable::recover(1000, now, all.iter().map(|(n, v)| (n.as_str(), v.as_str())));
                }
                3 => {
                    leases.plan_transfers(now, "s", &endpoints, 8, random.bool());
                    let writes = leases.expire(now, "s");
                    leases.apply(now, &writes);
                }
                _ => {
                    let writes = leases.release("s", &id, &to_release[index]);
                    leases.apply(now, &writes);
                    let reachable: Vec<String> =
                        (0..4).filter(|_| random.bool()).map(|n| format!("i-{n}")).collect();
                    let grants = leases.renew(now, "s", &id, &reachable, 300);
                    if random.u8(0..4) == 0 {
                        continue;
                    }
                    // The heartbeat was sent up to now; the endpoint's second lasts up to 1.02 of ours.
                    let expiry = now + 1000 * 102 / 100;
                    let old = std::mem::take(&mut owned[index]);
                    owned[index] = grants.iter().map(|grant| (grant.from, expiry)).collect();
                    to_release[index] = old
                        .into_keys()
                        .filter(|first| !owned[index].contains_key(first))
                        .map(|first| released(first, first + 1023, "t"))
                        .collect();
                }
            }
            for slice in (0..64).map(|n| n * 1024) {
                let owners = owned
                    .iter()
                    .filter(|slices| slices.get(&slice).is_some_and(|expiry| *expiry > now))
                    .count();
                assert!(owners <= 1, "seed {seed}: slice {slice} has {owners} owners at {now}");
            }
        }
    }
}

#[test]
fn leases_of_an_endpoint_that_is_removed_before_it_was_asked_to_release_expire() {
    let (mut leases, mut endpoints) = assigned(3, 96);
    leases.renew(0, "s", "i-0", &[], 5000);
    endpoints[0].draining = true;
    leases.plan_transfers(0, "s", &endpoints, 96, true);
    // The heartbeat of the target is not due, so the owner is not asked to release yet; then the owner is
    // removed.
    assert_eq!(leases.renew(10, "s", "i-0", &[], 5000).len(), 32);
    let left = &endpoints[1..];
    leases.plan_transfers(20, "s", left, 96, true);
    let writes = leases.expire(2000, "s");
    assert_eq!(writes.len(), 32);
}

#[test]
fn a_new_leader_waits_for_the_first_heartbeat_of_an_owner() {
    let (mut leases, endpoints) = assigned(3, 96);
    leases.plan_transfers(0, "s", &endpoints[..1], 96, false);
    assert!(leases.expire(5000, "s").is_empty(), "an owner that has not reported yet is not gone");
    leases.plan_transfers(0, "s", &endpoints[..1], 96, true);
    assert_eq!(leases.expire(5000, "s").len(), 64);
}

#[test]
fn the_grants_of_an_answer_stay_within_the_size_that_an_endpoint_reads() {
    let (mut leases, mut endpoints) = assigned(2, 512);
    endpoints[0].suspect = true;
    leases.plan_transfers(0, "s", &endpoints, 512, true);
    let writes = leases.expire(5000, "s");
    leases.apply(5000, &writes);
    let text =
        |g: &LeaseGrant| format!("[{},{},{},\"{}\"],", g.from, g.to, g.fencing_token, g.handover).len();
    let bytes: usize = leases.renew(5000, "s", "i-1", &[], 5000).iter().map(text).sum();
    assert!((3000..3900).contains(&bytes), "{bytes}");
}

#[test]
fn a_busy_range_is_split_and_spread_though_the_counts_of_slices_are_even() {
    let (mut leases, endpoints) = (LeaseTable::new(1000), endpoints(4));
    let writes = leases.assign_initially(0, "s", 1024, 128, &endpoints);
    leases.apply(0, &writes);
    endpoints.iter().for_each(|h| drop(leases.renew(0, "s", &h.id, &[], 0)));
    // Half of all requests go to the eight slices of one range, the others to all slices.
    let counts: Vec<(u32, u32)> = (0..1024).map(|n| (n, if n < 8 { 128 } else { 1 })).collect();
    leases.record_requests("s", &counts);
    for round in 0..60 {
        let now = round * 10;
        leases.plan_transfers(now, "s", &endpoints, 16, true);
        for host in &endpoints {
            let owned = leases.services["s"].leases.iter().enumerate();
            let moving: Vec<_> = owned.filter(|(_, r)| r.owner == host.id && r.target.is_some()).collect();
            let moving: Vec<_> =
                moving.iter().map(|(n, _)| released(*n as u32 * 64, *n as u32 * 64 + 63, "t")).collect();
            leases.renew(now, "s", &host.id, &[], 0);
            let writes = leases.release("s", &host.id, &moving);
            leases.apply(now, &writes);
        }
    }
    let load = |id: &str| {
        let rows = leases.services["s"].leases.iter().enumerate().filter(|(_, r)| r.owner == id);
        rows.map(|(n, _)| counts[n].1).sum::<u32>()
    };
    let loads: Vec<u32> = endpoints.iter().map(|h| load(&h.id)).collect();
    assert!(loads.iter().all(|l| (350..=700).contains(l)), "{loads:?}");
}
