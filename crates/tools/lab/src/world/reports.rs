//! Reports of the collectors to the directors: attempts at hosts, demand for slices, the load of hosts.

use super::collectors::AttemptSum;
use super::event::Event;
use super::run::MAX_RUN_ON;
use super::state::{Jitter, World};
use coppersail::interface::{HostId, Input, LoadReport, RouteId, SliceId, ZoneId};

/// Of the delay of a report.
const DELAY_JITTER: Jitter = Jitter { least: 0.7, spread: 0.6 };
/// Corrupted reports: counts are powers of ten from this exponent on.
const CORRUPTED_COUNT_MIN_EXPONENT: u32 = 6;
/// Corrupted reports: so many such powers.
const CORRUPTED_COUNT_EXPONENTS: f64 = 6.0;
/// Corrupted reports: the longest response time, seconds.
const CORRUPTED_MAX_RESPONSE_TIME: f64 = 3600.0;
/// Corrupted reports: the longest queue.
const CORRUPTED_MAX_QUEUE: f64 = 1e9;

impl World {
    /// The collectors report: attempts to all directors, the demand for a slice to its own.
    pub(super) fn collectors_report(&mut self) {
        let interval = self.scenario.reports.interval;
        if self.now + interval <= self.scenario.seconds + MAX_RUN_ON {
            self.schedule(self.now + interval, Event::CollectorsReport);
        }
        for director in 0..self.directors.len() as u16 {
            let mut inputs = self.attempt_reports(director);
            inputs.extend(self.demand_reports(director));
            if !inputs.is_empty() {
                let delay = self.jittered(self.scenario.reports.delay, DELAY_JITTER);
                self.send_inputs(director, delay, inputs);
            }
        }
        self.collectors.clear();
        for host in &mut self.hosts {
            host.answered_since_report = 0;
        }
    }

    /// The attempts at each host, from the zones that reach the director.
    fn attempt_reports(&mut self, director: u16) -> Vec<Input> {
        let director_zone = self.directors[director as usize].zone;
        let mut inputs = Vec::new();
        for index in 0..self.collectors.attempts.len() {
            let sum = self.collectors.attempts[index];
            if sum.attempts == 0 {
                continue;
            }
            let zone = (index / self.hosts.len()) as u16;
            let host = (index % self.hosts.len()) as u32;
            if self.are_partitioned(director_zone, zone) || self.rng.f64() < self.collectors.lost_share {
                continue;
            }
            let corrupted_share = self.collectors.corrupted_share;
            let is_corrupted = corrupted_share > 0.0 && self.rng.f64() < corrupted_share;
            let input = if is_corrupted {
                self.corrupted_report(zone, host)
            } else {
                self.attempt_report(zone, host, sum)
            };
            inputs.push(input);
        }
        inputs
    }

    fn attempt_report(&self, zone: u16, host: u32, sum: AttemptSum) -> Input {
        let answered = sum.attempts - sum.failed;
        let has_answers = answered > 0;
        Input::AttemptStats {
            host: HostId(host),
            zone: ZoneId(zone),
            window: self.scenario.reports.interval,
            attempts: sum.attempts.into(),
            dropped: sum.failed.into(),
            mean_response_time: if has_answers { sum.response_time / f64::from(answered) } else { 0.0 },
            // Hosts tell their load with their answers.
            load: if has_answers { self.reported_load(host) } else { LoadReport::default() },
        }
    }

    /// A report that no sound collector sends: counts of a thousand fleets, times up to an hour.
    fn corrupted_report(&mut self, zone: u16, host: u32) -> Input {
        let attempts = self.corrupted_count();
        let dropped = self.corrupted_count();
        let mean_response_time = CORRUPTED_MAX_RESPONSE_TIME * self.rng.f64();
        let waiting = Some(CORRUPTED_MAX_QUEUE * self.rng.f64());
        let load = LoadReport { queued: waiting, ..LoadReport::default() };
        let window = self.scenario.reports.interval;
        Input::AttemptStats {
            host: HostId(host),
            zone: ZoneId(zone),
            window,
            attempts,
            dropped,
            mean_response_time,
            load,
        }
    }

    fn corrupted_count(&mut self) -> u64 {
        let exponent = (self.rng.f64() * CORRUPTED_COUNT_EXPONENTS) as u32;
        10_u64.pow(CORRUPTED_COUNT_MIN_EXPONENT + exponent)
    }

    /// The demand for the director's slices.
    fn demand_reports(&mut self, director: u16) -> Vec<Input> {
        let window = self.scenario.reports.interval;
        let routes = self.scenario.load.routes.len();
        let mut inputs = Vec::new();
        for index in 0..self.collectors.demand.len() {
            let sum = self.collectors.demand[index];
            if sum.calls == 0 {
                continue;
            }
            let slice = (index / routes) as u16;
            let is_own = self.assignments.director_of(slice) == director as usize;
            if !is_own || self.rng.f64() < self.collectors.lost_share {
                continue;
            }
            inputs.push(Input::SliceDemand {
                slice: SliceId(slice),
                route: RouteId((index % routes) as u16),
                requests: sum.calls.into(),
                dropped: sum.dropped.into(),
                window,
            });
        }
        inputs
    }

    /// What a host tells of its load: how busy its cores are or, by default, its queue and service time.
    pub(super) fn reported_load(&self, index: u32) -> LoadReport {
        let host = &self.hosts[index as usize];
        let reports = &self.scenario.reports;
        if reports.reports_core_usage {
            let busy = f64::from(host.running) / f64::from(self.scenario.fleet.cores);
            let answered_per_s = f64::from(host.answered_since_report) / reports.interval;
            return LoadReport {
                cpu_utilisation: Some(busy),
                completions_per_s: Some(answered_per_s),
                ..LoadReport::default()
            };
        }
        let has_served = host.mean_service_time > 0.0;
        LoadReport {
            queued: Some(host.queue.len() as f64),
            service_time: has_served.then_some(host.mean_service_time),
            ..LoadReport::default()
        }
    }
}
