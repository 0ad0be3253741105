//! Seats against lost disks, restarts and candidates that race; then a model that plays all of it by lot.
use super::*;
use assert_matches::assert_matches;

fn record(n: u64, primary: &str, backup: &str) -> Record {
    Record { epoch: Ballot::new(n, primary), primary: primary.into(), backup: backup.into() }
}

fn genesis() -> Record {
    Record { epoch: Ballot::new(1, ""), primary: "a".into(), backup: "b".into() }
}

#[test]
fn a_deposed_primary_is_not_renewed() {
    let mut seat = Seat::first(genesis());
    let old = record(2, "a", "b");
    seat.prepare(0, &old.epoch).unwrap();
    seat.accept(0, &old, 100).unwrap();
    assert_matches!(seat.prepare(50, &Ballot::new(3, "b")), Err(No { why, .. }) if why == "promised to another");
    seat.prepare(100, &Ballot::new(3, "b")).unwrap();
    assert_matches!(seat.renew(101, &old, 100), Err(No { promised, .. }) if promised.n == 3);
}

#[test]
fn a_seat_that_restarts_keeps_an_earlier_promise() {
    let mut seat = Seat::again(Held { promised: Ballot::new(2, "a"), record: record(2, "a", "b") }, 100);
    assert_matches!(seat.prepare(99, &Ballot::new(3, "b")), Err(_));
    let mut other = seat.clone();
    assert_matches!(other.prepare(1, &Ballot::new(3, "a")), Ok(_), "who acted knows that it has ended");
    assert_matches!(seat.prepare(100, &Ballot::new(3, "b")), Ok(_));
}

#[test]
fn a_lost_disk_votes_only_after_all_others_were_heard() {
    let mut seat = Seat::lost(["b".to_string(), "c".to_string()], 0);
    assert_matches!(seat.prepare(0, &Ballot::new(9, "a")), Err(_));
    assert!(!seat.hear(0, "b", &Held { promised: Ballot::new(5, "x"), record: genesis() }, 10));
    assert_matches!(seat.accept(0, &record(9, "a", "b"), 10), Err(_));
    assert!(seat.hear(5, "c", &Held { promised: Ballot::new(4, "x"), record: record(4, "b", "c") }, 10));
    assert_matches!(seat.prepare(20, &Ballot::new(5, "a")), Err(_), "it must not vote twice in an epoch");
    assert_eq!(seat.prepare(20, &Ballot::new(6, "a")), Ok(record(4, "b", "c")));
}

#[test]
fn a_primary_counts_from_when_it_asked() {
    let seats: Vec<Id> = ["a", "b", "c"].map(String::from).to_vec();
    let mut promises = Promises::default();
    promises.add("a", 1000, 500);
    assert_eq!(promises.until(&seats), 0);
    promises.add("c", 900, 500);
    assert!(promises.until(&seats) <= 1400);
}

/// Three seats, four members, candidates, cuts, restarts, lost disks by lot. Each member's disk is the highest write
/// it holds. What was acknowledged must be held by whoever acts later, and no two may act at once.
#[test]
fn what_was_acknowledged_outlives_every_takeover() {
    for seed in 0..400 {
        World::new(seed).play(600);
    }
}

struct Member {
    floor: Ballot,
    holds: u64,
    acts: Option<(Record, Promises)>,
}

struct World {
    luck: fastrand::Rng,
    now: Ms,
    seats: Vec<Seat>,
    members: Vec<Member>,
    acked: u64,
    next: u64,
    lost_at: Ms,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const SPAN: Ms = 50;

impl World {
    fn new(seed: u64) -> World {
        let members = NAMES.map(|n| Member {
            floor: if genesis().names(n) { genesis().epoch } else { Ballot::default() },
            holds: 0,
            acts: None,
        });
        World {
            luck: fastrand::Rng::with_seed(seed),
            now: 0,
            seats: vec![Seat::first(genesis()); 3],
            members: members.into(),
            acked: 0,
            next: 1,
            lost_at: 0,
        }
    }

    fn ids() -> Vec<Id> {
        NAMES[..3].iter().map(|s| s.to_string()).collect()
    }

    fn reached(&mut self) -> bool {
        self.luck.u8(0..10) > 2
    }

    fn acting(&self, m: usize) -> bool {
        self.members[m].acts.as_ref().is_some_and(|(_, p)| p.until(&Self::ids()) > self.now)
    }

