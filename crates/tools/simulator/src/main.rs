//! Plays days of trouble by seed.
use coppersail_simulator::{play, shrink, Day, Tally};
use eyre::{bail, eyre, Result};
use lexopt::prelude::*;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const USAGE: &str = "\
coppersail-simulator: days of trouble for the control plane, in simulated time, decided by their seed

coppersail-simulator --seed N              one day with its story; of a day that breaks a rule, the fewest faults that still break it
coppersail-simulator --days N [options]    many days and a table of them
  --from SEED    the first seed (1)
  --threads T    days played side by side, 6 at most (1)
  --whole        with --seed: the day as it is, not shrunk
";
const THREADS: usize = 6;

struct Options {
    seed: Option<u64>,
    days: Option<u64>,
    from: u64,
    threads: usize,
    whole: bool,
}

fn options() -> Result<Option<Options>> {
    let mut options = Options { seed: None, days: None, from: 1, threads: 1, whole: false };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => options.seed = Some(parser.value()?.parse()?),
            Long("days") => options.days = Some(parser.value()?.parse()?),
            Long("from") => options.from = parser.value()?.parse()?,
            Long("threads") => options.threads = parser.value()?.parse()?,
            Long("whole") => options.whole = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.seed.is_some() == options.days.is_some() {
        bail!("expected either --seed N or --days N");
    }
    if options.days == Some(0) {
        bail!("--days is 0, expected a number above 0");
    }
    if options.days.is_some_and(|days| options.from.checked_add(days).is_none()) {
        bail!("--from is {}, expected a number that leaves room for all days", options.from);
    }
    if !(1..=THREADS).contains(&options.threads) {
        bail!("--threads is {}, expected 1 to {THREADS}", options.threads);
    }
    Ok(Some(options))
}

fn one(seed: u64, whole: bool) -> ExitCode {
    let mut day = Day::by_seed(seed);
    let mut outcome = play(&day, true);
    if let Some(broken) = outcome.broken.as_ref().filter(|_| !whole) {
        day = shrink(&day, broken.rule);
        outcome = play(&day, true);
    }
    let Day { machines, zones, survive, contact, hosts, edges, wild, .. } = day;
    println!("seed {seed}: {machines} machines in {zones} zones, survive {survive}, inContact {contact} ms");
    println!("{hosts} hosts, {edges} edges{}", if wild { ", any number lost" } else { "" });
    outcome.story.iter().for_each(|line| println!("{line}"));
    match &outcome.broken {
        Some(broken) => println!("{} faults break a rule: {}", day.faults.len(), broken.rule),
        None => println!("no rule is broken"),
    }
    ExitCode::from(u8::from(outcome.broken.is_some()))
}

fn many(days: u64, from: u64, threads: usize) -> Result<ExitCode> {
    let (next, sum) = (AtomicU64::new(from), Mutex::new(Tally::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + days {
                    break;
                }
                let tally = play(&Day::by_seed(seed), false).tally;
                sum.lock().unwrap_or_else(|e| e.into_inner()).add(tally);
            });
        }
    });
    let sum = sum.into_inner().map_err(|e| eyre!("{e}"))?;
    print!("{sum}");
    Ok(ExitCode::from(u8::from(!sum.broken.is_empty())))
}

fn main() -> ExitCode {
    let done = options().and_then(|options| match options {
        None => {
            print!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        Some(Options { seed: Some(seed), whole, .. }) => Ok(one(seed, whole)),
        Some(Options { days, from, threads, .. }) => many(days.unwrap_or(1), from, threads),
    });
    done.unwrap_or_else(|fault| {
        eprintln!("coppersail-simulator: {fault}");
        ExitCode::from(2)
    })
}
