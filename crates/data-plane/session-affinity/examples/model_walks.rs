//! Searches all states of the documented scenarios and prints the table of docs/sessions.md. It takes some minutes.
//!
//! `cargo run --release -p coppersail-session-affinity --features model-checking --example model_walks [-- ROWS]`
//!
//! ROWS are numbers of table rows, from 1; by default all are searched. The exit status is 1 if a scenario violates a
//! guarantee of the package or has another number of states than the table.
use coppersail_session_affinity::model::{search, DOCUMENTED_SCENARIOS};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let rows: Vec<usize> = std::env::args().skip(1).filter_map(|row| row.parse().ok()).collect();
    println!("| confirmations | loss | left out | states, all walked |\n| --- | --- | --- | ---: |");
    let mut as_documented = true;
    for (index, documented) in DOCUMENTED_SCENARIOS.into_iter().enumerate() {
        if !rows.is_empty() && !rows.contains(&(index + 1)) {
            continue;
        }
        let begun = Instant::now();
        match search(documented.scenario) {
            Ok(states) => {
                as_documented &= states == documented.states;
                let states = with_commas(states);
                let left_out =
                    if documented.left_out.is_empty() { "" } else { &format!(" {}", documented.left_out) };
                println!("| {} | {} |{left_out} | {states} |", documented.title, documented.losses);
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
            documented.states
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
