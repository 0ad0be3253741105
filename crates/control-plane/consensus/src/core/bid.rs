//! A bid for the next epoch: ballot, own disk, backups' disks, record.
use super::*;

impl Core {
    pub(super) fn chance(&mut self, below: Ms) -> Ms {
        self.luck ^= self.luck << 13;
        self.luck ^= self.luck >> 7;
        self.luck ^= self.luck << 17;
        self.luck % below.max(1)
    }

    /// Stands for the next epoch.
    pub(super) fn stand(&mut self, now: Ms, group: Option<Group>, out: &mut Vec<Output>) {
        let high =
            [self.record.term.number, self.acceptor.state.promised.number, self.top, self.floor.number];
        let ballot = Term::new(high.into_iter().max().unwrap_or(0) + 1, &self.id);
        let from = match &self.role {
            Role::Leader(record) => Some(record.term.clone()),
            Role::Follower => None,
        };
        let base = match &self.role {
            Role::Leader(record) => record.clone(),
            Role::Follower => self.record.clone(),
        };
        let ids = base.voter_ids();
        self.bid = Some(Bid {
            ballot: ballot.clone(),
            base,
            group,
            from,
            stage: Stage::Prepare,
            until: now + self.spans.rpc_timeout,
            asked: ids.iter().cloned().collect(),
            promised: BTreeSet::new(),
            refused: BTreeSet::new(),
            own: false,
            was: None,
            able: Vec::new(),
            under_way: BTreeSet::new(),
            joined: Vec::new(),
            leases: LeaseGrants::default(),
        });
        for id in ids {
            let ask = Ask::Prepare { to: id.clone(), ballot: ballot.clone() };
            self.ask(now, &id, ask, VoterRequest::Prepare(ballot.clone()), out);
        }
    }

