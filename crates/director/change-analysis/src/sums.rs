//! Weighted sums of calls, on the touched and on the untouched side.

/// Sums of weighted calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WeightedSum {
    calls: f64,
    lost: f64,
    squared_weights: f64,
}

impl WeightedSum {
    pub(crate) fn add(&mut self, weight: f64, calls: f64, lost: f64) {
        self.calls += weight * calls;
        self.lost += weight * lost;
        self.squared_weights += weight * weight * calls;
    }

    fn combined(self, other: WeightedSum) -> WeightedSum {
        WeightedSum {
            calls: self.calls + other.calls,
            lost: self.lost + other.lost,
            squared_weights: self.squared_weights + other.squared_weights,
        }
    }

    /// The number of calls of equal weight that have the same variance (Kish's effective sample size).
    pub(crate) fn effective_calls(&self) -> f64 {
        if self.squared_weights > 0.0 {
            self.calls * self.calls / self.squared_weights
        } else {
            0.0
        }
    }

    /// The weighted share of calls that were lost, 0 to 1.
    pub(crate) fn loss_rate(&self) -> f64 {
        self.lost / self.calls.max(1e-9)
    }
}

/// The same part of service on both sides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SideSums {
    pub(crate) touched: WeightedSum,
    pub(crate) untouched: WeightedSum,
}

impl SideSums {
    pub(crate) fn combined(self, other: SideSums) -> SideSums {
        SideSums {
            touched: self.touched.combined(other.touched),
            untouched: self.untouched.combined(other.untouched),
        }
    }

    /// The sum over all items, added in their order.
    pub(crate) fn total(items: &[SideSums]) -> SideSums {
        items.iter().fold(SideSums::default(), |sum, item| sum.combined(*item))
    }
}