    fn play(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += self.luck.u64(1..20);
            let m = self.luck.usize(0..4);
            match self.luck.u8(0..12) {
                0..=3 => self.candidate(m),
                4..=7 => self.write(m),
                8..=9 => self.renew(m),
                10 => self.restart(m),
                _ => self.lose(m),
            }
            assert!((0..4).filter(|m| self.acting(*m)).count() <= 1, "two act at {}", self.now);
        }
    }

    fn candidate(&mut self, m: usize) {
        let top = self.seats.iter().map(|s| s.held.promised.n).max().unwrap();
        let ballot = Ballot::new(top + self.luck.u64(0..2), NAMES[m]);
        let mut got = Vec::new();
        for s in 0..3 {
            if self.reached() {
                got.extend(self.seats[s].prepare(self.now, &ballot).ok());
            }
        }
        let Some(base) = got.iter().max_by_key(|r| r.epoch.clone()).filter(|_| got.len() >= 2).cloned()
        else {
            return;
        };
        if !base.lets(NAMES[m], &self.members[m].floor) {
            return;
        }
        self.members[m].acts = None;
        self.members[m].floor = self.members[m].floor.clone().max(ballot.clone());
        let partner = self.luck.usize(0..4);
        if partner == m || self.members[partner].floor > ballot || !self.reached() {
            return;
        }
        (self.members[partner].floor, self.members[partner].holds) = (ballot.clone(), self.members[m].holds);
        self.members[partner].acts = None;
        let record = Record { epoch: ballot, primary: NAMES[m].into(), backup: NAMES[partner].into() };
        let (asked, mut promises) = (self.now, Promises::default());
        self.now += self.luck.u64(0..10);
        for (s, name) in NAMES[..3].iter().enumerate() {
            if self.reached() && self.seats[s].accept(self.now, &record, SPAN).is_ok() {
                promises.add(name, asked, SPAN);
            }
        }
        if promises.until(&Self::ids()) > self.now {
            assert!(self.members[m].holds >= self.acked, "{} acts without what was acknowledged", NAMES[m]);
            self.members[m].acts = Some((record, promises));
        }
    }

    fn renew(&mut self, m: usize) {
        let Some((record, mut promises)) = self.members[m].acts.take() else { return };
        for (s, name) in NAMES[..3].iter().enumerate() {
            if self.reached() && self.seats[s].renew(self.now, &record, SPAN).is_ok() {
                promises.add(name, self.now, SPAN);
            }
        }
        self.members[m].acts = Some((record, promises));
    }

    fn write(&mut self, m: usize) {
        if !self.acting(m) {
            return;
        }
        let record = self.members[m].acts.as_ref().unwrap().0.clone();
        let backup = NAMES.iter().position(|n| *n == record.backup).unwrap();
        self.next += 1;
        self.members[m].holds = self.next;
        if !self.reached() || self.members[backup].floor > record.epoch {
            return;
        }
        self.members[backup].holds = self.next;
        self.now += self.luck.u64(0..30);
        if self.reached() && self.acting(m) {
            self.acked = self.next;
        }
    }

    fn restart(&mut self, m: usize) {
        self.members[m].acts = None;
        if m < 3 && self.seats[m].whole() {
            self.seats[m] = Seat::again(self.seats[m].held.clone(), self.now + SPAN);
        }
    }

    /// One disk at a time: the next only after the last is whole again and its member was brought up.
    fn lose(&mut self, m: usize) {
        let sound = self.seats.iter().all(Seat::whole);
        let named =
            self.seats.iter().max_by_key(|s| s.held.record.epoch.clone()).unwrap().held.record.clone();
        let full = |n: &Id| self.members[NAMES.iter().position(|x| x == n).unwrap()].holds >= self.acked;
        if self.now > self.lost_at + 400 && sound && full(&named.primary) && full(&named.backup) {
            self.lost_at = self.now;
            self.members[m] = Member { floor: Ballot::default(), holds: 0, acts: None };
            if m < 3 {
                self.seats[m] = Seat::lost(
                    NAMES[..3].iter().filter(|n| **n != NAMES[m]).map(|n| n.to_string()),
                    self.now + SPAN,
                );
            }
        }
        for s in 0..3 {
            for (other, name) in NAMES[..3].iter().enumerate() {
                let held = self.seats[other].held.clone();
                if s != other && self.seats[other].whole() && self.reached() {
                    self.seats[s].hear(self.now, name, &held, SPAN);
                }
            }
        }
    }
}
