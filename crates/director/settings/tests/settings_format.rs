//! The paths and texts of the settings. Operators' files and the benchmark use them and errors name them; after a
//! change here, a director would silently ignore settings that it is given.
use coppersail::interface::{
    AdmissionUnit, DeduplicationScope, Idempotency, PeerId, RetryPolicy, Route, ZoneId,
};
use coppersail_settings::{decision_settings, known_names, DirectorSettings, Names};

/// Every setting, in the order in which the settings are written.
const SETTINGS: &str = concat!(
    " az=b balancers=2 discovery=on_request family=f kinds=k,l me=1 round-ns=5 value-by=work weight-source=rough",
    " zones=a,b report.columns=q,rif report.source=pull",
    " classes.count=1 classes.0.aim-stretch=1.5 classes.0.aim-ns=2000000000 classes.0.give-up-ns=3000000000",
    " classes.0.semantics=keyed classes.0.group=zone classes.0.late-worth=0.5 classes.0.name=r",
    " classes.0.window-ns=4000000000 classes.0.worth=2",
    " goal.tail=0.1 goal.tail-miss=0.2 goal.whole=0.3 goal.worst-class=0.4 goal.worst-tenant=0.5",
    " goal.worst-window=0.6",
    " guarantees.ask-within-ns=1000000000 guarantees.cold-from=0.15 guarantees.fall-multiple=1.25",
    " guarantees.fall-ns=2000000000 guarantees.full-may-have-run=true guarantees.gone-is-advice=false",
    " guarantees.ramp-time-ns=3000000000 guarantees.stop-sending-within-ns=4000000000",
    " limits.connect-timeout-ns=1 limits.cpu-us-per-s=2.5 limits.idle-close-ns=3 limits.may-probe=true",
    " limits.multiplex=4 limits.peers=false",
    " specifics.admission=per_second specifics.backlog=1.5 specifics.class-own-zone=true",
    " specifics.cost-per-line=2.5 specifics.default-size=3 specifics.ejects=4 specifics.exclusive=true",
    " specifics.handover-fee=5.5 specifics.in-flight-max-ns=6000000000 specifics.ingest-rate=7.5",
    " specifics.interval-ns=8000000000 specifics.lines-per-s=9.5 specifics.mutating=false specifics.overhead=10.5",
    " specifics.per-try=11.5 specifics.pick=rotate specifics.proxy-count=12 specifics.reloads-max=13",
    " specifics.retry-default=2 specifics.slices=14 specifics.smallest-conn-table=15.5",
    " specifics.tenure-ns=16 specifics.transit-max-ns=17000000000 specifics.transit-ns=18000000000",
    " specifics.unserved-max-ns=19000000000 specifics.update-window-ns=20000000000",
    " specifics.waits-for-table-ns=21 specifics.warm-keys=false specifics.zonal=true",
    " tariffs.connection=1.5 tariffs.cross-zone=2.5 tariffs.discovery=3.5 tariffs.fleet=4.5 tariffs.handshake=5.5",
    " tariffs.late-fail=6.5 tariffs.moves=7.5 tariffs.peer=8.5 tariffs.probe=9.5 tariffs.waste=10.5",
);

fn read(text: &str) -> DirectorSettings {
    DirectorSettings::read(&text.split_whitespace().filter_map(|pair| pair.split_once('=')).collect())
        .unwrap()
}

fn written(settings: &DirectorSettings) -> String {
    let mut text = String::new();
    settings.write(&mut text);
    text
}

#[test]
fn each_setting_keeps_its_path_and_its_text() {
    assert_eq!(written(&read(SETTINGS)), SETTINGS);
}

#[test]
fn absent_and_unknown_settings_are_ignored() {
    assert_eq!(written(&read("")), " classes.count=0");
    assert_eq!(written(&read("new.thing=1 me=4")), " me=4 classes.count=0");
}

#[test]
fn each_word_keeps_its_text() {
    let words = [
        ("classes.0.semantics", vec!["safe", "keyed", "unsafe"]),
        ("classes.0.group", vec!["all", "zone", "cell"]),
        ("discovery", vec!["pushed", "on_request"]),
        ("specifics.admission", vec!["fraction", "per_second", "silent"]),
        ("specifics.pick", vec!["random", "rotate", "p2c"]),
        ("weight-source", vec!["silent", "nominal", "rough", "live"]),
        ("report.source", vec!["piggyback", "pull", "silent"]),
        ("value-by", vec!["request", "work"]),
        ("limits.peers", vec!["true", "false"]),
    ];
    for (path, words) in words {
        for word in words {
            let text = written(&read(&format!("classes.count=1 {path}={word}")));
            assert!(text.contains(&format!(" {path}={word}")), "{text}");
        }
    }
}

#[test]
fn lists_are_split_at_commas_or_at_unit_separators() {
    let unit = DirectorSettings::read(&[("zones", "\u{1f}a\u{1f}b, c")].into()).unwrap();
    assert_eq!(written(&unit), " zones=a,b, c classes.count=0");
    assert_eq!(written(&read("zones=a,,b,")), " zones=a,b classes.count=0");
    assert_eq!(
        written(&read("limits.peers=1 specifics.mutating=0,1")),
        " classes.count=0 limits.peers=true specifics.mutating=false,true"
    );
}

