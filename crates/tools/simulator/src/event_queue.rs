//! The queue of pending events: by time, and in the order of scheduling where times are equal.

use crate::event::SimEvent;
use crate::time::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    event: SimEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.key().cmp(&other.key())
    }
}

#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Micros, event: SimEvent) {
        self.scheduled += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.scheduled, event }));
    }

    /// The next event, with its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, SimEvent)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
