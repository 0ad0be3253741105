//! Reads batches from the input.

use crate::{Event, InvalidLine};
use coppersail_settings::{Fields, LineField};
use std::io::{self, BufRead};

/// Opens a batch and tells its time.
const BEGIN: &str = "MARK";
/// Closes a batch.
const END: &str = "COMMIT";
/// The field of `MARK` that holds the time.
const TIME_FIELD: &str = "sim-time-ns";
/// What errors call the first word of a line.
const FIRST_WORD: &str = "(first word)";

/// One batch: what happened at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The time, nanoseconds of the bench's clock, which never goes back.
    pub clock_ns: u64,
    /// The valid events, each with the number of its line. The entries of a list follow their `Event::Members`.
    pub events: Vec<(u64, Event)>,
    /// What was wrong with other lines, also of those between the last batch and this one.
    pub errors: Vec<InvalidLine>,
}

/// Reads batches from an input.
pub struct Reader<R> {
    input: R,
    /// Number of the last line that was read, from 1.
    line: u64,
    /// Time of the last batch.
    clock_ns: u64,
}

impl<R: BufRead> Reader<R> {
    /// Reads from the input's first line on.
    pub fn new(input: R) -> Self {
        Reader { input, line: 0, clock_ns: 0 }
    }

    /// The next batch; none at the end of the input. A batch that the end cuts off is not handed out, so that nobody
    /// acts on half of what happened: its errors are, as the inner error.
    ///
    /// # Errors
    /// The input cannot be read.
    pub fn next_batch(&mut self) -> io::Result<Option<Result<Batch, Vec<InvalidLine>>>> {
        let mut batch = Batch::default();
        let mut is_open = false;
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if self.input.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(self.end_of_input(batch, is_open));
            }
            self.line += 1;
            let Ok(text) = std::str::from_utf8(&bytes) else {
                batch.errors.push(self.invalid("(line)", "(all)", "UTF-8 text"));
                continue;
            };
            let text = text.trim_end_matches(['\n', '\r']);
            let (word, fields) = text.split_once(' ').unwrap_or((text, ""));
            match word {
                "" => {}
                BEGIN => {
                    if is_open {
                        batch.errors.push(self.invalid(BEGIN, END, "the end of the batch before it"));
                        batch.events.clear();
                    }
                    is_open = true;
                    self.begin(&mut batch, fields);
                }
                _ if !is_open => {
                    batch.errors.push(self.invalid(word, FIRST_WORD, "MARK to open a batch"));
                }
                END => return Ok(Some(Ok(batch))),
                _ => self.event(&mut batch, text),
            }
        }
    }

    /// Takes the time of a batch over, unless it is invalid.
    fn begin(&mut self, batch: &mut Batch, fields: &str) {
        match u64::read(&Fields::new(fields), TIME_FIELD) {
            Ok(clock_ns) if clock_ns >= self.clock_ns => self.clock_ns = clock_ns,
            Ok(_) => batch.errors.push(self.invalid(BEGIN, TIME_FIELD, "a clock that goes forward")),
            Err(invalid) => batch.errors.push(InvalidLine::of_field(self.line, BEGIN, invalid)),
        }
        batch.clock_ns = self.clock_ns;
    }

    fn event(&self, batch: &mut Batch, text: &str) {
        match Event::parse(text, self.line) {
            Ok(event) => batch.events.push((self.line, event)),
            Err(invalid) => batch.errors.push(invalid),
        }
    }

    fn end_of_input(&self, mut batch: Batch, is_open: bool) -> Option<Result<Batch, Vec<InvalidLine>>> {
        if is_open {
            batch.errors.push(self.invalid("(end of input)", END, "the rest of the batch"));
        }
        if batch.errors.is_empty() {
            return None;
        }
        Some(Err(batch.errors))
    }

    fn invalid(&self, message: &str, field: &str, expected: &str) -> InvalidLine {
        InvalidLine::of_line(self.line, message, field, expected)
    }
}
