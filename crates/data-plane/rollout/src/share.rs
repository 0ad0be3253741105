//! Which members (sessions or clients) belong to a share. Each member has a position in [0, 1) that depends only on the
//! service, the plan and the member's name, so that it is the same on every edge and in every build. A share contains
//! all positions below it: a larger share is a superset of a smaller one, and no member changes back as it grows.

/// FNV-1a, 64 bits: offset basis and prime.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// The odd multiplier of the finalizer.
const FINALIZER: u64 = 0xd6e8_feb8_6659_fd93;
/// Bits of an `f64`'s significand: so many random bits give an exact number in [0, 1).
const POSITION_BITS: u32 = 53;

/// The position of a member, in [0, 1). Service and plan are hashed too, so that different plans begin with different
/// members.
///
/// ```
/// let position = |who: &str| coppersail_rollout::share::position("ledger", "friday", who.as_bytes());
/// assert_eq!(position("10.1.2.3"), position("10.1.2.3"));
/// let within = |share: f64| (0..10_000).filter(|n| position(&n.to_string()) < share).count();
/// assert!((400..600).contains(&within(0.05)) && within(1.0) == 10_000);
/// ```
pub fn position(service: &str, plan: &str, member: &[u8]) -> f64 {
    let salt = service.bytes().chain([0]).chain(plan.bytes()).chain([0]);
    let hash = salt
        .chain(member.iter().copied())
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // The upper bits of FNV-1a depend little on the last bytes; two rounds of multiplication mix them.
    let hash = (hash ^ (hash >> 32)).wrapping_mul(FINALIZER);
    let hash = (hash ^ (hash >> 32)).wrapping_mul(FINALIZER);
    ((hash ^ (hash >> 32)) >> (u64::BITS - POSITION_BITS)) as f64 / (1u64 << POSITION_BITS) as f64
}
