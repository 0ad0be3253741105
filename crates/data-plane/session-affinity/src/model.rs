//! Every order of events of a small world: three sites, two sessions, one loss. What sites tell each other arrives in
//! any order, twice or never.
use crate::{
    AffinityNode, AffinitySettings, Decision, Fault, IdempotentRequest, Message, NodeId, Outcome, Output,
    RecordedResponse, RequestId, SessionId,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const SITES: [NodeId; 3] = [0, 1, 2];
const NOW: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Plan {
    /// The site and the session of each confirmation; all of a session go under one key.
    asks: &'static [(NodeId, u64)],
    /// How many sessions a site holds.
    room: usize,
    losses: u8,
    /// How many messages arrive once more, at any time later.
    doubles: u8,
    /// How often a claim is made again.
    tries: u32,
    /// Outcomes of a sending that are told apart; with none it never ends.
    outcomes: u8,
    /// Nobody tells an owner that it is one no more: all the more may it take itself for one.
    quiet: bool,
    most: usize,
    fault: Option<Fault>,
}

/// A value and its hash, shared between worlds that did not change it.
#[derive(Clone)]
struct Known<T>(u64, Arc<T>);

impl<T: Hash> Known<T> {
    fn new(value: T) -> Known<T> {
        let mut hash = DefaultHasher::new();
        value.hash(&mut hash);
        Known(hash.finish(), Arc::new(value))
    }
}

impl<T> Hash for Known<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

type Mail = (NodeId, NodeId, Message);

#[derive(Clone, Hash)]
struct World {
    sites: [Known<AffinityNode>; 3],
    wire: BTreeMap<u64, Known<Mail>>,
    asked: u8,
    /// Sendings at a host: site, ticket.
    runs: BTreeSet<(NodeId, RequestId)>,
    /// Times that each session's confirmation ran.
    ledger: [u8; 2],
    losses: u8,
    doubles: u8,
}

impl World {
    fn change(&mut self, place: NodeId, step: impl FnOnce(&mut AffinityNode) -> Vec<Output>) -> Vec<Output> {
        let mut site = AffinityNode::clone(&self.sites[place as usize].1);
        let outs = step(&mut site);
        site.plain();
        self.sites[place as usize] = Known::new(site);
        outs
    }

    /// One step of a site, and what comes of it.
    fn act(
        &mut self,
        plan: &Plan,
        place: NodeId,
        step: impl FnOnce(&mut AffinityNode) -> Vec<Output>,
    ) -> Result<(), String> {
        for out in self.change(place, step) {
            match out {
                // It only ends a wait of the client's.
                Output::Send { msg: Message::Noted { .. }, .. } => {}
                Output::Send { msg: Message::LetGo { .. }, .. } if plan.quiet => {}
                Output::Send { to, msg } => {
                    let mail = Known::new((place, to, msg));
                    self.wire.insert(mail.0, mail);
                }
                Output::Run { ticket } => {
                    let session = plan.asks[ticket as usize].1 as usize;
                    self.runs.insert((place, ticket));
                    self.ledger[session] += 1;
                    if self.ledger[session] > 1 {
                        return Err(format!("session {session} ran twice"));
                    }
                }
                Output::Done { .. } => {}
                Output::Answer { ticket, reply } => {
                    let ran = self.ledger[plan.asks[ticket as usize].1 as usize] == 1;
                    if matches!(reply, Decision::Kept(_) | Decision::Past) && !ran {
                        return Err("an answer was told of what did not run".into());
                    }
                }
            }
        }
        let World { sites, wire, .. } = self;
        wire.retain(|_, mail| {
            let (from, to, msg) = &*mail.1;
            !sites[*to as usize].1.dead(&sites[*from as usize].1, msg)
        });
        Ok(())
    }

    /// All that may happen next.
    fn next(&self, plan: &Plan, terms: &AffinitySettings) -> Vec<Result<World, String>> {
        let mut next = vec![];
        let mut step = |change: &dyn Fn(&mut World) -> Result<(), String>| {
            let mut world = self.clone();
            next.push(change(&mut world).map(|()| world));
        };
        for (ticket, &(place, session)) in plan.asks.iter().enumerate() {
            if self.asked & (1 << ticket) != 0 {
                continue;
            }
            step(&|w| {
                w.asked |= 1 << ticket;
                let ask = IdempotentRequest {
                    ticket: ticket as RequestId,
                    id: SessionId([session, 0]),
                    born: session + 1,
                    seats: SITES.to_vec(),
                    key: "k".into(),
                    print: 1,
                    until: NOW + 5_000,
                };
                w.act(plan, place, |site| site.ask(NOW, ask))
            });
        }
        for (hash, mail) in &self.wire {
            step(&|w| {
                w.wire.remove(hash);
                let (from, to, msg) = Mail::clone(&mail.1);
                w.act(plan, to, |site| site.hear(NOW, from, msg))
            });
            if self.doubles > 0 {
                step(&|w| {
                    w.doubles -= 1;
                    let (from, to, msg) = Mail::clone(&mail.1);
                    w.act(plan, to, |site| site.hear(NOW, from, msg))
                });
            }
        }
        for &(place, ticket) in &self.runs {
            let outcomes = [
                Outcome::NotRun,
                Outcome::Unknown,
                Outcome::Ran(RecordedResponse { status: 200, headers: vec![], body: vec![] }),
            ];
            for outcome in outcomes.into_iter().take(plan.outcomes.into()) {
                step(&|w| {
                    w.runs.remove(&(place, ticket));
                    if outcome == Outcome::NotRun {
                        w.ledger[plan.asks[ticket as usize].1 as usize] -= 1;
                    }
                    w.act(plan, place, |site| site.ran(NOW, ticket, outcome.clone()))
                });
            }
        }
        if self.losses > 0 && self.asked != 0 {
            for place in SITES {
                step(&|w| {
                    w.losses -= 1;
                    // What was out at a host may have run; nobody is left to tell.
                    w.runs.retain(|(at, _)| *at != place);
                    let start = u64::from(place) * 1000 + 500;
                    w.act(plan, place, |site| {
                        *site = AffinityNode::new(place, terms, start, terms.floor(NOW));
                        vec![]
                    })
                });
            }
        }
        next
    }
}

/// The number of states, or the first fault and how many were seen until then.
fn search(plan: Plan) -> Result<usize, (String, usize)> {
    let terms = AffinitySettings {
        sessions: plan.room,
        skew: 0,
        wait: 1_000,
        tries: plan.tries,
        fault: plan.fault,
        ..AffinitySettings::default()
    };
    let site = |place| Known::new(AffinityNode::new(place, &terms, u64::from(place) * 1000, 0));
    let first = World {
        sites: SITES.map(site),
        wire: BTreeMap::new(),
        asked: 0,
        runs: BTreeSet::new(),
        ledger: [0; 2],
        losses: plan.losses,
        doubles: plan.doubles,
    };
    let found = Found {
        seen: (0..64).map(|_| Mutex::default()).collect(),
        count: AtomicUsize::new(0),
        open: Mutex::new((vec![first], 0)),
        fault: Mutex::new(None),
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| found.walk(&plan, &terms));
        }
    });
    let count = found.count.into_inner();
    match found.fault.into_inner().unwrap() {
        Some(fault) => Err((fault, count)),
        None => Ok(count),
    }
}

