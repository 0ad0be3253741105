//! Invariants of orders and reads: linearizable reads, one content for each number, final rejections.

use super::violation::{rule, CheckError, CheckResult};
use crate::time::Micros;
use std::collections::BTreeMap;

/// One content under one number, as an operator submits it, once or often. All times are true times in microseconds.
#[derive(Debug, Clone)]
pub struct Order {
    /// The revision that the content carries.
    pub number: u64,
    /// The content.
    pub body: String,
    /// Whether the control plane must accept it if nothing else contradicts.
    pub valid: bool,
    /// When it was first submitted.
    pub submitted_at: Micros,
    /// When it was first acknowledged.
    pub acknowledged_at: Option<Micros>,
    /// It was in force: it was read, or acknowledged while no higher number can have been in force.
    effective: bool,
    /// When a caller first knew it to be in force.
    observed_at: Option<Micros>,
    rejected_at: Option<Micros>,
}

/// A new highest acknowledged number.
#[derive(Debug)]
struct Acknowledgement {
    at: Micros,
    number: u64,
}

/// All orders, their results, and all reads of a run. Orders are referred to by their index.
#[derive(Debug, Default)]
pub struct OrderHistory {
    orders: Vec<Order>,
    by_body: BTreeMap<String, usize>,
    by_number: BTreeMap<u64, Vec<usize>>,
    /// The highest number that a caller knows to have been in force.
    min_number: u64,
    /// By ascending time and number.
    acknowledgements: Vec<Acknowledgement>,
}

impl OrderHistory {
    /// Adds an order before it is first submitted, and returns its index.
    pub fn add(&mut self, now: Micros, number: u64, body: String, valid: bool) -> usize {
        let index = self.orders.len();
        self.by_body.insert(body.clone(), index);
        self.by_number.entry(number).or_default().push(index);
        self.orders.push(Order {
            number,
            body,
            valid,
            submitted_at: now,
            acknowledged_at: None,
            effective: false,
            observed_at: None,
            rejected_at: None,
        });
        index
    }

    /// All orders, by index.
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// The lowest number that a read which starts now may return.
    pub fn min_number(&self) -> u64 {
        self.min_number
    }

    /// The highest number that was submitted; 0 if there is none.
    pub fn highest_number(&self) -> u64 {
        self.by_number.keys().next_back().copied().unwrap_or(0)
    }

    /// How many contents were submitted under a number.
    pub fn contents_of(&self, number: u64) -> usize {
        self.by_number.get(&number).map_or(0, Vec::len)
    }

    /// The highest number that was acknowledged at or before `at`; 0 if there is none.
    pub fn acknowledged_by(&self, at: Micros) -> u64 {
        let count = self.acknowledgements.partition_point(|acknowledgement| acknowledgement.at <= at);
        count.checked_sub(1).map_or(0, |last| self.acknowledgements[last].number)
    }

    /// The acknowledged order with the highest number.
    pub fn last_acknowledged(&self) -> Option<usize> {
        let acknowledged = |index: &usize| self.orders[*index].acknowledged_at.is_some();
        (0..self.orders.len()).filter(acknowledged).max_by_key(|index| self.orders[*index].number)
    }

    /// Whether a higher number may be in force: a valid order with one was submitted and not rejected.
    fn higher_may_be_effective(&self, number: u64) -> bool {
        let higher = self.by_number.range(number + 1..).flat_map(|(_, indexes)| indexes);
        higher.into_iter().any(|index| {
            let order = &self.orders[*index];
            order.valid && order.rejected_at.is_none()
        })
    }

    /// Another order of the same number that was in force.
    fn effective_conflict(&self, index: usize) -> Option<usize> {
        let same_number = &self.by_number[&self.orders[index].number];
        same_number
            .iter()
            .copied()
            .find(|conflicting| *conflicting != index && self.orders[*conflicting].effective)
    }

    fn record_effective(&mut self, now: Micros, index: usize) -> CheckResult {
        let number = self.orders[index].number;
        if let Some(conflicting) = self.effective_conflict(index) {
            return Err(CheckError::new(
                rule::TWO_CONTENTS,
                format!("r{number}: order {index} and order {conflicting} are both taken under one number"),
            ));
        }
        if let Some(at) = self.orders[index].rejected_at {
            return Err(CheckError::new(
                rule::REJECTED_IN_FORCE,
                format!("r{number}, order {index}, was refused at {} ms and is in force", at / 1000),
            ));
        }
        let order = &mut self.orders[index];
        order.effective = true;
        order.observed_at.get_or_insert(now);
        Ok(())
    }

