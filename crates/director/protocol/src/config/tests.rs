//! Tests of the module `config`.
use super::*;
use test_case::test_case;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "relay":{"address":"127.0.0.1:3"},"known":{"version":41,"full":true,"servers":[]},
        "settings":{"me":3,"zones":["a","b, c"],"limits":{"may-probe":true},"classes":[{"worth":3.0}],"new":null}}"#;

#[test]
fn settings_are_flattened_to_their_paths() {
    let config = Config::parse(CONFIG.as_bytes()).unwrap();
    let settings: Vec<(&str, &str)> =
        config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let expected = [
        ("classes.0.worth", "3.0"),
        ("classes.count", "1"),
        ("limits.may-probe", "true"),
        ("me", "3"),
        ("zones", "\u{1f}a\u{1f}b, c"),
    ];
    assert_eq!(settings, expected);
    assert_eq!((config.seed, config.relay.port()), (0x8c1f30d27a5be964, 3));
}

#[test_case("n3", "n4", "name" ; "the name")]
#[test_case("127.0.0.1:1", "127.0.0.1:4", "listen" ; "the listening address")]
#[test_case(r#""me":3"#, r#""me":4"#, "settings" ; "a setting")]
#[test_case("127.0.0.1:3", "127.0.0.1:4", "" ; "the relay can change without a restart")]
fn a_change_that_only_a_restart_applies_is_named(old: &str, new: &str, field: &str) {
    let [old, new] = [CONFIG.to_string(), CONFIG.replace(old, new)]
        .map(|text| Config::parse(text.as_bytes()).unwrap().restart_only_fields());
    let changed: Vec<&str> = old.iter().zip(&new).filter(|(a, b)| a != b).map(|(a, _)| a.0).collect();
    assert_eq!(changed.join(","), field);
}

#[test_case("{", "}", "EOF" ; "truncated")]
#[test_case(r#""relay""#, r#""relais""#, "relay.address: missing" ; "no relay")]
#[test_case("127.0.0.1:1", "host:1", "listen: expected" ; "a host name instead of an address")]
#[test_case("\"relay\"", "\"limits\":{\"sockets\":-1},\"relay\"", "limits.sockets: expected" ; "a limit below 0")]
#[test_case("8c1f", "zz", "seed: expected" ; "a seed that is not a number")]
#[test_case(r#""settings":{"#, r#""settings":7,"x":{"#, "settings: expected an object" ; "settings that are a number")]
fn an_invalid_configuration_is_rejected_with_its_field(valid: &str, invalid: &str, expected: &str) {
    let text = if valid == "{" { "{".to_string() } else { CONFIG.replace(valid, invalid) };
    let error = Config::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
