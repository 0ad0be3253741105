//! Inclusive ranges of the keys into which a sharded service is divided.

/// The highest key; the key space is 0 to 65535.
pub const MAX_KEY: u32 = 65535;

/// The keys `from` to `to`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyRange {
    pub(crate) from: u32,
    pub(crate) to: u32,
}

impl KeyRange {
    /// The range is not empty and lies in the key space.
    pub(crate) fn is_valid(self) -> bool {
        self.from <= self.to && self.to <= MAX_KEY
    }

    pub(crate) fn contains(self, key: u32) -> bool {
        (self.from..=self.to).contains(&key)
    }

    /// The keys in both ranges, if there are any.
    pub(crate) fn intersection(self, other: KeyRange) -> Option<KeyRange> {
        let both = KeyRange { from: self.from.max(other.from), to: self.to.min(other.to) };
        (both.from <= both.to).then_some(both)
    }

    /// What remains of this range without `others`, ascending.
    pub(crate) fn difference(self, others: impl IntoIterator<Item = KeyRange>) -> Vec<KeyRange> {
        let mut remaining = vec![self];
        for other in others {
            remaining = remaining.into_iter().flat_map(|range| range.without(other)).collect();
        }
        remaining
    }

    /// What lies below `other` and what lies above it.
    fn without(self, other: KeyRange) -> impl Iterator<Item = KeyRange> {
        let below = (self.from < other.from)
            .then(|| KeyRange { from: self.from, to: self.to.min(other.from.wrapping_sub(1)) });
        let above = (self.to > other.to)
            .then(|| KeyRange { from: self.from.max(other.to.saturating_add(1)), to: self.to });
        below.into_iter().chain(above).filter(|range| range.from <= range.to)
    }
}
