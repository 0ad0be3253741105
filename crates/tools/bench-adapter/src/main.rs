//! `coppersail-wirehost`: hosts director instances behind the bench's line protocol. Batches of events come on standard
//! input, replies go to standard output, and errors of the input to standard error, a line each.

mod error;
mod fleet;
mod input;
mod names;
mod output;

use coppersail_bench_codec::{write_reply, InvalidLine, Reader};
use coppersail_capacity_guard::Mode;
use fleet::Fleet;
use std::io::{self, Write};
use std::process::ExitCode;

/// Exit status for an argument that is unknown.
const EXIT_USAGE: u8 = 2;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> io::Result<ExitCode> {
    let argument = std::env::args().nth(1);
    let Some(guard) = parse_guard(argument.as_deref()) else {
        eprintln!("coppersail-wirehost: expected --guard=watch, --guard=on or nothing");
        return Ok(ExitCode::from(EXIT_USAGE));
    };
    serve(Fleet::new(guard))?;
    Ok(ExitCode::SUCCESS)
}

fn parse_guard(argument: Option<&str>) -> Option<Mode> {
    match argument {
        None => Some(Mode::Off),
        Some("--guard=watch") => Some(Mode::Watch),
        Some("--guard=on") => Some(Mode::On),
        Some(_) => None,
    }
}

/// Answers batches until the input ends.
fn serve(mut fleet: Fleet) -> io::Result<()> {
    let stdin = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut reader = Reader::new(stdin);
    let mut output = io::stdout().lock();
    let mut reply = String::new();
    while let Some(batch) = reader.next_batch()? {
        let batch = match batch {
            Ok(batch) => batch,
            Err(errors) => {
                report(&errors);
                continue;
            }
        };
        let (orders, errors) = fleet.handle_batch(batch);
        report(&errors);
        reply.clear();
        write_reply(&orders, &mut reply);
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

fn report(errors: &[InvalidLine]) {
    for error in errors {
        eprintln!("coppersail-wirehost: {error}");
    }
}
