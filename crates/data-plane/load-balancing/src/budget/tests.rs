//! Tests of the retry budget's limits.
use super::*;

/// Compares the budget with a direct count of all requests and retries, in every window that ends with a
/// retry.
#[test]
fn no_window_holds_more_retries_than_the_share_of_an_edge() {
    let settings = BudgetSettings { ratio: 0.2, window_ms: 10_000, extra_retries: 56.0 };
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut budget, mut now) = (RetryBudget::default(), 0);
        let (mut requests, mut retries): (Vec<Ms>, Vec<Ms>) = (vec![], vec![]);
        for step in 0..4_000 {
            let max_gap = if step / 500 % 2 == 0 { 2 } else { 300 };
            now += random.u64(0..max_gap);
            requests.push(now);
            budget.deposit(&settings, now);
            // Each request withdraws a random number of retries, as when every attempt fails.
            while random.u32(0..3) > 0 && budget.withdraw(&settings, 8, now) {
                retries.push(now);
            }
        }
        for (end, &last) in retries.iter().enumerate() {
            let inside = |at: &&Ms| **at + settings.window_ms > last && **at <= last;
            let spent = retries[..=end].iter().filter(inside).count() as f64;
            let seen = requests.iter().filter(inside).count() as f64;
            assert!(spent <= 0.8 * settings.ratio * seen + 56.0 / 8.0, "seed {seed}: {spent} of {seen}");
        }
    }
}

#[test]
fn a_restarted_edge_gets_no_immediate_extra_retry_and_none_while_the_edge_count_is_unknown() {
    let settings = BudgetSettings { ratio: 0.0, window_ms: 10_000, extra_retries: 56.0 };
    let mut budget = RetryBudget::default();
    assert!(!budget.withdraw(&settings, 8, 0));
    assert!(budget.withdraw(&settings, 8, 3_000));
    assert!(!RetryBudget::default().withdraw(&settings, 0, 0));
}
