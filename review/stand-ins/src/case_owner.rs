//! The host that holds the keys of a service is cut off for a few seconds. All requests of the service are
//! `single_shot`, on a route that was added by a later configuration. Once the cut has healed and times are
//! calm, they must be served again.
use crate::client::{Clients, Traffic};
use crate::gateway::{Failure, Gateway, APPLY, HEARTBEAT, IN_CONTACT};
use crate::host::{Host, HostSettings};
use crate::judge::{served, show};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// How long the host is cut off.
const CUT: Duration = Duration::from_secs(3);
/// How long the calm time is in which requests are counted.
const CALM: f64 = 20.0;
/// From the end of the cut to the calm time: `inContact` and half a second.
const TO_CALM: f64 = IN_CONTACT + 0.5;
/// The rule counts from this many requests on the later routes.
const MIN_REQUESTS: usize = 20;

const LOOKUPS: Traffic =
    Traffic { name: "lookup", method: "GET", domain: "jepu9.example", path: "/lepu270/2f", keyed: false };
const BOOKINGS: Traffic =
    Traffic { name: "booking", method: "POST", domain: "jepu9.example", path: "/wu5/2f", keyed: true };

/// A configuration with these routes.
fn config(revision: &str, routes: &str) -> String {
    format!(
        r#"{{"revision":"{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[{routes}]}},"backends":{{"columns":["name","checkPath","maxConnections","protocol","encrypted","splitUp"],"rows":[["tafuta","/wellness",110,"h1",false,null],["hifadhi","/wellness",110,"h1",false,true]]}},"caps":{{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}}}"#
    )
}

const FIRST_ROUTE: &str =
    r#"["r-1","jepu9.example","/lepu270/","repeatable","2000ms","400ms",2,null,2,"tafuta"]"#;
const LATER_ROUTE: &str =
    r#"["r-2","jepu9.example","/wu5/","single_shot","2000ms","500ms",1,null,2,"hifadhi"]"#;

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let mut gateway = Gateway::prepare(3, 2)?;
    gateway.start_all(record)?;
    gateway.configure(&config("r1", FIRST_ROUTE), record, Duration::from_secs(15))?;
    let hosts: Vec<Arc<Host>> =
        (0..6).map(|number| start_host(&gateway, number, record)).collect::<Result<_, Failure>>()?;
    gateway.await_ready(record, Duration::from_secs(15))?;
    let holder = &hosts[5];
    for _ in 0..100 {
        if holder.keys_held() == 65536 {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    record.say(&format!("host {} holds {} keys", holder.settings.id, holder.keys_held()));
    gateway.configure(
        &config("r2", &format!("{FIRST_ROUTE},{LATER_ROUTE}")),
        record,
        Duration::from_secs(15),
    )?;
    sleep(Duration::from_secs_f64(APPLY + 1.5));
    let edges: Vec<_> = (0..gateway.edges.len()).map(|edge| gateway.client_address(edge)).collect();
    let lookups = Clients::start(&edges, 2, Duration::from_millis(60), LOOKUPS, record);
    let bookings = Clients::start(&edges, 2, Duration::from_millis(60), BOOKINGS, record);
    let begun = record.now();
    sleep(Duration::from_secs(6));
    let before = record.now();
    if trouble {
        holder.cut_from_all(true);
    }
    sleep(CUT);
    if trouble {
        holder.cut_from_all(false);
    }
    let calm_from = record.now() + TO_CALM;
    sleep(Duration::from_secs_f64(TO_CALM + CALM / 2.0));
    record.say(&format!("host {} holds {} keys", holder.settings.id, holder.keys_held()));
    let keys_held = holder.keys_held();
    sleep(Duration::from_secs_f64(CALM / 2.0));
    let (lookups, bookings) = (lookups.stop(), bookings.stop());
    gateway.record_logs(record);
    hosts.iter().for_each(|host| host.end());

    let served_before = served(&bookings, begun, before);
    record.say(&format!(
        "before the cut: lookups {}, bookings {}",
        show(served(&lookups, begun, before)),
        show(served_before)
    ));
    let (first, later) = (served(&lookups, calm_from, f64::MAX), served(&bookings, calm_from, f64::MAX));
    record.say(&format!(
        "in calm time, from {calm_from:.3} on: lookups {}, bookings {}",
        show(first),
        show(later)
    ));
    if served_before.1 * 2 < served_before.0 || first.1 * 2 < first.0 || keys_held < 65536 {
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

fn start_host(gateway: &Gateway, number: usize, record: &Record) -> Result<Arc<Host>, Failure> {
    let mut directors = gateway.admin_addresses();
    let first = number % directors.len();
    directors.rotate_left(first);
    let holds_keys = number == 5;
    let settings = HostSettings {
        id: format!("i-{}{:04x}", number, std::process::id() & 0xffff),
        service: if holds_keys { "hifadhi" } else { "tafuta" }.into(),
        address: gateway.host_address(number),
        zone: "westlands".into(),
        split: holds_keys,
        capacity: 4,
        heartbeat: HEARTBEAT,
        work: Duration::from_millis(20),
        directors,
    };
    // Hosts do not beat at the same moment.
    sleep(Duration::from_millis(210));
    Ok(Host::start(settings, record)?)
}
