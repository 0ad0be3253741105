//! Tests of the module `leaving`.
use super::*;
use test_case::test_case;

#[test_case(50.0, None, Leaving::Ahead ; "long before")]
#[test_case(90.0, None, Leaving::Moving ; "ten seconds before")]
#[test_case(110.0, Some(3.0), Leaving::Moving ; "while it goes")]
#[test_case(110.0, Some(105.0), Leaving::Over ; "it is back")]
#[test_case(96.0, Some(95.0), Leaving::Over ; "it was early, and is back")]
#[test_case(221.0, None, Leaving::Over ; "nothing came of it")]
fn a_host_is_where_its_announcement_has_it(now: f64, born: Option<f64>, expected: Leaving) {
    assert_eq!(Leaving::of(now, 100.0, born), expected);
}

#[test]
fn who_leaves_within_one_second_is_away_together() {
    // By name the earlier one comes last: it must not hide that both are away.
    let leaves = |host: &str, at| (format!("hosts.{host}.leaves").parse().unwrap(), Value::Number(at));
    let document = Document::from([leaves("a", 1.7e9 + 0.7), leaves("b", 1.7e9 + 0.2)]);
    assert!(away_together(&document).contains(&vec!["a", "b"]));
}

#[test]
fn its_turns_come_in_order() {
    assert_eq!(Leaving::turns(0.0, 100.0), 90.0);
    assert_eq!(Leaving::turns(90.0, 100.0), 220.0);
    assert_eq!(Leaving::turns(220.0, 100.0), f64::INFINITY);
}
