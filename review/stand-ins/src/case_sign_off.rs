//! A host signs off soon after all processes of the core were killed and came back. Its acknowledged
//! sign-off must keep requests away from it once `empty` is over.
use crate::client::{Clients, Traffic};
use crate::gateway::{Failure, Gateway, EMPTY, HEARTBEAT, IN_CONTACT};
use crate::host::{Host, HostSettings};
use crate::record::Record;
use std::collections::HashMap;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVICE: &str = "tafuta";
const LOOKUPS: Traffic =
    Traffic { name: "lookup", method: "GET", domain: "jepu9.example", path: "/lepu270/2f", keyed: false };
/// How long the core is down; the pages allow a second.
const DOWN: Duration = Duration::from_millis(300);
/// From the host's last beat to the kill, and to its sign-off; its next beat would be due after HEARTBEAT.
const BEAT_TO_KILL: Duration = Duration::from_millis(100);
const BEAT_TO_SIGN_OFF: Duration = Duration::from_millis(1000);
/// The host serves on for `empty` and some seconds more.
const SERVES_ON: f64 = EMPTY + 6.0;

const CONFIG: &str = r#"{"revision":"r1","routes":{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[["r-1","jepu9.example","/lepu270/","repeatable","2000ms","400ms",2,null,2,"tafuta"]]},"backends":{"columns":["name","checkPath","maxConnections","protocol","encrypted","splitUp"],"rows":[["tafuta","/wellness",110,"h1",false,null]]},"caps":{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}"#;

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let mut gateway = Gateway::prepare(3, 2)?;
    gateway.start_all(record)?;
    gateway.configure(CONFIG, record, Duration::from_secs(15))?;
    let hosts: Vec<Arc<Host>> =
        (0..4).map(|number| start_host(&gateway, number, record)).collect::<Result<_, Failure>>()?;
    gateway.await_ready(record, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let edges: Vec<_> = (0..gateway.edges.len()).map(|edge| gateway.client_address(edge)).collect();
    let clients = Clients::start(&edges, 4, Duration::from_millis(40), LOOKUPS, record);
    sleep(Duration::from_secs(5));

    let leaver = &hosts[0];
    let before = leaver.last_acknowledged();
    while leaver.last_acknowledged() == before {
        sleep(Duration::from_millis(1));
    }
    let beat = Instant::now();
    sleep(BEAT_TO_KILL);
    let mut in_touch_from = 0.0;
    if trouble {
        record.say("all processes of the core are killed");
        gateway.directors.iter_mut().for_each(|process| process.kill(record));
        sleep(DOWN);
        for number in 0..gateway.directors.len() {
            gateway.write_director_settings(number, false)?;
            gateway.directors[number].start(record)?;
        }
        in_touch_from = record.say("all processes of the core are started again") + IN_CONTACT;
    }
    sleep(BEAT_TO_SIGN_OFF.saturating_sub(beat.elapsed()));
    let beat_was_due = beat.elapsed() > HEARTBEAT;
    let (acknowledged, _) =
        leaver.sign_off(Duration::from_secs(5)).ok_or("the sign-off was not acknowledged")?;
    sleep(Duration::from_secs_f64(SERVES_ON));
    let sent = clients.stop();
    leaver.end();
    let ended = gateway
        .directors
        .iter_mut()
        .chain(&mut gateway.edges)
        .filter_map(|p| p.has_ended().then(|| p.name.clone()));
    let ended: Vec<String> = ended.collect();
    gateway.record_logs(record);
    hosts.iter().for_each(|host| host.end());
    if beat_was_due {
        return Err("this machine is too slow: a beat was due before the sign-off began".into());
    }
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {ended:?}"));
    }

    let sent_at: HashMap<&str, f64> = sent.iter().map(|sent| (sent.id.as_str(), sent.at)).collect();
    let bound = acknowledged + EMPTY;
    let arrivals = leaver.arrivals.lock().unwrap().clone();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let is_late = |at: f64, id: &str| at > bound && sent_at.get(id).is_some_and(|sent| *sent > in_touch_from);
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.ran && is_late(arrival.at, &arrival.id)).collect();
    record.say(&format!(
        "{served} of {} requests were answered with 200; {} reached the leaver in all",
        sent.len(),
        arrivals.len()
    ));
    record.say(&format!("sign-off acknowledged at {acknowledged:.3}; none may reach the host after {bound:.3}; edges in touch from {in_touch_from:.3}"));
    if served * 2 < sent.len() {
        return Err("fewer than half of the requests were served".into());
    }
    match (late.first(), late.last()) {
        (Some(first), Some(last)) => {
            record.say(&format!(
                "DRAIN broken: {} requests reached the host later than `empty` after the acknowledgement, from {:.3} ({}) to {:.3} ({})",
                late.len(), first.at, first.id, last.at, last.id
            ));
            Ok(false)
        }
        _ => {
            record.say("DRAIN held");
            Ok(true)
        }
    }
}

fn start_host(gateway: &Gateway, number: usize, record: &Record) -> Result<Arc<Host>, Failure> {
    let mut directors = gateway.admin_addresses();
    let first = number % directors.len();
    directors.rotate_left(first);
    let settings = HostSettings {
        id: format!("i-{}{:04x}", number, std::process::id() & 0xffff),
        service: SERVICE.into(),
        address: gateway.host_address(number),
        zone: "westlands".into(),
        split: false,
        capacity: 4,
        heartbeat: HEARTBEAT,
        work: Duration::from_millis(30),
        directors,
    };
    // Hosts do not beat at the same moment.
    sleep(Duration::from_millis(310));
    Ok(Host::start(settings, record)?)
}
