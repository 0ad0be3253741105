//! The director instances: each gets its events of a batch and answers with its orders, as if it ran alone.

use crate::error::InvalidEvent;
use crate::names::Names;
use crate::{input, output};
use coppersail::interface::{HostListEntry, Input};
use coppersail_bench_codec::{Batch, Event, InvalidLine, Order, Text};
use coppersail_capacity_guard::{GuardedDirector, Mode};
use coppersail_settings::{decision_settings, Clock, DirectorSettings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// An event with the number of its line.
type NumberedEvent = (u64, Event);

struct Instance {
    names: Names,
    director: GuardedDirector,
    /// The inputs of this batch; none: the instance had no event, so it is not asked for orders.
    inputs: Option<Vec<Input>>,
}

/// All instances, by their numbers.
#[derive(Default)]
pub(crate) struct Fleet {
    instances: BTreeMap<u64, Instance>,
    guard: Mode,
}

impl Instance {
    fn new(boot: &DirectorSettings, seed: u64, guard: Mode, clock_ns: u64) -> Self {
        let director = match guard {
            Mode::Off => GuardedDirector::plain(decision_settings(boot), seed),
            mode => GuardedDirector::new(decision_settings(boot), seed, mode),
        };
        Instance { names: Names::new(boot, Clock::starting_at(clock_ns)), director, inputs: Some(Vec::new()) }
    }

    fn handle(&mut self, line: u64, event: &Event, items: &[NumberedEvent]) -> Result<(), InvalidLine> {
        let input = if let Event::Members { scope, version, count, .. } = event {
            let entries = self.listings(line, count.unwrap_or(0), items)?;
            Some(Input::HostListUpdate { scope: input::list_scope(*scope), version: *version, entries })
        } else {
            let input = input::input(event, &mut self.names);
            input.map_err(|invalid| invalid.on_line(line, event.first_word()))?
        };
        if let Some(input) = input {
            self.inputs.get_or_insert_default().push(input);
        }
        Ok(())
    }

    /// A list counts only complete: where an entry is missing, its host would pass for gone.
    fn listings(
        &mut self,
        line: u64,
        count: u64,
        items: &[NumberedEvent],
    ) -> Result<Vec<HostListEntry>, InvalidLine> {
        if items.len() as u64 != count {
            let expected = format!("{count} sound ITEM lines behind it, not {}", items.len());
            return Err(InvalidEvent::order("members-list", expected).on_line(line, "MEMBERS"));
        }
        let mut listings = Vec::new();
        for (line, item) in items {
            let listing = input::listing(item, &mut self.names);
            listings.push(listing.map_err(|invalid| invalid.on_line(*line, "ITEM"))?);
        }
        Ok(listings)
    }

    /// Appends the orders of instance `who`, if it had events; a panic of its decisions becomes its failure.
    fn decide(&mut self, instance: u64, clock_ns: u64, orders: &mut Vec<Order>) {
        let Some(inputs) = self.inputs.take() else {
            return;
        };
        let now = self.names.clock.seconds(clock_ns);
        match catch_unwind(AssertUnwindSafe(|| self.director.handle(now, &inputs))) {
            Ok(decided) => {
                for order in decided {
                    orders.extend(output::order(instance, order, &mut self.names));
                }
            }
            Err(panic) => orders.push(Order::Fail { instance, reason: Text(panic_text(&*panic)) }),
        }
    }
}

impl Fleet {
    /// No instances yet; each will have a capacity guard in this mode.
    pub(crate) fn new(guard: Mode) -> Self {
        Fleet { instances: BTreeMap::new(), guard }
    }

    /// Carries out one batch: the orders of all instances, and what was wrong with its lines, in the order of lines.
    pub(crate) fn handle_batch(&mut self, batch: Batch) -> (Vec<Order>, Vec<InvalidLine>) {
        let mut errors = batch.errors;
        let mut events = batch.events.into_iter().peekable();
        while let Some((line, event)) = events.next() {
            let mut items = Vec::new();
            if matches!(event, Event::Members { .. }) {
                while let Some(item) = events.next_if(|(_, event)| matches!(event, Event::Item { .. })) {
                    items.push(item);
                }
            }
            if let Err(invalid) = self.handle(line, &event, &items, batch.clock_ns) {
                errors.push(invalid);
            }
        }
        let mut orders = Vec::new();
        for (who, instance) in &mut self.instances {
            instance.decide(*who, batch.clock_ns, &mut orders);
        }
        errors.sort_by_key(|invalid| invalid.line);
        (orders, errors)
    }

    fn handle(
        &mut self,
        line: u64,
        event: &Event,
        items: &[NumberedEvent],
        clock_ns: u64,
    ) -> Result<(), InvalidLine> {
        let word = event.first_word();
        let Some(who) = instance_of(event) else {
            return Err(InvalidEvent::order("(first word)", "a MEMBERS line before it").on_line(line, word));
        };
        if let Event::Configure { seed, boot, .. } = event {
            let instance = Instance::new(boot, *seed, self.guard, clock_ns);
            self.instances.insert(who, instance);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&who) else {
            let expected = "an instance that was configured and not stopped";
            return Err(InvalidEvent::value("who", who, expected).on_line(line, word));
        };
        if let Event::Stop { .. } = event {
            self.instances.remove(&who);
            return Ok(());
        }
        instance.handle(line, event, items)
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        return text.to_string();
    }
    match panic.downcast_ref::<String>() {
        Some(text) => text.clone(),
        None => "the decisions crashed".to_string(),
    }
}

/// The number of the instance that an event is for; none for an entry of a list, which follows its `MEMBERS`.
fn instance_of(event: &Event) -> Option<u64> {
    match event {
        Event::Item { .. } => None,
        Event::Configure { instance, .. }
        | Event::Members { instance, .. }
        | Event::Demand { instance, .. }
        | Event::SliceOwnership { instance, .. }
        | Event::Stop { instance }
        | Event::TimerFired { instance, .. }
        | Event::ProxyJoined { instance, .. }
        | Event::StoredWeight { instance, .. }
        | Event::Datagram { instance, .. }
        | Event::HealthCheckResult { instance, .. }
        | Event::Acknowledged { instance, .. }
        | Event::ProxyLeft { instance, .. }
        | Event::Intake { instance, .. }
        | Event::AttemptReport { instance, .. } => Some(*instance),
    }
}

#[cfg(test)]
mod tests;
