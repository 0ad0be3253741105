//! A whole deploy planned: how many hosts at a time, in which order, and how long to wait in between, so that those who
//! stay can carry what comes.

use crate::pool::Pool;
use coppersail::interface::HostId;
use std::collections::{BTreeMap, BTreeSet};

/// What those who stay may be filled to: the rest is for calls that come again and for one host that fails.
const FILL: f64 = 0.85;
/// Where nobody knows what hosts carry, as much of what was there at first must always be there.
const LEFT: f64 = 0.8;
/// Tables are told, applied and waited out in so many seconds at least before a host is without calls.
const MOVING: f64 = 5.0;
/// Nobody waits longer for room before a step is taken all the same.
const WAIT_MOST: f64 = 600.0;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// In no order of its own.
    pub hosts: BTreeSet<HostId>,
    /// Each comes back cold so many seconds after it was taken out; none: it stays away.
    pub back_after: Option<f64>,
    /// At most so many at a time; none: as many as can be done without.
    pub most: Option<usize>,
    /// Calls a second that come in all.
    pub calls: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Seconds from the beginning.
    pub at: f64,
    pub hosts: Vec<HostId>,
    /// How full those who stay are then, of what they carry; none: nobody knows what they carry.
    pub fill: Option<f64>,
    /// Those who stay cannot carry it, and waiting does not help.
    pub forced: bool,
}

/// Where a host is in the course of the plan.
#[derive(Clone, Copy, PartialEq)]
enum Course {
    Stays,
    Waits,
    Out,
    /// It is back since then.
    Back(f64),
}

/// The steps of a deploy, from `now` on. Of hosts that wait the smallest go first, as they free least, and never all of
/// a zone at a time while another could go.
pub fn drain(pool: &Pool, wanted: &Drain, now: f64) -> Vec<Step> {
    let mut courses: BTreeMap<HostId, Course> = pool
        .open()
        .map(|(id, _)| (id, if wanted.hosts.contains(&id) { Course::Waits } else { Course::Stays }))
        .collect();
    let at_first = capacity(pool, &courses, 0.0, now);
    let mut back: Vec<(f64, HostId)> = Vec::new();
    let (mut at, mut waited, mut steps) = (0.0, 0.0, Vec::new());
    // Each turn either takes a host out, or goes on by a second; waiting is bounded for each step.
    while courses.values().any(|course| *course == Course::Waits) {
        for (_, id) in back.extract_if(.., |(when, _)| *when <= at) {
            courses.insert(id, Course::Back(at));
        }
        let out = courses.values().filter(|course| **course == Course::Out).count();
        let room = wanted.most.unwrap_or(usize::MAX).saturating_sub(out);
        let mut step = Vec::new();
        while step.len() < room {
            let Some(id) = next(pool, &courses, at, now) else { break };
            courses.insert(id, Course::Out);
            let left = capacity(pool, &courses, at, now);
            let enough = left >= LEFT * at_first;
            if left <= 0.0 || !fill(pool, &courses, wanted.calls, at, now).map_or(enough, |fill| fill <= FILL)
            {
                courses.insert(id, Course::Waits);
                break;
            }
            step.push(id);
        }
        let hopeless = step.is_empty() && waited >= WAIT_MOST && room > 0;
        if hopeless {
            // One alone, and only if somebody is left: the fleet must not stop for a plan, nor the plan for ever.
            let Some(id) = next(pool, &courses, at, now) else { break };
            courses.insert(id, Course::Out);
            if capacity(pool, &courses, at, now) <= 0.0 {
                break;
            }
            step.push(id);
        }
        if step.is_empty() {
            (at, waited) = (at + 1.0, waited + 1.0);
            if waited > WAIT_MOST + 1.0 {
                break;
            }
            continue;
        }
        back.extend(wanted.back_after.iter().flat_map(|after| step.iter().map(move |id| (at + after, *id))));
        let fill = fill(pool, &courses, wanted.calls, at, now);
        steps.push(Step { at, hosts: step, fill, forced: hopeless });
        // The tables of this step are out before the next one counts on them.
        (at, waited) = (at + MOVING, 0.0);
    }
    steps
}

fn unit(pool: &Pool, id: HostId, course: Course, at: f64, now: f64) -> f64 {
    let host = &pool.hosts[&id];
    match course {
        Course::Stays | Course::Waits => host.unit(now + at, &pool.bounds),
        Course::Out => 0.0,
        Course::Back(since) => {
            let young = crate::pool::Host { born: Some(now + since), ..*host };
            young.unit(now + at, &pool.bounds)
        }
    }
}

fn capacity(pool: &Pool, courses: &BTreeMap<HostId, Course>, at: f64, now: f64) -> f64 {
    courses.iter().map(|(id, course)| unit(pool, *id, *course, at, now)).sum()
}

/// How full those who are there would be.
fn fill(pool: &Pool, courses: &BTreeMap<HostId, Course>, calls: f64, at: f64, now: f64) -> Option<f64> {
    let carries = pool.bounds.carries?;
    Some(calls / (capacity(pool, courses, at, now) * carries.low).max(1e-9))
}

/// Which of the waiting goes next.
fn next(pool: &Pool, courses: &BTreeMap<HostId, Course>, at: f64, now: f64) -> Option<HostId> {
    let waiting = courses.iter().filter(|(_, course)| **course == Course::Waits).map(|(id, _)| *id);
    let left = |id: HostId| {
        let zone = pool.hosts[&id].zone;
        let others = courses.iter().filter(|(other, _)| **other != id && pool.hosts[other].zone == zone);
        others.map(|(other, course)| unit(pool, *other, *course, at, now)).sum::<f64>()
    };
    // From the zone that has most left without it; of equals the smallest.
    let key = |id: HostId| (-left(id), unit(pool, id, courses[&id], at, now));
    waiting.min_by(|a, b| key(*a).partial_cmp(&key(*b)).unwrap_or(std::cmp::Ordering::Equal))
}
