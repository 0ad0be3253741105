//! Two hosts of a service that is divided by key lose their links to the core for almost five seconds, and no other
//! link. Once the cut has healed and times are calm, their keys must be served again.
use crate::client::{Clients, Traffic};
use crate::gateway::{Failure, Gateway, APPLY, HEARTBEAT, IN_CONTACT};
use crate::host::{Host, HostSettings};
use crate::judge::{served, show};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// When the cut ends, in seconds after the last beat of the large host. That host's leases are over by then, and
/// it is the first of the two to call again. The cut is shorter by the time between the beats.
const CUT_ENDS: f64 = 5.2;
/// The longest cut that the pages allow, in seconds.
const LONGEST_CUT: f64 = 5.0;
/// All hosts; the last two are those with keys, which are a sixth of them.
const HOSTS: usize = 12;
/// The time between the beats of the large and of the small host, in seconds. They are found to be lost one
/// after the other; the leader looks five times a second.
const BEATS_APART: std::ops::Range<f64> = 0.25..1.0;
/// How long the calm time is in which requests are counted.
const CALM: f64 = 20.0;
/// From the end of the cut to the calm time: `inContact` and half a second.
const TO_CALM: f64 = IN_CONTACT + 0.5;
/// The rule counts from this many requests on the later routes.
const MIN_REQUESTS: usize = 20;

const LOOKUPS: Traffic =
    Traffic { name: "lookup", method: "GET", domain: "jepu9.example", path: "/lepu270/2f", keyed: false };
const HISTORIES: Traffic =
    Traffic { name: "history", method: "GET", domain: "jepu9.example", path: "/wu5/2f", keyed: true };

/// A configuration with these routes.
fn config(revision: &str, routes: &str) -> String {
    format!(
        r#"{{"revision":"{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[{routes}]}},"backends":{{"columns":["name","checkPath","maxConnections","protocol","encrypted","splitUp"],"rows":[["tafuta","/wellness",110,"h1",false,null],["kumbukumbu","/wellness",110,"h1",false,true]]}},"caps":{{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}}}"#
    )
}

const FIRST_ROUTE: &str =
    r#"["r-1","jepu9.example","/lepu270/","repeatable","2000ms","400ms",2,null,2,"tafuta"]"#;
const LATER_ROUTE: &str =
    r#"["r-2","jepu9.example","/wu5/","repeatable","2000ms","500ms",1,null,2,"kumbukumbu"]"#;

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let mut gateway = Gateway::prepare(3, 2)?;
    gateway.start_all(record)?;
    gateway.configure(&config("r1", FIRST_ROUTE), record, Duration::from_secs(15))?;
    let hosts: Vec<Arc<Host>> =
        (0..HOSTS).map(|number| start_host(&gateway, number, record)).collect::<Result<_, Failure>>()?;
    gateway.await_ready(record, Duration::from_secs(15))?;
    let (large, small) = (&hosts[HOSTS - 2], &hosts[HOSTS - 1]);
    let keys_held = || (large.keys_held(), small.keys_held());
    for _ in 0..150 {
        if keys_held().0 + keys_held().1 == 65536 {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    record.say(&format!("the hosts hold {:?} keys", keys_held()));
    gateway.configure(
        &config("r2", &format!("{FIRST_ROUTE},{LATER_ROUTE}")),
        record,
        Duration::from_secs(15),
    )?;
    sleep(Duration::from_secs_f64(APPLY + 1.5));
    let edges: Vec<_> = (0..gateway.edges.len()).map(|edge| gateway.client_address(edge)).collect();
    let lookups = Clients::start(&edges, 2, Duration::from_millis(60), LOOKUPS, record);
    let histories = Clients::start(&edges, 2, Duration::from_millis(60), HISTORIES, record);
    let begun = record.now();
    sleep(Duration::from_secs(6));
    // The cut begins after a beat of each host, that of the large one first.
    await_beat(large);
    let large_beat = record.say("beat of the large host");
    await_beat(small);
    let cut = CUT_ENDS - (record.say("beat of the small host") - large_beat);
    if !BEATS_APART.contains(&(CUT_ENDS - cut)) || cut > LONGEST_CUT {
        return Err("the beats of the two hosts are not apart as they were at the start".into());
    }
    let before = record.now();
    if trouble {
        large.cut_from_directors(true);
        small.cut_from_directors(true);
    }
    sleep(Duration::from_secs_f64(cut));
    if trouble {
        large.cut_from_directors(false);
        small.cut_from_directors(false);
    }
    let calm_from = record.now() + TO_CALM;
    sleep(Duration::from_secs_f64(TO_CALM + CALM / 2.0));
    record.say(&format!("the hosts hold {:?} keys", keys_held()));
    sleep(Duration::from_secs_f64(CALM / 2.0));
    let (lookups, histories) = (lookups.stop(), histories.stop());
    gateway.record_logs(record);
    hosts.iter().for_each(|host| host.end());

    let served_before = served(&histories, begun, before);
    record.say(&format!(
        "before the cut: lookups {}, histories {}",
        show(served(&lookups, begun, before)),
        show(served_before)
    ));
    let (first, later) = (served(&lookups, calm_from, f64::MAX), served(&histories, calm_from, f64::MAX));
    record.say(&format!(
        "in calm time, from {calm_from:.3} on: lookups {}, histories {}",
        show(first),
        show(later)
    ));
    if served_before.1 * 2 < served_before.0 || first.1 * 2 < first.0 {
        return Err("the gateway did not serve well enough for a judgement".into());
    }
    if later.0 < MIN_REQUESTS {
        return Err("too few requests on the later route".into());
    }
    let share = |(sent, served): (usize, usize)| served as f64 / sent as f64;
    let broken = share(later) < share(first) / 4.0;
    record.say(match broken {
        true => {
            "CONFIG broken: in calm times the later route is served under a quarter as often as the first"
        }
        false => "CONFIG held",
    });
    Ok(!broken)
}

fn await_beat(host: &Host) {
    let before = host.last_acknowledged();
    while host.last_acknowledged() == before {
        sleep(Duration::from_millis(1));
    }
}

fn start_host(gateway: &Gateway, number: usize, record: &Record) -> Result<Arc<Host>, Failure> {
    let mut directors = gateway.admin_addresses();
    let first = number % directors.len();
    directors.rotate_left(first);
    let holds_keys = number >= HOSTS - 2;
    let settings = HostSettings {
        id: format!("i-{:02}{:04x}", number, std::process::id() & 0xffff),
        service: if holds_keys { "kumbukumbu" } else { "tafuta" }.into(),
        address: gateway.host_address(number),
        zone: "westlands".into(),
        split: holds_keys,
        capacity: if number == HOSTS - 2 { 40 } else { 2 },
        heartbeat: HEARTBEAT,
        work: Duration::from_millis(20),
        directors,
    };
    // Hosts do not beat at the same moment.
    sleep(Duration::from_millis(if number == HOSTS - 1 { 500 } else { 210 }));
    Ok(Host::start(settings, record)?)
}
