//! The exact bytes that a director exchanges with programs of other repositories (collectors, the relay, discovery and
//! hosts) and reads from the operators' configuration file. A change here breaks compatibility with them.
use coppersail_protocol::collector::{self, CollectorMessage};
use coppersail_protocol::config::{Config, Limits};
use coppersail_protocol::discovery::{self, EndpointList, EndpointState};
use coppersail_protocol::load::{self, Report};
use coppersail_protocol::relay::{self, Answer, Order, RelayEvent, RetryPolicy};
use std::fmt::Debug;

/// The error's one-line text, as it appears in log lines and in the answers to operators.
fn error_text<T: Debug, E: ToString + Debug>(parsed: Result<T, E>) -> String {
    parsed.unwrap_err().to_string()
}

mod collector_lines {
    use super::*;

    #[test]
    fn the_length_limit_and_the_health_check_response_keep_their_bytes() {
        assert_eq!(collector::MAX_MESSAGE_BYTES, 1_048_576);
        assert_eq!(collector::HEALTH_CHECK_RESPONSE, b"{\"msg\":\"alive\"}\n");
        assert_eq!(CollectorMessage::parse(br#"{"msg":"probe"}"#), Ok(CollectorMessage::HealthCheck));
    }

    #[test]
    fn each_message_keeps_its_field_names_and_units() {
        assert_eq!(
            CollectorMessage::parse(br#"{"msg":"agent","az":"a"}"#),
            Ok(CollectorMessage::Register("a".into()))
        );
        let demand = CollectorMessage::DemandReport {
            slice: 88,
            route: "lookup".into(),
            requests: 40,
            dropped: 1,
            window: 0.5,
        };
        let text = br#"{"msg":"hot","partition":88,"kind":"lookup","n":40,"bad":1,"window":500.0}"#;
        assert_eq!(CollectorMessage::parse(text), Ok(demand));
        let text = br#"{"msg":"outcomes","az":"a","host":"s-5","n":212,"bad":3,"avg":41.5,"window":1000.0,"report":{"q":7}}"#;
        let Ok(CollectorMessage::AttemptReport {
            zone,
            host,
            attempts,
            dropped,
            mean_response_time,
            window,
            report,
        }) = CollectorMessage::parse(text)
        else {
            panic!("{:?}", CollectorMessage::parse(text));
        };
        assert_eq!((zone.as_ref(), host.as_ref(), attempts, dropped), ("a", "s-5", 212, 3));
        assert_eq!(
            (mean_response_time, window, report.get("q"), report.invalid_entries),
            (0.0415, 1.0, Some(7.0), 0)
        );
    }

    #[test]
    fn a_mean_time_is_required_only_where_attempts_were_answered() {
        let text = br#"{"msg":"outcomes","az":"a","host":"h","n":3,"bad":3,"avg":7.0,"window":1.0}"#;
        assert!(
            matches!(CollectorMessage::parse(text), Ok(CollectorMessage::AttemptReport { mean_response_time, .. }) if mean_response_time == 0.0)
        );
    }

    #[test]
    fn each_error_keeps_its_text() {
        let table: [(&[u8], &str); 12] = [
            (br#"{"msg":"news"}"#, "field msg: expected agent, outcomes, hot or probe"),
            (br#"{"msg":"agent"}"#, "field az: missing"),
            (br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0}"#, "field window: missing"),
            (
                br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":0}"#,
                "field window: expected milliseconds, an hour at most",
            ),
            (
                br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":3600001}"#,
                "field window: expected milliseconds, an hour at most",
            ),
            (br#"{"msg":"hot","window":1}"#, "field n: missing"),
            (br#"{"msg":"hot","window":1,"n":1}"#, "field bad: missing"),
            (br#"{"msg":"hot","window":1,"n":1,"bad":0}"#, "field partition: missing"),
            (br#"{"msg":"hot","window":1,"n":1,"bad":0,"partition":4}"#, "field kind: missing"),
            (br#"{"msg":"outcomes","n":1,"bad":0,"window":1}"#, "field avg: missing"),
            (
                br#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"avg":-4,"window":1}"#,
                "field avg: expected a number of 0 or more",
            ),
            (br#"{"msg":"outcomes","az":"a","n":1,"bad":1,"window":1}"#, "field host: missing"),
        ];
        for (line, text) in table {
            assert_eq!(error_text(CollectorMessage::parse(line)), text, "{}", String::from_utf8_lossy(line));
        }
    }

    #[test]
    fn errors_of_malformed_json_keep_their_text() {
        assert_eq!(
            error_text(CollectorMessage::parse(b"{")),
            "EOF while parsing an object at line 1 column 1"
        );
        assert_eq!(error_text(CollectorMessage::parse(b"\xff")), "expected value at line 1 column 1");
        assert_eq!(
            error_text(CollectorMessage::parse(br#"{"msg":"hot","partition":-1}"#)),
            "invalid value: integer `-1`, expected u16 at line 1 column 27"
        );
    }

    /// Serde's error texts contain the names of the types that are parsed.
    #[test]
    fn errors_of_json_that_is_not_an_object_keep_their_text() {
        let table: [(&[u8], &str); 4] = [
            (b"[]", "invalid length 0, expected struct Raw with 10 elements at line 1 column 2"),
            (b"7", "invalid type: integer `7`, expected struct Raw at line 1 column 1"),
            (b"{}", "missing field `msg` at line 1 column 2"),
            (
                br#"{"msg":"agent","az":7}"#,
                "invalid type: integer `7`, expected a string at line 1 column 21",
            ),
        ];
        for (line, text) in table {
            assert_eq!(error_text(CollectorMessage::parse(line)), text, "{}", String::from_utf8_lossy(line));
        }
    }

    #[test]
    fn an_error_that_quotes_a_long_input_is_cut_at_200_characters() {
        let line = format!(r#"{{"msg":"hot","partition":"{}"}}"#, "ä".repeat(500));
        let text = error_text(CollectorMessage::parse(line.as_bytes()));
        assert_eq!(text, format!("invalid type: string \"{}", "ä".repeat(178)));
        assert_eq!(text.chars().count(), 200);
    }
}

mod relay_lines {
    use super::*;

    #[test]
    fn the_request_for_updates_and_the_limit_of_a_call_keep_their_bytes() {
        assert_eq!(relay::WATCH_REQUEST, b"follow\r\n");
        assert_eq!(relay::MAX_CALL_BYTES, 60_000);
    }

    #[test]
    fn each_order_keeps_its_text() {
        let admit = |slice, routes, level, retry| Order::SetAdmission { slice, routes, level, retry };
        let table = [
            (Order::SetWeight { slice: 4, host: "s-5", weight: 1.5 }, "SET,4,s-5,1.5"),
            (Order::SetWeight { slice: 4, host: "s-5", weight: 1.0 }, "SET,4,s-5,1"),
            (Order::ClearTable { slice: 4 }, "DEL,4"),
            (Order::Withdraw { host: "s-5" }, "OUT,s-5"),
            (Order::Restore { host: "s-5" }, "IN,s-5"),
            (admit(Some(4), vec!["a", "b"], 0.9, RetryPolicy::Never), "LIMIT,4,a+b,0.9,0"),
            (admit(None, vec!["a"], 1.0, RetryPolicy::IfNotExecuted), "LIMIT,*,a,1,1"),
            (admit(Some(0), vec![], 0.0, RetryPolicy::Once), "LIMIT,0,*,0,2"),
            (admit(None, vec![], 0.5, RetryPolicy::Twice), "LIMIT,*,*,0.5,3"),
            (Order::RequestAcknowledgement { round: 905, include_idle_proxies: true }, "SYNC,905,1"),
            (Order::RequestAcknowledgement { round: 905, include_idle_proxies: false }, "SYNC,905,0"),
        ];
        for (order, text) in table {
            assert_eq!(order.to_text(), text);
        }
    }

    #[test]
    fn a_call_keeps_its_bytes() {
        assert_eq!(relay::write_call(["DEL,4", "IN,s-5"].into_iter()), b"txn DEL,4;IN,s-5\r\n");
        assert_eq!(relay::write_call(["DEL,4"].into_iter()), b"txn DEL,4\r\n");
        assert_eq!(relay::write_call(std::iter::empty()), b"txn \r\n");
    }

    #[test]
    fn each_answer_keeps_its_meaning() {
        let table: [(&[u8], Answer); 8] = [
            (b"OK 0", Answer::Applied(0)),
            (b"OK 17\r", Answer::Applied(17)),
            (b"OK", Answer::Unreadable),
            (b"OK -1", Answer::Unreadable),
            (b"-ERR Throttling: wait", Answer::Throttled),
            (b"ThrottlingX", Answer::Unreadable),
            (b"-ERR ValidationError", Answer::Invalid),
            (b"\xff", Answer::Unreadable),
        ];
        for (line, answer) in table {
            assert_eq!(Answer::parse(line), answer, "{}", String::from_utf8_lossy(line));
        }
    }

    #[test]
    fn each_update_keeps_its_words_and_units() {
        let joined = |without_tables| RelayEvent::ProxyJoined {
            proxy: 17,
            zone: "a",
            requests_per_s: 21.5,
            without_tables,
        };
        let table = [
            ("OK", RelayEvent::Start),
            ("*", RelayEvent::Heartbeat),
            ("* hello 17 a 21.5 1\r", joined(true)),
            ("* hello 17 a 21.5 0", joined(false)),
            ("* bye 17", RelayEvent::ProxyLeft { proxy: 17 }),
            ("* ack 17 905 310.5", RelayEvent::RoundAcknowledged { proxy: 17, round: 905, latency: 0.3105 }),
            ("* lease 88 1", RelayEvent::SliceAssigned { slice: 88 }),
            ("* lease 88 0", RelayEvent::SliceRevoked { slice: 88 }),
            ("* line 88 s-5 1.0", RelayEvent::StoredWeight { slice: 88, host: "s-5", weight: 1.0 }),
        ];
        for (line, update) in table {
            assert_eq!(RelayEvent::parse(line.as_bytes()), Ok(update), "{line}");
        }
    }

    #[test]
    fn each_error_keeps_its_text() {
        let table: [(&[u8], &str); 12] = [
            (b"\xff", "news that is no text"),
            (b"* hell", "no line of news"),
            (b"", "no line of news"),
            (b"* hello 70000 a 1 1", "field sidecar: expected a whole number below 65536"),
            (b"* hello 1 a x 1", "field share: expected a number of 0 or more"),
            (b"* hello 1 a 1 2", "field standing: expected 1 or 0"),
            (b"* bye x", "field sidecar: expected a whole number below 65536"),
            (b"* ack 1 x 1", "field version: expected a whole number below 65536"),
            (b"* ack 1 1 inf", "field lag_ms: expected a number of 0 or more"),
            (b"* lease 88 2", "field yes: expected 1 or 0"),
            (b"* lease -1 1", "field partition: expected a whole number below 65536"),
            (b"* line 88 s-5 -1", "field weight: expected a number of 0 or more"),
        ];
        for (line, text) in table {
            assert_eq!(error_text(RelayEvent::parse(line)), text, "{}", String::from_utf8_lossy(line));
        }
    }
}

mod discovery_lists {
    use super::*;

    const ENTRY: &str = r#"{"id":"s-5","addr":"127.0.0.1:8000","zone":"a","kind":"m2","cell":3,"state":"in_service","weight":1.5,"started_ms":7}"#;

    fn list(entry: &str) -> String {
        format!(r#"{{"version":43,"full":true,"servers":[{entry}]}}"#)
    }

    #[test]
    fn the_paths_keep_their_text() {
        assert_eq!(discovery::ENDPOINTS_PATH, "/v1/endpoints");
        assert_eq!(discovery::watch_path(Some(41)), "/v1/endpoints?follow=1&since=41");
        assert_eq!(discovery::watch_path(None), "/v1/endpoints?follow=1");
    }

    #[test]
    fn an_entry_keeps_its_field_names() {
        let text = list(ENTRY);
        let list = EndpointList::parse(text.as_bytes()).unwrap();
        assert_eq!((list.version, list.is_complete), (43, true));
        let server = list.entries[0].as_ref().unwrap();
        assert_eq!((server.id.as_ref(), server.zone.as_ref(), server.kind.as_ref()), ("s-5", "a", "m2"));
        assert_eq!((server.cell, server.weight, server.started_ms), (3, 1.5, 7));
        assert_eq!(server.address.to_string(), "127.0.0.1:8000");
    }

    #[test]
    fn each_state_keeps_its_word() {
        let words = [
            ("in_service", EndpointState::Ready),
            ("terminating", EndpointState::Draining),
            ("terminated", EndpointState::Gone),
        ];
        for (word, state) in words {
            let text = list(&ENTRY.replace("in_service", word));
            assert_eq!(
                EndpointList::parse(text.as_bytes()).unwrap().entries[0].as_ref().unwrap().state,
                state
            );
        }
    }

    #[test]
    fn each_error_of_an_entry_keeps_its_text() {
        let table = [
            ("s-5", "", "field id: expected a name that can stand in an order"),
            ("s-5", "a;b", "field id: expected a name that can stand in an order"),
            ("127.0.0.1:8000", "nowhere", "field addr: expected an address and a port"),
            ("in_service", "asleep", "field state: expected in_service, terminating or terminated"),
            ("1.5", "-1", "field weight: expected a number of 0 or more"),
            (r#""cell":3,"#, "", "missing field `cell` at line 1 column 108"),
        ];
        for (from, to, expected) in table {
            let text = list(&ENTRY.replacen(from, to, 1));
            let list = EndpointList::parse(text.as_bytes()).unwrap();
            assert_eq!(list.entries[0].as_ref().unwrap_err().error.to_string(), expected);
        }
    }

    /// Serde's error texts contain the names of the types that are parsed.
    #[test]
    fn errors_of_json_that_is_not_an_object_keep_their_text() {
        for (entry, expected) in [
            ("7", "invalid type: integer `7`, expected struct RawServer at line 1 column 1"),
            ("[]", "invalid length 0, expected struct RawServer with 8 elements at line 1 column 2"),
            ("{}", "missing field `id` at line 1 column 2"),
        ] {
            let text = list(entry);
            let list = EndpointList::parse(text.as_bytes()).unwrap();
            let error = list.entries[0].as_ref().unwrap_err();
            assert_eq!((error.id.as_deref(), error.error.to_string().as_str()), (None, expected));
        }
        for (text, expected) in [
            ("7", "invalid type: integer `7`, expected struct RawList at line 1 column 1"),
            ("[]", "invalid length 0, expected struct RawList with 3 elements at line 1 column 2"),
        ] {
            assert_eq!(error_text(EndpointList::parse(text.as_bytes())), expected);
        }
    }

    #[test]
    fn an_error_of_the_list_keeps_its_text() {
        let text = error_text(EndpointList::parse(b"{\"version\":43}"));
        assert_eq!(text, "missing field `full` at line 1 column 14");
    }
}

mod load_reports {
    use super::*;

    #[test]
    fn the_paths_keep_their_text() {
        assert_eq!((load::HEALTH_PATH, load::LOAD_PATH), ("/health", "/status/load"));
    }

    #[test]
    fn a_report_in_a_body_keeps_its_form() {
        let report = Report::parse_text(b"TEXT q=2, lat_ms=181.685,rif=x,");
        let values = [report.get("q"), report.get("lat_ms"), report.get("rif")];
        assert_eq!((values, report.invalid_entries), ([Some(2.0), Some(181.685), None], 1));
        assert_eq!(Report::parse_text(b" \n").invalid_entries, 0);
        assert_eq!(Report::parse_text(b"text q=2").invalid_entries, 1);
    }
}

mod configuration {
    use super::*;

    const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","relay":{"address":"127.0.0.1:3"},"known":{"version":41,"full":true,"servers":[]},"limits":{"sockets":64,"memory_mb":512},"settings":{"me":3}}"#;

    #[test]
    fn a_configuration_keeps_its_field_names() {
        let config = Config::parse(CONFIG.as_bytes()).unwrap();
        let expected = Config {
            name: "n3".into(),
            listen: "127.0.0.1:1".parse().unwrap(),
            discovery: "127.0.0.1:2".parse().unwrap(),
            relay: "127.0.0.1:3".parse().unwrap(),
            seed: 0x8c1f_30d2_7a5b_e964,
            known_endpoints: Some(br#"{"full":true,"servers":[],"version":41}"#.to_vec()),
            settings: [("me".to_string(), "3".to_string())].into(),
            limits: Limits { sockets: Some(64), memory_mb: Some(512) },
        };
        assert_eq!(config, expected);
    }

    #[test]
    fn nested_settings_keep_their_paths() {
        let settings =
            r#"{"a":{"b":1,"c":[true,2,"x,y"]},"d":[{"e":"f"},7],"g":null,"h":[],"i":1.50,"":[{"j":8}]}"#;
        let text = CONFIG.replace(r#"{"me":3}"#, settings);
        let config = Config::parse(text.as_bytes()).unwrap();
        let paths: Vec<String> =
            config.settings.iter().map(|(path, value)| format!("{path}={value}")).collect();
        let expected = [
            ".0.j=8",
            ".count=1",
            "a.b=1",
            "a.c=\u{1f}true\u{1f}2\u{1f}x,y",
            "d.0.e=f",
            "d.1=7",
            "d.count=2",
            "h=",
            "i=1.5",
        ];
        assert_eq!(paths, expected);
    }

    #[test]
    fn the_fields_that_only_a_restart_applies_keep_their_names() {
        let fixed = Config::parse(CONFIG.as_bytes()).unwrap().restart_only_fields();
        assert_eq!(fixed.map(|(name, _)| name), ["name", "listen", "limits", "settings"]);
    }

    #[test]
    fn each_error_keeps_its_text() {
        let address = "expected an address and a port, such as 127.0.0.1:8000";
        let table = [
            (r#""name""#, r#""nome""#, "field name: missing".to_string()),
            (r#""n3""#, "3", "field name: expected a text".to_string()),
            (r#""relay""#, r#""relais""#, "field relay.address: missing".to_string()),
            ("127.0.0.1:1", "host:1", format!("field listen: {address}")),
            ("127.0.0.1:2", "host:1", format!("field discovery: {address}")),
            ("127.0.0.1:3", "host:1", format!("field relay.address: {address}")),
            ("8c1f", "zz", "field seed: expected 16 hex digits".to_string()),
            (
                r#""sockets":64"#,
                r#""sockets":0"#,
                "field limits.sockets: expected a whole number from 1".into(),
            ),
            ("512", "4294967296", "field limits.memory_mb: expected a whole number from 1".into()),
            (r#""settings""#, r#""setting""#, "field settings: missing".to_string()),
            (r#"{"me":3}"#, "7", "field settings: expected an object".to_string()),
        ];
        for (from, to, expected) in table {
            let text = CONFIG.replacen(from, to, 1);
            assert_eq!(error_text(Config::parse(text.as_bytes())), expected);
        }
    }
}
