//! Cuts the input into batches.

use crate::field::Fault;
use crate::Event;
use coppersail_settings::{Field, Parts};
use std::io::{self, BufRead};

/// One batch: its clock, its sound events (a list's entries follow their `Members`) and what was wrong.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    pub clock_ns: u64,
    /// Each with the number of its line.
    pub events: Vec<(u64, Event)>,
    pub faults: Vec<Fault>,
}

pub struct Reader<R> {
    input: R,
    line: u64,
    clock_ns: u64,
}

impl<R: BufRead> Reader<R> {
    pub fn new(input: R) -> Self {
        Reader { input, line: 0, clock_ns: 0 }
    }

    fn fault(&self, message: &str, field: &str, expected: &str) -> Fault {
        let (message, field, expected) = (message.to_string(), field.to_string(), expected.to_string());
        Fault { line: self.line, message, field, expected }
    }

    /// The next batch; none at the end of the input. A batch that the end cuts off is not handed out: its faults
    /// are, as an error, so that nobody acts on half of what happened.
    pub fn next_batch(&mut self) -> io::Result<Option<Result<Batch, Vec<Fault>>>> {
        let mut batch = Batch::default();
        let mut open = false;
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if self.input.read_until(b'\n', &mut bytes)? == 0 {
                if open {
                    batch.faults.push(self.fault("(end of input)", "COMMIT", "the rest of the batch"));
                }
                return Ok((!batch.faults.is_empty()).then_some(Err(batch.faults)));
            }
            self.line += 1;
            let Ok(text) = std::str::from_utf8(&bytes) else {
                batch.faults.push(self.fault("(line)", "(all)", "UTF-8 text"));
                continue;
            };
            let text = text.trim_end_matches(['\n', '\r']);
            let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
            match word {
                "" => {}
                "MARK" => {
                    if open {
                        batch.faults.push(self.fault("MARK", "COMMIT", "the end of the batch before it"));
                        batch.events.clear();
                    }
                    open = true;
                    match u64::read(&Parts::new(rest), "sim-time-ns") {
                        Ok(clock) if clock >= self.clock_ns => self.clock_ns = clock,
                        Ok(_) => {
                            batch.faults.push(self.fault("MARK", "sim-time-ns", "a clock that goes forward"))
                        }
                        Err(bad) => batch.faults.push(self.fault("MARK", &bad.field, bad.expected)),
                    }
                    batch.clock_ns = self.clock_ns;
                }
                "COMMIT" if open => return Ok(Some(Ok(batch))),
                _ if !open => batch.faults.push(self.fault(word, "(first word)", "MARK to open a batch")),
                _ => match Event::parse(text, self.line) {
                    Ok(event) => batch.events.push((self.line, event)),
                    Err(fault) => batch.faults.push(fault),
                },
            }
        }
    }
}
