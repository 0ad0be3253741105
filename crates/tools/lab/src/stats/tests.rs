//! Tests of the module `stats`.
use super::*;

#[test]
fn an_interval_covers_and_narrows() {
    let (mean, half) = paired(&[1.0, 2.0, 3.0, 4.0]);
    assert_eq!(mean, 2.5);
    assert!((half - 3.182 * (5.0_f64 / 3.0 / 4.0).sqrt()).abs() < 1e-9);
    assert_eq!(paired(&[0.3]).1, f64::INFINITY);
}
