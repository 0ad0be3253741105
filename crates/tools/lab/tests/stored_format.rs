//! The fields of files that the lab reads and writes, held as text.

use coppersail_lab::experiment::Outcome;
use coppersail_lab::policy::Kind;
use coppersail_lab::Scenario;

/// A scenario with a fault of each kind and operators' changes, as builds before have written it.
const SCENARIO: &str = include_str!("stored_format_scenario.json");

#[test]
fn a_scenario_file_of_an_earlier_build_keeps_its_bytes() {
    let scenario: Scenario = serde_json::from_str(SCENARIO).unwrap();
    assert_eq!(scenario.faults.len(), 13);
    assert_eq!(serde_json::to_string_pretty(&scenario).unwrap(), SCENARIO);
}

#[test]
fn absent_fields_keep_their_defaults() {
    let text = serde_json::to_value(Scenario::default()).unwrap();
    let mut expected: serde_json::Value = serde_json::from_str(SCENARIO).unwrap();
    expected["name"] = "unnamed".into();
    expected["seconds"] = 60.0.into();
    expected["faults"] = serde_json::json!([]);
    expected["changes"] = serde_json::json!([]);
    assert_eq!(text, expected);
}

#[test]
fn a_line_of_results_of_an_earlier_build_keeps_its_bytes() {
    let line = r#"{"scenario":"calm","policy":"true-state","seed":2,"service":0.987654,"worst":0.9,"worst_route":0.5,"broken":3,"calls":15000,"events":79238,"lines":22968.5}"#;
    let outcome: Outcome = serde_json::from_str(line).unwrap();
    assert_eq!(outcome.policy, Kind::TrueState);
    assert_eq!(serde_json::to_string(&outcome).unwrap(), line);
}
