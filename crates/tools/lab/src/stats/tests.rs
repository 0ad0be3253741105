//! Tests of the module `stats`.
use super::*;
use test_case::test_case;

#[test]
fn an_interval_covers_and_narrows() {
    let Estimate { mean, half_width } = paired(&[1.0, 2.0, 3.0, 4.0]);
    assert_eq!(mean, 2.5);
    assert!((half_width - 3.182 * (5.0_f64 / 3.0 / 4.0).sqrt()).abs() < 1e-9);
    assert_eq!(paired(&[0.3]).half_width, f64::INFINITY);
}

#[test_case(&[(1.0, 10.0), (2.0, 20.0), (3.0, 900.0)], Some(1.0) ; "the same order")]
#[test_case(&[(1.0, 3.0), (2.0, 2.0), (3.0, 1.0)], Some(-1.0) ; "the other way round")]
#[test_case(&[(1.0, 1.0), (2.0, 1.0), (3.0, 1.0)], None ; "all alike")]
#[test_case(&[(1.0, 1.0), (2.0, 2.0)], None ; "too few")]
fn correlation_follows_the_order(pairs: &[(f64, f64)], expected: Option<f64>) {
    assert_eq!(spearman(pairs), expected);
}

#[test]
fn equal_values_share_their_mean_rank() {
    assert_eq!(ranks(&[5.0, 1.0, 5.0, 9.0]), [1.5, 0.0, 1.5, 3.0]);
}
