//! The figures of a window and their table.
use coppersail_fleet_emulator::table::{header, row, Window};
use coppersail_fleet_emulator::{CallStats, ProcessUsage};
use std::time::Duration;

fn usage(cpu_seconds: f64, resident_mb: f64) -> ProcessUsage {
    ProcessUsage { cpu_seconds, resident_mb, peak_resident_mb: 30.0 }
}

#[test]
fn a_row_has_rates_by_second_and_bytes_by_member() {
    let mut calls = CallStats::default();
    (calls.failed, calls.bytes_in) = (2, 4000);
    (1..=100).for_each(|ms| calls.record_response(Duration::from_millis(ms), false));
    let window =
        Window { members: 10, seconds: 10.0, calls, usage: vec![(usage(1.0, 20.0), usage(1.5, 25.0))] };
    let row = row(&window);
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells[..5], ["10", "100", "10.0", "0.0", "2"]);
    assert_eq!(cells[7..], ["40.0", "0.0", "|", "5.00", "25.0", "30.0"]);
}

#[test]
fn the_header_is_as_wide_as_a_row() {
    let window = |usage| Window { members: 1, seconds: 1.0, calls: CallStats::default(), usage };
    for (pids, usage) in [(vec![], vec![]), (vec![7], vec![(usage(0.0, 1.0), usage(0.0, 1.0))])] {
        let width = row(&window(usage)).len();
        assert_eq!(header(&pids).lines().map(str::len).collect::<Vec<_>>(), [width, width]);
    }
}
