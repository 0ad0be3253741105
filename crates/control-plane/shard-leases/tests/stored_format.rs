//! The bytes of stored leases, and of released ranges in a heartbeat. Other versions read and write them; a
//! change here breaks rolling upgrades or stored data.
use coppersail_shard_leases::{Candidate, LeaseTable, ReleasedRange};

fn write(key: &str, value: &str) -> (String, String) {
    (key.into(), value.into())
}

#[test]
fn a_lease_is_written_as_token_owner_and_handover() {
    let mut leases = LeaseTable::new(1000);
    let endpoints = [Candidate::new("i-1", 0)];
    let writes = leases.assign_initially(0, "a/b", 2, 2, &endpoints);
    assert_eq!(writes, [write("row/a/b/00000", "1 i-1 "), write("row/a/b/00001", "1 i-1 ")]);
    leases.apply(0, &writes);

    let candidates = [Candidate { draining: true, ..endpoints[0].clone() }, Candidate::new("i-2", 1)];
    leases.plan_transfers(0, "a/b", &candidates, 2, true);
    leases.renew(0, "a/b", "i-1", &["i-2".into()], 0);
    let released = ReleasedRange { from: 0, to: 32767, handover: "two words".into() };
    assert_eq!(leases.release("a/b", "i-1", &[released]), [write("row/a/b/00000", "2 i-2 two words")]);
}

#[test]
fn a_stored_lease_is_read_with_and_without_a_handover_and_other_keys_are_skipped() {
    let rows = [
        ("row/a/b/00000", "7 i-1 two words"),
        ("row/a/b/1", "6 i-2"),
        ("row/a/b/x", "9 i-3 "),
        ("row/a/b/00002", ""),
        ("config", "8 i-4 "),
    ];
    let mut leases = LeaseTable::recover(1000, 0, rows.into_iter());
    assert_eq!(leases.slice_count("a/b"), 2);
    let grants = leases.renew(0, "a/b", "i-1", &[], 0);
    assert_eq!((grants[0].fencing_token, grants[0].handover.as_str()), (7, "two words"));
    let grants = leases.renew(0, "a/b", "i-2", &[], 0);
    assert_eq!((grants[0].fencing_token, grants[0].handover.as_str()), (6, ""));
}

#[test]
fn a_released_range_is_an_array_of_three() {
    let range = ReleasedRange { from: 0, to: 1023, handover: "h".into() };
    assert_eq!(serde_json::from_str::<ReleasedRange>(r#"[0,1023,"h"]"#).unwrap(), range);
    assert!(serde_json::from_str::<ReleasedRange>(r#"[0,1023]"#).is_err());
}
