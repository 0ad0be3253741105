//! `gatewayctl`: what operators look at.
mod rollout;
mod session;

use std::process::ExitCode;

/// A group of commands: its name, its lines of help, and what runs it.
type Group = (&'static str, &'static str, fn(&[String]) -> eyre::Result<String>);

const GROUPS: [Group; 2] =
    [("rollout", rollout::HELP, rollout::run), ("session", session::HELP, session::run)];

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let name = words.first().map_or("", String::as_str);
    let Some((_, _, run)) = GROUPS.iter().find(|(group, ..)| *group == name) else {
        println!("gatewayctl: what operators look at\n\nUsage:");
        GROUPS.iter().for_each(|(_, help, _)| print!("{help}"));
        return if ["", "--help", "-h"].contains(&name) { ExitCode::SUCCESS } else { ExitCode::from(2) };
    };
    match run(&words[1..]) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("gatewayctl: {fault:#}");
            ExitCode::FAILURE
        }
    }
}
