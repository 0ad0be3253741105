//! Shares and their lease at an edge.
use super::BODY;
use crate::{RolloutCommand, RolloutState, Variant, VariantSelector};

#[test]
fn a_partitioned_edge_falls_back_when_its_lease_expires() {
    let full = BODY.replace("0.5", "1").replace("0.05", "0.9");
    let running = RolloutState::submit("p", &full, None).unwrap();
    let mut selector = VariantSelector::default();
    selector.apply(&running);
    selector.renew_lease(1_000);
    let on_new_version = |selector: &VariantSelector, now| {
        (0..100u32)
            .filter(|n| selector.choose(now, "a", "r", &n.to_le_bytes()).unwrap().variant == Variant::New)
            .count()
    };
    assert!(on_new_version(&selector, 3_400) > 70);
    assert_eq!(on_new_version(&selector, 3_500), 0, "the lease has expired");
    let paused = running.apply_command(0, RolloutCommand::Pause, "").unwrap().unwrap();
    selector.apply(&paused);
    selector.renew_lease(60_000);
    assert_eq!(on_new_version(&selector, 60_001), 0);
    let resumed = paused.apply_command(0, RolloutCommand::Resume, "").unwrap().unwrap();
    selector.apply(&resumed);
    assert!(on_new_version(&selector, 60_002) > 70);
    selector.stop("p", resumed.number);
    assert_eq!(on_new_version(&selector, 60_003), 0, "the edge stopped the new version by its own evidence");
}

#[test]
fn shares_grow_as_supersets() {
    let position = |n: u32| crate::share::position("a", "p", &n.to_le_bytes());
    let within = |share: f64| (0..5_000u32).filter(|n| position(*n) < share).collect::<Vec<_>>();
    let (few, many) = (within(0.05), within(0.25));
    assert!(few.iter().all(|n| many.contains(n)) && (200..300).contains(&few.len()), "{}", few.len());
}
