//! How answers are shown to a person.

use coppersail_admin_socket::{Difference, Status};
use coppersail_changes::{Change, Stage};
use coppersail_operator_config::{Field, Value};

fn value(value: Option<&Value>) -> String {
    value.map_or("as decided".to_string(), Value::to_string)
}

/// The wall clock's seconds as a date, for people; good for any year after 1970.
fn date(wall: f64) -> String {
    let (days, rest) = ((wall / 86_400.0).floor() as i64, wall.rem_euclid(86_400.0) as u64);
    // Days from civil, turned round: eras of 400 years that begin on the first of March.
    let z = days + 719_468;
    let (era, doe) = (z.div_euclid(146_097), z.rem_euclid(146_097));
    let yoe = (doe - doe / 1460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let (day, month) = (doy - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
    let year = yoe + era * 400 + i64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}Z", rest / 3600, rest / 60 % 60, rest % 60)
}

pub fn differs(found: &[Difference]) -> String {
    let line = |d: &Difference| {
        format!("{}: {} -> {}\n", d.field, value(d.current.as_ref()), value(d.proposed.as_ref()))
    };
    found.iter().map(line).collect()
}

fn stage(stage: &Stage) -> String {
    match stage {
        Stage::Undone(why) | Stage::Dropped(why) => format!("{}, {why}", stage.name()),
        Stage::Kept(coppersail_changes::Keep::Confirmed { who }) => format!("kept, confirmed by {who}"),
        stage => stage.name().to_string(),
    }
}

pub fn row(change: &Change) -> String {
    let wanted = &change.submission;
    let fields: Vec<String> = wanted.edits.keys().map(Field::to_string).collect();
    let fields = match fields.as_slice() {
        [a, b, c, more @ ..] if !more.is_empty() => format!("{a} {b} {c} and {} more", more.len()),
        few => few.join(" "),
    };
    format!(
        "{:>6}  {}  {}: {}  [{fields}]  {}\n",
        change.number,
        date(change.wall),
        wanted.who,
        wanted.why,
        stage(&change.stage)
    )
}

pub fn change(change: &Change) -> String {
    let wanted = &change.submission;
    let mut text = format!(
        "change {}, {}\nsubmitted {} by {}, on version {}\nwhy: {}\n",
        change.number,
        stage(&change.stage),
        date(change.wall),
        wanted.who,
        wanted.base,
        wanted.why,
    );
    if let Some(undoes) = change.undoes {
        text += &format!("undoes change {undoes}\n");
    }
    for (field, becomes) in &wanted.edits {
        let was = change.before.get(field).map_or("(not applied yet)".to_string(), |was| value(was.as_ref()));
        text += &format!("  {field}: {was} -> {}\n", value(becomes.as_ref()));
    }
    text
}

pub fn status(status: &Status) -> String {
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
    for trial in &status.trials {
        let heard = if trial.sufficient { "enough heard" } else { "not enough heard yet" };
        text += &format!(
            "on trial: change {}, {:.0} s left, {} reports, {heard}\n",
            trial.number, trial.remaining_seconds, trial.reports
        );
    }
    if status.in_force.is_empty() {
        text += "nothing is set by hand\n";
    }
    for (field, value) in &status.in_force {
        text += &format!("  {field} = {value}\n");
    }
    text
}

#[cfg(test)]
mod tests;