    /// An attempt to submit an order was answered with this HTTP status.
    ///
    /// # Errors
    /// The invariant that the answer violates.
    pub fn record_answer(&mut self, now: Micros, index: usize, status: u16) -> CheckResult {
        match status {
            200..=299 => self.record_acknowledgement(now, index),
            400..=499 if !self.orders[index].valid => {
                self.orders[index].rejected_at.get_or_insert(now);
                Ok(())
            }
            408 | 429 => Ok(()),
            400..=499 => self.record_rejection(now, index, status),
            _ => Ok(()),
        }
    }

    fn record_acknowledgement(&mut self, now: Micros, index: usize) -> CheckResult {
        let number = self.orders[index].number;
        if !self.orders[index].valid {
            return Err(CheckError::new(
                rule::INVALID_ACKNOWLEDGED,
                format!("order {index}, r{number}, is acknowledged"),
            ));
        }
        if let Some(conflicting) = self.effective_conflict(index) {
            return Err(CheckError::new(
                rule::TWO_CONTENTS,
                format!("r{number}: order {index} is acknowledged, and order {conflicting} was taken"),
            ));
        }
        // An order may be acknowledged without ever being in force, if a higher number is already in force.
        if !self.higher_may_be_effective(number) {
            self.record_effective(now, index)?;
        }
        let order = &mut self.orders[index];
        order.acknowledged_at.get_or_insert(now);
        order.observed_at.get_or_insert(now);
        if self.acknowledgements.last().is_none_or(|last| last.number < number) {
            self.acknowledgements.push(Acknowledgement { at: now, number });
        }
        self.min_number = self.min_number.max(number);
        Ok(())
    }

    fn record_rejection(&mut self, now: Micros, index: usize, status: u16) -> CheckResult {
        let number = self.orders[index].number;
        if self.orders[index].observed_at.is_some() {
            return Err(CheckError::new(
                rule::RESEND_REJECTED,
                format!("order {index}, r{number}, is refused with {status} after it was in force"),
            ));
        }
        let has_conflict = self.by_number[&number]
            .iter()
            .any(|conflicting| *conflicting != index && self.orders[*conflicting].valid);
        if status != 409 || !has_conflict {
            return Err(CheckError::new(
                rule::REJECTED_WITHOUT_CAUSE,
                format!("order {index}, r{number}, is refused with {status}"),
            ));
        }
        self.orders[index].rejected_at.get_or_insert(now);
        Ok(())
    }

    /// A read that started when [`min_number`](Self::min_number) was `min_number` was answered. Returns the number
    /// that was read, if any.
    ///
    /// # Errors
    /// The invariant that the answer violates.
    pub fn record_read(
        &mut self,
        min_number: u64,
        now: Micros,
        status: u16,
        body: &str,
    ) -> CheckResult<Option<u64>> {
        match status {
            200 => {}
            404 if min_number > 0 => {
                return Err(CheckError::new(rule::READ, format!("404 is read after r{min_number}")));
            }
            _ => return Ok(None),
        }
        let Some(index) = self.by_body.get(body).copied() else {
            return Err(CheckError::new(
                rule::UNKNOWN_CONTENT,
                format!("nobody has sent what is read: {body}"),
            ));
        };
        let (number, valid) = (self.orders[index].number, self.orders[index].valid);
        if !valid {
            return Err(CheckError::new(
                rule::REJECTED_IN_FORCE,
                format!("order {index}, r{number}, is invalid and in force"),
            ));
        }
        if number < min_number {
            return Err(CheckError::new(rule::READ, format!("r{number} is read after r{min_number}")));
        }
        self.record_effective(now, index)?;
        self.min_number = self.min_number.max(number);
        Ok(Some(number))
    }

    /// An edge has this content in force under a number. Returns the order's index.
    ///
    /// # Errors
    /// The invariant that this violates.
    pub fn check_edge_config(&self, body: &str, number: u64) -> CheckResult<usize> {
        let index = self.by_body.get(body).copied();
        let Some(index) = index.filter(|index| self.orders[*index].number == number) else {
            return Err(CheckError::new(
                rule::UNKNOWN_CONTENT,
                format!("nobody has sent what an edge is told as r{number}"),
            ));
        };
        if !self.orders[index].valid || self.orders[index].rejected_at.is_some() {
            return Err(CheckError::new(
                rule::REJECTED_IN_FORCE,
                format!("order {index}, r{number}, is refused and told to an edge"),
            ));
        }
        match self.effective_conflict(index) {
            Some(conflicting) => Err(CheckError::new(
                rule::TWO_CONTENTS,
                format!("r{number}: an edge is told order {index}, and order {conflicting} was taken"),
            )),
            None => Ok(index),
        }
    }
}
