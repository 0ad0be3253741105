//! `coppersail`, the operators' command line of a director. Exit status: 0 done, 1 rejected, 2 for input that cannot be
//! read or a director that does not answer.

mod admin_client;
mod arguments;
mod commands;
mod edits;
mod fleet_files;
mod format;

mod names;
mod output;

use clap::Parser;
use std::process::ExitCode;

const EXIT_REJECTED: u8 = 1;
const EXIT_UNUSABLE_INPUT: u8 = 2;

fn main() -> ExitCode {
    let cli = arguments::Cli::parse();
    let json = cli.json;
    let Err(error) = commands::run(cli) else { return ExitCode::SUCCESS };
    let (kind, status) =
        if error.is_rejection() { ("refused", EXIT_REJECTED) } else { ("unreadable", EXIT_UNUSABLE_INPUT) };
    let text = error.to_string();
    if json {
        eprintln!("{}", serde_json::json!({"is": kind, "why": text}));
    } else {
        text.lines().for_each(|line| eprintln!("coppersail: {line}"));
    }
    ExitCode::from(status)
}
