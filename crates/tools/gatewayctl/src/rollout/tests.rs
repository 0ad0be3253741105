//! Tests of the module `rollout`.
use super::*;
use assert_matches::assert_matches;

fn words(line: &str) -> Vec<String> {
    line.split(' ').map(String::from).collect()
}

#[test]
fn words_are_wishes() {
    let (wish, centre) = asked(&words("pause friday --centre 10.0.0.1:80")).unwrap();
    assert_eq!(
        (wish, centre.as_deref()),
        (Wish::Order("friday".into(), "pause".into()), Some("10.0.0.1:80"))
    );
    assert_eq!(asked(&words("status")).unwrap().0, Wish::Status(None));
    assert_matches!(asked(&words("pause")), Err(_));
    assert_matches!(asked(&words("status --center x")), Err(_));
    assert!(run(&words("status friday")).unwrap_err().to_string().contains("--centre"));
}

#[test]
fn a_plan_is_shown_with_both_versions() {
    let plan = serde_json::json!({"name": "friday", "phase": "running", "step": 1, "steps": 3, "share": 0.05, "number": 4,
            "why": "sound", "verdict": "waits: 3 of 200 answers", "next_in_ms": 1500, "answers": 3, "late_rows": 2, "rows": 9,
            "new": {"late": 7, "median_ms": null}});
    let text = shown(&plan);
    for part in ["step 1 of 3, share 5%", "waits: 3 of 200", "before 1.5 s", "2 of 9 rows"] {
        assert!(text.contains(part), "{text}");
    }
}
