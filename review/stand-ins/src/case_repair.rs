//! A director loses its disk right after it has acknowledged a configuration, and comes back. Later than
//! `sync_time` after that another one loses its disk. Operators send changes meanwhile. `survive` is 1, so one
//! disk at a time may be lost; the configuration must be there in the end.
use crate::gateway::{Failure, Gateway};
use crate::http::{call, call_admin};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

const SYNC_TIME: Duration = Duration::from_secs(4);
/// How long a director is down when its disk is lost.
const DOWN: Duration = Duration::from_millis(300);
/// Orders that are under way at once, at most; the pages allow eight.
const OPERATORS: usize = 8;
/// From the end of the orders until the configuration is read back: `heal`.
const HEAL: Duration = Duration::from_secs(15);
/// How long it is read back; the pages say `inContact` (3 s) at least.
const READ_BACK: Duration = Duration::from_secs(10);

/// Routes of each configuration.
const ROUTES: u64 = 700;

/// A configuration with many routes.
fn config(revision: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|n| {
            format!(
                r#"["r-{n}","jepu{}.example","/lepu{n}/","repeatable","{}ms","400ms",2,null,2,"tafuta"]"#,
                n % 40,
                2000 + revision % 500
            )
        })
        .collect();
    let routes = routes.join(",");
    format!(
        r#"{{"revision":"r{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[{routes}]}},"backends":{{"columns":["name","checkPath","maxConnections","protocol","encrypted","splitUp"],"rows":[["tafuta","/wellness",110,"h1",false,null]]}},"caps":{{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}}}"#
    )
}

/// The operators: each sends one order after the other, to the directors in turn.
struct Operators {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    acknowledged: Arc<AtomicU64>,
    count: Arc<AtomicU64>,
}

impl Operators {
    fn start(directors: &[SocketAddr], record: &Record) -> Operators {
        let (stop, last, acknowledged, count) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(1)),
            Arc::new(AtomicU64::new(1)),
            Arc::new(AtomicU64::new(0)),
        );
        let threads = (0..OPERATORS).map(|number| {
            let (stop, last, acknowledged, count, record) =
                (stop.clone(), last.clone(), acknowledged.clone(), count.clone(), record.clone());
            let directors = directors.to_vec();
            thread::spawn(move || {
                let mut turn = number;
                while !stop.load(SeqCst) {
                    let revision = last.fetch_add(1, SeqCst) + 1;
                    let body = config(revision);
                    // The same order goes out again until it is acknowledged or overtaken.
                    while !stop.load(SeqCst) && acknowledged.load(SeqCst) < revision {
                        let address = directors[turn % directors.len()];
                        turn += 1;
                        let answer =
                            call_admin(address, "POST", "/settings/replace", &body, Duration::from_secs(2));
                        match answer.map(|answer| answer.status()) {
                            Ok(200) => {
                                acknowledged.fetch_max(revision, SeqCst);
                                count.fetch_add(1, SeqCst);
                                record.line(&format!("operator gets 200 for r{revision} from {address}"));
                            }
                            _ => sleep(Duration::from_millis(50)),
                        }
                    }
                }
            })
        });
        let threads = threads.collect();
        Operators { stop, threads, acknowledged, count }
    }

    fn stop(self) -> u64 {
        self.stop.store(true, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.acknowledged.load(SeqCst)
    }
}

/// The director that answers a read itself, which is the leader.
fn leader(directors: &[SocketAddr]) -> Option<usize> {
    directors.iter().position(|address| {
        call(*address, "GET /settings/read", "", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    })
}

fn lose_disk(gateway: &mut Gateway, number: usize, record: &Record) -> Result<(), Failure> {
    record.say(&format!("director {} loses its disk", number + 1));
    gateway.directors[number].kill(record);
    std::fs::remove_dir_all(gateway.folder.join(format!("data-{}", number + 1)))?;
    sleep(DOWN);
    gateway.write_director_settings(number, false)?;
    gateway.directors[number].start(record)
}

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let mut gateway = Gateway::prepare(3, 0)?;
    gateway.start_all(record)?;
    gateway.configure(&config(1), record, Duration::from_secs(15))?;
    let directors = gateway.admin_addresses();
    sleep(Duration::from_secs(5));
    let operators = Operators::start(&directors, record);
    sleep(Duration::from_millis(300));
    if !trouble {
        sleep(2 * (DOWN + SYNC_TIME));
    } else {
        let first = (0..50).find_map(|_| leader(&directors)).ok_or("no leader")?;
        lose_disk(&mut gateway, first, record)?;
        let back = Instant::now();
        // The next loss is later than `sync_time` after the return.
        sleep(SYNC_TIME + Duration::from_millis(200));
        let leads = leader(&directors);
        record.say(&format!(
            "{:?} after the return the leader is {:?}",
            back.elapsed(),
            leads.map(|n| n + 1)
        ));
        let second = (0..directors.len()).find(|number| *number != first && Some(*number) != leads);
        lose_disk(&mut gateway, second.ok_or("no other director")?, record)?;
        sleep(SYNC_TIME);
    }
    record.say(&format!("{} orders were acknowledged", operators.count.load(SeqCst)));
    let newest = operators.stop();
    sleep(HEAL);
    let until = Instant::now() + READ_BACK;
    let mut found = None;
    while found.is_none() && Instant::now() < until {
        for address in &directors {
            if let Ok(answer) = call_admin(*address, "GET", "/settings/read", "", Duration::from_secs(2)) {
                if answer.status() == 200 {
                    let text = answer.text();
                    let revision =
                        text.split("\"revision\":\"r").nth(1).and_then(|rest| rest.split('"').next());
                    found = revision.and_then(|text| text.parse::<u64>().ok());
                }
                record.line(&format!("operator reads back from {address}: {} {found:?}", answer.status()));
            }
        }
        sleep(Duration::from_millis(200));
    }
    gateway.record_logs(record);
    record.say(&format!("acknowledged up to r{newest}; read back: {found:?}"));
    let held = found.is_some_and(|found| found >= newest);
    record.say(match (held, found) {
        (true, _) => "CONFIG held",
        (false, None) => "CONFIG broken: the configuration does not come",
        (false, Some(_)) => "CONFIG broken: the configuration is older than the newest acknowledged one",
    });
    Ok(held)
}
