//! What the disk of a centre costs after many changes: `cargo run --release --example disk -- FOLDER CHANGES ROUTES TENANTS ROWS`.
//! Each change writes one configuration anew; every tenth also the centre's own floor.
use coppersail_control_plane::store::{DiskWriter, WriteBatch};
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Instant;

/// A configuration of the target's size; about every byte differs from one revision to the next.
fn config(revision: u64, routes: u64, tenants: u64) -> String {
    let mix = |n: u64| (n ^ revision.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let rows: Vec<String> = (0..routes)
        .map(|n| format!(r#"["r{n}","d{n}.example","/{:x}/","repeatable","900ms","400ms","s"]"#, mix(n)))
        .collect();
    let tenants: Vec<String> = (0..tenants).map(|n| format!(r#"["t{n}","{:x}"]"#, mix(n))).collect();
    let body = format!(
        r#"{{"revision":"r{revision}","routes":{{"columns":["name","domain","pathStart","sort","giveUp","target_time","backend"],"rows":[{}]}},"tenants":[{}],"backends":{{"columns":["name"],"rows":[["s"]]}}}}"#,
        rows.join(","),
        tenants.join(",")
    );
    serde_json::to_string(&coppersail_peer_protocol::ConfigDocument { revision, body }).unwrap_or_default()
}

fn size(folder: &Path) -> u64 {
    let Ok(all) = std::fs::read_dir(folder) else { return 0 };
    all.flatten()
        .map(|f| match f.metadata() {
            Ok(m) if m.is_dir() => size(&f.path()),
            Ok(m) => m.len(),
            Err(_) => 0,
        })
        .sum()
}

fn peak() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap_or("VmHWM: ?");
    line.split_whitespace().skip(1).collect::<Vec<_>>().join(" ")
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| words.get(n).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    let folder = Path::new(words.first().expect("FOLDER CHANGES ROUTES TENANTS ROWS"));
    let (changes, routes, tenants, rows) = (number(1), number(2), number(3), number(4));
    std::fs::create_dir_all(folder).expect("a folder");
    let opened = Instant::now();
    let (scribe, found) = DiskWriter::start(folder, |text| println!("{text}")).expect("a disk");
    println!(
        "open and read: {:?}, {} entries, {} bytes on disk, peak {}",
        opened.elapsed(),
        found.state.len(),
        size(folder),
        peak()
    );
    let (mut times, mut most) = (Vec::new(), 0);
    let write = |state, own| {
        let (tell, told) = channel();
        let done = Box::new(move |ok| tell.send(ok).unwrap_or(()));
        let begun = Instant::now();
        scribe.write(WriteBatch { state, whole: false, own }, done);
        assert!(told.recv().expect("an answer"), "the write failed");
        begun.elapsed()
    };
    if rows > 0 {
        write(
            (0..rows).map(|n| (format!("row/s/{n}"), format!("host-{n} 17 fence {n}"))).collect(),
            Vec::new(),
        );
    }
    for n in 1..=changes {
        let own = if n % 10 == 0 {
            vec![("floor".into(), format!("{{\"n\":{n},\"by\":\"a\"}}"))]
        } else {
            Vec::new()
        };
        times.push(write(vec![("config".into(), config(n, routes, tenants))], own));
        most = most.max(size(folder));
    }
    times.sort();
    if let (Some(last), false) = (times.last(), times.is_empty()) {
        let at = |part: usize| times[(times.len() * part / 100).min(times.len() - 1)];
        println!(
            "{changes} changes of {} bytes: median {:?}, 99 in 100 {:?}, most {last:?}",
            config(1, routes, tenants).len(),
            at(50),
            at(99)
        );
        println!("folder: {} bytes, at most {most}; peak {}", size(folder), peak());
    }
}
