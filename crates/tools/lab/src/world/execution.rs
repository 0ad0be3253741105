//! Hosts: attempts arrive, wait, run and are answered.

use super::call::{AttemptId, AttemptResult};
use super::event::Event;
use super::host::{Job, LifecycleState};
use super::state::World;
use crate::rules::Rule;

/// A job that is due on a hung host is looked at again after so long, seconds.
const HUNG_JOB_RECHECK: f64 = 0.5;
/// Keeps the time of a job finite, seconds of work a second.
const MIN_WORK_PER_SECOND: f64 = 1e-9;

impl World {
    /// A request arrives at its host, which refuses or queues it.
    pub(super) fn attempt_reaches_host(&mut self, attempt: AttemptId, index: u32) {
        let Some(call) = self.calls.get_by_attempt(attempt) else { return };
        let fleet = &self.scenario.fleet;
        let host = &mut self.hosts[index as usize];
        if !host.is_up || host.has_collapsed || host.state == LifecycleState::Gone {
            self.send_reply(attempt, call.proxy, index, AttemptResult::Refused);
            return;
        }
        if host.queue.len() >= fleet.max_queue {
            self.send_reply(attempt, call.proxy, index, AttemptResult::Throttled);
            return;
        }
        if host.is_overloaded_by(self.now, call.work, fleet) {
            // It stays down, and all that it has is lost.
            host.has_collapsed = true;
            self.rules.record_violation(Rule::SlowStartOverload, self.now, || format!("host {index}"));
            self.stop_host(index);
            return;
        }
        let deadline = call.arrived_at + self.scenario.load.routes[call.route as usize].deadline;
        host.queue.push_back(Job { attempt, work: call.work, deadline });
        self.start_jobs(index);
    }

    /// Sends a reply from a host to a proxy, over a connection that exists.
    fn send_reply(&mut self, attempt: AttemptId, proxy: u16, host: u32, result: AttemptResult) {
        let proxy_zone = self.proxies[proxy as usize].zone;
        let host_zone = self.hosts[host as usize].zone;
        let delay = self.draw_network_delay(proxy_zone, host_zone);
        self.schedule(self.now + delay, Event::ReplyReachesProxy { attempt, result });
    }

    /// Sends a reply, unless the proxy has given up the attempt or cannot be reached.
    fn send_reply_if_awaited(&mut self, attempt: AttemptId, host: u32, result: AttemptResult) {
        let Some(call) = self.calls.get_by_attempt(attempt) else { return };
        let proxy_zone = self.proxies[call.proxy as usize].zone;
        if !self.are_partitioned(proxy_zone, self.hosts[host as usize].zone) {
            self.send_reply(attempt, call.proxy, host, result);
        }
    }

    /// Free cores take jobs from the queue. Jobs that were given up are dropped.
    pub(super) fn start_jobs(&mut self, index: u32) {
        let cores = self.scenario.fleet.cores;
        loop {
            let host = &mut self.hosts[index as usize];
            if host.running >= cores || host.is_hung {
                return;
            }
            let Some(job) = host.queue.pop_front() else { return };
            if self.now < job.deadline {
                self.start_job(index, job);
            }
        }
    }

    /// Puts a job on a core, unless its attempt was given up.
    fn start_job(&mut self, index: u32, job: Job) {
        let Some(call) = self.calls.get_by_attempt(job.attempt) else { return };
        self.calls.get_mut(job.attempt.call).executions += 1;
        let repeatable = self.scenario.load.routes[call.route as usize].idempotent;
        if call.executions >= 1 && call.retried_by_order && !repeatable {
            self.rules.record_violation(Rule::DuplicateExecution, self.now, || {
                format!("a call of slice {}", call.slice)
            });
        }
        let fleet = &self.scenario.fleet;
        let host = &mut self.hosts[index as usize];
        let work_share = host.work_after_cache(self.now, call.slice, fleet);
        let speed = host.work_per_second(self.now, fleet).max(MIN_WORK_PER_SECOND);
        let duration = job.work * work_share * f64::from(fleet.cores) / speed;
        host.running += 1;
        host.running_jobs.push(job);
        host.record_service_time(duration);
        let incarnation = host.incarnation;
        self.schedule(self.now + duration, Event::JobFinishes { host: index, incarnation, job });
    }

    /// A core finishes a job, and takes the next.
    pub(super) fn job_finishes(&mut self, index: u32, incarnation: u32, job: Job) {
        let host = &mut self.hosts[index as usize];
        if host.incarnation != incarnation {
            return;
        }
        if host.is_hung {
            self.schedule(self.now + HUNG_JOB_RECHECK, Event::JobFinishes { host: index, incarnation, job });
            return;
        }
        host.running -= 1;
        host.running_jobs.retain(|other| other.attempt != job.attempt);
        host.answered_since_report += 1;
        self.send_reply_if_awaited(job.attempt, index, AttemptResult::Answered);
        self.start_jobs(index);
    }

    /// The process of a host ends; the connections of all its jobs break.
    pub(super) fn stop_host(&mut self, index: u32) {
        let lost_jobs = self.hosts[index as usize].stop();
        for job in lost_jobs {
            self.send_reply_if_awaited(job.attempt, index, AttemptResult::Broken);
        }
    }
}
