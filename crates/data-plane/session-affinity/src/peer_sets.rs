//! Which sites keep a session.
use crate::{NodeId, SessionId};
use std::collections::BTreeMap;

/// Lists of sites by number. A session stays with the list that it was born under: its seats never move.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerSets(pub BTreeMap<u16, Vec<(NodeId, String)>>);

/// Two may be asked while one is lost.
const SEATS: usize = 3;

impl PeerSets {
    /// The list for new sessions.
    pub fn newest(&self) -> u16 {
        self.0.keys().next_back().copied().unwrap_or_default()
    }

    /// The sites that the id names, home first, then the next ones on the ring; nothing for an unknown list.
    ///
    /// ```
    /// use coppersail_session_affinity::{Id, Rosters};
    /// let sites = (1..=8).map(|n| (n, format!("10.0.0.{n}:7001"))).collect();
    /// let rosters = Rosters([(4, sites)].into());
    /// let seats = rosters.seats(4, Id([3, 9])).unwrap();
    /// assert_eq!(seats.len(), 3);
    /// assert_eq!(rosters.seats(5, Id([3, 9])), None);
    /// ```
    pub fn seats(&self, roster: u16, id: SessionId) -> Option<Vec<NodeId>> {
        let sites = self.0.get(&roster)?;
        let names: Vec<String> = sites.iter().map(|(_, name)| name.clone()).collect();
        let few = coppersail_consensus::ring_successors(&id.to_string(), &names, SEATS);
        let place = |name: &String| sites.iter().find(|(_, other)| other == name).map(|(place, _)| *place);
        Some(few.iter().filter_map(place).collect())
    }

    pub fn address(&self, place: NodeId) -> Option<&str> {
        let mut all = self.0.values().rev().flatten();
        all.find(|(other, _)| *other == place).map(|(_, name)| name.as_str())
    }
}

/// The host for a request of a session: the one that it had, as long as that one takes requests and has not been
/// tried; otherwise the one that was picked.
pub fn preferred_endpoint<'a>(
    had: Option<&'a str>,
    picked: &'a str,
    usable: impl Fn(&str) -> bool,
) -> &'a str {
    had.filter(|host| usable(host)).unwrap_or(picked)
}
