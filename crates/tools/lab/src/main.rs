//! `coppersail-lab`: plays scenarios, compares, shrinks, hunts, reports. Exit status: 0 done, 1 a check failed, 2 what was
//! given cannot be read or kept.

use clap::{Parser, Subcommand};
use coppersail_lab::experiment::{agreement, compared, grid, hunt, play, ranked, shrunk, table, Outcome};
use coppersail_lab::policy::Kind;
use coppersail_lab::{kept, logs, trials, watch, Scenario};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(
    name = "coppersail-lab",
    version,
    about = "Plays a fleet in simulated time and measures what tables do to it"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario, and says what came of it
    Run {
        scenario: PathBuf,
        #[arg(long, default_value = "module")]
        policy: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keeps everything in this folder, with charts and a page
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays one scenario before your eyes, in the terminal
    Watch {
        scenario: PathBuf,
        #[arg(long, default_value = "module")]
        policy: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Simulated seconds in a second
        #[arg(long, default_value_t = 4.0)]
        speed: f64,
    },
    /// Plays every scenario with every policy on many seeds, on all cores; goes on where it was if FILE has results
    Grid {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, value_delimiter = ',', default_value = "module")]
        policies: Vec<String>,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        #[arg(long)]
        results: Option<PathBuf>,
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Compares two policies on the same seeds, with 95% intervals
    Compare {
        scenario: PathBuf,
        a: String,
        b: String,
        #[arg(long, default_value_t = 12)]
        seeds: u64,
    },
    /// The smallest part of a scenario's timeline on which it still fails its checks
    Shrink {
        scenario: PathBuf,
        #[arg(long, default_value = "module")]
        policy: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Looks for the day on which a policy is furthest behind the one that sees the true state, or breaks most rules
    Hunt {
        scenario: PathBuf,
        #[arg(long, default_value = "module")]
        policy: String,
        #[arg(long, default_value_t = 40)]
        plays: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        rules: bool,
    },
    /// Operators' changes tried on whole fleets, through the director's reducer: which are taken back, and which wrongly
    Trials {
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Plays scenarios in simulated time and in real time around the director's binary, and says whether the two agree
    Agree {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
    },
    /// How results order policies beside other figures of theirs: lines of NAME FIGURE, as of builds on another bench
    Rank {
        #[arg(long)]
        results: PathBuf,
        #[arg(long)]
        scores: PathBuf,
    },
    /// Lays the logs of several directors side by side: counted by kind, those that most do at once first; or line by line
    Logs {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Only the lines that name this, and what stands near them in any log
        #[arg(long)]
        about: Option<String>,
        /// How near, in seconds
        #[arg(long, default_value_t = 0.5)]
        near: f64,
        /// From when to when, in seconds
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        #[arg(long, default_value_t = f64::INFINITY)]
        to: f64,
        /// When each log's clock began, in seconds of a shared one, in the order of the files; else they share one
        #[arg(long, value_delimiter = ',')]
        began: Vec<f64>,
        /// Line by line instead of counted
        #[arg(long)]
        lines: bool,
    },
    /// Makes the page of a kept play anew
    Report { folder: PathBuf },
    /// Plays every scenario of a folder once and holds each to its checks
    Check {
        folder: PathBuf,
        #[arg(long, default_value = "module")]
        policy: String,
    },
}

/// What was given to a command and cannot be used.
#[derive(Debug, thiserror::Error)]
enum InputError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// Not one time for each log.
    #[error("--began: expected {files} times, one for each file")]
    Began {
        /// How many logs there are.
        files: usize,
    },
    /// A line of a file of scores.
    #[error("{}:{line}: expected a name and a figure", path.display())]
    Score {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
}

impl InputError {
    /// Names the file of an I/O error.
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> InputError + '_ {
        move |source| InputError::File { path: path.to_path_buf(), source }
    }
}

/// Files of a folder, by name.
fn files(folder: &Path) -> Result<Vec<PathBuf>, InputError> {
    let entries = std::fs::read_dir(folder).map_err(InputError::file(folder))?;
    let mut found: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|ending| ending == "jsonnet" || ending == "json"))
        .collect();
    found.sort();
    Ok(found)
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |many| many.get())
}

