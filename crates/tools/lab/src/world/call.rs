//! Calls of clients, and the table of those in flight.

/// A call: its place in the [`CallTable`] and the generation of that place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallId {
    /// The place in the table.
    pub(super) index: u32,
    /// Places are used again; each use has its own generation.
    pub(super) generation: u32,
}

/// One attempt of a call at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    /// The call.
    pub(super) call: CallId,
    /// The value of [`Call::attempt_serial`] while this attempt is the current one.
    pub(super) serial: u16,
}

/// How an attempt ended, as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// The host answered.
    Answered,
    /// The host rejected it, as its queue was full: it never ran.
    Throttled,
    /// There was no process at the address: it never ran.
    Refused,
    /// The connection broke after the request was sent: it may have run.
    Broken,
}

impl AttemptResult {
    /// The attempt certainly has not run.
    pub(super) fn never_ran(self) -> bool {
        matches!(self, AttemptResult::Throttled | AttemptResult::Refused)
    }
}

/// A call from its client's first try to its end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Call {
    /// When its client first made it, simulated seconds.
    pub(super) arrived_at: f64,
    /// Seconds of work of a core of speed 1.
    pub(super) work: f64,
    /// Of its place in the table.
    pub(super) generation: u32,
    /// The host of the current attempt.
    pub(super) host: u32,
    /// The slice of its key.
    pub(super) slice: u16,
    /// The proxy that its client uses.
    pub(super) proxy: u16,
    /// Numbers the attempts; it also rises when the current attempt ends, so that a later reply is ignored.
    pub(super) attempt_serial: u16,
    /// Its route.
    pub(super) route: u8,
    /// Attempts of the proxy since the client last sent the call.
    pub(super) attempts: u8,
    /// How often the client sent the call.
    pub(super) client_attempts: u8,
    /// Executions that were begun since the client last sent the call.
    pub(super) executions: u8,
    /// The proxy retried it, by a director's order, after an attempt that may have run.
    pub(super) retried_by_order: bool,
    /// It has ended.
    pub(super) finished: bool,
}

/// The calls in flight. Places of calls that have ended are used again.
#[derive(Default)]
pub(super) struct CallTable {
    calls: Vec<Call>,
    free: Vec<u32>,
}

impl CallTable {
    /// Gives a new call a place.
    pub(super) fn insert(&mut self, call: Call) -> CallId {
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.calls.push(Call::default());
                self.calls.len() as u32 - 1
            }
        };
        let generation = self.calls[index as usize].generation.wrapping_add(1);
        self.calls[index as usize] = Call { generation, ..call };
        CallId { index, generation }
    }

    /// A copy of the call, if it is still in flight.
    pub(super) fn get(&self, id: CallId) -> Option<Call> {
        let call = self.calls[id.index as usize];
        let in_flight = call.generation == id.generation && !call.finished;
        in_flight.then_some(call)
    }

    /// A copy of the call, if it is still in flight and this is its current attempt.
    pub(super) fn get_by_attempt(&self, attempt: AttemptId) -> Option<Call> {
        self.get(attempt.call).filter(|call| call.attempt_serial == attempt.serial)
    }

    /// The call at that place. The caller has made sure that it is in flight.
    pub(super) fn get_mut(&mut self, id: CallId) -> &mut Call {
        &mut self.calls[id.index as usize]
    }

    /// Ends a call. This is the one function that frees a place.
    pub(super) fn finish(&mut self, id: CallId) {
        self.calls[id.index as usize].finished = true;
        self.free.push(id.index);
    }

    /// Calls that have not ended.
    pub(super) fn in_flight(&self) -> usize {
        self.calls.len() - self.free.len()
    }
}
