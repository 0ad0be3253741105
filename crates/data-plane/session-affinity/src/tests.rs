//! The hard cases, on sites that are joined by a network of the test's own.
use crate::token::{SessionToken, SigningKeys, TokenError};
use crate::{
    preferred_endpoint, AffinityNode, AffinitySettings, Decision, IdempotentRequest, Message, Ms, NodeId,
    Outcome, Output, RecordedResponse, RequestId, SessionId,
};
use assert_matches::assert_matches;
use std::collections::{BTreeMap, VecDeque};

const BORN: Ms = 1_000_000;

struct Net {
    terms: AffinitySettings,
    now: Ms,
    sites: BTreeMap<NodeId, AffinityNode>,
    /// Sites that reach only each other.
    side: Vec<NodeId>,
    wire: VecDeque<(NodeId, NodeId, Message)>,
    /// Sendings at hosts, and what tickets got.
    runs: Vec<(NodeId, RequestId)>,
    got: BTreeMap<RequestId, Option<Decision>>,
}

impl Net {
    fn new(terms: AffinitySettings) -> Net {
        let site = |place| (place, AffinityNode::new(place, &terms, u64::from(place), 0));
        let sites = (1..=4).map(site).collect();
        let (side, wire) = (vec![], VecDeque::new());
        Net { sites, terms, now: BORN, side, wire, runs: vec![], got: BTreeMap::new() }
    }

    fn post(&mut self, from: NodeId, outs: Vec<Output>) {
        for out in outs {
            match out {
                Output::Send { to, msg } => self.wire.push_back((from, to, msg)),
                Output::Run { ticket } => self.runs.push((from, ticket)),
                Output::Done { ticket } => drop(self.got.insert(ticket, None)),
                Output::Answer { ticket, reply } => drop(self.got.insert(ticket, Some(reply))),
            }
        }
    }

    fn with(&mut self, place: NodeId, act: impl FnOnce(&mut AffinityNode, Ms) -> Vec<Output>) {
        let now = self.now;
        if let Some(site) = self.sites.get_mut(&place) {
            let outs = act(site, now);
            self.post(place, outs);
        }
    }

    fn settle(&mut self) {
        while let Some((from, to, msg)) = self.wire.pop_front() {
            if self.side.contains(&from) == self.side.contains(&to) {
                self.with(to, |site, now| site.hear(now, from, msg));
            }
        }
    }

    fn ask_of(&self, id: u64, ticket: RequestId, key: &str, print: u64) -> IdempotentRequest {
        let (key, until) = (key.into(), self.now + 5_000);
        IdempotentRequest {
            ticket,
            id: SessionId([id, 0]),
            born: BORN,
            seats: vec![1, 2, 3],
            key,
            print,
            until,
        }
    }

    fn ask(&mut self, place: NodeId, ticket: RequestId, key: &str) {
        let ask = self.ask_of(1, ticket, key, 7);
        self.with(place, |site, now| site.ask(now, ask));
        self.settle();
    }

    fn end(&mut self, place: NodeId, ticket: RequestId, outcome: Outcome) {
        self.with(place, |site, now| site.ran(now, ticket, outcome));
        self.settle();
    }

    fn pass(&mut self, time: Ms) {
        self.now += time;
        for place in 1..=4 {
            self.with(place, |site, now| site.tick(now));
        }
        self.settle();
    }

    fn die(&mut self, place: NodeId) {
        self.sites.remove(&place);
    }

    fn start(&mut self, place: NodeId) {
        let floor = self.terms.floor(self.now);
        self.sites.insert(place, AffinityNode::new(place, &self.terms, self.now, floor));
    }
}

fn taken() -> RecordedResponse {
    RecordedResponse { status: 201, headers: vec![], body: b"table 4".to_vec() }
}

fn ran() -> Outcome {
    Outcome::Ran(taken())
}

