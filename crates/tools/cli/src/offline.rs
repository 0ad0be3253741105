//! The guard's judgement and its plans without a director, from files. Their forms are in `docs/guard.md`.

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{
    drain as plan, Bounds, Change, Drain, Estimate, Guard, Host, Pending, Pool, Reason, Refused, State,
    Table, Verdict,
};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolFile {
    bounds: BoundsFile,
    hosts: BTreeMap<String, HostFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundsFile {
    cold_from: f64,
    ramp_time: f64,
    fall_multiple: f64,
    carries: Option<EstimateFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EstimateFile {
    low: f64,
    middle: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostFile {
    zone: String,
    #[serde(default = "one")]
    weight: f64,
    /// Seconds since it started; absent: long.
    age: Option<f64>,
    #[serde(default)]
    state: StateFile,
    #[serde(default = "yes")]
    proven: bool,
    #[serde(default)]
    out: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum StateFile {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TableFile {
    /// Calls a second by route.
    demand: BTreeMap<String, f64>,
    lines: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum OrderFile {
    Line { slice: u16, host: String, weight: f64 },
    Clear { slice: u16 },
    Withdraw { host: String, out: bool },
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ChangeFile {
    Leaves,
    Opens,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PendingFile {
    /// Seconds from now.
    at: f64,
    host: String,
    what: ChangeFile,
}

fn one() -> f64 {
    1.0
}
fn yes() -> bool {
    true
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|wrong| format!("{}: expected a file ({wrong})", path.display()))?;
    serde_json::from_str(&text).map_err(|wrong| {
        let what = wrong.to_string();
        let what = what.split(" at line ").next().unwrap_or_default();
        format!("{}:{}: {what}", path.display(), wrong.line())
    })
}

/// Names, and the numbers that stand for them.
#[derive(Default)]
struct Names {
    hosts: Vec<String>,
    zones: Vec<String>,
    routes: Vec<String>,
}

fn place(list: &mut Vec<String>, name: &str) -> usize {
    list.iter().position(|known| known == name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() - 1
    })
}

impl Names {
    fn host(&self, name: &str) -> Result<HostId, String> {
        let at = self.hosts.iter().position(|known| known == name);
        at.map(|at| HostId(at as u32)).ok_or(format!("host {name}: expected one of the pool"))
    }

    fn host_name(&self, host: HostId) -> &str {
        &self.hosts[host.0 as usize]
    }

    fn said(&self, reason: &Reason) -> String {
        match reason {
            Reason::Bare { slice } => format!("slice {}: no open host", slice.0),
            Reason::Falls { host, calls, stands } => {
                format!(
                    "cold host {}: {calls:.1} calls a second, it stands {stands:.1}",
                    self.host_name(*host)
                )
            }
            Reason::Over { host, calls, carries } => {
                format!("host {}: {calls:.1} calls a second, at most {carries:.1}", self.host_name(*host))
            }
            Reason::Piled { route, host, share, bound } => {
                let (host, route) = (self.host_name(*host), &self.routes[route.0 as usize]);
                format!("host {host}: {share:.2} of route {route}, at most {bound:.2}")
            }
            Reason::Crammed { route, zone, share, bound } => {
                let (zone, route) = (&self.zones[zone.0 as usize], &self.routes[route.0 as usize]);
                format!("zone {zone}: {share:.2} of route {route}, at most {bound:.2}")
            }
        }
    }

    fn order(&self, order: &Order) -> String {
        match order {
            Order::Line { slice, host, weight } => {
                format!("slice {} host {} weight {weight}", slice.0, self.host_name(*host))
            }
            order => format!("{order:?}"),
        }
    }
}

struct Read {
    names: Names,
    pool: Pool,
    tables: BTreeMap<SliceId, Table>,
}

/// Times are seconds from now, so that the files need no clock.
fn files(pool: &Path, tables: &Path) -> Result<Read, String> {
    let (file, slices): (PoolFile, BTreeMap<u16, TableFile>) = (read(pool)?, read(tables)?);
    let mut names = Names::default();
    let bounds = Bounds {
        cold_from: file.bounds.cold_from,
        ramp_time: file.bounds.ramp_time,
        fall_multiple: file.bounds.fall_multiple,
        carries: file.bounds.carries.map(|carries| Estimate { low: carries.low, middle: carries.middle }),
    };
    let mut hosts = BTreeMap::new();
    for (name, host) in file.hosts {
        let id = HostId(place(&mut names.hosts, &name) as u32);
        let state = match host.state {
            StateFile::Ready => State::Ready,
            StateFile::Draining => State::Draining,
            StateFile::Gone => State::Gone,
        };
        let zone = ZoneId(place(&mut names.zones, &host.zone) as u16);
        let (weight, born, proven, out) = (host.weight, host.age.map(|age| -age), host.proven, host.out);
        hosts.insert(id, Host { state, zone, weight, born, proven, out, speed: 1.0 });
    }
    for table in slices.values() {
        table.demand.keys().for_each(|route| _ = place(&mut names.routes, route));
    }
    let mut made = BTreeMap::new();
    for (slice, table) in slices {
        let mut demand = vec![0.0; names.routes.len()];
        table.demand.iter().for_each(|(route, calls)| demand[place(&mut names.routes, route)] = *calls);
        let line = |(host, weight): (&String, &f64)| {
            let host =
                names.host(host).map_err(|wrong| format!("{}: slice {slice}: {wrong}", tables.display()))?;
            Ok((host, *weight))
        };
        let lines: Result<BTreeMap<HostId, f64>, String> = table.lines.iter().map(line).collect();
        made.insert(SliceId(slice), Table { demand, lines: lines? });
    }
    Ok(Read { names, pool: Pool { hosts, bounds }, tables: made })
}

pub struct Told {
    pub passes: bool,
    pub text: String,
    pub json: String,
    /// In a few words.
    pub short: String,
    /// Of a plan: which hosts leave, and after how many seconds.
    pub steps: Vec<(f64, Vec<String>)>,
}

fn orders(path: &Path, names: &Names) -> Result<Vec<Vec<Order>>, String> {
    let calls: Vec<Vec<OrderFile>> = read(path)?;
    let order = |order: OrderFile| {
        Ok(match order {
            OrderFile::Line { slice, host, weight } => {
                Order::Line { slice: SliceId(slice), host: names.host(&host)?, weight }
            }
            OrderFile::Clear { slice } => Order::Clear(SliceId(slice)),
            OrderFile::Withdraw { host, out } => Order::Withdraw { host: names.host(&host)?, out },
        })
    };
    let made: Result<Vec<Vec<Order>>, String> =
        calls.into_iter().map(|call| call.into_iter().map(order).collect()).collect();
    made.map_err(|wrong| format!("{}: {wrong}", path.display()))
}

fn pending(path: &Path, names: &Names) -> Result<Vec<Pending>, String> {
    let events: Vec<PendingFile> = read(path)?;
    let event = |event: PendingFile| {
        let what = match event.what {
            ChangeFile::Leaves => Change::Leaves,
            ChangeFile::Opens => Change::Opens,
        };
        Ok(Pending { at: event.at, host: names.host(&event.host)?, what })
    };
    let made: Result<Vec<Pending>, String> = events.into_iter().map(event).collect();
    made.map_err(|wrong| format!("{}: {wrong}", path.display()))
}

pub fn judge(
    pool: &Path,
    tables: &Path,
    orders_file: Option<&Path>,
    pending_file: Option<&Path>,
) -> Result<Told, String> {
    let Read { names, pool, tables } = files(pool, tables)?;
    let pending = pending_file.map(|path| pending(path, &names)).transpose()?.unwrap_or_default();
    let routes = names.routes.len();
    let (mut guard, calls) = match orders_file {
        Some(path) => (Guard::new(pool, &tables, routes), orders(path, &names)?),
        None => {
            // What stands is judged as if it were proposed to a fleet without any tables.
            let line = |slice: &SliceId, host: &HostId, weight: &f64| Order::Line {
                slice: *slice,
                host: *host,
                weight: *weight,
            };
            let all = tables.iter().flat_map(|(slice, table)| {
                table.lines.iter().map(move |(host, weight)| line(slice, host, weight))
            });
            let calls = vec![all.collect()];
            let none = |table: &Table| Table { lines: BTreeMap::new(), ..table.clone() };
            let empty = tables.iter().map(|(slice, table)| (*slice, none(table))).collect();
            (Guard::new(pool, &empty, routes), calls)
        }
    };
    let verdict = guard.judge(&calls, &pending, 0.0);
    let nothing = Refused::default();
    let (name, found) = match &verdict {
        Verdict::Accepted => ("accepted", &nothing),
        Verdict::Least(found) => ("accepted, as less bad than what stands", found),
        Verdict::Refused(found) => ("refused", found),
    };
    // With nothing standing any table is less bad; then it is what is wrong with it that counts.
    let passes = verdict.passes() && (orders_file.is_some() || found.reasons.is_empty());
    let name = if passes || orders_file.is_some() { name } else { "unsafe as it stands" };
    let reasons: Vec<String> =
        found.reasons.iter().map(|u| format!("{}, {}", names.said(&u.reason), u.when)).collect();
    let repair = found.repair.as_ref();
    let mends: Vec<String> =
        repair.map_or(vec![], |repair| repair.orders().iter().map(|o| names.order(o)).collect());
    let whole = repair.is_some_and(|repair| repair.left == Default::default());
    let mut text = format!("{name}\n");
    reasons.iter().for_each(|reason| text += &format!("  {reason}\n"));
    if !mends.is_empty() {
        text += if whole { "safe with:\n" } else { "safer, though not safe, with:\n" };
        mends.iter().for_each(|order| text += &format!("  {order}\n"));
    }
    let json = json!({"is": name, "reasons": reasons, "repair": mends, "repair_whole": whole}).to_string();
    let short = format!("{name}, {} reasons", found.reasons.len());
    Ok(Told { passes, text, json, short, steps: vec![] })
}

pub fn drain(
    pool: &Path,
    tables: &Path,
    hosts: &[String],
    back_after: Option<f64>,
    most: Option<usize>,
) -> Result<Told, String> {
    let Read { names, pool, tables } = files(pool, tables)?;
    let all = hosts == ["all"];
    let hosts = if all {
        Ok(pool.hosts.keys().copied().collect())
    } else {
        hosts.iter().map(|host| names.host(host)).collect::<Result<_, _>>()
    };
    let calls = tables.values().map(Table::calls).sum();
    let wanted = Drain { hosts: hosts?, back_after, most, calls };
    let steps = plan(&pool, &wanted, 0.0);
    let planned: usize = steps.iter().map(|step| step.hosts.len()).sum();
    let left = wanted.hosts.len() - planned;
    let forced = steps.iter().filter(|step| step.forced).count();
    let mut text = String::new();
    let mut rows = Vec::new();
    for step in &steps {
        let hosts: Vec<&str> = step.hosts.iter().map(|host| names.host_name(*host)).collect();
        let fill = step
            .fill
            .map_or("load not known".to_string(), |fill| format!("the others {:.0}% full", 100.0 * fill));
        let forced = if step.forced { ", BY FORCE: they cannot carry it" } else { "" };
        text += &format!("{:>7.0} s  {}  ({fill}{forced})\n", step.at, hosts.join(" "));
        rows.push(json!({"at": step.at, "hosts": hosts, "fill": step.fill, "forced": step.forced}));
    }
    if left > 0 {
        text += &format!("{left} hosts are left: somebody must serve\n");
    }
    let short = format!("{forced} steps by force, {left} hosts left");
    Ok(Told {
        passes: forced == 0 && left == 0,
        text,
        json: json!({"steps": rows, "left": left}).to_string(),
        short,
        steps: steps
            .iter()
            .map(|step| (step.at, step.hosts.iter().map(|id| names.host_name(*id).to_string()).collect()))
            .collect(),
    })
}
