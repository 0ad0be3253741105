//! A small deployment of two control-plane nodes, as in `deploy/small`: one of them loses its disk.
use crate::host::AdminList;
use crate::http::admin_call;
use crate::operator::{configuration, put};
use crate::run::{could_not_run, Outcome, Process, Record, Site};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `heal` of the settings, and `confirm`.
const HEAL: Duration = Duration::from_secs(15);
/// How long the configuration is read back, again and again; the rule says at least `inContact` (3 s).
const READ_BACK: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::create();
    let admins: AdminList = Arc::new(Mutex::new((1..=2).map(|host| site.admin(host)).collect()));
    let mut nodes: Vec<Process> =
        vec![site.node(1, "north", true, &[1, 2]), site.node(2, "south", true, &[1, 2])];
    nodes.iter_mut().for_each(|process| process.start(record));
    let routes = [("shelf", "/shelf/", "repeatable", "shelf")];
    if put(&configuration(1, &routes, &["shelf"], &[]), &admins, Duration::from_secs(10), record).is_none() {
        return could_not_run(record, "r1 is not acknowledged");
    }
    std::thread::sleep(Duration::from_secs(6));
    if put(&configuration(2, &routes, &["shelf"], &[]), &admins, Duration::from_secs(10), record).is_none() {
        return could_not_run(record, "r2 is not acknowledged");
    }
    nodes[0].kill(record);
    if trouble {
        record.line("node-1 loses its disk: its folder is empty when it comes back");
        let _ = std::fs::remove_dir_all(site.folder.join("data-1"));
    }
    std::thread::sleep(Duration::from_millis(800));
    let again = site.node(1, "north", false, &[1, 2]);
    drop(std::mem::replace(&mut nodes[0], again));
    nodes[0].start(record);
    std::thread::sleep(HEAL);
    record.line("heal is over; the configuration is read back");
    let (began, mut seen, mut answers) = (Instant::now(), None, BTreeMap::new());
    let mut turn = 0usize;
    while began.elapsed() < READ_BACK && seen.is_none() {
        let address = site.admin(1 + (turn % 2) as u8);
        turn += 1;
        let text = match admin_call(address, "GET", "/settings/read", b"", Duration::from_secs(1)) {
            Ok(answer) if answer.status() == 200 => {
                let revision = answer.text().chars().skip(13).take_while(|c| *c != '"').collect::<String>();
                seen = Some(revision.clone());
                format!("200 with {revision}")
            }
            Ok(answer) => format!("{} {}", answer.status(), answer.text()),
            Err(error) => format!("nothing: {error}"),
        };
        *answers.entry(format!("{address}: {text}")).or_insert(0u32) += 1;
        std::thread::sleep(Duration::from_millis(250));
    }
    for (answer, count) in &answers {
        record.line(format!("{count} reads at {answer}"));
    }
    record.line(format!("{turn} reads in {} s", began.elapsed().as_secs()));
    let acknowledged = seen.is_some()
        || put(&configuration(3, &routes, &["shelf"], &[]), &admins, Duration::from_secs(10), record)
            .is_some();
    for node in &nodes {
        for line in node.log_text().lines().rev().take(5).collect::<Vec<_>>().into_iter().rev() {
            record.line(format!("log of {}: {}", node.name, line));
        }
    }
    match seen.as_deref() {
        Some("r2") => {
            record.line("LOST and CONFIG hold: r2 is read back");
            Outcome::Held
        }
        other => {
            record.line(format!(
                "broken: read back {other:?} instead of r2; a new order is acknowledged: {acknowledged}"
            ));
            Outcome::Broken
        }
    }
}
