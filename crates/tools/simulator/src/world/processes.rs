//! Processes on machines: start, stop, freeze, signals, ticks, and the completion of writes.

use super::World;
use crate::event::SimEvent;
use crate::machine::Power;
use crate::participant::{MachineId, Origin};
use crate::process::Process;
use crate::settings::{process_settings, NodeParameters, SHUTDOWN_GRACE_MS};
use crate::time::{random_clock_rate, Micros, MICROS_PER_MILLI};
use coppersail_config::ProcessSettings;
use coppersail_consensus::OperationId;
use coppersail_control_plane::node::{Event, Node, Startup};

const TICK_INTERVAL: Micros = 50 * MICROS_PER_MILLI;
const TICK_JITTER: Micros = 2 * MICROS_PER_MILLI;
/// After a freeze, deferred events are handled within this time.
const RESUME_SPREAD: Micros = 3 * MICROS_PER_MILLI;
/// After a freeze, largest time between two reports of the disk.
const RESUME_WRITE_SPREAD: Micros = 500;

impl World<'_> {
    /// The process of this incarnation, if it is still there.
    pub(super) fn process(&mut self, machine_id: MachineId, incarnation: u32) -> Option<&mut Process> {
        let process = self.machines[machine_id].process.as_mut();
        process.filter(|process| process.incarnation == incarnation)
    }

    fn settings_of(&self, machine_id: MachineId) -> ProcessSettings {
        let machine = &self.machines[machine_id];
        process_settings(&NodeParameters {
            ip: &machine.ip,
            zone: machine.zone,
            initial_boot: machine.initial_boot,
            known_peers: &machine.known_peers,
            quorum_contact: self.scenario.quorum_contact,
            max_failures: self.scenario.max_failures,
        })
    }

    pub(super) fn tick(&mut self, machine_id: MachineId, incarnation: u32) {
        let Some(process) = self.process(machine_id, incarnation) else { return };
        if !process.frozen {
            self.step(machine_id, Event::Tick);
        }
        let delay = TICK_INTERVAL + self.network.rng.u64(0..TICK_JITTER);
        self.schedule_after(delay, SimEvent::Tick { machine_id, incarnation });
    }

    /// Starts a process, unless another start or stop came first.
    pub(super) fn start_process(&mut self, machine_id: MachineId, stop_count: u32) {
        let machine = &self.machines[machine_id];
        if machine.stop_count != stop_count || machine.process.is_some() || machine.power == Power::Removed {
            return;
        }
        let settings = self.settings_of(machine_id);
        let machine = &mut self.machines[machine_id];
        machine.power = Power::On;
        machine.incarnations += 1;
        // In one scenario of four the settings keep `initialBoot` for later starts.
        machine.initial_boot &= self.scenario.seed.is_multiple_of(4);
        let incarnation = machine.incarnations;
        let startup = Startup {
            settings,
            recovered: machine.disk.recover(),
            feed_and_disk_incarnation: self.rng.u64(1..1 << 53),
        };
        let clock_rate = random_clock_rate(&mut self.rng);
        let (node, effects) = Node::start(1, startup);
        machine.process = Some(Process::new(node, incarnation, self.now, clock_rate));
        self.trace_machine(machine_id, || format!("starts, life {incarnation}"));
        self.record_recovery(machine_id);
        self.execute(machine_id, effects);
        self.schedule_after(TICK_INTERVAL, SimEvent::Tick { machine_id, incarnation });
    }

    /// The process is gone. `resets`: the machine still runs and resets its connections.
    pub(super) fn stop_process(&mut self, machine_id: MachineId, resets: bool) {
        let machine = &mut self.machines[machine_id];
        machine.stop_count += 1;
        let stop_count = machine.stop_count;
        let Some(process) = machine.process.take() else { return };
        machine.disk.crash(&mut self.disk_rng);
        let shutting_down = process.shutting_down;
        if resets {
            self.reset_connections_of(machine_id, process);
        }
        if shutting_down {
            let machine = &mut self.machines[machine_id];
            if machine.removed_after_exit {
                machine.remove(self.now);
            } else {
                let downtime = machine.downtime_after_exit;
                self.schedule_after(downtime, SimEvent::StartProcess { machine_id, stop_count });
            }
        }
        self.record_disturbance();
    }

    fn reset_connections_of(&mut self, machine_id: MachineId, process: Process) {
        let deferred = process.deferred_events.into_iter().filter_map(|event| match event {
            SimEvent::RequestArrives { origin, .. } => Some(origin),
            _ => None,
        });
        let origins: Vec<Origin> = process.pending_callers.into_values().chain(deferred).collect();
        for origin in origins {
            self.reset_connection(machine_id, origin);
        }
    }

    pub(super) fn freeze(&mut self, machine_id: MachineId, duration: Micros) {
        let Some(process) = &mut self.machines[machine_id].process else { return };
        process.frozen = true;
        let incarnation = process.incarnation;
        self.schedule_after(duration, SimEvent::ResumeProcess { machine_id, incarnation });
        self.record_disturbance();
    }

    pub(super) fn resume_process(&mut self, machine_id: MachineId, incarnation: u32) {
        let now = self.now;
        let Some(process) = self.process(machine_id, incarnation).filter(|process| process.frozen) else {
            return;
        };
        process.frozen = false;
        let effects = std::mem::take(&mut process.deferred_effects);
        let events = std::mem::take(&mut process.deferred_events);
        self.trace_machine(machine_id, || "goes on".into());
        self.record_recovery(machine_id);
        self.execute(machine_id, effects);
        // Deferred events are handled in any order, but for the reports of the disk, which keep theirs.
        let mut last_write = now;
        for event in events {
            let at = match &event {
                SimEvent::WriteReported { .. } => {
                    last_write += self.rng.u64(1..RESUME_WRITE_SPREAD);
                    last_write
                }
                _ => now + self.rng.u64(1..RESUME_SPREAD),
            };
            self.schedule_at(at, event);
        }
    }

    /// SIGTERM, and SIGKILL after the shutdown grace period.
    pub(super) fn terminate_process(&mut self, machine_id: MachineId, downtime: Micros, removed: bool) {
        let machine = &mut self.machines[machine_id];
        machine.removed_after_exit = removed;
        machine.downtime_after_exit = downtime;
        let Some(process) = &mut machine.process else { return };
        process.shutting_down = true;
        let incarnation = process.incarnation;
        self.record_disturbance();
        let grace_period = SHUTDOWN_GRACE_MS * MICROS_PER_MILLI;
        self.schedule_after(grace_period, SimEvent::ShutdownTimeout { machine_id, incarnation });
        self.signal_shutdown(machine_id, incarnation);
    }

    pub(super) fn signal_shutdown(&mut self, machine_id: MachineId, incarnation: u32) {
        let Some(process) = self.process(machine_id, incarnation) else { return };
        if process.frozen {
            process.deferred_events.push(SimEvent::Terminate { machine_id, incarnation });
        } else {
            self.step(machine_id, Event::Shutdown);
        }
    }

    pub(super) fn handle_shutdown_timeout(&mut self, machine_id: MachineId, incarnation: u32) {
        if self.process(machine_id, incarnation).is_some() {
            self.trace_machine(machine_id, || "is killed, as `leeway` is over".into());
            self.stop_process(machine_id, true);
        }
    }

    pub(super) fn signal_reload(&mut self, machine_id: MachineId, incarnation: u32) {
        let settings = self.settings_of(machine_id);
        let Some(process) = self.process(machine_id, incarnation) else { return };
        if process.frozen {
            process.deferred_events.push(SimEvent::ReloadSettings { machine_id, incarnation });
        } else {
            self.step(machine_id, Event::SettingsChanged(Box::new(settings)));
        }
    }

    /// The disk does its oldest pending write, unless the process that asked for it is gone.
    pub(super) fn complete_write(&mut self, machine_id: MachineId, stop_count: u32, token: OperationId) {
        let machine = &mut self.machines[machine_id];
        if machine.stop_count != stop_count {
            return;
        }
        let Some(ok) = machine.disk.complete_write() else { return };
        let incarnation = machine.incarnations;
        self.report_write(machine_id, incarnation, token, ok);
    }

    pub(super) fn report_write(
        &mut self,
        machine_id: MachineId,
        incarnation: u32,
        token: OperationId,
        ok: bool,
    ) {
        let Some(process) = self.process(machine_id, incarnation) else { return };
        if process.frozen {
            process.deferred_events.push(SimEvent::WriteReported { machine_id, incarnation, token, ok });
        } else if process.writes.remove(&token) {
            self.step(machine_id, Event::WriteFinished { operation_id: token, ok });
        }
    }

    /// A fault of a machine begins.
    pub(super) fn record_disturbance(&mut self) {
        self.disturbed_at = self.now;
    }

    /// A fault of a machine ends.
    pub(super) fn record_recovery(&mut self, machine_id: MachineId) {
        self.machines[machine_id].recovered_at = self.now;
        self.disturbed_at = self.now;
    }
}
