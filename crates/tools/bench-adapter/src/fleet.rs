//! Hosts the instances: deals a batch's events out to them and gathers their orders. Each instance is kept as if
//! it ran alone.

use crate::names::{scope_of, Names};
use coppersail::interface::{Input, Listing};
use coppersail_bench_codec::{Batch, Event, Fault, Order, Text};
use coppersail_capacity_guard::{Guarded, Mode};
use coppersail_settings::{settings, Clock};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

struct Instance {
    names: Names,
    director: Guarded,
    /// What came for it in this batch; none: no event, so it does not act.
    inputs: Option<Vec<Input>>,
}

#[derive(Default)]
pub struct Fleet {
    instances: BTreeMap<u64, Instance>,
    /// What stands between the decisions and the wire.
    guard: Mode,
}

fn fault(line: u64, message: &str, field: &str, expected: String) -> Fault {
    Fault { line, message: message.to_string(), field: field.to_string(), expected }
}

impl Fleet {
    pub fn guarded(guard: Mode) -> Self {
        Fleet { instances: BTreeMap::new(), guard }
    }

    /// Carries out one batch: the orders of all instances, and what was wrong with its lines.
    pub fn batch(&mut self, batch: Batch) -> (Vec<Order>, Vec<Fault>) {
        let mut faults = batch.faults;
        let mut events = batch.events.into_iter().peekable();
        while let Some((line, event)) = events.next() {
            let mut items = Vec::new();
            if matches!(event, Event::Members { .. }) {
                while let Some(item) = events.next_if(|(_, event)| matches!(event, Event::Item { .. })) {
                    items.push(item);
                }
            }
            if let Err(wrong) = self.event(line, &event, &items, batch.clock_ns) {
                faults.push(wrong);
            }
        }
        let mut orders = Vec::new();
        for (who, instance) in &mut self.instances {
            if let Some(inputs) = instance.inputs.take() {
                act(*who, instance, batch.clock_ns, &inputs, &mut orders);
            }
        }
        faults.sort_by_key(|wrong| wrong.line);
        (orders, faults)
    }

    fn event(
        &mut self,
        line: u64,
        event: &Event,
        items: &[(u64, Event)],
        clock_ns: u64,
    ) -> Result<(), Fault> {
        let (word, who) = address(event);
        let Some(who) = who else {
            return Err(fault(line, word, "(first word)", "a MEMBERS line before it".to_string()));
        };
        if let Event::Configure { seed, boot, .. } = event {
            let clock = Clock::starting(clock_ns);
            let director = match self.guard {
                Mode::Off => Guarded::plain(settings(boot), *seed),
                mode => Guarded::new(settings(boot), *seed, mode),
            };
            let instance = Instance { names: Names::new(boot, clock), director, inputs: Some(Vec::new()) };
            self.instances.insert(who, instance);
            return Ok(());
        }
        let unknown =
            || fault(line, word, "who", "an instance that was configured and not stopped".to_string());
        if let Event::Stop { .. } = event {
            return self.instances.remove(&who).map(|_| ()).ok_or_else(unknown);
        }
        let instance = self.instances.get_mut(&who).ok_or_else(unknown)?;
        let input = match event {
            Event::Members { scope, rev, count, .. } => {
                let entries = entries(&mut instance.names, line, count.unwrap_or(0), items)?;
                Input::Hosts { scope: scope_of(*scope), version: *rev, entries }
            }
            _ => match instance.names.input(event) {
                Ok(Some(input)) => input,
                Ok(None) => return Ok(()),
                Err((field, expected)) => return Err(fault(line, word, field, expected)),
            },
        };
        instance.inputs.get_or_insert_default().push(input);
        Ok(())
    }
}

/// A list counts only whole: with an entry missing, a host would look gone that is not.
fn entries(names: &mut Names, line: u64, count: u64, items: &[(u64, Event)]) -> Result<Vec<Listing>, Fault> {
    if items.len() as u64 != count {
        let expected = format!("{count} sound ITEM lines behind it, not {}", items.len());
        return Err(fault(line, "MEMBERS", "members-list", expected));
    }
    let listing = |(line, item): &(u64, Event)| {
        names.listing(item).map_err(|(field, expected)| fault(*line, "ITEM", field, expected))
    };
    items.iter().map(listing).collect()
}

fn act(who: u64, instance: &mut Instance, clock_ns: u64, inputs: &[Input], orders: &mut Vec<Order>) {
    let now = instance.names.clock.seconds(clock_ns);
    match catch_unwind(AssertUnwindSafe(|| instance.director.handle(now, inputs))) {
        Ok(given) => orders.extend(given.into_iter().filter_map(|order| instance.names.order(who, order))),
        Err(panic) => {
            let text = panic.downcast_ref::<&str>().map(|text| text.to_string());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            let reason = Text(text.unwrap_or_else(|| "the decisions crashed".to_string()));
            orders.push(Order::GiveIn { who, reason });
        }
    }
}

/// The first word of an event's line and the instance that it is for.
fn address(event: &Event) -> (&'static str, Option<u64>) {
    match event {
        Event::Configure { who, .. } => ("CONFIGURE", Some(*who)),
        Event::Members { who, .. } => ("MEMBERS", Some(*who)),
        Event::Item { .. } => ("ITEM", None),
        Event::Heat { who, .. } => ("HEAT", Some(*who)),
        Event::Tenure { who, .. } => ("TENURE", Some(*who)),
        Event::Stop { who } => ("STOP", Some(*who)),
        Event::Reminder { who, .. } => ("REMINDER", Some(*who)),
        Event::CheckedIn { who, .. } => ("CHECKED_IN", Some(*who)),
        Event::CurrentOwner { who, .. } => ("CURRENT_OWNER", Some(*who)),
        Event::Datagram { who, .. } => ("DATAGRAM", Some(*who)),
        Event::Pong { who, .. } => ("PONG", Some(*who)),
        Event::Receipt { who, .. } => ("RECEIPT", Some(*who)),
        Event::DroppedOff { who, .. } => ("DROPPED_OFF", Some(*who)),
        Event::Intake { who, .. } => ("INTAKE", Some(*who)),
        Event::Roundup { who, .. } => ("ROUNDUP", Some(*who)),
    }
}

#[cfg(test)]
mod tests;
