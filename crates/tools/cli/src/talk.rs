//! One director over its Unix socket.

use coppersail_admin_socket::{encode, parse_answer, Answer, Request, MAX_LINE_BYTES};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Longer than a director takes to answer anything.
const ANSWER_MOST: Duration = Duration::from_secs(15);
/// An answer holds a page of changes, each as long as a submission may be at the very most.
const ANSWER_LINE_MOST: u64 = 64 * MAX_LINE_BYTES as u64;

/// What the director says; an error where it cannot be asked.
pub fn ask(socket: &Path, request: &Request) -> Result<Answer, String> {
    let failed = |what: &str, wrong: std::io::Error| format!("{}: {what}: {wrong}", socket.display());
    let mut stream =
        UnixStream::connect(socket).map_err(|wrong| failed("no director answers there", wrong))?;
    stream.set_read_timeout(Some(ANSWER_MOST)).map_err(|wrong| failed("socket", wrong))?;
    let bytes = encode(request);
    if bytes.len() > MAX_LINE_BYTES {
        return Err(format!("the request: expected at most {MAX_LINE_BYTES} bytes"));
    }
    stream.write_all(&bytes).map_err(|wrong| failed("cannot be written to", wrong))?;
    let mut said = Vec::new();
    let mut reader = BufReader::new(stream.take(ANSWER_LINE_MOST));
    reader.read_until(b'\n', &mut said).map_err(|wrong| failed("no answer", wrong))?;
    if said.is_empty() {
        return Err(format!("{}: the director closed the connection without an answer", socket.display()));
    }
    parse_answer(&said).map_err(|error| error.to_string())
}
