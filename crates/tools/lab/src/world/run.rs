//! The event loop, in simulated or in real time.

use super::event::{Event, ScheduledEvent};
use super::state::World;
use crate::policy::Policy;
use std::time::{Duration, Instant};

/// A play goes on for so long after its last arrival at most, seconds: any call has ended by then.
pub(super) const MAX_RUN_ON: f64 = 60.0;
/// Between looks at what directors in processes have ordered: short against the delay between machines on loopback.
const LIVE_POLL_INTERVAL: Duration = Duration::from_micros(500);

impl World {
    /// Plays to the end in simulated time.
    pub fn run(mut self) -> World {
        while self.step() {}
        self
    }

    /// Plays to the end in real time, with directors that are processes: what they order comes when it comes.
    pub fn run_live(mut self) -> World {
        let start = Instant::now();
        while let Some(next_at) = self.events.next_at() {
            let elapsed = start.elapsed().as_secs_f64();
            self.take_live_orders(elapsed);
            if elapsed < next_at {
                let until_next = Duration::from_secs_f64(next_at - elapsed);
                std::thread::sleep(LIVE_POLL_INTERVAL.min(until_next));
                continue;
            }
            self.max_lag = self.max_lag.max(elapsed - next_at);
            if !self.step() {
                break;
            }
        }
        self
    }

    /// Carries out what directors in processes have ordered since the last time; `elapsed` is in seconds.
    fn take_live_orders(&mut self, elapsed: f64) {
        for director in 0..self.directors.len() as u16 {
            let Policy::Process(process) = &self.directors[director as usize].policy else { continue };
            let orders = process.take_orders();
            if !orders.is_empty() {
                self.now = self.now.max(elapsed);
                self.carry_out(director, orders);
            }
        }
    }

    /// Processes one event; false: the play is over.
    pub fn step(&mut self) -> bool {
        let Some(ScheduledEvent { at, event, .. }) = self.events.pop() else { return false };
        if self.is_over(at) {
            return false;
        }
        self.now = at;
        self.measured.events += 1;
        self.process(event);
        true
    }

    /// The play is over once no call is in flight after the last arrival, and some time later in any case.
    fn is_over(&self, at: f64) -> bool {
        let end = self.scenario.seconds;
        let has_calls = self.calls.in_flight() > 0;
        at > end + MAX_RUN_ON || at > end && !has_calls
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::CallArrives => self.call_arrives(),
            Event::AttemptReachesHost { attempt, host } => self.attempt_reaches_host(attempt, host),
            Event::JobFinishes { host, incarnation, job } => self.job_finishes(host, incarnation, job),
            Event::ReplyReachesProxy { attempt, result } => self.reply_reaches_proxy(attempt, result),
            Event::AttemptTimesOut { attempt } => self.attempt_times_out(attempt),
            Event::ClientRetries { call } => self.client_sends(call),
            Event::MessageReachesProxy { proxy, director, message } => {
                self.message_reaches_proxy(proxy, director, message);
            }
            Event::DirectorRuns { director } => self.director_runs(director),
            Event::InputsArrive { delivery } => self.inputs_arrive(delivery),
            Event::CollectorsReport => self.collectors_report(),
            Event::FleetSampled => self.fleet_sampled(),
            Event::TablesChecked => self.tables_checked(),
            Event::HotSlicesChange => self.hot_slices_change(),
            Event::FaultBegins { fault } => self.fault_begins(fault as usize),
            Event::FaultEnds { fault } => self.fault_ends(fault as usize),
            Event::HostRestarts { host } => self.host_restarts(host),
            Event::DeploymentAdvances { fault } => self.deployment_advances(fault as usize),
            Event::DirectorRestarts { director } => self.start_director(director),
            Event::ChangeSubmitted { change } => self.change_submitted(change as usize),
        }
    }
}
