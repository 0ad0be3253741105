//! Searches the model to its end and prints the table of docs/sessions.md; some minutes long.
//!
//! `cargo run --release -p coppersail-session-affinity --features model-checking --example model_walks [-- ROWS]`
//!
//! ROWS are numbers of rows from 1; without any all are searched. A walk that breaks a promise of the package, or has
//! another number of states than the table, ends the program with status 1.
use coppersail_session_affinity::model::{search, DOCUMENTED_SCENARIOS};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let rows: Vec<usize> = std::env::args().skip(1).filter_map(|row| row.parse().ok()).collect();
    println!("| confirmations | loss | left out | states, all walked |\n| --- | --- | --- | ---: |");
    let mut as_documented = true;
    for (index, walk) in DOCUMENTED_SCENARIOS.into_iter().enumerate() {
        if !rows.is_empty() && !rows.contains(&(index + 1)) {
            continue;
        }
        let begun = Instant::now();
        match search(walk.scenario) {
            Ok(states) => {
                as_documented &= states == walk.states;
                let states = with_commas(states);
                let left_out = if walk.left_out.is_empty() { "" } else { &format!(" {}", walk.left_out) };
                println!("| {} | {} |{left_out} | {states} |", walk.title, walk.losses);
            }
            Err(error) => {
                as_documented = false;
                eprintln!("row {}: {error}", index + 1);
            }
        }
        eprintln!(
            "row {}: {:.1} s, expected {} states",
            index + 1,
            begun.elapsed().as_secs_f64(),
            walk.states
        );
    }
    ExitCode::from(u8::from(!as_documented))
}

fn with_commas(number: usize) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
