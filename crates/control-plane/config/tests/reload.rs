//! Which settings a running process applies on a reload, and which need a restart.
use coppersail_config::ProcessSettings;

const SETTINGS: &str = r#"{"self": {"nodeName": "centre-1", "ipAddress": "10.1.0.34", "area": "north", "place": "town",
    "countsAsLoss": true, "initialBoot": true, "dataFolder": "/data", "caps": {"ramMb": 260, "openFiles": 4100}},
"network": {"binds": {"publicPlain": "10.1.0.34:8548", "readiness": "10.1.0.34:8542", "admin": "10.1.0.34:8544"},
    "sparePorts": [7540, 7555], "knownPeers": ["10.1.0.36:8544"], "zones": {"north": "town"}},
"provider": {"heartbeat": "1300ms"},
"terms": {"promises": ["base"], "survive": {"boxes": 1}, "timeLimits": {"peerDelay": "11s", "recycleAfter": "11s",
    "inContact": "11s", "confirm": "11s", "sync_time": "11s", "empty": "11s", "leeway": "11s", "missing": "11s",
    "apply": "11s", "revert": "11s", "stretch_time": "11s", "retryRatio": 0.5, "retryWindow": "11s", "extraTries": 7,
    "heal": "11s", "keepMax": "11s", "unfreeze": "11s"}}}"#;

fn settings(changes: &[(&str, &str)]) -> ProcessSettings {
    let text = changes.iter().fold(SETTINGS.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    });
    ProcessSettings::from_json(&text).unwrap()
}

#[test]
fn reloadable_settings_apply_at_once_and_are_reported() {
    let changes = [
        ("[\"10.1.0.36:8544\"]", "[\"10.1.0.37:8544\", \"10.1.0.38:8544\"]"),
        ("\"north\": \"town\"", "\"north\": \"town\", \"south\": \"bay\""),
        ("\"1300ms\"", "\"900ms\""),
        ("\"boxes\": 1", "\"boxes\": 2"),
        ("\"ramMb\": 260", "\"ramMb\": 512"),
        ("\"openFiles\": 4100", "\"openFiles\": 9000"),
        ("\"inContact\": \"11s\"", "\"inContact\": \"2s\""),
        ("[\"base\"]", "[\"base\", \"own\"]"),
    ];
    let reload = coppersail_config::reload(&settings(&[]), settings(&changes));
    assert_eq!(reload.settings, settings(&changes));
    assert_eq!(reload.restart, [""; 0]);
    let lines = [
        "self.caps.ramMb: 260, now 512",
        "self.caps.openFiles: 4100, now 9000",
        r#"network.knownPeers: ["10.1.0.36:8544"], now ["10.1.0.37:8544", "10.1.0.38:8544"]"#,
        r#"network.zones: {"north": "town"}, now {"north": "town", "south": "bay"}"#,
        "provider.heartbeat: 1.3s, now 900ms",
        "terms.survive.boxes: 1, now 2",
        r#"terms.promises: ["base"], now ["base", "own"]"#,
        "terms.timeLimits.inContact: 11s, now 2s",
    ];
    assert_eq!(reload.applied, lines);
}

#[test]
fn settings_that_need_a_restart_keep_their_values_and_are_reported() {
    let changes = [
        ("\"10.1.0.34\"", "\"10.1.0.35\""),
        ("\"area\": \"north\"", "\"area\": \"south\""),
        ("\"place\": \"town\"", "\"place\": \"bay\""),
        ("\"dataFolder\": \"/data\"", "\"dataFolder\": null"),
        ("10.1.0.34:8548", "10.1.0.34:8549"),
        ("10.1.0.34:8542", "10.1.0.34:8543"),
        ("10.1.0.34:8544", "10.1.0.34:8545"),
        ("[7540, 7555]", "[7560, 7575]"),
        ("\"centre-1\"", "\"centre-2\""),
    ];
    let reload = coppersail_config::reload(&settings(&[]), settings(&changes));
    assert_eq!(reload.settings, settings(&[]));
    assert_eq!(reload.applied, [""; 0]);
    let lines = [
        r#"self.nodeName: "centre-1", after a restart "centre-2""#,
        r#"self.ipAddress: "10.1.0.34", after a restart "10.1.0.35""#,
        r#"self.area: "north", after a restart "south""#,
        r#"self.place: "town", after a restart "bay""#,
        r#"self.dataFolder: "/data", after a restart not given"#,
        r#"network.binds.publicPlain: "10.1.0.34:8548", after a restart "10.1.0.34:8549""#,
        r#"network.binds.readiness: "10.1.0.34:8542", after a restart "10.1.0.34:8543""#,
        r#"network.binds.admin: "10.1.0.34:8544", after a restart "10.1.0.34:8545""#,
        "network.sparePorts: (7540, 7555), after a restart (7560, 7575)",
    ];
    assert_eq!(reload.restart, lines);
}

#[test]
fn equal_settings_are_not_reported_and_initial_boot_is_kept() {
    let reload = coppersail_config::reload(
        &settings(&[]),
        settings(&[("\"initialBoot\": true", "\"initialBoot\": false")]),
    );
    assert_eq!((reload.settings, reload.applied.len(), reload.restart.len()), (settings(&[]), 0, 0));
}

/// A field that was not given before is reported as well, and a long value is truncated.
#[test]
fn every_field_that_differs_is_reported() {
    let bare = r#"{"self": {"ipAddress": "127.0.0.1", "area": "a"}, "network": {"sparePorts": [1, 2]}}"#;
    let reload = coppersail_config::reload(&settings(&[]), ProcessSettings::from_json(bare).unwrap());
    // All fields that SETTINGS has except `initialBoot`: 17 limits and 17 others.
    assert_eq!(reload.applied.len() + reload.restart.len(), 34, "{reload:#?}");
    let peers = format!("{:?}", ["10.1.0.36:8544"; 40]);
    let reload = coppersail_config::reload(&settings(&[]), settings(&[("[\"10.1.0.36:8544\"]", &peers)]));
    assert!(reload.applied[0].len() < 150, "{}", reload.applied[0]);
}
