//! Two operators: they send configurations until there is a clear answer, and read.
use crate::callers::{Act, Seek, HOPS, PATIENCE};
use crate::checks::{rule, Held};
use crate::host::{PLAIN, SPLIT};
use crate::world::{Ask, End, Ev, Origin, Say};
use crate::{Us, World};
use serde_json::json;
use std::collections::VecDeque;

/// Orders of one operator under way at once.
const MOST: usize = 8;

/// A call that goes on until its clear answer: an order, or a read.
struct Run {
    id: u64,
    /// None: a read.
    order: Option<usize>,
    first: Us,
    call: u64,
    floor: u64,
    hops: u8,
    refused: u8,
    seek: Seek,
    act: Act,
}

pub struct Operator {
    runs: Vec<Run>,
    /// What waits for its turn.
    waits: VecDeque<(usize, Option<usize>)>,
    stopped: bool,
}

impl World<'_> {
    pub(crate) fn start_operators(&mut self) {
        for n in 0..2 {
            self.operators.push(Operator { runs: Vec::new(), waits: VecDeque::new(), stopped: false });
            let at = self.luck.u64(300_000..1_500_000);
            self.after(1_000_000 + at, Ev::Reader(n));
            if self.day.order_every > 0 {
                self.after(2_000_000 + at, Ev::Operator(n));
            }
        }
        let first = self.new_order(0);
        self.send_order(0, first, None);
    }

    pub(crate) fn stop_operators(&mut self) {
        self.operators.iter_mut().for_each(|o| {
            o.stopped = true;
            o.waits.clear();
        });
    }

    fn content(&mut self, number: u64, valid: bool) -> usize {
        let tag = self.ledger.orders.len();
        let service = if valid { PLAIN } else { "nobody" };
        let body = json!({
            "revision": format!("r{number}"),
            "routes": {"columns": ["name", "domain", "pathStart", "backend"],
                "rows": [["a", "a.example", format!("/{tag}/"), service], ["b", "b.example", "/", SPLIT]]},
            "backends": {"columns": ["name", "splitUp"], "rows": [[SPLIT, true], [PLAIN, false]]}
        });
        self.ledger.order(self.now, number, body.to_string(), valid)
    }

    /// A new content under a new highest number.
    pub(crate) fn new_order(&mut self, skip: u64) -> usize {
        let number = self.ledger.top() + 1 + skip + self.luck.u64(0..4);
        self.content(number, true)
    }

    pub(crate) fn send_order(&mut self, by: usize, order: usize, to: Option<usize>) {
        if self.operators[by].runs.iter().filter(|r| r.order.is_some()).count() >= MOST {
            return self.operators[by].waits.push_back((order, to));
        }
        let body = self.ledger.orders[order].body.as_str().into();
        self.begin_run(by, Some(order), Act::Replace(body), to);
    }

    fn begin_run(&mut self, by: usize, order: Option<usize>, act: Act, to: Option<usize>) {
        let id = self.number() << 1 | by as u64;
        let told = to.map(|m| self.machines[m].admin());
        let seek = Seek { told, at: self.luck.usize(0..9), ..Seek::default() };
        let (first, call, floor) = (self.now, 0, 0);
        let run = Run { id, order, first, call, floor, hops: 0, refused: 0, seek, act };
        self.operators[by].runs.push(run);
        self.run_goes(id);
    }

    pub(crate) fn storm(&mut self, many: usize) {
        for n in 0..many {
            let order = self.new_order(0);
            self.send_order(n % 2, order, None);
        }
    }

    pub(crate) fn race(&mut self) {
        let one = self.new_order(0);
        let number = self.ledger.orders[one].number;
        let other = self.content(number, true);
        self.send_order(0, one, None);
        self.send_order(1, other, None);
    }

    pub(crate) fn older(&mut self, lot: u64) {
        let known = self.ledger.orders.len();
        let old = lot as usize % known;
        if lot & 1 << 40 == 0 && self.ledger.orders[old].valid {
            return self.send_order(1, old, None);
        }
        let number = 1 + lot % self.ledger.top().max(1);
        let order = self.content(number, true);
        self.send_order(1, order, None);
    }

    pub(crate) fn invalid(&mut self) {
        let number = self.ledger.top() + 1;
        let order = self.content(number, false);
        self.send_order(0, order, None);
    }

    pub(crate) fn operator_wakes(&mut self, n: usize) {
        if self.operators[n].stopped {
            return;
        }
        if self.operators[n].waits.is_empty() {
            let skip = if self.luck.u8(0..8) == 0 { 9 } else { 0 };
            let order = self.new_order(skip);
            self.send_order(n, order, None);
        }
        let every = self.day.order_every * 1000;
        let next = self.luck.u64(every / 4..every * 7 / 4);
        self.after(next, Ev::Operator(n));
    }

    pub(crate) fn reader_wakes(&mut self, n: usize) {
        let reads = self.operators[n].runs.iter().filter(|r| r.order.is_none()).count();
        if reads < 2 {
            self.begin_run(n, None, Act::Read, None);
        }
        let next = self.luck.u64(200_000..1_800_000);
        self.after(next, Ev::Reader(n));
    }

    fn run_at(&self, id: u64) -> Option<(usize, usize)> {
        let by = id as usize & 1;
        self.operators[by].runs.iter().position(|r| r.id == id).map(|at| (by, at))
    }

    /// The next try of a run.
    pub(crate) fn run_goes(&mut self, id: u64) {
        let Some((by, at)) = self.run_at(id) else { return };
        let to = self.sought(&self.operators[by].runs[at].seek);
        match to {
            Some(m) => {
                self.operators[by].runs[at].hops = 0;
                self.run_sends(by, at, m);
            }
            None => self.after(100_000, Ev::Run { id }),
        }
    }

    fn run_sends(&mut self, by: usize, at: usize, m: usize) {
        let (call, floor) = (self.number() << 1 | by as u64, self.ledger.floor());
        let run = &mut self.operators[by].runs[at];
        (run.call, run.floor) = (call, floor);
        let (id, act) = (run.id, run.act.clone());
        self.post(m, Origin { end: End::Operator(by), life: 0, call }, Ask::Admin(act));
        self.after(PATIENCE, Ev::RunLimit { id, call });
    }

    pub(crate) fn run_silent(&mut self, id: u64, call: u64) {
        if let Some((by, at)) = self.run_at(id) {
            if self.operators[by].runs[at].call == call {
                self.run_again(by, at);
            }
        }
    }

    fn run_again(&mut self, by: usize, at: usize) {
        let run = &mut self.operators[by].runs[at];
        run.call = 0;
        let (id, pause) = (run.id, run.seek.bad());
        if run.order.is_some() {
            self.tally.unclear += 1;
        }
        self.after(pause, Ev::Run { id });
    }

    pub(crate) fn run_hears(&mut self, call: u64, say: Say) {
        let by = call as usize & 1;
        let Some(at) = self.operators[by].runs.iter().position(|r| r.call == call) else { return };
        let Say::Text(status, body) = say else { return self.run_again(by, at) };
        let run = &mut self.operators[by].runs[at];
        if status == 307 && run.hops < HOPS {
            run.hops += 1;
            if let Some(m) = self.location(&body) {
                return self.run_sends(by, at, m);
            }
            return self.run_again(by, at);
        }
        let (order, floor) = (run.order, run.floor);
        let Some(n) = order else {
            let held = self.ledger.read(floor, self.now, status, &body);
            self.check(held);
            self.tally.reads += 1;
            if status == 200 {
                self.operators[by].runs.remove(at);
            } else {
                self.run_again(by, at);
            }
            return;
        };
        let held = self.ledger.answered(self.now, n, status);
        let number = self.ledger.orders[n].number;
        self.say("operator", || format!("order {n}, r{number}: {status}"));
        self.check(held);
        let over = match status {
            200..=299 => true,
            400 | 409 | 412 | 413 | 422 => true,
            408 | 429 => false,
            400..=499 => {
                let run = &mut self.operators[by].runs[at];
                run.refused += 1;
                run.refused > 2
            }
            _ => false,
        };
        if !over {
            return self.run_again(by, at);
        }
        self.operators[by].runs.remove(at);
        if status < 300 {
            self.tally.acked += 1;
            self.close();
        } else {
            self.tally.refused += 1;
        }
        if let Some((next, to)) = self.operators[by].waits.pop_front() {
            self.send_order(by, next, to);
        }
    }

    /// Orders that began early enough in these calm times, or before them, have their acknowledgement.
    pub(crate) fn orders_in_time(&mut self, due: Us, within: Us) {
        let now = self.now;
        if now < due {
            return;
        }
        let alone = |n: usize| {
            let number = self.ledger.orders[n].number;
            self.ledger.orders[n].valid && self.ledger.contents(number) == 1
        };
        let late = self
            .operators
            .iter()
            .flat_map(|o| &o.runs)
            .find(|r| now > r.first + within && r.order.is_some_and(alone));
        if let Some(run) = late {
            let n = run.order.unwrap_or_default();
            let what = format!(
                "order {n}, r{}, first sent at {} ms, has no acknowledgement",
                self.ledger.orders[n].number,
                run.first / 1000
            );
            let held: Held = Err((rule::LIVE, what));
            self.check(held);
        }
    }
}
