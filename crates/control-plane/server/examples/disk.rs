//! Measures the store of a control-plane node: the time of a write in ms, the size of its folder and the peak
//! memory after many changes.
//!
//! `cargo run --release --example disk -- FOLDER CHANGES ROUTES TENANTS ROWS`. Each change replaces one
//! configuration; every tenth also writes the node's last durable term.
use coppersail_control_plane::store::{DiskWriter, KeyValue, WriteBatch};
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// A configuration of this many routes and tenants; nearly every byte differs from one revision to the next.
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

/// The size of all files below a folder, in bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
    entries
        .flatten()
        .map(|entry| match entry.metadata() {
            Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
            Ok(metadata) => metadata.len(),
            Err(_) => 0,
        })
        .sum()
}

/// The peak resident memory of this process, as Linux prints it.
fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("VmHWM: ?");
    line.split_whitespace().skip(1).collect::<Vec<_>>().join(" ")
}

/// Writes a batch and waits until it is durable.
fn write(writer: &DiskWriter, state: Vec<KeyValue>, metadata: Vec<KeyValue>) -> Duration {
    let (sender, receiver) = channel();
    let on_complete = Box::new(move |ok| sender.send(ok).unwrap_or(()));
    let started = Instant::now();
    writer.write(WriteBatch { state, replace_state: false, metadata }, on_complete);
    assert!(receiver.recv().expect("an answer"), "the write failed");
    started.elapsed()
}

/// Prints the distribution of the times of all writes.
fn print_times(mut times: Vec<Duration>, bytes: usize) {
    times.sort();
    let Some(maximum) = times.last() else { return };
    let percentile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    println!(
        "{} changes of {bytes} bytes: median {:?}, 99th percentile {:?}, maximum {maximum:?}",
        times.len(),
        percentile(50),
        percentile(99)
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| arguments.get(n).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let folder = Path::new(arguments.first().expect("FOLDER CHANGES ROUTES TENANTS ROWS"));
    let (changes, routes, tenants, rows) = (number(1), number(2), number(3), number(4));
    std::fs::create_dir_all(folder).expect("a folder");
    let opened = Instant::now();
    let (writer, recovered) = DiskWriter::start(folder, |line| println!("{line}")).expect("a disk");
    println!(
        "open and read: {:?}, {} entries, {} bytes on disk, peak {}",
        opened.elapsed(),
        recovered.state.len(),
        folder_bytes(folder),
        peak_memory()
    );
    if rows > 0 {
        let row = |n| (format!("row/s/{n}"), format!("host-{n} 17 fence {n}"));
        write(&writer, (0..rows).map(row).collect(), Vec::new());
    }
    let (mut times, mut max_folder_bytes) = (Vec::new(), 0);
    for n in 1..=changes {
        let metadata = if n % 10 == 0 {
            vec![("floor".into(), format!("{{\"n\":{n},\"by\":\"a\"}}"))]
        } else {
            Vec::new()
        };
        times.push(write(&writer, vec![("config".into(), config(n, routes, tenants))], metadata));
        max_folder_bytes = max_folder_bytes.max(folder_bytes(folder));
    }
    if changes > 0 {
        print_times(times, config(1, routes, tenants).len());
        println!(
            "folder: {} bytes, at most {max_folder_bytes}; peak {}",
            folder_bytes(folder),
            peak_memory()
        );
    }
}