#[test]
fn two_sites_that_claim_at_once_send_it_once() {
    let mut net = Net::new(AffinitySettings::default());
    let (one, two) = (net.ask_of(1, 1, "a", 7), net.ask_of(1, 2, "a", 7));
    net.with(1, |site, now| site.ask(now, one));
    net.with(4, |site, now| site.ask(now, two));
    net.settle();
    net.pass(1_000);
    assert_eq!(net.runs.len(), 1);
    assert_matches!(net.got.values().next(), Some(Some(Decision::NotNow | Decision::UnderWay)));
}

#[test]
fn a_session_goes_back_and_forth_and_its_answer_stays() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 0, "a");
    net.end(1, 0, ran());
    for n in 1..=10 {
        net.now += 100;
        let place = if n % 2 == 0 { 1 } else { 4 };
        net.ask(place, n, "a");
        assert_eq!(net.got[&n], Some(Decision::Kept(taken())));
        assert!(
            net.sites[&place].owns(SessionId([1, 0])) && !net.sites[&(5 - place)].owns(SessionId([1, 0]))
        );
    }
    assert_eq!(net.runs.len(), 1);
    assert_eq!((net.sites[&4].counts().crossings, net.sites[&1].counts().let_go), (5, 5));
}

#[test]
fn what_is_under_way_at_the_old_site_ends_there() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 1, "a");
    net.ask(4, 2, "a");
    assert_eq!(net.got[&2], Some(Decision::UnderWay));
    // Another key needn't wait for it.
    net.ask(4, 3, "b");
    assert_eq!(net.runs, [(1, 1), (4, 3)]);
    net.end(1, 1, ran());
    assert_eq!(net.got[&1], None);
    net.ask(4, 4, "a");
    assert_eq!(net.got[&4], Some(Decision::Kept(taken())));
    assert!(net.sites[&1].show(net.now, SessionId([1, 0])).is_some_and(|shown| !shown.owner), "a seat still");
}

#[test]
fn an_old_site_that_died_leaves_an_unknown_outcome() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 1, "a");
    net.die(1);
    net.ask(4, 2, "a");
    assert_eq!(net.got[&2], Some(Decision::UnderWay));
    net.pass(6_000);
    net.ask(4, 3, "a");
    assert_eq!((&net.got[&3], net.runs.len()), (&Some(Decision::Unknown), 1));
    net.ask(4, 4, "b");
    assert_eq!(net.runs.last(), Some(&(4, 4)), "two seats are enough for the next one");
}

#[test]
fn a_new_site_that_died_after_its_claim_holds_nobody_up() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 1, "a");
    net.end(1, 1, ran());
    net.with(4, |site, now| site.visit(now, SessionId([1, 0]), BORN, &[1, 2, 3]));
    net.settle();
    net.die(4);
    net.now += 10;
    net.ask(1, 2, "a");
    net.ask(1, 3, "b");
    assert_eq!((&net.got[&2], net.runs.last()), (&Some(Decision::Kept(taken())), Some(&(1, 3))));
}

#[test]
fn a_home_that_died_comes_back_blank_and_is_filled() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(4, 1, "a");
    net.end(4, 1, ran());
    net.die(1);
    net.ask(2, 2, "a");
    assert_eq!(net.got[&2], Some(Decision::Kept(taken())));
    net.start(1);
    net.now += 10;
    net.ask(4, 3, "a");
    assert_eq!(
        (net.got[&3].clone(), net.sites[&4].counts().replicas_restored),
        (Some(Decision::Kept(taken())), 1)
    );
    // So the next one may go.
    net.die(2);
    net.now += 10;
    net.ask(3, 4, "a");
    assert_eq!(net.got[&4], Some(Decision::Kept(taken())));
}

#[test]
fn two_homes_that_lost_it_make_the_session_a_stranger() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(4, 1, "a");
    net.end(4, 1, Outcome::Unknown);
    for place in [1, 2] {
        net.die(place);
        net.start(place);
    }
    net.now += 10;
    net.ask(3, 2, "a");
    assert_eq!((&net.got[&2], net.runs.len()), (&Some(Decision::Forgotten), 1));
}

