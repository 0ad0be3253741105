//! Quorums of voters, also after the loss of a disk.
//!
//! A quorum is a majority of the voters. With an even number of voters exactly half of them suffices if the
//! node of another voter grants the request as well, but with another disk than the one that the record
//! names: that disk is lost and its vote can no longer be given, so that the half is a majority of the votes
//! that are left. Any two such quorums share a voter whose disk is there. Silence proves no loss: a node
//! that is partitioned, frozen or down may still hold its disk.
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::Voter;

/// The answer of a voter's node to a request, as far as quorums are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterAnswer {
    /// The disk that the record names grants the request.
    Granted,
    /// The node grants the request with another disk: the one that the record names is lost.
    DiskLost,
    /// The node has rejected the request or has not answered; its disk may still be there.
    Missing,
}

impl VoterAnswer {
    /// The answer of `voter`, given the voters that have granted the request.
    pub fn find<'a>(voter: &Voter, granted: impl Iterator<Item = &'a Voter>) -> VoterAnswer {
        let mut answer = VoterAnswer::Missing;
        for other in granted.filter(|other| other.id == voter.id) {
            if other.incarnation == voter.incarnation {
                return VoterAnswer::Granted;
            }
            answer = VoterAnswer::DiskLost;
        }
        answer
    }
}

/// Whether these answers of all voters of one set are a quorum of the set.
pub(crate) fn is_quorum(answers: &[VoterAnswer]) -> bool {
    let count = |wanted: VoterAnswer| answers.iter().filter(|answer| **answer == wanted).count();
    let mut granted = count(VoterAnswer::Granted);
    let mut has_lost_disk = count(VoterAnswer::DiskLost) > 0;
    if is_injected(InjectedBug::ReplacedDiskVotes) {
        granted += count(VoterAnswer::DiskLost);
    }
    if is_injected(InjectedBug::SilenceCountsAsLoss) {
        has_lost_disk |= count(VoterAnswer::Missing) > 0;
    }
    let half =
        if is_injected(InjectedBug::HalfOfOddVoters) { answers.len() / 2 } else { answers.len().div_ceil(2) };
    2 * granted > answers.len() || has_lost_disk && granted == half
}
