//! What is played: a fleet, a load, troubles in time, and what must hold. Files are Jsonnet or JSON. Absent fields have
//! the defaults below, which are ours: a small fleet at half of its capacity.

mod errors;

pub use errors::{EditError, InvalidScenario, ReadError};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub name: String,
    /// Calls arrive for so long; it goes on until all are answered or given up.
    pub seconds: f64,
    pub fleet: Fleet,
    pub load: Load,
    pub channel: Channel,
    pub reports: Reports,
    pub list: List,
    pub faults: Vec<Fault>,
    /// What operators submit; only the director's reducer takes it.
    pub changes: Vec<Change>,
    pub checks: Checks,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub zones: u16,
    pub hosts: u32,
    pub directors: usize,
    pub proxies: u16,
    pub slices: u16,
    /// Of each host; calls are worked on one on a core.
    pub cores: u32,
    /// Hosts' speeds lie so far about 1.
    pub speed_spread: f64,
    pub cold_from: f64,
    pub ramp_time: f64,
    pub fall_multiple: f64,
    pub fall_time: f64,
    pub grace: f64,
    /// One way within a zone and between zones, seconds.
    pub near: f64,
    pub far: f64,
    /// A host that met a call's key lately does so much less work for it, and remembers for so long; a slice has so many
    /// keys.
    pub memory_saves: f64,
    pub memory_time: f64,
    pub keys: f64,
    /// So many failures in a row and a proxy keeps away from a host for so long.
    pub ejects_after: u8,
    pub ejects_for: f64,
    /// Calls that wait at a host beyond which it turns further ones away.
    pub queue_most: usize,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Share of the fleet's warm capacity that is asked for.
    pub fill: f64,
    pub routes: Vec<Route>,
    /// Slices differ in size: the exponent of a Zipf law.
    pub skew: f64,
    /// So much of the calls goes to a few slices that change every so many seconds.
    pub hot_share: f64,
    pub hot_slices: u16,
    pub hot_time: f64,
    /// Clients ask again by themselves so often, after so long.
    pub again: u32,
    pub again_after: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    pub name: String,
    pub share: f64,
    /// Mean seconds of work, and the spread of its logarithm.
    pub work: f64,
    pub tail: f64,
    pub slo: f64,
    pub limit: f64,
    pub importance: f64,
    pub repeatable: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Channel {
    pub lines_per_s: f64,
    pub backlog: f64,
    pub overhead: f64,
    pub transit: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    pub interval: f64,
    pub late: f64,
    /// Hosts tell how busy their cores are; else calls that wait and times.
    pub cores: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    pub late: f64,
}

/// Fields as operators' files and commands name them, with values as they are typed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub at: f64,
    pub set: std::collections::BTreeMap<String, String>,
    #[serde(default)]
    pub trial: Option<f64>,
}

