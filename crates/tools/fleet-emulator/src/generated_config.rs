//! A generated configuration of any size, for a control plane with emulated endpoints.
use serde_json::{json, Value};

/// Routes are spread over so many domains.
const DOMAINS: usize = 100;
const ROUTE_COLUMNS: [&str; 10] =
    ["name", "domain", "pathStart", "sort", "giveUp", "target_time", "rank", "shares", "tries", "backend"];
const SERVICE_COLUMNS: [&str; 4] = ["name", "checkPath", "maxConnections", "splitUp"];

/// The size of a generated configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSize {
    /// Its revision.
    pub revision: u64,
    /// How many routes it has.
    pub routes: usize,
    /// How many services it has.
    pub services: usize,
    /// How many of the services are sharded by key.
    pub sharded_services: usize,
}

/// The name of the service of endpoint `number`, of so many services.
pub fn service_name(number: usize, services: usize) -> String {
    format!("b{}", number % services.max(1))
}

/// A configuration as JSON, as `POST /settings/replace` accepts it.
pub fn generate_config(size: ConfigSize) -> String {
    let routes: Vec<Value> = (0..size.routes).map(|number| route_row(number, size.services)).collect();
    let services: Vec<Value> = (0..size.services).map(|number| service_row(number, size)).collect();
    json!({
        "revision": format!("r{}", size.revision),
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "backends": {"columns": SERVICE_COLUMNS, "rows": services},
    })
    .to_string()
}

fn route_row(number: usize, services: usize) -> Value {
    let domain = format!("d{}.example", number % DOMAINS);
    let path_prefix = format!("/p{number}/");
    let service = service_name(number, services);
    json!([format!("r{number}"), domain, path_prefix, "repeatable", "5s", "1s", 1, null, 2, service])
}

fn service_row(number: usize, size: ConfigSize) -> Value {
    json!([service_name(number, size.services), "/wellness", 100, number < size.sharded_services])
}
