//! Which members (sessions or clients) are in which share: a position that the member's name alone decides, the same on
//! every edge, in every process and of every build. A share is the beginning of the line of positions, so that it grows
//! as a superset of itself and no member changes back.

/// FNV-1a, 64 bits: offset basis and prime.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// The multiplier of the finalizer, an odd constant.
const FINALIZER: u64 = 0xd6e8_feb8_6659_fd93;
/// Bits that a floating-point number in [0, 1) holds exactly.
const POSITION_BITS: u32 = 53;

/// The position of a member, from 0 up to 1. Plans on other services or with other names begin with other members.
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
    // The upper bits of FNV-1a depend little on the last bytes; two rounds of multiplying spread them.
    let hash = (hash ^ (hash >> 32)).wrapping_mul(FINALIZER);
    let hash = (hash ^ (hash >> 32)).wrapping_mul(FINALIZER);
    ((hash ^ (hash >> 32)) >> (u64::BITS - POSITION_BITS)) as f64 / (1u64 << POSITION_BITS) as f64
}
