//! `coppersail-lab`: plays scenarios, compares, shrinks, hunts, reports. Exit status: 0 done, 1 a check failed, 2
//! what was given cannot be read or kept.

mod cli;
mod commands;
mod input_error;

use clap::Parser;
use cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("coppersail-lab: {error}");
            ExitCode::from(2)
        }
    }
}
