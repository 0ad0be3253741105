//! `coppersail-wirehost`: the decisions on the bench's wire, standard input to standard output.

mod host;
mod names;

use coppersail_bench_codec::{write_reply, Fault, Reader};
use coppersail_capacity_guard::Mode;
use std::io::{self, Write};

fn complain(faults: &[Fault]) {
    for fault in faults {
        eprintln!("coppersail-wirehost: {fault}");
    }
}

fn main() -> io::Result<()> {
    let mut input = Reader::new(io::BufReader::with_capacity(1 << 16, io::stdin().lock()));
    let mut output = io::stdout().lock();
    let guard = match std::env::args().nth(1).as_deref() {
        None => Mode::Off,
        Some("--guard=watch") => Mode::Watch,
        Some("--guard=on") => Mode::On,
        Some(_) => {
            eprintln!("coppersail-wirehost: expected --guard=watch, --guard=on or nothing");
            std::process::exit(2);
        }
    };
    let mut fleet = host::Fleet::guarded(guard);
    let mut reply = String::new();
    while let Some(batch) = input.next_batch()? {
        match batch {
            Ok(batch) => {
                let (orders, faults) = fleet.batch(batch);
                complain(&faults);
                reply.clear();
                write_reply(&orders, &mut reply);
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Err(faults) => complain(&faults),
        }
    }
    Ok(())
}
