//! `plan drain`: how many hosts at a time, in which order, and how long to wait between them.

use super::announce::Departure;
use super::error::CommandError;
use crate::fleet_files::Fleet;
use crate::names::{Names, UnknownHost};
use crate::output::print;
use coppersail::interface::HostId;
use coppersail_capacity_guard::{drain, DrainPlanStep, DrainRequest, Pool, Table};
use serde_json::json;
use std::collections::BTreeSet;
use std::path::Path;

/// In place of names: every host of the pool.
const ALL_HOSTS: &str = "all";

/// Prints the plan; it is an error if it cannot be carried out safely.
pub(crate) fn run(
    pool: &Path,
    tables: &Path,
    hosts: &[String],
    back_after: Option<f64>,
    max_at_once: Option<usize>,
    json: bool,
) -> Result<DrainPlan, CommandError> {
    let Fleet { names, pool, tables } = Fleet::read(pool, tables)?;
    let hosts = select_hosts(hosts, &names, &pool)?;
    let calls = tables.values().map(Table::calls).sum();
    let wanted = DrainRequest { hosts, return_after: back_after, max_hosts_at_once: max_at_once, calls };
    let steps = drain(&pool, &wanted, 0.0);
    let planned: usize = steps.iter().map(|step| step.hosts.len()).sum();
    let steps = steps.into_iter().map(|step| DrainStep::new(step, &names)).collect();
    let plan = DrainPlan { steps, remaining: wanted.hosts.len() - planned };
    print(&if json { plan.to_json() } else { plan.to_text() });
    let forced = plan.steps.iter().filter(|step| step.forced).count();
    if forced > 0 || plan.remaining > 0 {
        return Err(CommandError::PlanRejected { forced, remaining: plan.remaining });
    }
    Ok(plan)
}

fn select_hosts(hosts: &[String], names: &Names, pool: &Pool) -> Result<BTreeSet<HostId>, UnknownHost> {
    if hosts == [ALL_HOSTS] {
        return Ok(pool.hosts.keys().copied().collect());
    }
    hosts.iter().map(|host| names.host_id(host)).collect()
}

pub(crate) struct DrainPlan {
    steps: Vec<DrainStep>,
    /// Hosts that cannot be drained: others must serve.
    remaining: usize,
}

struct DrainStep {
    /// Seconds from the beginning.
    at: f64,
    hosts: Vec<String>,
    /// Share of its capacity that the rest of the fleet needs then; none: the capacity is not known.
    fill: Option<f64>,
    /// The rest of the fleet cannot carry the load, and waiting does not help.
    forced: bool,
}

impl DrainStep {
    fn new(step: DrainPlanStep, names: &Names) -> Self {
        let DrainPlanStep { at, hosts, utilisation: fill, forced } = step;
        let hosts = hosts.into_iter().map(|host| names.host_name(host).to_string()).collect();
        DrainStep { at, hosts, fill, forced }
    }

    fn to_line(&self) -> String {
        let percent = |fill: f64| format!("the others {:.0}% full", 100.0 * fill);
        let load = self.fill.map_or("load not known".to_string(), percent);
        let forced = if self.forced { ", BY FORCE: they cannot carry it" } else { "" };
        format!("{:>7.0} s  {}  ({load}{forced})\n", self.at, self.hosts.join(" "))
    }
}

impl DrainPlan {
    /// When each host leaves if the first step is in so many seconds.
    pub(crate) fn departures(&self, lead_seconds: f64) -> Vec<Departure> {
        let departures = |step: &DrainStep| {
            let in_seconds = Some(lead_seconds + step.at);
            let departure = move |host: &String| Departure { host: host.clone(), in_seconds };
            step.hosts.iter().map(departure).collect::<Vec<_>>()
        };
        self.steps.iter().flat_map(departures).collect()
    }

    fn to_text(&self) -> String {
        let mut text: String = self.steps.iter().map(DrainStep::to_line).collect();
        if self.remaining > 0 {
            text += &format!("{} hosts are left: somebody must serve\n", self.remaining);
        }
        text
    }

    fn to_json(&self) -> String {
        let step = |step: &DrainStep| json!({"at": step.at, "hosts": step.hosts, "fill": step.fill, "forced": step.forced});
        let steps: Vec<_> = self.steps.iter().map(step).collect();
        json!({"steps": steps, "left": self.remaining}).to_string()
    }
}
