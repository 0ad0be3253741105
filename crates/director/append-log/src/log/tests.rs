//! What a crash, a flipped bit, a second process and a full disk do to a log.
use super::*;
use crate::encode;
use crate::Corruption;
use proptest::prelude::*;
use test_case::test_case;

fn bytes(records: &[String]) -> Vec<u8> {
    records.iter().flat_map(|record| encode(record).unwrap()).collect()
}

fn scratch(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("coppersail-history-{}-{name}", std::process::id()))
}

proptest! {
    #[test]
    fn a_crash_in_the_middle_of_any_write_leaves_the_last_whole_record(
        records in proptest::collection::vec("[ -~]{0,20}", 0..8),
        share in 0.0..1.0_f64,
    ) {
        let all = bytes(&records);
        let cut = (all.len() as f64 * share) as usize;
        let prefix = read::<String>(&all[..cut]).unwrap();
        prop_assert!(prefix.bytes <= cut && prefix.bytes + prefix.torn == cut);
        prop_assert_eq!(&bytes(&prefix.records), &all[..prefix.bytes].to_vec());
        // Less than one line is ever lost.
        let next = prefix.records.len();
        prop_assert!(next == records.len() || prefix.torn < encode(&records[next]).unwrap().len());
    }

    #[test]
    fn a_flipped_bit_is_found_and_its_line_named(at in 0..200_usize, bit in 0..8_u32) {
        let records: Vec<String> = (0..10).map(|k| format!("record {k}")).collect();
        let mut all = bytes(&records);
        let at = at % all.len();
        all[at] ^= 1 << bit;
        // At the end it looks like a torn write: it costs the last line, or two where it was their end of line.
        match read::<String>(&all) {
            Ok(prefix) => prop_assert!(prefix.records.len() >= 8 && prefix.records[..] == records[..prefix.records.len()]),
            Err(Corruption { line, .. }) => prop_assert!((1..=10).contains(&line)),
        }
    }
}

#[test]
fn what_was_appended_is_there_and_a_torn_end_is_cut_off() {
    let path = scratch("torn");
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
    let path = scratch("twice");
    let opened = Log::<String>::open(&path).unwrap();
    assert!(Log::<String>::open(&path).err().unwrap().to_string().ends_with(": another process has it open"));
    drop(opened);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn a_full_disk_is_reported_and_later_appends_are_refused() {
    let Ok(file) = OpenOptions::new().write(true).open("/dev/full") else { return };
    let mut log = Log::<String> { file, bytes: 0, failed: false, record: PhantomData };
    assert!(log.append(&["one".to_string()]).is_err());
    assert!(log.append(&["two".to_string()]).is_err());
}

#[test_case("deadbeef {}\n00000000 {}\n", 1 ; "a checksum that does not fit, with more behind it")]
#[test_case("x\ny\n", 1 ; "no checksum")]
fn damage_names_its_line(text: &str, line: usize) {
    assert_eq!(read::<String>(text.as_bytes()).unwrap_err().line, line);
}