#[test]
fn of_two_sides_of_a_cut_only_the_larger_one_confirms() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 1, "a");
    net.end(1, 1, ran());
    net.side = vec![1];
    net.ask(1, 2, "b");
    assert!(net.runs.len() == 1 && !net.got.contains_key(&2));
    net.pass(1_000);
    assert_eq!(net.got[&2], Some(Decision::NotNow), "never sent");
    net.ask(1, 3, "a");
    assert_eq!(net.got[&3], Some(Decision::Kept(taken())), "a repeat is told what is known");
    net.ask(2, 4, "b");
    assert_eq!(net.runs.last(), Some(&(2, 4)));
    net.end(2, 4, ran());
    net.side.clear();
    net.now += 10;
    net.ask(1, 5, "b");
    assert_eq!(net.got[&5], Some(Decision::NotNow), "it hears now that it was left");
    net.ask(1, 6, "b");
    assert_eq!((&net.got[&6], net.runs.len()), (&Some(Decision::Kept(taken())), 2));
}

#[test]
fn a_host_that_died_with_it_is_not_asked_again_and_one_that_declined_is() {
    let mut net = Net::new(AffinitySettings::default());
    net.ask(1, 1, "a");
    net.end(1, 1, Outcome::Unknown);
    net.ask(4, 2, "a");
    assert_eq!((&net.got[&2], net.runs.len()), (&Some(Decision::Unknown), 1));
    net.ask(4, 3, "b");
    net.end(4, 3, Outcome::NotRun);
    net.now += 1;
    net.ask(1, 4, "b");
    assert_eq!(net.runs.last(), Some(&(1, 4)));
}

#[test]
fn a_repeat_is_answered_by_what_is_left_of_the_first() {
    let mut net = Net::new(AffinitySettings { keys: 2, ..AffinitySettings::default() });
    net.ask(1, 1, "a");
    net.ask(1, 2, "a");
    assert_eq!(net.got[&2], Some(Decision::UnderWay));
    net.end(1, 1, ran());
    let other = net.ask_of(1, 3, "a", 8);
    net.with(1, |site, now| site.ask(now, other));
    assert_eq!(net.got[&3], Some(Decision::Other));
    net.pass(net.terms.keep);
    net.ask(4, 4, "a");
    assert_eq!(net.got[&4], Some(Decision::Past));
    net.ask(4, 5, "b");
    net.ask(4, 6, "c");
    assert_eq!((&net.got[&6], net.runs.len()), (&Some(Decision::Spent), 2));
}

#[test]
fn room_is_made_by_what_is_idle_and_never_by_what_is_open() {
    let mut net = Net::new(AffinitySettings { sessions: 2, ..AffinitySettings::default() });
    for (ticket, id) in [(1, 1), (2, 2), (3, 3)] {
        let ask = net.ask_of(id, ticket, "a", 7);
        net.with(1, |site, now| site.ask(now, ask));
        net.settle();
    }
    net.pass(600);
    assert_eq!((net.runs.len(), &net.got[&3]), (2, &Some(Decision::NotNow)), "both places are open");
    net.end(1, 1, ran());
    let ask = net.ask_of(3, 4, "a", 7);
    net.with(1, |site, now| site.ask(now, ask));
    net.settle();
    assert_eq!(net.runs.last(), Some(&(1, 4)));
    // The one that was dropped may have run, so it is not taken for new.
    let ask = net.ask_of(1, 5, "a", 7);
    net.with(4, |site, now| site.ask(now, ask));
    net.settle();
    assert_eq!((&net.got[&5], net.runs.len()), (&Some(Decision::Forgotten), 3));
}

