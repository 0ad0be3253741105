//! Tests of the module `kind`.

use super::Kind;

/// Results that were kept name policies by these texts.
#[test]
fn the_stored_name_of_a_policy_changes() {
    let names = Kind::ALL.map(|(_, kind)| serde_json::to_string(&kind).unwrap());
    let expected = [
        "\"module\"",
        "\"guarded\"",
        "\"reduced\"",
        "\"live\"",
        "\"even\"",
        "\"power-of-two\"",
        "\"least-loaded\"",
        "\"bounded-hashing\"",
        "\"true-state\"",
    ];
    assert_eq!(names, expected);
    for (_, kind) in Kind::ALL {
        let stored = serde_json::to_string(&kind).unwrap();
        assert_eq!(serde_json::from_str::<Kind>(&stored).unwrap(), kind);
    }
}

#[test]
fn a_build_is_stored_by_a_number_of_this_process() {
    let kind = Kind::named("build:/some/where/program").unwrap();
    assert_eq!(serde_json::to_string(&kind).unwrap(), "\"build:/some/where/program\"");
    assert_eq!(kind.name(), "build program");
}

#[test]
fn an_unknown_policy_is_taken_or_the_known_ones_are_not_told() {
    let error = Kind::named("odd").unwrap_err();
    let expected = "policy odd: expected one of module, guarded, reduced, live, even, power-of-two, \
                    least-loaded, bounded-hashing, true-state";
    assert_eq!(error.to_string(), expected);
}
