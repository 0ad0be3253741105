//! Tests of the bound on the arrival time of a response.
use super::*;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn a_response_read_after_a_suspension_may_have_arrived_right_before_it() {
    let second = Duration::from_secs(1);
    let sent_at = Instant::now();
    assert_eq!(earliest_arrival(sent_at), sent_at, "no poll was recorded");
    // The thread polls every second, then is suspended for five seconds before it reads the response.
    for _ in 0..3 {
        record_poll();
        tokio::time::advance(second).await;
    }
    tokio::time::advance(5 * second).await;
    record_poll();
    assert_eq!(earliest_arrival(sent_at), sent_at + 2 * second);
    assert_eq!(
        earliest_arrival(sent_at + 3 * second),
        sent_at + 3 * second,
        "not before the request was sent"
    );
}