impl Change {
    /// The fields with their values.
    ///
    /// # Errors
    /// [`EditError`]: a field is unknown, or does not take its value.
    pub fn edits(&self) -> Result<coppersail_operator_config::Edits, EditError> {
        let edit = |(path, value): (&String, &String)| {
            let field: coppersail_operator_config::Field =
                path.parse().map_err(|unknown| EditError::Field(Box::from(unknown)))?;
            let value = field.value(value).map_err(|expected| EditError::Value {
                path: path.clone(),
                expected: expected.to_string(),
            })?;
            Ok((field, value))
        };
        self.set.iter().map(edit).collect()
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    /// Seconds; what is killed is back after it, what is cut is whole again.
    #[serde(rename = "for")]
    pub lasts: f64,
    pub what: What,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Hosts die, and come back cold.
    Kill {
        share: f64,
    },
    /// All hosts of a zone do.
    KillZone {
        zone: u16,
    },
    /// They take calls and answer none.
    Hang {
        share: f64,
    },
    Slow {
        share: f64,
        factor: f64,
    },
    /// A zone is cut off from the others: calls, orders, reports.
    Cut {
        zone: u16,
    },
    /// Hosts drain and are gone; successors start cold.
    Roll {
        share: f64,
        at_a_time: u32,
    },
    /// The list runs so much later.
    ListLate {
        by: f64,
    },
    StoreDown,
    KillDirector {
        director: usize,
    },
    Flood {
        factor: f64,
    },
    /// A route's calls cost so many times as much.
    Cost {
        route: usize,
        factor: f64,
    },
    ReportsLost {
        share: f64,
    },
    /// Such a share of the sums holds counts and times that cannot be.
    ReportsSpoilt {
        share: f64,
    },
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Checks {
    /// None of the five rules is broken.
    pub rules: bool,
    pub service_least: f64,
    pub worst_least: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "unnamed".into(),
            seconds: 60.0,
            fleet: Fleet::default(),
            load: Load::default(),
            channel: Channel::default(),
            reports: Reports::default(),
            list: List::default(),
            faults: vec![],
            changes: vec![],
            checks: Checks::default(),
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            zones: 3,
            hosts: 12,
            directors: 1,
            proxies: 24,
            slices: 84,
            cores: 4,
            speed_spread: 0.1,
            cold_from: 0.25,
            ramp_time: 12.0,
            fall_multiple: 3.0,
            fall_time: 2.0,
            grace: 2.0,
            near: 0.0003,
            far: 0.001,
            memory_saves: 0.4,
            memory_time: 15.0,
            keys: 15.0,
            ejects_after: 6,
            ejects_for: 4.0,
            queue_most: 200,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        let route = |name: &str, share, slo, importance, repeatable| Route {
            name: name.into(),
            share,
            slo,
            limit: 3.0 * slo,
            importance,
            repeatable,
            ..Route::default()
        };
        Load {
            fill: 0.5,
            routes: vec![route("read", 0.75, 0.8, 1.0, true), route("write", 0.25, 1.0, 4.0, false)],
            skew: 0.4,
            hot_share: 0.05,
            hot_slices: 2,
            hot_time: 12.0,
            again: 1,
            again_after: 0.1,
        }
    }
}

impl Default for Route {
    fn default() -> Self {
        let (name, share, work, tail) = ("all".into(), 1.0, 0.1, 0.5);
        Route { name, share, work, tail, slo: 0.8, limit: 2.4, importance: 1.0, repeatable: true }
    }
}

impl Default for Channel {
    fn default() -> Self {
        Channel { lines_per_s: 40_000.0, backlog: 100_000.0, overhead: 12.0, transit: 0.2 }
    }
}

impl Default for Reports {
    fn default() -> Self {
        Reports { interval: 1.0, late: 0.8, cores: false }
    }
}

impl Default for List {
    fn default() -> Self {
        List { late: 1.0 }
    }
}

impl Default for Checks {
    fn default() -> Self {
        Checks { rules: true, service_least: 0.0, worst_least: 0.0 }
    }
}

impl Scenario {
    /// Reads and checks a scenario: JSON if the file's name ends so, else Jsonnet.
    ///
    /// # Errors
    /// [`ReadError`], in one line.
    pub fn read(path: &std::path::Path) -> Result<Scenario, ReadError> {
        let json = match path.extension().is_some_and(|ending| ending == "json") {
            true => std::fs::read_to_string(path)
                .map_err(|source| ReadError::Unreadable { path: path.to_path_buf(), source })?,
            false => coppersail_jsonnet::evaluate(path)?,
        };
        let mut scenario: Scenario = serde_json::from_str(&json)
            .map_err(|source| ReadError::Syntax { path: path.to_path_buf(), source })?;
        if scenario.name == "unnamed" {
            scenario.name =
                path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into_owned());
        }
        scenario.check().map_err(|source| ReadError::Invalid { path: path.to_path_buf(), source })?;
        Ok(scenario)
    }

    /// Refuses what could never be played, or would never end.
    ///
    /// # Errors
    /// [`InvalidScenario`]: the first field that is out of range.
    pub fn check(&self) -> Result<(), InvalidScenario> {
        let Fleet { zones, hosts, directors, proxies, slices, cores, .. } = self.fleet;
        let must = |holds: bool, field: &'static str, expected: &'static str| match holds {
            true => Ok(()),
            false => Err(InvalidScenario::Field { field, expected }),
        };
        must(
            zones > 0 && hosts > 0 && directors > 0 && proxies > 0 && slices > 0 && cores > 0,
            "fleet",
            "some of each",
        )?;
        must(self.seconds > 0.0 && self.seconds <= 1e6, "seconds", "more than 0 and up to 1000000")?;
        must(!self.load.routes.is_empty(), "load.routes", "one at least")?;
        must(
            self.load.routes.iter().all(|r| r.work > 0.0 && r.slo > 0.0 && r.limit >= r.slo),
            "load.routes",
            "work and slo above 0, limit not below slo",
        )?;
        must(self.load.fill > 0.0 && self.load.fill <= 10.0, "load.fill", "a share above 0 and up to 10")?;
        must(
            self.reports.interval > 0.0 && self.channel.lines_per_s > 0.0,
            "reports.interval, channel.lines_per_s",
            "more than 0",
        )?;
        must(self.faults.iter().all(|f| f.at >= 0.0 && f.lasts >= 0.0), "faults", "times of 0 or more")?;
        for change in &self.changes {
            change.edits().map_err(InvalidScenario::Change)?;
        }
        for fault in &self.faults {
            let known = match fault.what {
                What::KillZone { zone } | What::Cut { zone } => zone < zones,
                What::KillDirector { director } => director < directors,
                What::Cost { route, .. } => route < self.load.routes.len(),
                _ => true,
            };
            must(known, "faults", "zones, directors and routes that there are")?;
        }
        Ok(())
    }

    /// Calls a second that the load comes to, where hosts remember the keys of what they are sent.
    pub fn calls_per_s(&self) -> f64 {
        let shares: f64 = self.load.routes.iter().map(|route| route.share).sum();
        let work: f64 = self.load.routes.iter().map(|route| route.share / shares * route.work).sum();
        // Nine in ten keys are remembered where a slice has one host and calls come as they do by default.
        let warm = work * (1.0 - 0.9 * self.fleet.memory_saves);
        self.load.fill * f64::from(self.fleet.hosts) * f64::from(self.fleet.cores) / warm
    }
}