#[test]
fn each_error_names_the_path_and_what_was_expected() {
    let table = [
        ("me", "x", "a whole number"),
        ("goal.tail", "inf", "a number"),
        ("az", "", "a word"),
        ("kinds", "", ""),
        ("limits.peers", "yes", "true or false"),
        ("specifics.mutating", "true,x", "values joined by commas"),
        ("classes.count", "33", "32 at most"),
        ("classes.0.semantics", "x", "safe, keyed or unsafe"),
        ("classes.0.group", "x", "all, zone or cell"),
        ("discovery", "x", "pushed or on_request"),
        ("specifics.admission", "x", "fraction, per_second or silent"),
        ("specifics.pick", "x", "random, rotate or p2c"),
        ("weight-source", "x", "silent, nominal, rough or live"),
        ("report.source", "x", "piggyback, pull or silent"),
        ("value-by", "x", "request or work"),
    ];
    for (path, text, expected) in table {
        let mut paths = [("classes.count", "1")].into_iter().collect::<std::collections::BTreeMap<_, _>>();
        paths.insert(path, text);
        match DirectorSettings::read(&paths) {
            Ok(_) => assert_eq!(expected, "", "{path}"),
            Err(invalid) => assert_eq!((invalid.field.as_str(), invalid.expected), (path, expected)),
        }
    }
}

#[test]
fn the_error_of_an_unknown_name_lists_the_names_of_the_settings() {
    let names = Names::new(&read(SETTINGS));
    let errors = [
        names.zone("x").unwrap_err().to_string(),
        names.machine_kind("x").unwrap_err().to_string(),
        names.route("x").unwrap_err().to_string(),
    ];
    let expected = [
        "a zone of the settings, one of a, b",
        "a kind of the settings, one of k, l",
        "a class of the settings, one of r",
    ];
    assert_eq!(errors, expected);
    assert_eq!(
        (names.zone("b").unwrap().0, names.machine_kind("k").unwrap().0, names.route("r").unwrap().0),
        (1, 0, 0)
    );
}

#[test]
fn a_log_line_names_its_hosts() {
    let mut names = Names::new(&DirectorSettings::default());
    let (first, second) = (names.host_id("h:1"), names.host_id("h:2"));
    assert_eq!(names.log_line("gone", &[]), "gone");
    names.forget(second);
    assert_eq!(names.log_line("gone", &[first, second]), "gone: h:1 (forgotten)");
}

/// The decisions use seconds where the settings use nanoseconds.
#[test]
fn each_setting_is_converted_to_the_unit_of_the_decisions() {
    let settings = decision_settings(&read(SETTINGS));
    assert_eq!((settings.peer_id, settings.director_count, settings.zone), (PeerId(1), 2, Some(ZoneId(1))));
    assert_eq!(
        (settings.zone_names, settings.machine_types),
        (vec!["a".into(), "b".into()], vec!["k".into(), "l".into()])
    );
    let route = Route {
        latency_target: 2.0,
        deadline: 3.0,
        value: 2.0,
        idempotency: Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 4.0 },
        is_write: false,
        zone_local: true,
    };
    assert_eq!(settings.routes, [route]);
    assert_eq!(
        (settings.host_list_is_pushed, settings.host_list_max_silence, settings.listed_weights),
        (false, 1.0, true)
    );
    assert_eq!((settings.probes_allowed, settings.peer_messages_allowed), (true, false));
    assert_eq!((settings.cold_capacity_share, settings.slow_start_duration), (0.15, 3.0));
    assert_eq!((settings.collapse_multiple, settings.collapse_time, settings.grace_period), (1.25, 2.0, 4.0));
    assert_eq!((settings.throttled_may_have_executed, settings.removal_is_advisory), (true, false));
    assert_eq!((settings.max_unserved_time, settings.slice_count, settings.proxy_count), (19.0, 14, 12));
    assert_eq!((settings.exclusive_ownership, settings.hosts_cache_keys), (true, false));
    assert_eq!(
        (settings.admission_unit, settings.default_retry_policy),
        (AdmissionUnit::RequestsPerSecond, RetryPolicy::Once)
    );
    assert_eq!((settings.proxy_ejection_threshold, settings.message_overhead_lines), (4, 10.5));
    assert_eq!((settings.channel_lines_per_s, settings.channel_backlog_lines), (9.5, 1.5));
    assert_eq!((settings.max_messages_per_window, settings.message_window), (13, 20.0));
    assert_eq!((settings.typical_transit_time, settings.max_transit_time), (18.0, 17.0));
    assert_eq!((settings.report_interval, settings.max_write_in_flight_time), (8.0, 6.0));
}

#[test]
fn operators_files_are_validated_against_the_names_of_the_settings() {
    let names = known_names(&read(SETTINGS));
    assert_eq!((names.routes[0].name.as_str(), names.routes[0].idempotent), ("r", false));
    assert_eq!(
        (names.has_admission_control, names.slices, names.zones),
        (false, 14, vec!["a".to_string(), "b".to_string()])
    );
}
