//! Tests of the module `rollout`.
use super::*;
use assert_matches::assert_matches;

fn words(line: &str) -> Vec<String> {
    line.split(' ').map(String::from).collect()
}

fn parse(line: &str) -> eyre::Result<(RolloutCommand, Option<String>)> {
    let arguments = Arguments::parse(&words(line), ADDRESS_OPTION)?;
    Ok((RolloutCommand::parse(&arguments.words())?, arguments.address))
}

#[test]
fn a_command_line_without_its_name_or_address_is_refused() {
    let (command, address) = parse("pause friday --centre 10.0.0.1:80").unwrap();
    assert_eq!(
        (command, address.as_deref()),
        (RolloutCommand::Change { name: "friday".into(), change: "pause".into() }, Some("10.0.0.1:80"))
    );
    assert_eq!(parse("status").unwrap().0, RolloutCommand::Status { name: None });
    assert_matches!(parse("pause"), Err(_));
    assert_matches!(parse("status --center x"), Err(_));
    assert!(run(&words("status friday")).unwrap_err().to_string().contains("--centre"));
}

#[test]
fn a_rollout_is_shown_with_both_variants() {
    let rollout = serde_json::json!({"name": "friday", "phase": "running", "step": 1, "steps": 3, "share": 0.05, "number": 4,
            "why": "sound", "verdict": "waits: 3 of 200 answers", "next_in_ms": 1500, "answers": 3, "late_rows": 2, "rows": 9,
            "new": {"late": 7, "median_ms": null}});
    let text = status::render_rollout(&rollout);
    for line in ["step 1 of 3, share 5%", "waits: 3 of 200", "before 1.5 s", "2 of 9 rows"] {
        assert!(text.contains(line), "{text}");
    }
}

#[test]
fn each_failure_keeps_its_line() {
    let line = |words_of_command: &str| format!("{:#}", run(&words(words_of_command)).unwrap_err());
    assert_eq!(line("undo friday"), "--centre is missing");
    assert_eq!(
        line("stop friday --centre a"),
        "expected `check FILE`, `submit NAME FILE`, `status [NAME]`, or an order and a NAME"
    );
    assert_eq!(line("status --center x"), "invalid option '--center'");
    assert!(line("check /no/such/plan.json").starts_with("/no/such/plan.json: No such file"));
    let refused = CommandError::Refused { status: 409, reason: "the plan has ended".into() };
    assert_eq!(refused.to_string(), "409: the plan has ended");
    let redirected = CommandError::TooManyRedirects { address: "10.0.0.1:80".into() };
    assert_eq!(redirected.to_string(), "10.0.0.1:80 sends on too often");
}
