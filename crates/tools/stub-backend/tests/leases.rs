//! Leases by themselves, and against a plain table.
use coppersail_stub_backend::{LeaseGrant, LeasedRanges};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn grant(from: u32, to: u32, fencing_token: u64) -> LeaseGrant {
    LeaseGrant { from, to, fencing_token, handover: String::new() }
}

#[test]
fn an_expired_lease_starts_no_request() {
    let mut leases = LeasedRanges::default();
    assert!(!leases.start_request(at(0), 1, 7));
    leases.apply_grants(at(0), at(0), at(4000), &[grant(0, 99, 3)]);
    assert!(leases.start_request(at(1000), 1, 7) && leases.finish_request(at(2000), 1));
    assert!(!leases.start_request(at(4000), 2, 7), "the lease has expired");
}

/// Ranges against a plain table of single keys, over random responses.
#[test]
fn leased_ranges_agree_with_a_table_of_single_keys() {
    #[derive(Clone, Copy, Default, PartialEq, Debug)]
    struct Key {
        highest_token: u64,
        expires_at: u64,
        fencing_token: u64,
        draining: bool,
    }
    const KEYS: usize = 24;
    let mut random = fastrand::Rng::with_seed(4);
    for _ in 0..400 {
        let (mut leases, mut plain) = (LeasedRanges::default(), [Key::default(); KEYS]);
        for step in 1..30u64 {
            let now = step * 10;
            let mut grants: Vec<LeaseGrant> = Vec::new();
            let mut from = random.u32(0..6);
            while from < KEYS as u32 {
                let to = (from + random.u32(0..8)).min(KEYS as u32 - 1);
                grants.push(grant(from, to, random.u64(1..4 + step)));
                from = to + 1 + random.u32(0..5);
            }
            let lease_duration = random.u64(5..60);
            leases.apply_grants(at(now), at(now - 5), at(lease_duration), &grants);
            let before = plain;
            let is_current = |grant: &LeaseGrant| {
                (grant.from..=grant.to).all(|k| before[k as usize].highest_token <= grant.fencing_token)
            };
            for (k, key) in plain.iter_mut().enumerate() {
                match grants.iter().find(|grant| (grant.from..=grant.to).contains(&(k as u32))) {
                    Some(grant) if is_current(grant) => {
                        *key = Key {
                            highest_token: grant.fencing_token,
                            expires_at: now - 5 + lease_duration,
                            fencing_token: grant.fencing_token,
                            draining: false,
                        }
                    }
                    Some(_) => {}
                    // Nothing runs, so what is missing is released at once.
                    None => key.expires_at = 0,
                }
            }
            let reported = leases.report(at(now)).leases;
            for (k, key) in plain.iter().enumerate() {
                let in_force: Vec<_> =
                    reported.iter().filter(|lease| (lease.from..=lease.to).contains(&(k as u32))).collect();
                let expected = (key.expires_at > now).then_some(key.fencing_token);
                assert_eq!(
                    in_force.iter().map(|lease| lease.fencing_token).collect::<Vec<_>>(),
                    Vec::from_iter(expected),
                    "{k} {reported:?}"
                );
            }
        }
    }
}