    /// A bid that can't have a quorum any more ends at once.
    pub(super) fn refused(
        &mut self,
        now: Ms,
        who: Id,
        ballot: &Term,
        no: Option<Rejection>,
        out: &mut Vec<Output>,
    ) {
        let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == *ballot) else { return };
        bid.refused.insert(who.clone());
        let Some(bid) = &self.bid else { return };
        let record = match &bid.stage {
            Stage::Accept(record) => record,
            _ => &bid.base,
        };
        // Of those that have not answered yet, only who was heard lately is worth waiting for.
        let may =
            |w: &Voter| !bid.refused.contains(&w.id) && (w.id == self.id || self.is_peer_alive(now, &w.id));
        if !record.has_quorum(may) {
            let why = no.map_or("no answer".into(), |no| no.reason);
            self.give_up(now, &format!("{who}: {why}"), out);
        }
    }

    pub(super) fn promised(
        &mut self,
        now: Ms,
        who: Voter,
        ballot: &Term,
        record: LeadershipRecord,
        out: &mut Vec<Output>,
    ) {
        let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == *ballot && b.stage == Stage::Prepare) else {
            return;
        };
        bid.promised.insert(who);
        if record.term > bid.base.term {
            bid.base = record.clone();
            let more: Vec<Id> =
                record.voter_ids().into_iter().filter(|id| bid.asked.insert(id.clone())).collect();
            self.learn(now, &record, out);
            for id in more {
                let ask = Ask::Prepare { to: id.clone(), ballot: ballot.clone() };
                self.ask(now, &id, ask, VoterRequest::Prepare(ballot.clone()), out);
            }
        }
        let Some(bid) = self.bid.as_ref().filter(|b| b.ballot == *ballot && b.stage == Stage::Prepare) else {
            return;
        };
        if !bid.base.has_quorum(|w| bid.promised.contains(w)) {
            return;
        }
        let other = bid.from.as_ref().is_some_and(|from| *from != bid.base.term);
        if other || !bid.base.may_lead(&self.id, &self.floor) || self.floor > *ballot || self.broken {
            return self.give_up(now, "another stands in the record", out);
        }
        // From here on nothing of an earlier epoch is taken: what goes to the backups is all there is.
        let base = bid.base.clone();
        let was = (!self.dirty).then(|| (self.floor.clone(), self.seq));
        let able = self.partners(now, &base);
        (self.floor, self.seq) = (ballot.clone(), 0);
        let until = now + 2 * self.spans.rpc_timeout;
        if let Some(bid) = self.bid.as_mut() {
            (bid.stage, bid.until, bid.was, bid.able) = (Stage::Bring, until, was, able);
        }
        let state = if self.dirty { self.all() } else { Vec::new() };
        let own = self.floor_puts();
        self.write(now, Job::Floor { ballot: ballot.clone() }, (state, self.dirty, own), out);
        for _ in 0..self.spans.max_failures {
            self.bring_next(now, out);
        }
        self.brought(now, out);
    }

    pub(super) fn bring_next(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Some(bid) = self.bid.as_mut().filter(|b| b.stage == Stage::Bring) else { return };
        if bid.able.is_empty() {
            if bid.under_way.len() + bid.joined.len() < self.spans.max_failures {
                self.give_up(now, "nobody to be the backup", out);
            }
            return;
        }
        let to = bid.able.remove(0);
        let was = bid.was.clone();
        let alike = was.is_some_and(|(epoch, _)| {
            self.peers.get(&to).is_some_and(|p| p.status.last_durable_term == epoch)
        });
        self.bring(now, &to, !alike, out);
    }

    pub(super) fn bring(&mut self, _now: Ms, to: &Id, snapshot: bool, out: &mut Vec<Output>) {
        let Some(bid) = self.bid.as_mut() else { return };
        bid.under_way.insert(to.clone());
        let epoch = bid.ballot.clone();
        let (kind, puts) = match bid.was.clone().filter(|_| !snapshot) {
            Some((epoch, seq)) => (ReplicaWriteKind::Probe { epoch, seq }, Vec::new()),
            None => {
                let puts = self.all();
                (ReplicaWriteKind::Snapshot { sum: sum(&puts) }, puts)
            }
        };
        let snapshot = matches!(kind, ReplicaWriteKind::Snapshot { .. });
        let copy = ReplicaWrite { version: VERSION, term: epoch.clone(), sequence: 0, kind, writes: puts };
        self.call(Ask::Bring { to: to.clone(), epoch, snapshot }, to, Request::ReplicaWrite(copy), out);
    }

    /// Its own disk and those of enough backups are brought to the epoch: the record may be written.
    pub(super) fn brought(&mut self, now: Ms, out: &mut Vec<Output>) {
        let span = self.spans.lease;
        let Some(bid) = self.bid.as_mut().filter(|b| b.stage == Stage::Bring) else { return };
        if !bid.own || bid.joined.len() < self.spans.max_failures {
            return;
        }
        let group = bid.group.clone();
        let group = group.unwrap_or(Group {
            witnesses: bid.base.voters.clone(),
            before: bid.base.outgoing_voters.clone(),
        });
        let record = LeadershipRecord {
            term: bid.ballot.clone(),
            leader: self.id.clone(),
            backups: bid.joined.clone(),
            voters: group.witnesses,
            outgoing_voters: group.before,
        };
        bid.refused.clear();
        (bid.stage, bid.until) = (Stage::Accept(record.clone()), now + self.spans.rpc_timeout);
        for id in record.voter_ids() {
            let ask = Ask::Accept { to: id.clone(), epoch: record.term.clone(), asked: now };
            self.ask(now, &id, ask, VoterRequest::Accept(record.clone(), span), out);
        }
    }

    /// Enough witnesses have written the record: it is chosen, and this centre acts by it.
    pub(super) fn chosen(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Some(bid) = &self.bid else { return };
        let Stage::Accept(record) = &bid.stage else { return };
        if !bid.leases.hold(record, now) || self.floor != record.term {
            return;
        }
        let (record, leases, fresh) = (record.clone(), bid.leases.clone(), bid.from.is_none());
        self.bid = None;
        self.renewed.clear();
        (self.leases, self.bid_at) = (leases, now);
        let joint = if record.outgoing_voters.is_empty() { "" } else { ", the group changes" };
        let names = record.backups.join(", ");
        out.push(Output::Log(format!("Acts in epoch {} with backup {names}{joint}.", record.term.number)));
        self.learn(now, &record, out);
        self.role = Role::Leader(record);
        out.push(Output::BecameLeader { newly_elected: fresh });
        self.pump(now, out);
    }

    pub(super) fn give_up(&mut self, now: Ms, why: &str, out: &mut Vec<Output>) {
        self.bid = None;
        out.push(Output::Log(format!("Could not take the next epoch: {why}.")));
        self.step_down(now, out);
        self.bid_at = now + self.chance(self.spans.heartbeat_interval / 2);
    }
}
