//! Tests of the error texts that operators see at startup. Each text is one line that includes the sources of
//! the error.
use super::super::Sessions;
use super::*;
use slog::{o, Discard, Logger};

const SETTINGS: &str = r#"{"header":"Session","keys":["KEY"],"services":["plain"],
    "sites":{"1":{"1":"10.0.0.1:70","3":"10.0.0.3:70"},"2":{"1":"10.0.0.1:70","2":"10.0.0.2:70"}},
    "routes":[{"domain":"a.example","pathStart":"/once/","confirms":true}]}"#;

/// Returns the error text as the program prints it. `key` is the content of the key file, `None` if the file
/// is missing.
fn start_error(test: &str, key: Option<&[u8]>, address: &str) -> String {
    let path = std::env::temp_dir().join(format!("sessions-{test}-{}.key", std::process::id()));
    if let Some(key) = key {
        std::fs::write(&path, key).unwrap();
    }
    let settings = SETTINGS.replace("KEY", path.to_str().unwrap());
    let settings = SessionSettings::from_json(&settings).unwrap();
    let error = Sessions::new(settings, address, true, Logger::root(Discard, o!())).err().unwrap();
    let _ = std::fs::remove_file(&path);
    format!("{:#}", eyre::Report::new(error)).replace(path.to_str().unwrap(), "PATH")
}

#[test]
fn the_error_for_a_missing_key_file_names_the_file_and_the_system_error() {
    let expected = "cannot read key file PATH: No such file or directory (os error 2)";
    assert_eq!(start_error("missing", None, "10.0.0.2:70"), expected);
}

#[test]
fn the_error_for_a_key_that_is_too_short_names_the_required_length() {
    let expected = "sessions: expected keys of 32 bytes or more";
    assert_eq!(start_error("short", Some(&[7; 3]), "10.0.0.2:70"), expected);
}

#[test]
fn the_error_for_an_edge_missing_from_the_newest_peer_set_names_its_address() {
    let expected = "sessions: 10.0.0.3:70 is not in the newest peer set of the setting `sites`";
    assert_eq!(start_error("peer", Some(&[7; 32]), "10.0.0.3:70"), expected);
}

#[test]
fn process_settings_without_a_second_spare_port_are_rejected() {
    let settings = coppersail_config::ProcessSettings { peer_ports: (75, 75), ..Default::default() };
    let error = Sessions::from_process_settings("missing.json", &settings, Logger::root(Discard, o!()))
        .err()
        .unwrap();
    let expected = "sessions: network.sparePorts has no second port, which peer edges need";
    assert_eq!(format!("{:#}", eyre::Report::new(error)), expected);
}
