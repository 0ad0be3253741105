//! The fewest faults that still break the same rule.
use crate::{play, Day};

/// How many days are played at most to find them.
const TRIES: usize = 400;

pub fn shrink(day: &Day, rule: &str) -> Day {
    let mut day = day.clone();
    let mut tries = 0;
    let mut breaks = |day: &Day| {
        tries += 1;
        let broken = (tries < TRIES).then(|| play(day, false).broken).flatten();
        broken.filter(|b| b.rule == rule)
    };
    if let Some(broken) = breaks(&day) {
        day.faults.retain(|f| f.at * 1000 <= broken.at);
    }
    let mut size = day.faults.len().div_ceil(2).max(1);
    loop {
        let mut from = day.faults.len();
        let before = from;
        while from > 0 {
            let first = from.saturating_sub(size);
            let mut fewer = day.clone();
            fewer.faults.drain(first..from);
            if breaks(&fewer).is_some() {
                day = fewer;
            }
            from = first;
        }
        let less = |day: &Day, change: &dyn Fn(&mut Day)| {
            let mut other = day.clone();
            change(&mut other);
            (other != *day).then_some(other)
        };
        if size == 1 {
            for change in [
                &(|d: &mut Day| d.hosts = d.hosts.min(2)) as &dyn Fn(&mut Day),
                &|d| d.edges = 1,
                &|d| d.order_every = 4000,
                &|d| d.closing = None,
            ] {
                if let Some(other) = less(&day, change).filter(|other| breaks(other).is_some()) {
                    day = other;
                }
            }
            if day.faults.len() == before {
                return day;
            }
        }
        size = (size / 2).max(1);
    }
}
