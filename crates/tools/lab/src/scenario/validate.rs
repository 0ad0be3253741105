//! Checks that a scenario can be played, and that the play ends.

use super::errors::InvalidScenario;
use super::faults::FaultKind;
use super::model::{Fleet, Scenario};

/// The longest play, in seconds.
const MAX_SECONDS: f64 = 1e6;
/// The highest load, as a multiple of the fleet's capacity.
const MAX_FILL: f64 = 10.0;

impl Scenario {
    /// Refuses what could never be played, or would never end.
    ///
    /// # Errors
    /// [`InvalidScenario`]: the first field that is out of range.
    pub fn validate(&self) -> Result<(), InvalidScenario> {
        let Fleet { zones, hosts, directors, proxies, slices, cores, .. } = self.fleet;
        let some_of_each = zones > 0 && hosts > 0 && directors > 0 && proxies > 0 && slices > 0 && cores > 0;
        require(some_of_each, "fleet", "some of each")?;
        let ends = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        require(ends, "seconds", "more than 0 and up to 1000000")?;
        self.validate_load()?;
        let moves = self.reports.interval > 0.0 && self.channel.lines_per_s > 0.0;
        require(moves, "reports.interval, channel.lines_per_s", "more than 0")?;
        let times = self.faults.iter().all(|fault| fault.at >= 0.0 && fault.duration >= 0.0);
        require(times, "faults", "times of 0 or more")?;
        for change in &self.changes {
            change.edits().map_err(InvalidScenario::Change)?;
        }
        let targets = self.faults.iter().all(|fault| self.has_target(&fault.kind));
        require(targets, "faults", "zones, directors and routes that there are")
    }

    fn validate_load(&self) -> Result<(), InvalidScenario> {
        let load = &self.load;
        require(!load.routes.is_empty(), "load.routes", "one at least")?;
        let times = load.routes.iter().all(|route| {
            route.mean_work > 0.0 && route.latency_target > 0.0 && route.deadline >= route.latency_target
        });
        require(times, "load.routes", "work and slo above 0, limit not below slo")?;
        let share = load.utilization > 0.0 && load.utilization <= MAX_FILL;
        require(share, "load.fill", "a share above 0 and up to 10")
    }

    /// Whether the zone, director or route that a fault names exists.
    fn has_target(&self, fault: &FaultKind) -> bool {
        match *fault {
            FaultKind::KillZone { zone } | FaultKind::Cut { zone } => zone < self.fleet.zones,
            FaultKind::KillDirector { director } => director < self.fleet.directors,
            FaultKind::Cost { route, .. } => route < self.load.routes.len(),
            _ => true,
        }
    }
}

fn require(holds: bool, field: &'static str, expected: &'static str) -> Result<(), InvalidScenario> {
    if holds {
        Ok(())
    } else {
        Err(InvalidScenario::Field { field, expected })
    }
}
