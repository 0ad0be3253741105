//! The retry budget of a service, as in Finagle and linkerd: retries are limited to a ratio of the requests in a window,
//! so that they cannot multiply the load of a service that fails.
//!
//! The budget is that of all edges together. Each keeps to its share: the ratio of the requests that it has seen itself,
//! and an even share of the fixed extra. The extra is a token bucket that is empty at first, so that an edge that
//! restarts cannot spend its share twice.
use crate::Ms;
use std::collections::VecDeque;

/// Fraction of the ratio that is used; requests that arrive late in a window may be counted by others in the next.
const USED_FRACTION_OF_RATIO: f64 = 0.8;
/// A window is counted in so many buckets.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window in ms.
    pub window_ms: Ms,
    /// Retries in a window beyond the ratio, of all edges together.
    pub extra_retries: f64,
}

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// ```
/// use coppersail_load_balancing::budget::{BudgetSettings, RetryBudget};
///
/// let mut budget = RetryBudget::default();
/// let settings = BudgetSettings { ratio: 0.2, window_ms: 10_000, extra_retries: 0.0 };
/// assert!(!budget.withdraw(&settings, 8, 0), "there was no request yet");
/// (0..10).for_each(|_| budget.deposit(&settings, 0));
/// assert!(budget.withdraw(&settings, 8, 1) && !budget.withdraw(&settings, 8, 2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    extra_tokens: f64,
    extra_refilled_at: Option<Ms>,
}

impl RetryBudget {
    fn current_bucket(&mut self, settings: &BudgetSettings, now: Ms) -> &mut Bucket {
        let index = now / (settings.window_ms / BUCKETS_PER_WINDOW).max(1);
        // The bucket that is only partly inside the window stays: retries in it still count.
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS_PER_WINDOW < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("just pushed")
    }

    /// Counts a request, which adds to the budget; its retries do not.
    pub fn deposit(&mut self, settings: &BudgetSettings, now: Ms) {
        self.current_bucket(settings, now).requests += 1;
    }

    /// Takes one retry, if there is one. `edge_count` is the most edges that were ever known; 0 if unknown.
    pub fn withdraw(&mut self, settings: &BudgetSettings, edge_count: u32, now: Ms) -> bool {
        self.withdraw_from_ratio(settings, now) || self.withdraw_from_extra(settings, edge_count, now)
    }

    fn withdraw_from_ratio(&mut self, settings: &BudgetSettings, now: Ms) -> bool {
        let index = self.current_bucket(settings, now).index;
        let in_window = |bucket: &&Bucket| bucket.index + BUCKETS_PER_WINDOW > index;
        let requests: u32 = self.buckets.iter().filter(in_window).map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(retries + 1) <= USED_FRACTION_OF_RATIO * settings.ratio * f64::from(requests);
        if allowed {
            self.current_bucket(settings, now).retries += 1;
        }
        allowed
    }

    /// Half of this edge's share at once and half spread over the window: never more than the share in any window.
    fn withdraw_from_extra(&mut self, settings: &BudgetSettings, edge_count: u32, now: Ms) -> bool {
        let share = if edge_count == 0 { 0.0 } else { settings.extra_retries / f64::from(edge_count) };
        let elapsed = now - self.extra_refilled_at.replace(now).unwrap_or(now);
        let refill = share / 2.0 * elapsed as f64 / settings.window_ms.max(1) as f64;
        self.extra_tokens = (self.extra_tokens + refill).min(share / 2.0);
        let spent = self.extra_tokens >= 1.0;
        self.extra_tokens -= if spent { 1.0 } else { 0.0 };
        spent
    }
}

#[cfg(test)]
mod tests;