#[test]
fn a_thousand_sessions_cross_at_one_moment() {
    let mut net = Net::new(AffinitySettings::default());
    let all = |net: &mut Net, place, first| {
        for id in 0..1_000 {
            let ask = net.ask_of(id, first + id, "a", 7);
            net.with(place, |site, now| site.ask(now, ask));
        }
        net.settle();
    };
    all(&mut net, 1, 0);
    for ticket in 0..900 {
        net.end(1, ticket, ran());
    }
    // The rest is at hosts when their site goes.
    net.die(1);
    net.now += 10;
    all(&mut net, 4, 10_000);
    let kept = (10_000..11_000).filter(|ticket| net.got[ticket] == Some(Decision::Kept(taken()))).count();
    let open = (10_000..11_000).filter(|ticket| net.got[ticket] == Some(Decision::UnderWay)).count();
    assert_eq!((kept, open, net.runs.len()), (900, 100, 1_000));
}

#[test]
fn the_host_comes_along_and_a_release_moves_it_in_the_middle() {
    let mut net = Net::new(AffinitySettings::default());
    let id = SessionId([1, 0]);
    net.with(1, |site, now| site.visit(now, id, BORN, &[1, 2, 3]));
    net.settle();
    net.with(1, |site, now| site.served(now, id, "ledger", "i-1"));
    net.settle();
    net.now += 10;
    net.with(4, |site, now| site.visit(now, id, BORN, &[1, 2, 3]));
    assert_eq!(net.sites[&4].host(id, "ledger"), None, "nothing waits for it");
    net.settle();
    assert_eq!(net.sites[&4].host(id, "ledger"), Some("i-1"));
    // Its host belongs to the old release: another is picked, and told after the crossing.
    let host = preferred_endpoint(net.sites[&4].host(id, "ledger"), "i-2", |host| host != "i-1").to_string();
    net.with(4, |site, now| site.served(now, id, "ledger", &host));
    net.with(1, |site, now| site.served(now, id, "ledger", "i-1"));
    net.settle();
    net.now += 2_000;
    net.with(2, |site, now| site.visit(now, id, BORN, &[1, 2, 3]));
    net.settle();
    assert_eq!(net.sites[&2].host(id, "ledger"), Some("i-2"));
    // A late lookup at the old site does not take it back.
    net.with(4, |site, now| site.visit(now, id, BORN, &[1, 2, 3]));
    net.settle();
    assert!(net.sites[&2].owns(id) && !net.sites[&4].owns(id));
}

#[test]
fn tokens_that_are_not_sound_are_told_apart() {
    let (old, new) = (vec![1; 32], vec![2; 32]);
    let before = SigningKeys::new(vec![old.clone()]).unwrap();
    let during = SigningKeys::new(vec![new.clone(), old]).unwrap();
    let after = SigningKeys::new(vec![new]).unwrap();
    let token = SessionToken { id: SessionId([1, 2]), roster: 3, born: BORN, signed: BORN };
    let text = before.sign(&token);
    let read = |keys: &SigningKeys, text: &str, now| keys.read(text, now, 1_000, 50);
    assert_eq!(read(&during, &text, BORN), Ok((token, false)), "known, to be signed anew");
    let text = during.sign(&token);
    assert_eq!(
        (read(&after, &text, BORN), read(&before, &text, BORN)),
        (Ok((token, true)), Err(TokenError::Forged))
    );
    assert_eq!(read(&after, &text, BORN - 51), Err(TokenError::Early));
    assert_eq!(read(&after, &text, BORN - 50), Ok((token, true)));
    assert_eq!(read(&after, &text, BORN + 1_000), Err(TokenError::Expired));
    assert_eq!(read(&after, &text[..text.len() - 2], BORN), Err(TokenError::Cut));
    assert_eq!(read(&after, "no token", BORN), Err(TokenError::Cut));
    for at in 0..text.len() {
        let mut forged = text.clone().into_bytes();
        forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
        assert!(read(&after, std::str::from_utf8(&forged).unwrap(), BORN).is_err(), "changed at {at}");
    }
    assert!(SigningKeys::new(vec![vec![1; 31]]).is_err() && SigningKeys::new(vec![]).is_err());
}
