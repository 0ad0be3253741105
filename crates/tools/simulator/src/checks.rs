//! What must hold, judged only by what callers have seen. Pure: `World` tells what happened, in true time.
use crate::Us;
use std::collections::BTreeMap;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    pub rule: &'static str,
    pub at: Us,
    pub what: String,
}

pub type Held<T = ()> = Result<T, (&'static str, String)>;

pub mod rule {
    pub const READ: &str = "a read is never older than what was acknowledged or read before it";
    pub const TWO: &str = "no two centres answer reads as primary at one moment";
    pub const SENT: &str = "what is read is what was sent under its number";
    pub const ONE: &str = "one content a number";
    pub const AGAIN: &str = "an acknowledged order sent again is never refused";
    pub const REFUSED: &str = "what was refused is never in force";
    pub const INVALID: &str = "what is invalid is never acknowledged";
    pub const CAUSE: &str = "no proper order is refused without another content under its number";
    pub const HOLDER: &str = "one holder a key";
    pub const FENCE: &str = "fences of a row only rise";
    pub const EDGE: &str = "edges never go back";
    pub const EMPTYING: &str = "an acknowledged emptying is known to edges in touch within `empty`";
    pub const APPLY: &str = "an acknowledged configuration is at edges in touch within `apply`";
    pub const LIVE: &str = "in calm times an order is acknowledged within `confirm`";
    pub const LEAVES: &str = "in calm times a host that leaves is acknowledged before it ends";
    pub const LAST: &str = "at the end the newest acknowledged configuration is read back through any centre";
    pub const CUT: &str = "a centre cut off for longer than `inContact` answers nothing with 2xx";
    pub const NODE: &str = "a node answers each caller once and uses no token twice";
    pub const PANIC: &str = "a node does not panic";
}

/// One content under one number, as an operator sends it, once or often.
#[derive(Debug, Clone)]
pub struct Order {
    pub number: u64,
    pub body: String,
    pub valid: bool,
    pub first: Us,
    pub acked: Option<Us>,
    /// It was acknowledged, or read, when nothing above it can have been held.
    taken: bool,
    /// When a caller first knew it to be in force.
    seen: Option<Us>,
    refused: Option<Us>,
}

/// All orders, what came of them, and all reads.
#[derive(Debug, Default)]
pub struct Ledger {
    pub orders: Vec<Order>,
    by_body: BTreeMap<String, usize>,
    /// number -> its contents
    by_number: BTreeMap<u64, Vec<usize>>,
    /// The highest number that anybody knows to be in force.
    floor: u64,
    /// When the highest acknowledged number rose, and to what.
    rises: Vec<(Us, u64)>,
}

impl Ledger {
    pub fn order(&mut self, at: Us, number: u64, body: String, valid: bool) -> usize {
        let n = self.orders.len();
        self.by_body.insert(body.clone(), n);
        self.by_number.entry(number).or_default().push(n);
        let order =
            Order { number, body, valid, first: at, acked: None, taken: false, seen: None, refused: None };
        self.orders.push(order);
        n
    }

    /// A read or an attempt that starts now must see this number at least.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    pub fn top(&self) -> u64 {
        self.by_number.keys().next_back().copied().unwrap_or(0)
    }

    /// How many contents were sent under a number.
    pub fn contents(&self, number: u64) -> usize {
        self.by_number.get(&number).map_or(0, Vec::len)
    }

    /// The highest number acknowledged by then.
    pub fn acked_by(&self, at: Us) -> u64 {
        let upto = self.rises.partition_point(|(t, _)| *t <= at);
        upto.checked_sub(1).map_or(0, |n| self.rises[n].1)
    }

    pub fn last_acked(&self) -> Option<usize> {
        let acked = |n: &usize| self.orders[*n].acked.is_some();
        (0..self.orders.len()).filter(acked).max_by_key(|n| self.orders[*n].number)
    }

    /// Can a number above this one have been held by now? Only if one was sent that is valid.
    fn above(&self, number: u64) -> bool {
        let sent = self.by_number.range(number + 1..);
        sent.flat_map(|(_, all)| all).any(|n| self.orders[*n].valid && self.orders[*n].refused.is_none())
    }

    fn take(&mut self, now: Us, n: usize) -> Held {
        let number = self.orders[n].number;
        let others = &self.by_number[&number];
        if let Some(other) = others.iter().find(|o| **o != n && self.orders[**o].taken) {
            return Err((
                rule::ONE,
                format!("r{number}: order {n} and order {other} are both taken under one number"),
            ));
        }
        if let Some(at) = self.orders[n].refused {
            return Err((
                rule::REFUSED,
                format!("r{number}, order {n}, was refused at {} ms and is in force", at / 1000),
            ));
        }
        let order = &mut self.orders[n];
        order.taken = true;
        order.seen.get_or_insert(now);
        Ok(())
    }

    /// An attempt to have an order acknowledged has this answer.
    pub fn answered(&mut self, now: Us, n: usize, status: u16) -> Held {
        let (number, valid) = (self.orders[n].number, self.orders[n].valid);
        match status {
            200..=299 => {
                if !valid {
                    return Err((rule::INVALID, format!("order {n}, r{number}, is acknowledged")));
                }
                let others = &self.by_number[&number];
                if let Some(other) = others.iter().find(|o| **o != n && self.orders[**o].taken) {
                    return Err((
                        rule::ONE,
                        format!("r{number}: order {n} is acknowledged, and order {other} was taken"),
                    ));
                }
                // Below a number that may be held it may have been left out, which an acknowledgement doesn't say.
                if !self.above(number) {
                    self.take(now, n)?;
                }
                let order = &mut self.orders[n];
                order.acked.get_or_insert(now);
                order.seen.get_or_insert(now);
                if self.rises.last().is_none_or(|(_, top)| *top < number) {
                    self.rises.push((now, number));
                }
                self.floor = self.floor.max(number);
                Ok(())
            }
            400..=499 if !valid => {
                self.orders[n].refused.get_or_insert(now);
                Ok(())
            }
            400..=499 if status == 408 || status == 429 => Ok(()),
            400..=499 => {
                if self.orders[n].seen.is_some() {
                    return Err((
                        rule::AGAIN,
                        format!("order {n}, r{number}, is refused with {status} after it was in force"),
                    ));
                }
                let other = self.by_number[&number].iter().any(|o| *o != n && self.orders[*o].valid);
                if status != 409 || !other {
                    return Err((rule::CAUSE, format!("order {n}, r{number}, is refused with {status}")));
                }
                self.orders[n].refused.get_or_insert(now);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// A read, begun when `floor` was known, has this answer. The number that it says, if it says one.
    pub fn read(&mut self, floor: u64, now: Us, status: u16, body: &str) -> Held<Option<u64>> {
        match status {
            200 => {}
            404 if floor > 0 => return Err((rule::READ, format!("404 is read after r{floor}"))),
            _ => return Ok(None),
        }
        let Some(n) = self.by_body.get(body).copied() else {
            return Err((rule::SENT, format!("nobody has sent what is read: {body}")));
        };
        let (number, valid) = (self.orders[n].number, self.orders[n].valid);
        if !valid {
            return Err((rule::REFUSED, format!("order {n}, r{number}, is invalid and in force")));
        }
        if number < floor {
            return Err((rule::READ, format!("r{number} is read after r{floor}")));
        }
        self.take(now, n)?;
        self.floor = self.floor.max(number);
        Ok(Some(number))
    }

    /// What an edge has in force under a number.
    pub fn told(&self, body: &str, number: u64) -> Held<usize> {
        let n = self.by_body.get(body).copied();
        let Some(n) = n.filter(|n| self.orders[*n].number == number) else {
            return Err((rule::SENT, format!("nobody has sent what an edge is told as r{number}")));
        };
        if !self.orders[n].valid || self.orders[n].refused.is_some() {
            return Err((rule::REFUSED, format!("order {n}, r{number}, is refused and told to an edge")));
        }
        let others = &self.by_number[&number];
        match others.iter().find(|o| **o != n && self.orders[**o].taken) {
            Some(other) => {
                Err((rule::ONE, format!("r{number}: an edge is told order {n}, and order {other} was taken")))
            }
            None => Ok(n),
        }
    }
}

/// How finely keys are looked at: no row is narrower.
const CELL: u32 = 16;
const CELLS: usize = 65536 / CELL as usize;

/// Fences as they leave centres.
#[derive(Debug, Default)]
pub struct Fences {
    services: BTreeMap<String, Vec<(u64, String)>>,
}

impl Fences {
    pub fn granted(&mut self, service: &str, ident: &str, rows: &[(u32, u32, u64, String)]) -> Held {
        let cells = self.services.entry(service.into()).or_insert_with(|| vec![(0, String::new()); CELLS]);
        for (from, to, fence, _) in rows {
            for cell in from / CELL..=(*to).min(65535) / CELL {
                let (last, holder) = &mut cells[cell as usize];
                let key = cell * CELL;
                if fence < last {
                    return Err((
                        rule::FENCE,
                        format!(
                            "key {key} of {service}: {ident} gets fence {fence} after {last} of {holder}"
                        ),
                    ));
                }
                if fence == last && holder != ident {
                    return Err((
                        rule::FENCE,
                        format!("key {key} of {service}: fence {fence} goes to {holder} and to {ident}"),
                    ));
                }
                if fence > last {
                    (*last, *holder) = (*fence, ident.into());
                }
            }
        }
        Ok(())
    }
}

/// The rows of two holders must be apart.
pub fn apart(one: &[(u32, u32, u64)], other: &[(u32, u32, u64)]) -> Option<u32> {
    one.iter().find_map(|a| other.iter().find(|b| a.0 <= b.1 && b.0 <= a.1).map(|b| a.0.max(b.0)))
}
