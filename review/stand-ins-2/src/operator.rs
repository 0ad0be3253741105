//! A stand-in operator: sends a configuration until it is acknowledged, and reads one back.
use crate::host::AdminList;
use crate::http::admin_call;
use crate::run::Record;
use std::time::{Duration, Instant};

/// A configuration: routes as (name, path start, sort, service), and services.
/// The names in `split` are services that are divided by key.
pub fn configuration(
    revision: u64,
    routes: &[(&str, &str, &str, &str)],
    services: &[&str],
    split: &[&str],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, start, sort, service)| {
            format!(r#"["{name}","shop.example","{start}","{sort}","20000ms","500ms",1,null,2,"{service}"]"#)
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"["{name}","/wellness",100,{}]"#, split.contains(name)))
        .collect();
    format!(
        r#"{{"revision":"r{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[{}]}},"backends":{{"columns":["name","checkPath","maxConnections","splitUp"],"rows":[{}]}},"caps":{{"headSizeBytes":16384,"bodySizeBytes":67108864,"headWait":"3000ms","quiet":"15000ms"}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Sends the configuration to one director after the other until one acknowledges it. Returns when it did.
pub fn put(body: &str, admins: &AdminList, limit: Duration, record: &Record) -> Option<Instant> {
    let until = Instant::now() + limit;
    let mut turn = 0;
    let (mut last, name) = (0, body.chars().skip(13).take_while(|c| *c != '"').collect::<String>());
    record.line(format!("operator: sends {name}"));
    while Instant::now() < until {
        let list = admins.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let address = list[turn % list.len()];
        turn += 1;
        let answer =
            admin_call(address, "POST", "/settings/replace", body.as_bytes(), Duration::from_secs(1));
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        if status == 200 {
            record.line(format!("operator: {name} is acknowledged by way of {address}"));
            return Some(Instant::now());
        }
        if status != last {
            record.line(format!("operator: {name} is answered {status} by way of {address}"));
            last = status;
        }
        if matches!(status, 400 | 409 | 412 | 413 | 422) {
            return None;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}
