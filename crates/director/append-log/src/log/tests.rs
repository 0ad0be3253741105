//! How a log behaves after a crash, a flipped bit, a full disk, and when a second process opens it.
use super::*;
use crate::encode;
use crate::Corruption;
use proptest::prelude::*;
use test_case::test_case;

fn encode_records(records: &[String]) -> Vec<u8> {
    records.iter().flat_map(|record| encode(record).unwrap()).collect()
}

fn temporary_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("coppersail-history-{}-{name}", std::process::id()))
}

proptest! {
    #[test]
    fn a_crash_in_the_middle_of_a_write_keeps_all_complete_records(
        records in proptest::collection::vec("[ -~]{0,20}", 0..8),
        share in 0.0..1.0_f64,
    ) {
        let all = encode_records(&records);
        let cut = (all.len() as f64 * share) as usize;
        let prefix = read::<String>(&all[..cut]).unwrap();
        prop_assert!(prefix.bytes <= cut && prefix.bytes + prefix.torn == cut);
        prop_assert_eq!(&encode_records(&prefix.records), &all[..prefix.bytes].to_vec());
        // The truncated bytes are always less than one complete line.
        let next = prefix.records.len();
        prop_assert!(next == records.len() || prefix.torn < encode(&records[next]).unwrap().len());
    }

    #[test]
    fn a_flipped_bit_is_detected_and_its_line_reported(at in 0..200_usize, bit in 0..8_u32) {
        let records: Vec<String> = (0..10).map(|k| format!("record {k}")).collect();
        let mut all = encode_records(&records);
        let at = at % all.len();
        all[at] ^= 1 << bit;
        // A flipped bit in the last line looks like a torn write, so that line is dropped. If the bit turns the line
        // feed before the last line into another byte, both lines form one invalid last line and both are dropped.
        match read::<String>(&all) {
            Ok(prefix) => prop_assert!(prefix.records.len() >= 8 && prefix.records[..] == records[..prefix.records.len()]),
            Err(Corruption { line, .. }) => prop_assert!((1..=10).contains(&line)),
        }
    }
}

#[test]
fn appended_records_are_kept_and_a_torn_record_is_truncated() {
    let path = temporary_path("torn");
    let mut opened = Log::<String>::open(&path).unwrap();
    opened.log.append(&["one".to_string(), "two".to_string()]).unwrap();
    drop(opened);
    let mut all = std::fs::read(&path).unwrap();
    all.extend(&encode(&"three".to_string()).unwrap()[..9]);
    std::fs::write(&path, &all).unwrap();
    let mut opened = Log::<String>::open(&path).unwrap();
    assert_eq!((opened.records.len(), opened.torn), (2, 9));
    opened.log.append(&["four".to_string()]).unwrap();
    drop(opened);
    assert_eq!(Log::<String>::open(&path).unwrap().records, ["one", "two", "four"]);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn two_processes_cannot_write_one_log() {
    let path = temporary_path("twice");
    let opened = Log::<String>::open(&path).unwrap();
    assert!(Log::<String>::open(&path).err().unwrap().to_string().ends_with(": another process has it open"));
    drop(opened);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn a_full_disk_is_reported_and_later_appends_are_rejected() {
    let Ok(file) = OpenOptions::new().write(true).open("/dev/full") else { return };
    let mut log = Log::<String> { file, synced_bytes: 0, failed: false, record: PhantomData };
    assert!(log.append(&["one".to_string()]).is_err());
    assert!(log.append(&["two".to_string()]).is_err());
}

#[test_case("deadbeef {}\n00000000 {}\n", 1 ; "a checksum mismatch before the last line")]
#[test_case("x\ny\n", 1 ; "no checksum")]
fn a_corrupt_line_is_reported_with_its_number(text: &str, line: usize) {
    assert_eq!(read::<String>(text.as_bytes()).unwrap_err().line, line);
}
