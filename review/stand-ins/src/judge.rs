//! What the CONFIG rule counts in calm times: how often requests on the first and on the later routes are served.
use crate::client::Sent;

/// How many requests were sent in this time, and how many of them were served.
pub fn served(sent: &[Sent], from: f64, to: f64) -> (usize, usize) {
    let in_time = || sent.iter().filter(|sent| from <= sent.at && sent.at < to);
    (in_time().count(), in_time().filter(|sent| sent.status == 200).count())
}

pub fn show((sent, served): (usize, usize)) -> String {
    format!("{served} of {sent} served")
}
