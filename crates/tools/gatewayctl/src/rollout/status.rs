//! How the state of rollouts is shown. The fields are those of the control plane's answer; one that an older node
//! leaves out is shown as empty.
use serde_json::Value;
use std::fmt::Write as _;

/// Counts of both variants: fields of the answer, and headings.
const COLUMNS: [&str; 10] =
    ["offered", "good", "late", "failed", "lost", "doubled", "wrong", "aside", "median_ms", "p99_ms"];
const VARIANTS: [&str; 2] = ["new", "old"];
const MS_PER_SECOND: f64 = 1000.0;

/// The text for an answer about one rollout or all.
pub(super) fn render(answer: &str) -> eyre::Result<String> {
    let answer: Value = serde_json::from_str(answer)?;
    match answer["rollouts"].as_array() {
        Some(rollouts) if rollouts.is_empty() => Ok("no plans\n".into()),
        Some(rollouts) => Ok(rollouts.iter().map(render_rollout).collect()),
        None => Ok(render_rollout(&answer)),
    }
}

/// The text for one rollout.
pub(super) fn render_rollout(rollout: &Value) -> String {
    let mut text = summary(rollout);
    if let Some(wait) = rollout["next_in_ms"].as_u64() {
        let (seconds, answers) = (wait as f64 / MS_PER_SECOND, &rollout["answers"]);
        let _ = writeln!(text, "  next step: not before {seconds:.1} s, {answers} answers so far");
    }
    text += &counts(rollout);
    if let Some(late) = rollout["late_rows"].as_u64().filter(|late| *late > 0) {
        let _ = writeln!(text, "  {late} of {} rows of evidence came late", rollout["rows"]);
    }
    text
}

fn summary(rollout: &Value) -> String {
    let word = |field: &str| rollout[field].as_str().unwrap_or("");
    let share = rollout["share"].as_f64().map_or("-".into(), |share| format!("{}%", share * 100.0));
    format!(
        "{}: {}, step {} of {}, share {share}, number {}\n  because: {}\n  verdict: {}\n",
        word("name"),
        word("phase"),
        rollout["step"],
        rollout["steps"],
        rollout["number"],
        word("why"),
        word("verdict"),
    )
}

fn counts(rollout: &Value) -> String {
    let headings = COLUMNS.map(|column| format!("{column:>10}")).concat();
    let mut text = format!("  {:8}{headings}\n", "");
    for variant in VARIANTS {
        let cell = |column: &str| {
            let count = rollout[variant][column].as_u64();
            format!("{:>10}", count.map_or("-".into(), |count| count.to_string()))
        };
        let _ = writeln!(text, "  {variant:8}{}", COLUMNS.map(cell).concat());
    }
    text
}
