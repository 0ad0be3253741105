//! Tests of the distribution of requests over services.
use super::*;

#[test]
fn each_service_gets_its_share_of_the_traffic_and_a_share_of_zero_gets_none() {
    let shares = [("a".to_string(), 90.0), ("b".to_string(), 10.0), ("c".to_string(), 0.0)];
    let mut counts = [0; 3];
    for n in 0..10_000u32 {
        let id = format!("{:016x}", n.wrapping_mul(0x9e37_79b9));
        let name = select_service(&shares, id.as_bytes()).unwrap();
        counts[(name.as_bytes()[0] - b'a') as usize] += 1;
    }
    assert!((800..1_200).contains(&counts[1]) && counts[2] == 0, "{counts:?}");
}