/// All lines of the logs in order, how many have no time, and whose they are.
fn side_by_side(
    files: &[PathBuf],
    began: &[f64],
) -> Result<(Vec<logs::Entry>, usize, Vec<String>), InputError> {
    if !began.is_empty() && began.len() != files.len() {
        return Err(InputError::Began { files: files.len() });
    }
    let (mut all, mut odd, mut names) = (Vec::new(), 0, Vec::new());
    for (who, path) in files.iter().enumerate() {
        let bytes = std::fs::read(path).map_err(InputError::file(path))?;
        let later = began.get(who).copied().unwrap_or(0.0);
        let (entries, without) = logs::read(who, &String::from_utf8_lossy(&bytes), later);
        all.push(entries);
        odd += without;
        names.push(
            path.file_stem().map_or_else(|| who.to_string(), |name| name.to_string_lossy().into_owned()),
        );
    }
    Ok((logs::merged(all), odd, names))
}

/// True: all checks hold.
fn run(cli: Cli) -> eyre::Result<bool> {
    match cli.command {
        Command::Run { scenario, policy, seed, out } => {
            let (scenario, kind) = (Scenario::read(&scenario)?, Kind::named(&policy)?);
            let begun = Instant::now();
            let (outcome, world) = play(&scenario, kind, seed);
            let took = begun.elapsed().as_secs_f64();
            println!("{}", table(std::slice::from_ref(&outcome)));
            if kind == Kind::Live {
                println!("real time, {:.0} ms behind at most", 1e3 * world.behind);
            }
            for (at, director, text) in world.told() {
                println!("{at:.1} s: director {director}: {text}");
            }
            for broken in &world.rules.broken {
                println!("{:.2} s: rule {}: {}", broken.at, broken.rule, broken.what);
            }
            let events = outcome.events as f64;
            println!(
                "{} calls, {events:.0} events in {took:.2} s: {:.2} million a second",
                outcome.calls,
                events / took / 1e6
            );
            if let Some(out) = out {
                kept::keep(&out, &world, &outcome)?;
                println!("kept in {}", out.display());
            }
            match outcome.failed(&scenario) {
                Some(why) => println!("failed: {why}"),
                None => return Ok(true),
            }
            Ok(false)
        }
        Command::Watch { scenario, policy, seed, speed } => {
            watch::watch(&Scenario::read(&scenario)?, Kind::named(&policy)?, seed, speed)?;
            Ok(true)
        }
        Command::Grid { scenarios, policies, seeds, results, threads } => {
            let scenarios: Vec<Scenario> =
                scenarios.iter().map(|path| Scenario::read(path)).collect::<Result<_, _>>()?;
            let kinds: Vec<Kind> = policies.iter().map(|name| Kind::named(name)).collect::<Result<_, _>>()?;
            let progress = |done: usize, all: usize| eprint!("\r{done} of {all} ");
            let outcomes = grid(
                &scenarios,
                &kinds,
                1..1 + seeds,
                threads.unwrap_or(cores()),
                results.as_deref(),
                &progress,
            )?;
            eprintln!();
            println!("{}", table(&outcomes));
            Ok(true)
        }
        Command::Compare { scenario, a, b, seeds } => {
            let (scenario, kinds) = (Scenario::read(&scenario)?, [Kind::named(&a)?, Kind::named(&b)?]);
            let outcomes =
                grid(std::slice::from_ref(&scenario), &kinds, 1..1 + seeds, cores(), None, &|_, _| {})?;
            println!("{}", table(&outcomes));
            let (service, worst) = compared(&outcomes, &scenario.name, kinds[0], kinds[1]);
            println!(
                "{b} against {a}, {seeds} seeds: service {:+.4} ±{:.4}, worst ten seconds {:+.4} ±{:.4}",
                service.0, service.1, worst.0, worst.1
            );
            Ok(true)
        }
        Command::Shrink { scenario, policy, seed } => {
            let (scenario, kind) = (Scenario::read(&scenario)?, Kind::named(&policy)?);
            let fails = |scenario: &Scenario| play(scenario, kind, seed).0.failed(scenario).is_some();
            if !fails(&scenario) {
                println!("it does not fail its checks with this seed");
                return Ok(true);
            }
            let small = shrunk(&scenario, &fails);
            println!("{}", serde_json::to_string_pretty(&small)?);
            Ok(false)
        }
        Command::Hunt { scenario, policy, plays, seed, rules } => {
            let (scenario, kind) = (Scenario::read(&scenario)?, Kind::named(&policy)?);
            let (worst, score) = hunt(&scenario, kind, plays, seed, rules);
            println!("{}", serde_json::to_string_pretty(&worst)?);
            eprintln!(
                "{}: {score:.3}",
                if rules { "breaks of rules" } else { "service behind the true state" }
            );
            Ok(!(rules && score > 0.0))
        }
        Command::Agree { scenarios, seeds } => {
            let scenarios: Vec<Scenario> =
                scenarios.iter().map(|path| Scenario::read(path)).collect::<Result<_, _>>()?;
            println!("| scenario | simulated | real time | worst 10 s, simulated | real time | rules broken | behind | agree |");
            println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
            let all = agreement(&scenarios, seeds);
            all.iter().for_each(|agreement| println!("{}", agreement.row()));
            Ok(all.len() == scenarios.len() && all.iter().all(|agreement| agreement.holds()))
        }
        Command::Rank { results, scores } => {
            let read = |path: &Path| std::fs::read_to_string(path).map_err(InputError::file(path));
            let outcomes: Vec<Outcome> =
                read(&results)?.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            let figures = read(&scores)?;
            let score = |(at, line): (usize, &str)| {
                let fault = || InputError::Score { path: scores.clone(), line: at + 1 };
                let (name, figure) = line.split_once(' ').ok_or_else(fault)?;
                Ok((name.to_string(), figure.trim().parse().map_err(|_| fault())?))
            };
            let known: Result<_, InputError> = figures.lines().enumerate().map(score).collect();
            println!("{}", ranked(&outcomes, &known?));
            Ok(true)
        }
        Command::Trials { seeds } => {
            println!("{}", trials::table(seeds, cores(), &|done, all| eprint!("\r{done} of {all} ")));
            Ok(true)
        }
        Command::Logs { files, about, near, from, to, began, lines } => {
            let (entries, odd, names) = side_by_side(&files, &began)?;
            let entries: Vec<logs::Entry> =
                entries.into_iter().filter(|entry| (from..=to).contains(&entry.at)).collect();
            let entries = match &about {
                Some(word) => logs::around(&entries, word, near),
                None => entries,
            };
            if lines || about.is_some() {
                for entry in &entries {
                    println!("{:9.3} {} {}", entry.at, names[entry.who], entry.text);
                }
            } else {
                print!("{}", logs::table(&entries, &names));
            }
            if odd > 0 {
                eprintln!("{odd} lines without a time are left out");
            }
            Ok(true)
        }
        Command::Report { folder } => {
            let page = kept::page(&folder).map_err(InputError::file(&folder))?;
            std::fs::write(folder.join("report.html"), page).map_err(InputError::file(&folder))?;
            println!("{}", folder.join("report.html").display());
            Ok(true)
        }
        Command::Check { folder, policy } => {
            let kind = Kind::named(&policy)?;
            let scenarios: Vec<Scenario> =
                files(&folder)?.iter().map(|path| Scenario::read(path)).collect::<Result<_, _>>()?;
            let outcomes = grid(&scenarios, &[kind], 1..2, cores(), None, &|_, _| {})?;
            println!("{}", table(&outcomes));
            let mut sound = true;
            for (scenario, outcome) in scenarios.iter().zip(&outcomes) {
                if let Some(why) = outcome.failed(scenario) {
                    println!("failed: {}: {why}", scenario.name);
                    sound = false;
                }
            }
            Ok(sound)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => {
            eprintln!("coppersail-lab: {wrong}");
            ExitCode::from(2)
        }
    }
}
