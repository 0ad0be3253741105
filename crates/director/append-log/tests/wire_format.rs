//! The exact bytes of a log's lines. They stay on disk for as long as their records are needed and builds of other
//! versions read them, so a change here breaks rolling upgrades or stored data.
use coppersail_append_log::{encode, read, Prefix};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Asserts that the record is written as exactly this line, and that the line is decoded to an equal record.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(String::from_utf8(encode(&value).unwrap()).unwrap(), text);
    assert_eq!(read(text.as_bytes()), Ok(Prefix { records: vec![value], bytes: text.len(), torn: 0 }));
}

#[test]
fn a_line_of_the_log_keeps_its_bytes_and_its_checksum() {
    assert_round_trip("one".to_string(), "91c55400 \"one\"\n");
    assert_round_trip(0, "f4dbdf21 0\n");
    assert_round_trip(
        ("å\n".to_string(), Some(1.5), [true, false]),
        "61c2c320 [\"å\\n\",1.5,[true,false]]\n",
    );
}
