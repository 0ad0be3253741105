//! Inputs on their way to directors.

use coppersail::interface::Input;

/// Inputs that were sent to one incarnation of a director.
pub(super) struct Delivery {
    /// The director.
    pub(super) director: u16,
    /// Its incarnation when they were sent.
    pub(super) incarnation: u32,
    /// The inputs.
    pub(super) inputs: Vec<Input>,
}

/// The inputs on their way. Places of those that have arrived are used again.
#[derive(Default)]
pub(super) struct Deliveries {
    in_flight: Vec<Option<Delivery>>,
    free: Vec<u32>,
}

impl Deliveries {
    /// Gives a delivery a place, which is its index.
    pub(super) fn insert(&mut self, delivery: Delivery) -> u32 {
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.in_flight.push(None);
                self.in_flight.len() as u32 - 1
            }
        };
        self.in_flight[index as usize] = Some(delivery);
        index
    }

    /// Takes a delivery out.
    pub(super) fn remove(&mut self, index: u32) -> Option<Delivery> {
        self.free.push(index);
        self.in_flight[index as usize].take()
    }
}
