//! Runs one case of the second review: `review-case-2 CASE RECORD`, from the root of the repository. The file RECORD gets
//! what was sent, answered and run. The status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out.
mod bodies;
mod client;
mod host;
mod http;
mod operator;
mod orders;
mod run;
mod scale_in;
mod seeds;
mod two;

use run::{Outcome, Record};
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("review-case-2 CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(path));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let outcome = match case.as_str() {
        "early" => bodies::early(&record, trouble),
        "chunked" => bodies::chunked(&record, trouble),
        "orders" => orders::run(&record, trouble),
        "scale-in" => scale_in::run(&record, trouble),
        "seeds" => seeds::run(&record, trouble),
        "two" => two::run(&record, trouble),
        other => run::could_not_run(&record, &format!("no case {other}")),
    };
    record.line(format!("{outcome:?} after {} s", record.elapsed().as_secs()));
    std::process::exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    });
}
