//! When the first layout of a divided service is due. Pure. Hosts that are there at the start are heard of one after
//! another; what is laid on the first of them only goes on to the others at the pace of balancing.
use coppersail_consensus::Ms;

/// The hosts of one service until it is laid out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementGate {
    hosts: usize,
    since: Ms,
    grown: Ms,
}

impl PlacementGate {
    /// Whether all that are there are known: none more for one and a half heartbeats, within which every host beats.
    /// Where they never stop coming it ends after `most`, as nothing is served before.
    pub fn complete(&mut self, now: Ms, hosts: usize, beat: Ms, most: Ms) -> bool {
        if hosts == 0 || self.hosts == 0 {
            *self = PlacementGate { hosts, since: now, grown: now };
        } else if hosts > self.hosts {
            (self.hosts, self.grown) = (hosts, now);
        }
        hosts > 0 && (now >= self.grown + beat * 3 / 2 || now >= self.since + most)
    }
}
