//! `review-case CASE FOLDER`: plays one case of the review against the project's programs, which stand in
//! `target/release`, and writes `record.txt` into the folder. With `TROUBLE=0` the disruption is left out.
//! Status 0: the rule held; 1: it was broken; 2: the case couldn't run.
mod case_owner;
mod case_sign_off;
mod case_stuck;
mod client;
mod gateway;
mod host;
mod http;
mod judge;
mod leases;
mod record;

use gateway::Failure;
use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn play() -> Result<bool, Failure> {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) =
        (arguments.next().unwrap_or_default(), arguments.next().ok_or("usage: CASE FOLDER")?);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let result = match case.as_str() {
        "sign-off" => case_sign_off::run(trouble, &record),
        "owner" => case_owner::run(trouble, &record),
        "stuck" => case_stuck::run(trouble, &record),
        _ => Err(format!("no case {case}").into()),
    };
    match &result {
        Ok(held) => record.say(if *held { "the rule held" } else { "the rule was broken" }),
        Err(error) => record.say(&format!("the case couldn't run: {error}")),
    };
    result
}

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    gateway::end_after(LIMIT);
    match play() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
