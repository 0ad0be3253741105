//! The one alarm of the program: the reducer says when it next wants to be called.

use std::time::{Duration, Instant};

pub struct Alarm {
    started: Instant,
    at: f64,
}

impl Alarm {
    pub fn new(started: Instant) -> Self {
        Alarm { started, at: 0.0 }
    }

    /// Seconds since the start: the only clock inside.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Takes the place of what was set before.
    pub fn set(&mut self, at: f64) {
        self.at = at;
    }

    pub async fn rung(&self) {
        // Never an hour ahead: a far moment is asked for anew when it is nearer.
        let left = (self.at - self.now()).clamp(0.0, 3600.0);
        tokio::time::sleep(Duration::from_secs_f64(left)).await;
    }
}
