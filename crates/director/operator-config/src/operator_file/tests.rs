//! Tests of reading the operators' file, of paths of fields and of differences.

use super::*;
use crate::field::difference;
use crate::validation::RouteName;
use proptest::prelude::*;
use test_case::test_case;

fn known() -> SettingsNames {
    let route = |name: &str, idempotent| RouteName { name: name.into(), idempotent };
    let routes = vec![route("lookup", true), route("order", false)];
    SettingsNames { zones: vec!["a".into(), "b".into()], routes, slices: 8, has_admission_control: true }
}

const VALID: &str = r#"{
  "form": 1,
  "hosts": {"s-1.example": {"weight": 0.5}, "s-2": {"drained": true}},
  "zones": {"b": {"weight": 2}},
  "routes": {"lookup": {"ceiling": 0.9, "again": "once"}, "order": {"again": "if-never-ran"}},
  "apart": {"3": ["s-1.example", "s-2"]},
  "changes": {"trial": 60, "judge": true, "history": "h.log"},
  "control": {"socket": "c.sock"},
  "log": "json"
}"#;

#[test]
fn a_valid_file_becomes_fields() {
    let content = read("f", VALID, VALID, Some(&known())).unwrap();
    let fields: Vec<String> =
        content.document.iter().map(|(field, value)| format!("{field}={value}")).collect();
    let expected = "hosts.s-1.example.weight=0.5 hosts.s-2.drained=true zones.b.weight=2 \
        routes.lookup.ceiling=0.9 routes.lookup.again=once routes.order.again=if-never-ran \
        apart.3.s-1.example=true apart.3.s-2=true changes.trial=60 changes.judge=true";
    assert_eq!(fields.join(" "), expected);
    assert_eq!(
        (content.start.socket.as_deref(), content.start.history.as_deref()),
        (Some("c.sock"), Some("h.log"))
    );
}

#[test_case("0.5}", "0}", 3, "hosts.s-1.example.weight", "0.01" ; "a weight of zero")]
#[test_case("\"zones\": {\"b\"", "\"zones\": {\"q\"", 4, "zones.q.weight", "one of a, b" ; "an unknown zone")]
#[test_case("if-never-ran", "once", 5, "routes.order.again", "must not run twice" ; "retries of calls that are not idempotent")]
#[test_case("\"ceiling\": 0.9", "\"ceiling\": 1.2", 5, "routes.lookup.ceiling", "0 to 1" ; "an admission limit above one")]
#[test_case("\"3\": [", "\"9\": [", 6, "apart.9.s-1.example", "below 8" ; "an unknown slice")]
#[test_case("\"trial\": 60", "\"trial\": \"long\"", 7, "changes.trial", "5 to 3600" ; "a string in place of seconds")]
#[test_case("\"log\": \"json\"", "\"logs\": 1", 9, "logs", "one of form" ; "an unknown section")]
#[test_case("\"form\": 1", "\"form\": 2", 2, "form", "1, the form" ; "a later format version")]
#[test_case("\"zones\": {", "\"hosts\": {", 4, "", "stands twice" ; "a duplicate name")]
#[test_case("\n}", "\n", 10, "", "JSON" ; "a truncated file")]
fn a_fault_names_file_line_and_field(valid: &str, invalid: &str, line: usize, field: &str, expected: &str) {
    let text = VALID.replace(valid, invalid);
    let faults = read("f.json", &text, &text, Some(&known())).unwrap_err();
    let fault = &faults[0];
    assert_eq!((fault.line, fault.field.as_str()), (line, field), "{faults:?}");
    assert!(fault.to_string().starts_with("f.json:") && fault.expected.contains(expected), "{fault}");
}

#[test]
fn all_faults_are_reported_in_one_run() {
    let text = VALID.replace("0.5}", "-1}").replace("60", "1").replace("\"json\"", "7");
    assert_eq!(read("f", &text, &text, None).unwrap_err().len(), 3);
}

fn field() -> impl Strategy<Value = Field> {
    let name = "[a-z][a-z0-9.-]{0,8}[a-z]";
    prop_oneof![
        name.prop_map(Field::HostWeight),
        name.prop_map(Field::HostDrained),
        name.prop_map(Field::RouteRetries),
        (any::<u16>(), name).prop_map(|(slice, host)| Field::AntiAffinity(slice, host)),
        Just(Field::Trial),
    ]
}

proptest! {
    #[test]
    fn a_path_parses_to_its_field(field in field()) {
        prop_assert_eq!(field.to_string().parse::<Field>(), Ok(field));
    }

    #[test]
    fn a_difference_turns_the_old_document_into_the_new_one(
        old in proptest::collection::btree_map(field(), Just(Value::Flag(true)), 0..6),
        new in proptest::collection::btree_map(field(), Just(Value::Number(2.0)), 0..6),
    ) {
        let mut document = old.clone();
        for (field, value) in difference(&old, &new) {
            match value {
                Some(value) => drop(document.insert(field, value)),
                None => drop(document.remove(&field)),
            }
        }
        prop_assert_eq!(document, new);
    }

    #[test]
    fn no_text_makes_the_reader_panic(text in "[ -~\n]{0,60}") {
        let _ = read("f", &text, &text, None);
        let _ = line_of(&text, &["a", "b"]);
    }
}
