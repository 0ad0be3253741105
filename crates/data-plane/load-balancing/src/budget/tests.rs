//! Tests of the module `budget`.
use super::*;

/// Against a plain count of every try and request, in every window that ends with a try.
#[test]
fn no_window_holds_more_than_its_part() {
    let terms = BudgetSettings { ratio: 0.2, window: 10_000, extra: 56 };
    for seed in 0..40 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut budget, mut now) = (RetryBudget::default(), 0);
        let (mut requests, mut tries): (Vec<Ms>, Vec<Ms>) = (vec![], vec![]);
        for step in 0..4_000 {
            let crowd = if step / 500 % 2 == 0 { 2 } else { 300 };
            now += chance.u64(0..crowd);
            requests.push(now);
            budget.request(&terms, now);
            // Everything fails at times: each request asks for as many further tries as it may.
            while chance.u32(0..3) > 0 && budget.spend(&terms, 8, now) {
                tries.push(now);
            }
        }
        for (end, &last) in tries.iter().enumerate() {
            let inside = |at: &&Ms| **at + terms.window > last && **at <= last;
            let spent = tries[..=end].iter().filter(inside).count() as f64;
            let asked = requests.iter().filter(inside).count() as f64;
            assert!(spent <= 0.8 * terms.ratio * asked + 56.0 / 8.0, "seed {seed}: {spent} of {asked}");
        }
    }
}

#[test]
fn a_new_edge_has_nothing_extra_and_unknown_edges_none() {
    let terms = BudgetSettings { ratio: 0.0, window: 10_000, extra: 56 };
    let mut budget = RetryBudget::default();
    assert!(!budget.spend(&terms, 8, 0));
    assert!(budget.spend(&terms, 8, 3_000));
    assert!(!RetryBudget::default().spend(&terms, 0, 0));
}
