//! Who is in which share: a place on a line that the client's or session's name alone decides, the same on every edge
//! and in every process. A share is the line's beginning, so that it grows as a superset of itself.

/// The place of a member, from 0 up to 1. Plans on other services or with other names have other first members.
///
/// ```
/// let place = |who: &str| coppersail_rollout::share::place("ledger", "friday", who.as_bytes());
/// assert_eq!(place("10.1.2.3"), place("10.1.2.3"));
/// let within = |share: f64| (0..10_000).filter(|n| place(&n.to_string()) < share).count();
/// assert!((400..600).contains(&within(0.05)) && within(1.0) == 10_000);
/// ```
pub fn place(service: &str, plan: &str, member: &[u8]) -> f64 {
    let salt = service.bytes().chain([0]).chain(plan.bytes()).chain([0]);
    let mixed = salt
        .chain(member.iter().copied())
        .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    // The fold's upper bits know little of the last bytes; two rounds of multiplying spread them.
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    ((mixed ^ (mixed >> 32)) >> 11) as f64 / (1u64 << 53) as f64
}
