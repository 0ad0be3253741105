//! Two single losses of disks, more than `sync_time` apart, while operators change the configuration.
use crate::host::AdminList;
use crate::http::{admin_call, call};
use crate::operator::put;
use crate::run::{could_not_run, Outcome, Process, Record, Site};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Orders that are under way at once; the pages allow eight.
const UNDER_WAY: usize = 8;
/// Routes of a configuration; the operators' target has 5,300.
const ROUTES: usize = 1_000;
/// `sync_time` of the settings: a machine counts as lost for so long after its return.
const SYNC_TIME: Duration = Duration::from_secs(4);
/// More than `sync_time`.
const MARGIN: Duration = Duration::from_millis(300);
/// How long a machine is down.
const DOWN: Duration = Duration::from_millis(500);
/// How long orders come before the first loss and after the second.
const AROUND: Duration = Duration::from_millis(1500);
/// `heal` of the settings.
const HEAL: Duration = Duration::from_secs(15);
const READ_BACK: Duration = Duration::from_secs(20);
/// The first pause after an order that was not acknowledged; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// The routes of all configurations but for the first, and the rest behind them.
fn rest() -> String {
    let mut text = String::new();
    for route in 1..ROUTES {
        text += &format!(
            r#",["r-{route:06}","h{:03}.example","/p{route:06}/","repeatable","5000ms","800ms",2,null,2,"shelf"]"#,
            route % 300
        );
    }
    text + r#"]},"backends":{"columns":["name","checkPath","maxConnections","splitUp"],"rows":[["shelf","/wellness",100,null]]},"caps":{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}"#
}

/// A configuration; the revision decides the time-out of its first route.
fn configuration(revision: u64, rest: &str) -> String {
    let start = format!(
        r#"{{"revision":"r{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[["shelf","shop.example","/shelf/","repeatable","{}ms","500ms",1,null,2,"shelf"]"#,
        2000 + revision % 500
    );
    start + rest
}

/// What the operators share.
struct Orders {
    rest: String,
    admins: Vec<SocketAddr>,
    next: AtomicU64,
    acknowledged: AtomicU64,
    newest: AtomicU64,
    stop: AtomicBool,
}

/// Sends one order after the other, each again and unchanged until it is acknowledged.
fn operator(orders: &Orders, mut turn: usize) {
    while !orders.stop.load(Ordering::Relaxed) {
        let revision = orders.next.fetch_add(1, Ordering::Relaxed);
        let body = configuration(revision, &orders.rest);
        let mut pause = PAUSE;
        while !orders.stop.load(Ordering::Relaxed) {
            let address = orders.admins[turn % orders.admins.len()];
            let limit = Duration::from_millis(1500);
            let answer = admin_call(address, "POST", "/settings/replace", body.as_bytes(), limit);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                orders.acknowledged.fetch_add(1, Ordering::Relaxed);
                orders.newest.fetch_max(revision, Ordering::Relaxed);
                break;
            }
            turn += 1;
            std::thread::sleep(pause);
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

/// The node that answers a read itself.
fn leader(site: &Site, nodes: u8) -> Option<u8> {
    (1..=nodes).find(|host| {
        let answer = call(site.admin(*host), "GET", "/settings/read", &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    })
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::create();
    let zones = ["north", "south", "east", "west"];
    let nodes_count = zones.len() as u8;
    let mut nodes: Vec<Process> =
        (1..=nodes_count).map(|host| site.node(host, zones[host as usize - 1], true, &[1, 2, 3])).collect();
    nodes.iter_mut().for_each(|process| process.start(record));
    let addresses: Vec<SocketAddr> = (1..=nodes_count).map(|host| site.admin(host)).collect();
    let admins: AdminList = Arc::new(Mutex::new(addresses.clone()));
    if put(&configuration(1, &rest()), &admins, Duration::from_secs(10), record).is_none() {
        return could_not_run(record, "r1 is not acknowledged");
    }
    std::thread::sleep(Duration::from_secs(6));
    let Some(leading) = leader(&site, nodes_count) else { return could_not_run(record, "no node leads") };
    // The machines whose names all settings hold, but for the one that acts.
    let victims: Vec<u8> = (1..=3).rev().filter(|host| *host != leading).collect();
    record.line(format!(
        "node-{leading} answers reads; node-{} and then node-{} will lose their disks",
        victims[0], victims[1]
    ));
    let orders = Arc::new(Orders {
        rest: rest(),
        admins: addresses.clone(),
        next: AtomicU64::new(2),
        acknowledged: AtomicU64::new(0),
        newest: AtomicU64::new(1),
        stop: AtomicBool::new(false),
    });

    let operators: Vec<_> = (0..UNDER_WAY)
        .map(|number| {
            let orders = orders.clone();
            std::thread::spawn(move || operator(&orders, number))
        })
        .collect();
    let count = |what: &str| {
        let (acknowledged, newest) =
            (orders.acknowledged.load(Ordering::Relaxed), orders.newest.load(Ordering::Relaxed));
        record.line(format!("{what}: {acknowledged} orders are acknowledged, the newest r{newest}"));
    };
    std::thread::sleep(AROUND);
    for (number, victim) in victims.iter().enumerate() {
        count("before the loss");
        if trouble {
            let node = &mut nodes[*victim as usize - 1];
            node.kill(record);
            let _ = std::fs::remove_dir_all(site.folder.join(format!("data-{victim}")));
            record.line(format!("node-{victim} has lost its disk"));
            std::thread::sleep(DOWN);
            let mut again = site.node(*victim, zones[*victim as usize - 1], false, &[1, 2, 3]);
            again.start(record);
            *node = again;
        } else {
            std::thread::sleep(DOWN);
        }
        if number == 0 {
            std::thread::sleep(SYNC_TIME + MARGIN);
        }
    }
    std::thread::sleep(AROUND);
    orders.stop.store(true, Ordering::Relaxed);
    for operator in operators {
        let _ = operator.join();
    }
    count("the operators stop");
    let newest = orders.newest.load(Ordering::Relaxed);
    std::thread::sleep(HEAL);
    let (began, mut answers, mut turn, mut seen) = (Instant::now(), BTreeMap::new(), 0, None);
    while began.elapsed() < READ_BACK && seen.is_none() {
        let address = addresses[turn % addresses.len()];
        turn += 1;
        let text = match admin_call(address, "GET", "/settings/read", b"", Duration::from_secs(1)) {
            Ok(answer) if answer.status() == 200 => {
                let revision = answer.text().chars().skip(13).take_while(|c| *c != '"').collect::<String>();
                seen = revision.strip_prefix('r').and_then(|number| number.parse::<u64>().ok());
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
    for node in &nodes {
        for line in node
            .log_text()
            .lines()
            .filter(|line| !line.contains("in force"))
            .collect::<Vec<_>>()
            .iter()
            .rev()
            .take(4)
            .rev()
        {
            record.line(format!("log of {}: {}", node.name, line));
        }
    }
    // An order that got no clear answer may or may not be in force.
    if seen.is_some_and(|revision| revision >= newest) {
        record.line(format!("CONFIG holds: r{} is read back, r{newest} was acknowledged", seen.unwrap_or(0)));
        return Outcome::Held;
    }
    record.line(format!("CONFIG is broken: read back {seen:?}, r{newest} was acknowledged"));
    Outcome::Broken
}
