//! The texts of `/proc`.
use coppersail_fleet_emulator::{ProcessUsage, UsageError};

const STAT: &str = "7 (a b) c) S 1 7 7 0 -1 4194560 200 0 0 0 250 150 0 0 20 0 3 0";
const STATUS: &str = "VmHWM:\t  4096 kB\nVmRSS:\t  2048 kB\n";

#[test]
fn a_name_with_spaces_and_brackets_does_not_shift_the_fields() {
    let usage = ProcessUsage::parse(STAT, STATUS).unwrap();
    assert_eq!((usage.cpu_seconds, usage.resident_mb, usage.peak_resident_mb), (4.0, 2.0, 4.0));
}

#[test]
fn a_missing_field_is_named() {
    let stat = "7 (a) Z 1".to_string();
    assert_eq!(ProcessUsage::parse(&stat, STATUS), Err(UsageError::ProcessorTime { stat }));
    let status = "VmHWM:\t  4096 kB\n";
    assert_eq!(ProcessUsage::parse(STAT, status), Err(UsageError::Memory { field: "VmRSS" }));
}
