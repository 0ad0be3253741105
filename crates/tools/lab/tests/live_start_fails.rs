//! What a failed start of a director's binary leaves behind. The only test of its program, as it counts the threads.

use coppersail::interface::{
    CellId, HostId, HostListEntry, HostState, Input, ListScope, MachineTypeId, Settings, ZoneId,
};
use coppersail_lab::live::{Live, StartError};
use coppersail_lab::platform::Platform;
use coppersail_lab::Scenario;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long threads that were told to end may take to be gone.
const MAX_WAIT: Duration = Duration::from_secs(5);

fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").unwrap().count()
}

fn left_folders() -> Vec<String> {
    let prefix = format!("coppersail-live-{}-", std::process::id());
    let entries = std::fs::read_dir(std::env::temp_dir()).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned());
    names.filter(|name| name.starts_with(&prefix)).collect()
}

#[test]
fn a_director_that_cannot_be_spawned_leaves_no_threads_and_no_folder() {
    let scenario = Scenario::default();
    let settings: Settings = coppersail_lab::world::director_settings(&scenario, 0);
    let routes = scenario.load.routes.iter().map(|route| route.name.clone()).collect();
    let platform = Platform { settings, routes, start_ms: 0 };
    let entries = (0..4)
        .map(|host| HostListEntry {
            host: HostId(host),
            state: HostState::Ready,
            started_at: None,
            weight: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            machine_type: MachineTypeId(0),
        })
        .collect();
    let inputs = [Input::HostListUpdate { scope: ListScope::Snapshot, version: 1, entries }];
    let before = threads();

    let started = Live::start(Path::new("/dev/null/no-such-director"), platform, 1, &inputs);

    assert!(matches!(started, Err(StartError::Spawn { .. })));
    assert_eq!(left_folders(), Vec::<String>::new());
    let deadline = Instant::now() + MAX_WAIT;
    while threads() > before && Instant::now() < deadline {
        std::thread::yield_now();
    }
    assert_eq!(threads(), before, "threads of the fakes are left");
}
