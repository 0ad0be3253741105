//! `gatewayctl`: what operators look at, one command line for the parts of the gateway. Exit status 0: done; 1: the
//! command failed, with one line on standard error; 2: no such group of commands.
mod arguments;
mod error;
mod http;
mod rollout;
mod session;

use std::process::ExitCode;

const EXIT_USAGE: u8 = 2;
const HELP_WORDS: [&str; 3] = ["", "--help", "-h"];

/// A group of commands.
struct Group {
    name: &'static str,
    /// Its lines of the usage.
    help: &'static str,
    /// Runs the words after the group's name, and returns what is to be printed.
    run: fn(&[String]) -> eyre::Result<String>,
}

const GROUPS: [Group; 2] = [
    Group { name: "rollout", help: rollout::HELP, run: rollout::run },
    Group { name: "session", help: session::HELP, run: session::run },
];

fn print_usage() {
    println!("gatewayctl: what operators look at\n\nUsage:");
    GROUPS.iter().for_each(|group| print!("{}", group.help));
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let name = words.first().map_or("", String::as_str);
    let Some(group) = GROUPS.iter().find(|group| group.name == name) else {
        print_usage();
        return if HELP_WORDS.contains(&name) { ExitCode::SUCCESS } else { ExitCode::from(EXIT_USAGE) };
    };
    match (group.run)(&words[1..]) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("gatewayctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}
