//! One number, one content: which content of an operator's order has which number. Pure. What is remembered is part of
//! the control state, written in one batch with the configuration, so it outlives takeovers and restarts.
use crate::store::KeyValue;
use coppersail_peer_protocol::ConfigDocument;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// How many numbers are remembered: a day holds hundreds of changes. The lowest go first.
pub const MOST: usize = 1000;

const PREFIX: &str = "order/";

/// What becomes of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judged {
    /// A number above the newest: to be written, and in force then.
    New,
    /// This very content has that number: acknowledged again.
    Again,
    /// This very content is being written: answered as the order with this ticket.
    Waits(u64),
    /// Another content of that number is being written: refused once it is, without a clear answer if it fails.
    Rival(u64),
    /// Another content has that number: refused.
    Taken,
    /// Below the newest, and the number is not known: acknowledged, and the configuration stays as it is. It may be
    /// begun like a new one, so that its number has one content from then on.
    Below,
}

#[derive(Debug)]
struct Begun {
    ticket: u64,
    revision: u64,
    digest: String,
}

#[derive(Debug, Default)]
pub struct Orders {
    /// number -> digest, of what is on both disks.
    known: BTreeMap<u64, String>,
    /// By ticket.
    begun: Vec<Begun>,
    /// The highest revision that this leader has proposed as the configuration.
    newest_in_progress: Option<u64>,
}

/// Names a content. Bodies that are equal as JSON have one digest, whatever the order of their fields.
pub fn digest(body: &str) -> String {
    let canonical = serde_json::from_str::<serde_json::Value>(body).map(|mut value| {
        // They are sorted already, unless some package of the build has `serde_json` keep their order.
        value.sort_all_objects();
        value.to_string()
    });
    let sum = Sha256::digest(canonical.as_deref().unwrap_or(body).as_bytes());
    sum.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

fn name(revision: u64) -> String {
    format!("{PREFIX}{revision:020}")
}

fn fit(known: &mut BTreeMap<u64, String>) {
    while known.len() > MOST {
        known.pop_first();
    }
}

impl Orders {
    /// What the control state says. A state from before numbers were remembered has the newest configuration alone.
    pub fn recover<'a>(state: impl Iterator<Item = (&'a str, &'a str)>) -> Orders {
        let (mut known, mut newest) = (BTreeMap::new(), None);
        for (name, value) in state {
            if name == "config" {
                newest = serde_json::from_str::<ConfigDocument>(value).ok();
            } else if let Some(revision) = name.strip_prefix(PREFIX).and_then(|r| r.parse().ok()) {
                if !value.is_empty() {
                    known.insert(revision, value.to_string());
                }
            }
        }
        if let Some(newest) = newest {
            known.entry(newest.revision).or_insert_with(|| digest(&newest.body));
        }
        fit(&mut known);
        Orders { known, ..Orders::default() }
    }

    /// `held`: the number of the configuration in force.
    pub fn judge(&self, revision: u64, digest: &str, held: Option<u64>) -> Judged {
        if let Some(begun) = self.begun.iter().find(|b| b.revision == revision) {
            return if begun.digest == digest {
                Judged::Waits(begun.ticket)
            } else {
                Judged::Rival(begun.ticket)
            };
        }
        match self.known.get(&revision) {
            Some(known) if known == digest => Judged::Again,
            Some(_) => Judged::Taken,
            None if held.is_some_and(|held| revision <= held) => Judged::Below,
            None => Judged::New,
        }
    }

    /// An order that was judged [`Judged::New`] or [`Judged::Below`] is going to be written. Tickets rise.
    pub fn begin(&mut self, revision: u64, digest: String, ticket: u64) {
        self.begun.push(Begun { ticket, revision, digest });
    }

    /// The configuration of this revision is proposed.
    pub(crate) fn record_newest(&mut self, revision: u64) {
        self.newest_in_progress = self.newest_in_progress.max(Some(revision));
    }

    pub(crate) fn newest_in_progress(&self) -> Option<u64> {
        self.newest_in_progress
    }

    /// What is to be written with the orders up to this ticket, in one batch with the configuration. A number whose
    /// value is empty is not remembered any more.
    pub fn puts(&self, ticket: u64) -> Vec<KeyValue> {
        let batch = || self.begun.iter().filter(|b| b.ticket <= ticket);
        if batch().next().is_none() {
            return Vec::new();
        }
        let mut all = self.known.clone();
        all.extend(batch().map(|b| (b.revision, b.digest.clone())));
        fit(&mut all);
        let gone = self.known.keys().filter(|r| !all.contains_key(r)).map(|r| (name(*r), String::new()));
        let new = batch().filter(|b| all.contains_key(&b.revision));
        new.map(|b| (name(b.revision), b.digest.clone())).chain(gone).collect()
    }

    /// On both disks.
    pub fn done(&mut self, ticket: u64) {
        if let Some(at) = self.begun.iter().position(|b| b.ticket == ticket) {
            let begun = self.begun.remove(at);
            self.known.insert(begun.revision, begun.digest);
            fit(&mut self.known);
        }
    }

    /// May be on a disk or not: the next who acts finds out.
    pub fn failed(&mut self, ticket: u64) {
        self.begun.retain(|b| b.ticket != ticket);
    }

    /// A step-down: nothing that was begun is going to be answered.
    pub fn failed_all(&mut self) {
        self.begun.clear();
        self.newest_in_progress = None;
    }
}

#[cfg(test)]
#[path = "orders_tests.rs"]
mod tests;