/// What walkers share: states seen, those that are open to all and how many walkers are at work, the first fault.
struct Found {
    seen: Vec<Mutex<HashSet<u64>>>,
    count: AtomicUsize,
    open: Mutex<(Vec<World>, usize)>,
    fault: Mutex<Option<String>>,
}

impl Found {
    fn walk(&self, plan: &Plan, terms: &AffinitySettings) {
        loop {
            let mut stack = {
                let (open, working) = &mut *self.open.lock().unwrap();
                match open.pop() {
                    Some(world) => {
                        *working += 1;
                        vec![world]
                    }
                    None if *working == 0 => return,
                    None => vec![],
                }
            };
            if stack.is_empty() {
                std::thread::yield_now();
                continue;
            }
            while let Some(world) = stack.pop() {
                for world in world.next(plan, terms) {
                    match world {
                        Ok(world) if self.first(&world) => stack.push(world),
                        Ok(_) => {}
                        Err(fault) => *self.fault.lock().unwrap() = Some(fault),
                    }
                }
                if self.count.load(Ordering::Relaxed) > plan.most {
                    self.fault.lock().unwrap().get_or_insert("too many".into());
                }
                if self.fault.lock().unwrap().is_some() {
                    stack.clear();
                    self.open.lock().unwrap().0.clear();
                }
                // The oldest have most below them.
                if stack.len() > 16 {
                    let (open, _) = &mut *self.open.lock().unwrap();
                    if open.len() < 64 {
                        open.extend(stack.drain(..8));
                    }
                }
            }
            self.open.lock().unwrap().1 -= 1;
        }
    }

