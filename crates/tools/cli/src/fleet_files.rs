//! The files of a fleet that the guard judges without a director: pool, tables, orders and pending events. Their
//! forms are in `docs/guard.md`; times in them are seconds from now, so that they need no clock.
//!
//! serde prints the names of the types `...File` where a value of another type stands, so they are text that
//! operators see.

use crate::names::{intern, Names, UnknownHost};
use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{
    CapacityModel, Estimate, Host, HostEvent, ListedState, PendingEvent, Pool, Table,
};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A file that cannot be read, or names a host that the pool has not.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetFileError {
    #[error("{}: expected a file ({source})", .path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{}:{}: {}", .path.display(), .source.line(), without_position(.source))]
    Parse { path: PathBuf, source: serde_json::Error },
    #[error("{}: slice {slice}: {source}", .path.display())]
    UnknownHostOfSlice { path: PathBuf, slice: u16, source: UnknownHost },
    #[error("{}: {source}", .path.display())]
    UnknownHost { path: PathBuf, source: UnknownHost },
}

/// What serde found, without the line and column: the line stands behind the file's name.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_string()
}

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
    /// Calls a second that a host of weight 1 carries; absent: not known.
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
    #[serde(default = "default_weight")]
    weight: f64,
    /// Seconds since it started; absent: long.
    age: Option<f64>,
    #[serde(default)]
    state: StateFile,
    #[serde(default = "default_proven")]
    proven: bool,
    /// Proxies were ordered to keep away from it.
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
    /// Weights by host.
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
    #[serde(rename = "what")]
    event: ChangeFile,
}

fn default_weight() -> f64 {
    1.0
}

fn default_proven() -> bool {
    true
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, FleetFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| FleetFileError::Read { path: path.to_path_buf(), source })?;
    serde_json::from_str(&text).map_err(|source| FleetFileError::Parse { path: path.to_path_buf(), source })
}

/// A pool with its tables, and the names of what they number.
pub(crate) struct Fleet {
    pub(crate) names: Names,
    pub(crate) pool: Pool,
    pub(crate) tables: BTreeMap<SliceId, Table>,
}

impl Fleet {
    pub(crate) fn read(pool_path: &Path, tables_path: &Path) -> Result<Self, FleetFileError> {
        let pool_file: PoolFile = read_json(pool_path)?;
        let table_files: BTreeMap<u16, TableFile> = read_json(tables_path)?;
        let mut names = Names::default();
        let pool = build_pool(pool_file, &mut names);
        for route in table_files.values().flat_map(|table| table.demand.keys()) {
            intern(&mut names.routes, route);
        }
        let mut tables = BTreeMap::new();
        for (slice, file) in table_files {
            let table = build_table(&file, &mut names).map_err(|source| {
                FleetFileError::UnknownHostOfSlice { path: tables_path.to_path_buf(), slice, source }
            })?;
            tables.insert(SliceId(slice), table);
        }
        Ok(Fleet { names, pool, tables })
    }
}

fn build_pool(file: PoolFile, names: &mut Names) -> Pool {
    let BoundsFile { cold_from, ramp_time, fall_multiple, carries } = file.bounds;
    let carries = carries.map(|EstimateFile { low, middle }| Estimate { low, middle });
    let capacity_model = CapacityModel {
        cold_capacity_share: cold_from,
        slow_start_duration: ramp_time,
        collapse_multiple: fall_multiple,
        capacity: carries,
    };
    let mut hosts = BTreeMap::new();
    for (name, host) in file.hosts {
        let id = HostId(intern(&mut names.hosts, &name) as u32);
        let zone = ZoneId(intern(&mut names.zones, &host.zone) as u16);
        hosts.insert(id, build_host(&host, zone));
    }
    Pool { hosts, capacity_model }
}

fn build_host(file: &HostFile, zone: ZoneId) -> Host {
    Host {
        state: match file.state {
            StateFile::Ready => ListedState::Ready,
            StateFile::Draining => ListedState::Draining,
            StateFile::Gone => ListedState::Removed,
        },
        zone,
        weight: file.weight,
        started_at: file.age.map(|age| -age),
        proven: file.proven,
        withdrawn: file.out,
        speed: 1.0,
    }
}

/// All routes of all tables must be in `names` before: a table's demand is a vector over all of them.
fn build_table(file: &TableFile, names: &mut Names) -> Result<Table, UnknownHost> {
    let mut demand = vec![0.0; names.routes.len()];
    for (route, calls) in &file.demand {
        demand[intern(&mut names.routes, route)] = *calls;
    }
    let line = |(host, weight): (&String, &f64)| Ok((names.host_id(host)?, *weight));
    let lines = file.lines.iter().map(line).collect::<Result<BTreeMap<HostId, f64>, UnknownHost>>()?;
    Ok(Table { demand, weights: lines })
}

/// Orders in the calls in which a director would send them.
pub(crate) fn read_orders(path: &Path, names: &Names) -> Result<Vec<Vec<Order>>, FleetFileError> {
    let calls: Vec<Vec<OrderFile>> = read_json(path)?;
    let build_call = |call: Vec<OrderFile>| call.into_iter().map(|order| build_order(order, names)).collect();
    calls
        .into_iter()
        .map(build_call)
        .collect::<Result<_, UnknownHost>>()
        .map_err(|source| FleetFileError::UnknownHost { path: path.to_path_buf(), source })
}

fn build_order(file: OrderFile, names: &Names) -> Result<Order, UnknownHost> {
    Ok(match file {
        OrderFile::Line { slice, host, weight } => {
            Order::SetWeight { slice: SliceId(slice), host: names.host_id(&host)?, weight }
        }
        OrderFile::Clear { slice } => Order::ClearTable(SliceId(slice)),
        OrderFile::Withdraw { host, out } => {
            Order::SetWithdrawn { host: names.host_id(&host)?, withdrawn: out }
        }
    })
}

/// Events that are known to come.
pub(crate) fn read_pending(path: &Path, names: &Names) -> Result<Vec<PendingEvent>, FleetFileError> {
    let events: Vec<PendingFile> = read_json(path)?;
    events
        .into_iter()
        .map(|event| build_pending(&event, names))
        .collect::<Result<_, UnknownHost>>()
        .map_err(|source| FleetFileError::UnknownHost { path: path.to_path_buf(), source })
}

fn build_pending(file: &PendingFile, names: &Names) -> Result<PendingEvent, UnknownHost> {
    let event = match file.event {
        ChangeFile::Leaves => HostEvent::Leaves,
        ChangeFile::Opens => HostEvent::Opens,
    };
    Ok(PendingEvent { at: file.at, host: names.host_id(&file.host)?, event })
}
