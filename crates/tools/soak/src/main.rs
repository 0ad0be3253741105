//! `coppersail-soak`: runs real control-plane nodes and edge proxies on loopback under random faults that overlap, and checks
//! what must hold of configurations, of clients' requests and of endpoints that leave. Exit status 0: no violation; 1: a violation, or a process that does not start; 2: a
//! wrong argument.
mod backend;
mod clients;
mod cluster;
mod drain;
mod endpoints;
mod exchange;
mod faults;
mod history;
mod observers;
mod relay;
mod request_id;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_USAGE: u8 = 2;
const HELP: &str = "\
coppersail-soak [--programs DIR] [--first SEED] [--seeds COUNT] [--seconds S] [--edges N]
  runs COUNT (3) seeds from SEED (1), each with S (10) seconds of random faults and N (3) edges, with the programs in DIR
  (target/release)";
/// Edges have addresses of one subnet.
const MAX_EDGES: usize = 250;

struct Arguments {
    programs: PathBuf,
    first: u64,
    seeds: u64,
    edges: usize,
    faults_for: Duration,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("coppersail-soak: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut is_sound = true;
    for seed in arguments.first..arguments.first + arguments.seeds {
        match run::run(&arguments.programs, seed, arguments.edges, arguments.faults_for) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                is_sound &= report.violations.is_empty();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error:#}");
                is_sound = false;
            }
        }
    }
    ExitCode::from(u8::from(!is_sound))
}

/// `None`: help is asked for.
fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut arguments = Arguments {
        programs: "target/release".into(),
        first: 1,
        seeds: 3,
        edges: 3,
        faults_for: Duration::from_secs(10),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("programs") => arguments.programs = parser.value()?.into(),
            Long("first") => arguments.first = parser.value()?.parse()?,
            Long("seeds") => arguments.seeds = parser.value()?.parse()?,
            Long("seconds") => arguments.faults_for = Duration::from_secs(parser.value()?.parse()?),
            Long("edges") => arguments.edges = parse_edges(parser.value()?)?,
            Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn parse_edges(value: std::ffi::OsString) -> Result<usize, lexopt::Error> {
    use lexopt::prelude::ValueExt;
    let edges: usize = value.parse()?;
    if !(1..=MAX_EDGES).contains(&edges) {
        return Err(format!("--edges {edges}: expected 1 to {MAX_EDGES}").into());
    }
    Ok(edges)
}
