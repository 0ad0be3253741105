//! Inputs to directors: they are under way for some time, and are processed together with those of the same moment.

use super::delivery::Delivery;
use super::event::Event;
use super::state::World;
use coppersail::interface::{HostListEntry, HostState, Input};

impl World {
    /// Sends inputs to a director; they arrive after `delay` seconds.
    pub(super) fn send_inputs(&mut self, director: u16, delay: f64, inputs: Vec<Input>) {
        let incarnation = self.directors[director as usize].incarnation;
        let delivery = self.deliveries.insert(Delivery { director, incarnation, inputs });
        self.schedule(self.now + delay, Event::InputsArrive { delivery });
    }

    /// Inputs arrive. They are lost if the director has stopped since they were sent.
    pub(super) fn inputs_arrive(&mut self, delivery: u32) {
        let Some(Delivery { director, incarnation, inputs }) = self.deliveries.remove(delivery) else {
            return;
        };
        let receiver = &self.directors[director as usize];
        if receiver.incarnation != incarnation || !receiver.is_up {
            return;
        }
        for input in &inputs {
            if let Input::HostListUpdate { entries, .. } = input {
                self.record_known_states(director, entries);
            }
        }
        self.enqueue_inputs(director, inputs);
    }

    /// Remembers since when the director knows that hosts are not ready.
    fn record_known_states(&mut self, director: u16, entries: &[HostListEntry]) {
        let not_ready_since = &mut self.directors[director as usize].not_ready_since;
        for entry in entries {
            if entry.state == HostState::Ready {
                not_ready_since.remove(&entry.host.0);
            } else {
                not_ready_since.entry(entry.host.0).or_insert(self.now);
            }
        }
    }

    /// Gives inputs to a director, which processes all that it has at this very time, once.
    pub(super) fn enqueue_inputs(&mut self, director: u16, inputs: Vec<Input>) {
        let receiver = &mut self.directors[director as usize];
        if !receiver.is_up {
            return;
        }
        receiver.inputs.extend(inputs);
        if receiver.run_is_scheduled {
            return;
        }
        receiver.run_is_scheduled = true;
        self.schedule(self.now, Event::DirectorRuns { director });
    }
}