    fn first(&self, world: &World) -> bool {
        let mut hash = DefaultHasher::new();
        world.hash(&mut hash);
        let hash = hash.finish();
        let first = self.seen[hash as usize % 64].lock().unwrap().insert(hash);
        if first && self.count.fetch_add(1, Ordering::Relaxed) % 1_000_000 == 999_999 {
            println!("{} million states", self.count.load(Ordering::Relaxed) / 1_000_000);
        }
        first
    }
}

/// A confirmation that is repeated at another site, and one of another session.
const CROSSING: Plan = Plan {
    asks: &[(0, 0), (1, 0)],
    room: 4,
    losses: 1,
    doubles: 0,
    tries: 0,
    outcomes: 1,
    quiet: false,
    most: 60_000_000,
    fault: None,
};
/// Two sessions where a site has room for one.
const CROWDED: Plan = Plan { asks: &[(0, 0), (1, 1)], room: 1, losses: 0, ..CROSSING };

#[test]
fn no_order_of_events_runs_a_confirmation_twice() {
    for plan in [
        Plan { asks: &[(0, 0)], outcomes: 3, ..CROSSING },
        Plan { asks: &[(0, 0), (0, 0)], losses: 0, outcomes: 2, ..CROSSING },
        CROWDED,
        Plan { asks: &[(0, 0)], doubles: 1, outcomes: 2, ..CROSSING },
        Plan { losses: 0, doubles: 1, outcomes: 0, quiet: true, ..CROSSING },
    ] {
        let states = search(plan).unwrap_or_else(|fault| panic!("{fault:?} in {plan:?}"));
        assert!(states > 100, "{plan:?} has {states}");
        println!("{states:>10} states: {plan:?}");
    }
}

fn walk_all(plans: &[Plan]) {
    for plan in plans {
        let begun = std::time::Instant::now();
        let states = search(*plan).unwrap_or_else(|fault| panic!("{fault:?} in {plan:?}"));
        println!("{states:>10} states, {:?}: {plan:?}", begun.elapsed());
    }
}

/// `cargo test --release -p coppersail-session-affinity model -- --ignored --nocapture`
#[test]
#[ignore = "some minutes long; docs/sessions.md has its figures"]
fn no_order_of_events_with_a_loss_runs_a_confirmation_twice() {
    walk_all(&[
        Plan { losses: 0, outcomes: 3, ..CROSSING },
        Plan { losses: 0, tries: 1, ..CROSSING },
        Plan { asks: &[(0, 0), (0, 0)], ..CROSSING },
        Plan { outcomes: 0, quiet: true, ..CROSSING },
    ]);
}

#[test]
#[ignore = "some minutes long; docs/sessions.md has its figures"]
fn no_order_of_events_with_two_sessions_runs_a_confirmation_twice() {
    walk_all(&[
        Plan { asks: &[(0, 0), (1, 0), (2, 1)], losses: 0, outcomes: 0, quiet: true, ..CROSSING },
        Plan { losses: 1, outcomes: 0, quiet: true, ..CROWDED },
    ]);
}

#[test]
fn the_model_finds_each_seeded_fault() {
    for (fault, plan) in [
        (Fault::StaleWrites, Plan { losses: 0, ..CROSSING }),
        (Fault::OneCopy, Plan { losses: 0, ..CROSSING }),
        (Fault::Forgetful, CROSSING),
        (Fault::SentAgain, Plan { losses: 0, ..CROSSING }),
        (Fault::CountedTwice, Plan { losses: 0, doubles: 2, ..CROSSING }),
    ] {
        let found = search(Plan { fault: Some(fault), most: 3_000_000, ..plan });
        assert!(found.is_err_and(|(what, _)| what.contains("ran twice")), "{fault:?} is not found");
    }
}
