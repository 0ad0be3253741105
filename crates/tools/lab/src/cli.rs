//! The command line: commands, arguments and flags.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "coppersail-lab",
    version,
    about = "Plays a fleet in simulated time and measures what tables do to it"
)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
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
