//! A late request counts exactly if its edge was in touch all the while.
use super::*;
use crate::request_id::NotARequestId;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request(edge: usize, sent: u64) -> RequestId {
    RequestId { edge, sent: ms(sent), nonce: 7 }
}

/// The endpoint's departure is acknowledged at 10 s.
fn departures() -> Departures {
    let mut departures = Departures::default();
    departures.acknowledge("i-1", ms(10_000));
    departures
}

#[test]
fn a_request_id_is_read_as_it_was_written() {
    let id = request(12, 3_456);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!("soak".parse::<RequestId>(), Err(NotARequestId));
}

#[test]
fn a_request_may_arrive_until_empty_is_over_and_at_others_whenever() {
    let mut departures = departures();
    departures.arrive("i-1", request(0, 12_400), ms(12_500));
    departures.arrive("i-2", request(0, 20_000), ms(20_001));
    assert_eq!(departures.broken(), []);
    // A second acknowledgement, of the sign-off after a drain, does not begin the time anew.
    departures.acknowledge("i-1", ms(12_000));
    departures.arrive("i-1", request(0, 12_490), ms(12_501));
    departures.arrive("i-1", request(2, 12_600), ms(12_601));
    let expected = BrokenDrain {
        endpoint: "i-1".into(),
        acknowledged: ms(10_000),
        requests: 2,
        first: request(0, 12_490),
        last_arrived: ms(12_601),
    };
    assert_eq!(departures.broken(), [expected]);
}

#[test]
fn a_late_request_counts_only_through_an_edge_in_touch() {
    let broken = |core: &[u64], edge: &[u64]| {
        let mut departures = departures();
        core.iter().for_each(|at| departures.disturb_core(ms(*at)));
        edge.iter().for_each(|at| departures.disturb_edge(1, ms(*at)));
        departures.arrive("i-1", request(1, 14_000), ms(14_005));
        departures.broken().len()
    };
    assert_eq!(broken(&[], &[]), 1);
    assert_eq!(broken(&[10_999], &[9_000, 14_006]), 1, "inContact before it was sent, and after it arrived");
    assert_eq!(broken(&[11_000], &[]), 0);
    assert_eq!(broken(&[9_000, 14_001, 15_000], &[]), 0, "between the client and the endpoint");
    assert_eq!(broken(&[], &[12_000]), 0);
    let mut other = departures();
    other.disturb_edge(2, ms(13_000));
    other.arrive("i-1", request(1, 14_000), ms(14_005));
    assert_eq!(other.broken().len(), 1, "another edge");
}
