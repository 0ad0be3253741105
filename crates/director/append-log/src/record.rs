//! The encoding of one record, and the decoding of the longest valid prefix of a log.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;

/// Length of the checksum, eight hex digits, and of the space that follows it.
const CHECKSUM_BYTES: usize = 9;

/// Encodes a record as a line of a log, including the line feed.
///
/// # Errors
/// The record cannot be written as JSON.
pub fn encode<T: Serialize>(record: &T) -> io::Result<Vec<u8>> {
    let json = serde_json::to_vec(record)?;
    let mut line = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend(json);
    line.push(b'\n');
    Ok(line)
}

/// The valid prefix of a log's bytes.
#[derive(Debug, PartialEq)]
pub struct Prefix<T> {
    /// All complete records, in the order in which they were written.
    pub records: Vec<T>,
    /// Length of the prefix, in bytes.
    pub bytes: usize,
    /// Number of bytes after the prefix, left by an interrupted write.
    pub torn: usize,
}

/// A line that an interrupted write cannot have caused.
#[derive(Debug, PartialEq, Eq)]
pub struct Corruption {
    /// Number of the line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub kind: CorruptionKind,
}

/// What is wrong with a line.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptionKind {
    /// The line has fewer bytes than a checksum.
    #[error("too short for a checksum")]
    TooShort,
    /// The line does not begin with a checksum.
    #[error("expected a checksum of 8 hex digits")]
    NoChecksum,
    /// The checksum differs from that of the line's JSON.
    #[error("its checksum does not fit; the file was damaged or changed by hand")]
    ChecksumMismatch,
    /// The checksum matches, but the JSON is not a valid record of this version.
    #[error("no record of this version ({0})")]
    UnknownRecord(String),
}

fn decode<T: DeserializeOwned>(line: &[u8]) -> Result<T, CorruptionKind> {
    let (checksum, json) = line.split_at_checked(CHECKSUM_BYTES).ok_or(CorruptionKind::TooShort)?;
    let digits = std::str::from_utf8(checksum).ok().and_then(|checksum| checksum.strip_suffix(' '));
    let checksum = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
    let checksum = checksum.ok_or(CorruptionKind::NoChecksum)?;
    if crc32fast::hash(json) != checksum {
        return Err(CorruptionKind::ChecksumMismatch);
    }
    serde_json::from_slice(json).map_err(|error| CorruptionKind::UnknownRecord(error.to_string()))
}

/// Decodes the longest valid prefix. An invalid last line is left out, as an interrupted write may have caused it.
///
/// # Errors
/// An invalid line is followed by others, or the last line is complete and has a matching checksum but is not a record
/// of this version. An interrupted write causes neither.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<Prefix<T>, Corruption> {
    let (mut records, mut position, mut line) = (Vec::new(), 0, 0);
    while position < bytes.len() {
        line += 1;
        let Some(length) = bytes[position..].iter().position(|byte| *byte == b'\n') else { break };
        let end = position + length;
        let is_last = end + 1 >= bytes.len();
        match decode(&bytes[position..end]) {
            Ok(record) => records.push(record),
            Err(kind) if !is_last || matches!(kind, CorruptionKind::UnknownRecord(_)) => {
                return Err(Corruption { line, kind });
            }
            Err(_) => break,
        }
        position = end + 1;
    }
    Ok(Prefix { records, bytes: position, torn: bytes.len() - position })
}
