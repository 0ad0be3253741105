//! The budget of further tries, one for each service.
//!
//! Each edge keeps to its own part: what the requests that it has seen allow in the same window, and an even part of
//! the fixed extra, as a bucket that is empty at first, so that an edge that restarts cannot spend its part twice.
use crate::Ms;
use std::collections::VecDeque;

/// Of the ratio; requests that come late in a window may be counted by others in the next.
const USED_PART: f64 = 0.8;
/// Spans that a window is counted in.
const SPANS: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    pub ratio: f64,
    pub window: Ms,
    pub extra: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Span {
    at: u64,
    requests: u32,
    tries: u32,
}

/// ```
/// use coppersail_load_balancing::budget::{Budget, Terms};
/// let mut budget = Budget::default();
/// let terms = Terms { ratio: 0.2, window: 10_000, extra: 0 };
/// assert!(!budget.spend(&terms, 8, 0), "nothing has been asked for yet");
/// (0..10).for_each(|_| budget.request(&terms, 0));
/// assert!(budget.spend(&terms, 8, 1) && !budget.spend(&terms, 8, 2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    spans: VecDeque<Span>,
    tokens: f64,
    filled: Option<Ms>,
}

impl RetryBudget {
    fn span(&mut self, terms: &BudgetSettings, now: Ms) -> &mut Span {
        let at = now / (terms.window / SPANS).max(1);
        // The span that is only partly inside stays: tries in it still count.
        while self.spans.front().is_some_and(|span| span.at + SPANS < at) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|span| span.at < at) {
            self.spans.push_back(Span { at, ..Span::default() });
        }
        self.spans.back_mut().expect("just pushed")
    }

    pub fn request(&mut self, terms: &BudgetSettings, now: Ms) {
        self.span(terms, now).requests += 1;
    }

    /// Takes one further try, if there is one. `edges` is the most that were ever seen; 0 is unknown.
    pub fn spend(&mut self, terms: &BudgetSettings, edges: u32, now: Ms) -> bool {
        let at = self.span(terms, now).at;
        let requests: u32 =
            self.spans.iter().filter(|span| span.at + SPANS > at).map(|span| span.requests).sum();
        let tries: u32 = self.spans.iter().map(|span| span.tries).sum();
        if f64::from(tries + 1) <= USED_PART * terms.ratio * f64::from(requests) {
            self.span(terms, now).tries += 1;
            return true;
        }
        let part = if edges == 0 { 0.0 } else { f64::from(terms.extra) / f64::from(edges) };
        // Half at once and half spread over the window: never more than the part in any window.
        let since = now - self.filled.replace(now).unwrap_or(now);
        let grown = part / 2.0 * since as f64 / terms.window.max(1) as f64;
        self.tokens = (self.tokens + grown).min(part / 2.0);
        let spent = self.tokens >= 1.0;
        self.tokens -= if spent { 1.0 } else { 0.0 };
        spent
    }
}

#[cfg(test)]
mod tests;
