//! A host: cores, a queue, slow start, a cache of keys, and failure under overload during slow start.

use super::call::AttemptId;
use crate::scenario::Fleet;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Speed relative to a warm host below which none falls.
const MIN_SLOW_START_SPEED: f64 = 0.01;
/// Keeps divisions by times and counts of a scenario that are zero finite.
const MIN_DIVISOR: f64 = 1e-9;
/// Weight of the newest sample in [`Host::mean_service_time`].
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the samples before.
const SERVICE_TIME_HISTORY_WEIGHT: f64 = 0.9;

/// An attempt that a host has accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// Seconds of work of a core of speed 1, if the key is not cached.
    pub(super) work: f64,
    /// When the client gives up, simulated seconds.
    pub(super) deadline: f64,
}

/// What discovery tells of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifecycleState {
    /// In service.
    Ready,
    /// Finishes what it has, and is to get nothing new.
    Draining,
    /// There is no process.
    Gone,
}

/// Work that was sent to a host.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: f64,
    work: f64,
}

/// Calls of one slice that a host has executed lately.
#[derive(Clone, Copy, Debug)]
struct CachedSlice {
    /// A count that decays with [`Fleet::cache_lifetime`].
    calls: f64,
    updated_at: f64,
}

/// A host and the process on it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    /// Its zone.
    pub(super) zone: u16,
    /// Speed of a core when the host is warm; 1 is the mean.
    pub(super) speed: f64,
    /// When the process started, simulated seconds; far in the past for those that run from the beginning.
    pub(super) started_at: f64,
    /// There is a process.
    pub(super) is_up: bool,
    /// The process accepts requests and makes no progress.
    pub(super) is_hung: bool,
    /// Jobs take so many times as long; 1 without a fault.
    pub(super) slowdown: f64,
    /// It failed under overload and stays down.
    pub(super) has_collapsed: bool,
    /// What discovery tells of it.
    pub(super) state: LifecycleState,
    /// Cores that are busy.
    pub(super) running: u32,
    /// The jobs on the cores.
    pub(super) running_jobs: Vec<Job>,
    /// Jobs that wait for a core.
    pub(super) queue: VecDeque<Job>,
    /// Numbers the processes on this host: a job of an earlier one is not finished by a later one.
    pub(super) incarnation: u32,
    /// Moving mean of the service time in seconds; 0 before the first job.
    pub(super) mean_service_time: f64,
    /// Jobs finished since the last report.
    pub(super) answered_since_report: u32,
    /// Work sent within [`Fleet::collapse_time`], the oldest first.
    recent_work: VecDeque<SentWork>,
    recent_work_sum: f64,
    cached_slices: FxHashMap<u16, CachedSlice>,
}

impl Host {
    /// A host with a running process.
    pub(super) fn new(zone: u16, speed: f64, started_at: f64) -> Self {
        Host {
            zone,
            speed,
            started_at,
            is_up: true,
            is_hung: false,
            slowdown: 1.0,
            has_collapsed: false,
            state: LifecycleState::Ready,
            running: 0,
            running_jobs: Vec::new(),
            queue: VecDeque::new(),
            incarnation: 0,
            mean_service_time: 0.0,
            answered_since_report: 0,
            recent_work: VecDeque::new(),
            recent_work_sum: 0.0,
            cached_slices: FxHashMap::default(),
        }
    }

    /// It executes requests.
    pub(super) fn answers(&self) -> bool {
        self.is_up && !self.is_hung && !self.has_collapsed
    }

    /// It executes requests, and discovery says that it is in service.
    pub(super) fn is_serving(&self) -> bool {
        self.answers() && self.state == LifecycleState::Ready
    }

    /// Jobs that wait or run.
    pub(super) fn jobs(&self) -> usize {
        self.queue.len() + self.running as usize
    }

    /// Speed relative to a warm host, up to 1: it rises linearly during slow start.
    pub(super) fn slow_start_speed(&self, now: f64, fleet: &Fleet) -> f64 {
        let age = (now - self.started_at).max(0.0);
        let speed = fleet.slow_start_speed
            + (1.0 - fleet.slow_start_speed) * age / fleet.slow_start_duration.max(MIN_DIVISOR);
        speed.clamp(MIN_SLOW_START_SPEED, 1.0)
    }

    /// Seconds of work that all cores do within a second.
    pub(super) fn work_per_second(&self, now: f64, fleet: &Fleet) -> f64 {
        f64::from(fleet.cores) * self.speed * self.slow_start_speed(now, fleet) / self.slowdown
    }

    /// Records a call of the slice, and returns the share of its work that is left after the cache.
    ///
    /// The more of the slice's calls came here lately, the more likely is the key among them. A slice whose calls are
    /// spread over many hosts is cached by none.
    pub(super) fn work_after_cache(&mut self, now: f64, slice: u16, fleet: &Fleet) -> f64 {
        let first = CachedSlice { calls: 0.0, updated_at: now };
        let cached = self.cached_slices.entry(slice).or_insert(first);
        let age = now - cached.updated_at;
        cached.calls *= (-age / fleet.cache_lifetime.max(MIN_DIVISOR)).exp();
        let hit_ratio = 1.0 - (-cached.calls / fleet.keys_per_slice.max(MIN_DIVISOR)).exp();
        cached.calls += 1.0;
        cached.updated_at = now;
        1.0 - fleet.cache_saving * hit_ratio
    }

    /// Records work that was sent to the host; true if the host collapses under it, which happens during slow start
    /// only.
    pub(super) fn is_overloaded_by(&mut self, now: f64, work: f64, fleet: &Fleet) -> bool {
        self.recent_work.push_back(SentWork { at: now, work });
        self.recent_work_sum += work;
        while let Some(oldest) = self.recent_work.front().copied() {
            if now - oldest.at <= fleet.collapse_time {
                break;
            }
            self.recent_work.pop_front();
            self.recent_work_sum -= oldest.work;
        }
        let in_slow_start = self.slow_start_speed(now, fleet) < 1.0;
        let limit = fleet.collapse_multiple * self.work_per_second(now, fleet) * fleet.collapse_time;
        in_slow_start && self.recent_work_sum > limit
    }

    /// Records how long a job occupies a core, in seconds.
    pub(super) fn record_service_time(&mut self, seconds: f64) {
        self.mean_service_time =
            SERVICE_TIME_HISTORY_WEIGHT * self.mean_service_time + SERVICE_TIME_SAMPLE_WEIGHT * seconds;
    }

    /// Ends the process. Returns the jobs that it had, whose connections break.
    pub(super) fn stop(&mut self) -> Vec<Job> {
        self.is_up = false;
        self.incarnation += 1;
        self.running = 0;
        let lost_jobs = self.running_jobs.drain(..).chain(self.queue.drain(..)).collect();
        self.recent_work.clear();
        self.recent_work_sum = 0.0;
        self.cached_slices.clear();
        lost_jobs
    }

    /// Starts a new process, in slow start.
    pub(super) fn start(&mut self, now: f64) {
        self.is_up = true;
        self.is_hung = false;
        self.started_at = now;
        self.slowdown = 1.0;
        self.has_collapsed = false;
        self.state = LifecycleState::Ready;
    }
}
