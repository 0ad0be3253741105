//! Answers of a director as text for a person.

use coppersail_admin_socket::{Answer, Difference, Status, Trial};
use coppersail_changes::{Change, Keep, Stage};
use coppersail_operator_config::{Field, Value};

const SECONDS_PER_DAY: f64 = 86_400.0;

/// An answer's text; none for those that are reported as errors.
pub(crate) fn answer(answer: &Answer) -> Option<String> {
    Some(match answer {
        Answer::Status(found) => status(found),
        Answer::Accepted { number, durable: true } => format!("change {number} is in the history"),
        Answer::Accepted { number, .. } => format!("change {number} is taken, in memory alone"),
        Answer::Done => "done".to_string(),
        Answer::Diff { differs } if differs.is_empty() => "nothing would change".to_string(),
        Answer::Diff { differs } => differs.iter().map(difference).collect(),
        Answer::Changes { changes, more } => change_list(changes, *more),
        Answer::Change(found) => change(found),
        Answer::Rejected { .. } | Answer::Unreadable { .. } => return None,
    })
}

fn value(value: Option<&Value>) -> String {
    value.map_or("as decided".to_string(), Value::to_string)
}

/// Seconds since 1970 as a UTC date; good for any year after 1970.
///
/// The days are turned into a date by Hinnant's `civil_from_days`: eras of 400 years that begin on the first of March,
/// so that a leap day is the last one of its year.
fn date(unix_seconds: f64) -> String {
    let days = (unix_seconds / SECONDS_PER_DAY).floor() as i64;
    let second_of_day = unix_seconds.rem_euclid(SECONDS_PER_DAY) as u64;
    let days_from_era_zero = days + 719_468;
    let (era, day_of_era) = (days_from_era_zero.div_euclid(146_097), days_from_era_zero.rem_euclid(146_097));
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let (hour, minute, second) = (second_of_day / 3600, second_of_day / 60 % 60, second_of_day % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

fn difference(difference: &Difference) -> String {
    let (current, proposed) = (value(difference.current.as_ref()), value(difference.proposed.as_ref()));
    format!("{}: {current} -> {proposed}\n", difference.field)
}

/// A line for each change, and how to go on if there are older ones.
fn change_list(changes: &[Change], more: bool) -> String {
    let mut text: String = changes.iter().map(change_line).collect();
    if let (true, Some(oldest)) = (more, changes.last()) {
        text += &format!("more: --before {}", oldest.number);
    }
    text
}

fn stage(stage: &Stage) -> String {
    match stage {
        Stage::Undone(why) | Stage::Dropped(why) => format!("{}, {why}", stage.name()),
        Stage::Kept(Keep::Confirmed { who }) => format!("kept, confirmed by {who}"),
        stage => stage.name().to_string(),
    }
}

fn change_line(change: &Change) -> String {
    let submission = &change.submission;
    let fields: Vec<String> = submission.edits.keys().map(Field::to_string).collect();
    let fields = match fields.as_slice() {
        [first, second, third, rest @ ..] if !rest.is_empty() => {
            format!("{first} {second} {third} and {} more", rest.len())
        }
        all => all.join(" "),
    };
    format!(
        "{:>6}  {}  {}: {}  [{fields}]  {}\n",
        change.number,
        date(change.wall),
        submission.who,
        submission.why,
        stage(&change.stage)
    )
}

fn change(change: &Change) -> String {
    let submission = &change.submission;
    let mut text = format!(
        "change {}, {}\nsubmitted {} by {}, on version {}\nwhy: {}\n",
        change.number,
        stage(&change.stage),
        date(change.wall),
        submission.who,
        submission.base,
        submission.why,
    );
    if let Some(undoes) = change.undoes {
        text += &format!("undoes change {undoes}\n");
    }
    for (field, proposed) in &submission.edits {
        let previous = change.before.get(field);
        let previous = previous.map_or("(not applied yet)".to_string(), |previous| value(previous.as_ref()));
        text += &format!("  {field}: {previous} -> {}\n", value(proposed.as_ref()));
    }
    text
}

fn status(status: &Status) -> String {
    let Status { name, version, hosts, slices, proxies, .. } = status;
    let mut text = format!("{name}, version {version}: {hosts} hosts, {slices} slices, {proxies} proxies\n");
    if !status.durable {
        text += "changes are kept in memory alone: they end with the director\n";
    }
    if !status.baseline {
        text += "too little was heard yet to judge a change by; one that is submitted now waits for it\n";
    }
    if let Some((who, why)) = &status.frozen {
        text += &format!("frozen by {who}: {why}\n");
    }
    text.extend(status.trials.iter().map(trial));
    if status.in_force.is_empty() {
        text += "nothing is set by hand\n";
    }
    for (field, value) in &status.in_force {
        text += &format!("  {field} = {value}\n");
    }
    text
}

fn trial(trial: &Trial) -> String {
    let Trial { number, remaining_seconds, reports, .. } = trial;
    let evidence = if trial.sufficient { "enough heard" } else { "not enough heard yet" };
    format!("on trial: change {number}, {remaining_seconds:.0} s left, {reports} reports, {evidence}\n")
}

#[cfg(test)]
mod tests;
