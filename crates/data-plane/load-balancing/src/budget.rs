//! The retry budget of a service, as in Finagle and linkerd: retries are limited to a ratio of the requests
//! in a sliding window, so that retries cannot multiply the load of a failing service.
//!
//! The budget applies to all edges together. Each edge keeps to its share: the ratio of the requests that it
//! received itself, and an even share of a fixed number of extra retries. The extra retries are a token
//! bucket that starts empty, so that an edge that restarts cannot spend its share twice.
use crate::Ms;
use std::collections::VecDeque;

/// Fraction of the configured ratio that an edge uses. The margin covers requests at the end of a window,
/// which other observers may count in the next window.
const USED_FRACTION_OF_RATIO: f64 = 0.8;
/// Number of buckets into which the requests and retries of a window are counted.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Length of the sliding window in ms.
    pub window_ms: Ms,
    /// Retries allowed in a window in addition to the ratio, for all edges together.
    pub extra_retries: f64,
}

/// Counts of one time bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The part of a service's retry budget that belongs to this edge.
///
/// ```
/// use coppersail_load_balancing::budget::{BudgetSettings, RetryBudget};
///
/// let mut budget = RetryBudget::default();
/// let settings = BudgetSettings { ratio: 0.2, window_ms: 10_000, extra_retries: 0.0 };
/// assert!(!budget.withdraw(&settings, 8, 0), "no request has been counted yet");
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
        // The bucket that is only partly inside the window is kept, because retries in it still count.
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS_PER_WINDOW < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("just pushed")
    }

    /// Counts a request, which adds to the budget. Its retries must not be counted.
    pub fn deposit(&mut self, settings: &BudgetSettings, now: Ms) {
        self.current_bucket(settings, now).requests += 1;
    }

    /// Withdraws one retry and returns whether the budget allowed it. `edge_count` is the largest number of
    /// edges known so far, 0 if unknown.
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

    /// The token bucket holds at most half of this edge's share and refills by the other half over one
    /// window, so that no window contains more extra retries than the share.
    fn withdraw_from_extra(&mut self, settings: &BudgetSettings, edge_count: u32, now: Ms) -> bool {
        let share = if edge_count == 0 { 0.0 } else { settings.extra_retries / f64::from(edge_count) };
        let elapsed = now - self.extra_refilled_at.replace(now).unwrap_or(now);
        let refill = share / 2.0 * elapsed as f64 / settings.window_ms.max(1) as f64;
        self.extra_tokens = (self.extra_tokens + refill).min(share / 2.0);
        let allowed = self.extra_tokens >= 1.0;
        self.extra_tokens -= if allowed { 1.0 } else { 0.0 };
        allowed
    }
}

#[cfg(test)]
mod tests;
