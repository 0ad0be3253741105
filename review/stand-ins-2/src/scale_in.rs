//! Hosts of a service that is divided by key are emptied and taken away, a few at a time; what is left is well.
use crate::client::{get_key, is_ready};
use crate::host::AdminList;
use crate::operator::{configuration, put};
use crate::run::{could_not_run, wait_until, Outcome, Process, Record, Site, CLIENT_PORT, READINESS_PORT};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOSTS: u8 = 65;
const LEFT: usize = 6;
/// The largest share of the hosts that leave in one step: the default of `scale_in`.
const SHARE: f64 = 0.15;
const STEP: Duration = Duration::from_millis(1800);
/// More than `empty` and what a host serves on beyond it, and a lease (half of `keepMax`) with its allowance.
const REST: Duration = Duration::from_secs(14);
const MEASURED: Duration = Duration::from_secs(15);
const EDGE: u8 = 200;
const FIRST_HOST: u8 = 50;

/// Clients that send side by side.
const CLIENTS: u64 = 4;

/// What was served on the first route and on the later one, of how many requests.
fn traffic(edge: SocketAddr, length: Duration, record: &Record) -> [(u32, u32); 2] {
    let client = move |number: u64| {
        let (began, mut statuses) = (Instant::now(), BTreeMap::new());
        // Keys are drawn evenly from the whole space (xorshift64).
        let mut random = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number + 1);
        while began.elapsed() < length {
            for (route, path) in ["/ledger/1", "/tables/1"].iter().enumerate() {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                let key = (route == 1).then_some((random >> 40) as u16);
                let seen = get_key(edge, "shop.example", path, Duration::from_secs(2), key);
                *statuses.entry((route, seen.status())).or_insert(0u32) += 1;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        statuses
    };
    let clients: Vec<_> = (0..CLIENTS).map(|number| std::thread::spawn(move || client(number))).collect();
    let (mut counts, mut sums) = ([(0, 0); 2], BTreeMap::new());
    for client in clients {
        for ((route, status), count) in client.join().unwrap_or_default() {
            counts[route].1 += count;
            counts[route].0 += if status == 200 { count } else { 0 };
            *sums.entry((["/ledger/1", "/tables/1"][route], status)).or_insert(0u32) += count;
        }
    }
    record.line(format!("by path and status (0: no answer): {sums:?}"));
    counts
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::create();
    let admins: AdminList = Arc::new(Mutex::new((1..=2).map(|host| site.admin(host)).collect()));
    let mut processes: Vec<Process> = vec![
        site.node(1, "north", true, &[1, 2]),
        site.node(2, "south", true, &[1, 2]),
        site.edge(EDGE, "north", &[1, 2]),
    ];
    processes.extend((0..2).map(|number| site.stub(40 + number, "ledger", "north", &[1, 2], false)));
    let mut hosts: Vec<Process> =
        (0..HOSTS).map(|number| site.stub(FIRST_HOST + number, "tables", "north", &[1, 2], true)).collect();
    processes.iter_mut().chain(&mut hosts).for_each(|process| process.start(record));
    let services = ["ledger", "tables"];
    let first = [("ledger", "/ledger/", "repeatable", "ledger")];
    let later = [first[0], ("tables", "/tables/", "repeatable", "tables")];
    let limit = Duration::from_secs(10);
    if put(&configuration(1, &first, &services, &["tables"]), &admins, limit, record).is_none()
        || put(&configuration(2, &later, &services, &["tables"]), &admins, limit, record).is_none()
    {
        return could_not_run(record, "a configuration is not acknowledged");
    }
    let edge = site.address(EDGE, CLIENT_PORT);
    if !wait_until(Duration::from_secs(15), || is_ready(site.address(EDGE, READINESS_PORT))) {
        return could_not_run(record, "the edge is not ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let [_, (served, sent)] = traffic(edge, Duration::from_secs(3), record);
    record.line(format!("with {HOSTS} hosts: {served} of {sent} requests on the later route are served"));
    if served * 10 < sent * 9 {
        return could_not_run(record, "the later route is not served at first");
    }
    let mut leaving: Vec<Process> = Vec::new();
    while trouble && hosts.len() > LEFT {
        let count = ((hosts.len() as f64 * SHARE) as usize).clamp(1, hosts.len() - LEFT);
        let step: Vec<Process> = hosts.drain(..count).collect();
        record.line(format!("{count} of {} hosts begin to leave", hosts.len() + count));
        step.iter().for_each(|host| host.signal("TERM", record));
        leaving.extend(step);
        std::thread::sleep(STEP);
    }
    std::thread::sleep(REST);
    let running = |hosts: &mut [Process]| hosts.iter_mut().map(Process::runs).filter(|runs| *runs).count();
    let (gone, well) = (leaving.len() - running(&mut leaving), running(&mut hosts));
    record.line(format!(
        "{gone} of {} hosts that left have ended; {well} hosts are there and well",
        leaving.len()
    ));
    let [(first_served, first_sent), (later_served, later_sent)] = traffic(edge, MEASURED, record);
    record.line(format!("in calm time: first route {first_served} of {first_sent} served, later route {later_served} of {later_sent} served"));
    if later_sent < 20 || first_served * 2 < first_sent || well == 0 {
        return could_not_run(record, "too little was measured");
    }
    // Under a quarter as often.
    if u64::from(later_served) * 4 * u64::from(first_sent) < u64::from(first_served) * u64::from(later_sent) {
        record.line("CONFIG is broken: the later route is served under a quarter as often as the first");
        return Outcome::Broken;
    }
    record.line("CONFIG holds");
    Outcome::Held
}
