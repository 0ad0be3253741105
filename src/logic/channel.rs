//! The channel: what is sent to the proxies, when, and how much at a time. Amounts are in lines.

use super::*;

/// Share of the channel's backlog that is normally used.
const BACKLOG_SHARE: f64 = 0.9;
/// A proxy that joins within 0.1 s of a write may receive it: twice the 50 ms that a call takes. The last tenth of a
/// round's acknowledgements may be late for reasons other than the channel's rate.
const ACK_RULES: AcknowledgementRules = AcknowledgementRules { join_overlap: 0.1, ignored_tail: 0.1 };

/// The order in which changes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    Withdrawal,
    NoOpenHost, // weights of a slice without an open host
    Admission,
    BeforeReturn, // weights that a host's return waits for
    Return,
    HeaviestWithdrawn, // weights of a slice whose heaviest host is withdrawn
    Routine,
    WithdrawnHost, // weights of hosts that are withdrawn
    Expired,       // readmission of a host that is gone: only sent along with other changes
}

/// Collects changes and sends them within the limits on lines and messages.
impl Channel {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::DesiredTable { slice, weights } => self.set_desired(now, slice, weights),
            // A pending withdrawal is not cancelled: only the return of a withdrawn host waits for its weights.
            Message::Send(Order::SetWithdrawn { host, withdrawn: false })
                if self.has_pending_withdrawal(host) => {}
            // Proxies that join read the stored tables: a host in none of them need not be withdrawn again.
            Message::Send(Order::SetWithdrawn { host, withdrawn: true })
                if self.is_withdrawn_and_unused(host) => {}
            Message::Send(Order::SetWithdrawn { host, withdrawn }) => self.set_withdrawal(host, withdrawn),
            Message::Send(order) => self.add_admission(order),
            // A host expires only if no table names it. If it is withdrawn, the proxies are told to readmit it first:
            // should its name be used again, they and the director must agree on its state.
            Message::Expired(host) if self.has_table_with(host) => {}
            Message::Expired(host) if self.withdrawn.contains(&host) && !self.sent_tables.is_empty() => {
                self.expired.insert(host);
            }
            Message::Expired(host) => self.forget_host(host, outbox),
            Message::Input(input) => self.record_input(now, params, ACK_RULES, input),
            Message::Tick => self.flush(now, params, outbox),
            _ => {}
        }
    }

    /// All changes that are to be sent, by priority.
    pub(super) fn pending_changes(&self, params: &Parameters) -> Vec<PendingChange<Priority>> {
        let change = |priority, since, orders| PendingChange { priority, since, orders };
        let withdraw = |host: &HostId, withdrawn| vec![Order::SetWithdrawn { host: *host, withdrawn }];
        let mut changes = Vec::new();
        let mut blocked_returns = BTreeSet::new();
        for (id, desired) in &self.desired_tables {
            let diff = self.table_diff(*id, desired, |sent, weight| is_close_enough(params, sent, weight));
            changes.push(change(self.table_priority(&diff), desired.since, diff.orders));
            changes.push(change(Priority::WithdrawnHost, desired.since, diff.removals_of_withdrawn));
            blocked_returns.extend(diff.returning);
        }
        for (host, withdrawn) in &self.pending_withdrawals {
            // A host returns only after its outdated weights are removed, as it could not carry them in slow start.
            if *withdrawn || !blocked_returns.contains(host) {
                let priority = if *withdrawn { Priority::Withdrawal } else { Priority::Return };
                changes.push(change(priority, 0.0, withdraw(host, *withdrawn)));
            }
        }
        let admission = self.pending_admission.iter().cloned();
        changes.extend(admission.map(|order| change(Priority::Admission, 0.0, vec![order])));
        changes.extend(self.expired.iter().map(|host| change(Priority::Expired, 0.0, withdraw(host, false))));
        changes.retain(|change| !change.orders.is_empty());
        changes.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.since.total_cmp(&b.since)));
        changes
    }

    fn table_priority(&self, diff: &TableDiff) -> Priority {
        match diff.heaviest {
            _ if !diff.has_open_host => Priority::NoOpenHost,
            _ if !diff.returning.is_empty() => Priority::BeforeReturn,
            Some(host) if self.should_be_withdrawn(&host) => Priority::HeaviestWithdrawn,
            _ => Priority::Routine,
        }
    }

    /// Sends pending changes: urgent ones at once, others in steps, within a share of the channel's limits.
    pub(super) fn flush(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        // Delayed acknowledgements show that the channel is slower than stated, so less is written.
        let rate = self.backlog.advance(now, params, 0.02, 10.0);
        let changes = self.pending_changes(params);
        let Some(first) = changes.first().filter(|first| first.priority < Priority::Expired) else { return };
        let is_urgent = first.priority < Priority::Routine;
        let proxies = self.backlog.proxies.len() as f64;
        let overhead = self.backlog.overhead_lines(params) + 1.0;
        // Lines of a round before its changes: the overhead of a message and the request to acknowledge it.
        let base_lines = proxies * overhead;
        // No proxy uses a director without slices, so no acknowledgement would come.
        let is_idle = params.uses_slices && self.sent_tables.is_empty() && self.desired_tables.is_empty();
        if is_idle || self.is_rate_limited(now, params, is_urgent, 2.0 * base_lines / rate) {
            return;
        }
        // Shares of what is delivered in the time of a full backlog at the stated rate; urgent changes get more.
        let backlog = params.max_backlog;
        let deliverable = backlog * rate / params.lines_per_s;
        let urgent = (0.7 * backlog).min(3.0 * base_lines).max(0.7 * deliverable);
        let routine = (base_lines + 0.25 * deliverable).min(0.6 * deliverable);
        let limit = |priority| match priority {
            Priority::Withdrawal => 0.7 * backlog,
            priority if priority < Priority::Routine => urgent,
            _ => routine,
        };
        // Unacknowledged lines stay under nine tenths of the backlog. If no acknowledgement comes, a short message
        // may use the last tenth, to learn what was delivered; after ten seconds of silence all counts as delivered.
        let (unacknowledged, estimated) = (self.backlog.unacknowledged_lines(), self.backlog.estimated_lines);
        let exceeds = |lines: f64, priority| {
            estimated + lines > limit(priority) || unacknowledged + lines > BACKLOG_SHARE * backlog
        };
        // A message is worthwhile for all changes or for half of the limit, and for any withdrawal.
        let all = base_lines + proxies * changes.iter().map(|change| change.orders.len() as f64).sum::<f64>();
        let is_withdrawal = first.priority == Priority::Withdrawal;
        let partial = (base_lines + limit(first.priority)) / 2.0;
        let worthwhile = if is_withdrawal { base_lines + proxies } else { all.min(partial) };
        let exceeds_limits = exceeds(worthwhile, first.priority);
        let min_lines = unacknowledged + base_lines + proxies * first.orders.len() as f64;
        let is_delivery_probe = exceeds_limits && min_lines <= backlog && self.backlog.is_silent(now, params);
        if exceeds_limits && !is_delivery_probe {
            return;
        }
        let mut lines_per_proxy = overhead;
        for (index, change) in changes.into_iter().enumerate() {
            let lines = proxies * (lines_per_proxy + change.orders.len() as f64);
            if !(is_delivery_probe && index == 0) && exceeds(lines, change.priority) {
                break;
            }
            lines_per_proxy += change.orders.len() as f64;
            self.give_orders(now, change.orders, outbox);
        }
        self.finish_round(now, lines_per_proxy, outbox);
    }

    /// Whether a message must wait: the number of messages is limited, and they are at least `interval` seconds apart.
    fn is_rate_limited(&self, now: f64, params: &Parameters, is_urgent: bool, interval: f64) -> bool {
        // Routine changes may use half of the messages, urgent ones also the rest, but spaced so that some are left.
        let sent = self.backlog.sent_at.len();
        let half_used = sent >= params.max_messages / 2;
        let spaced = 2.0 * params.message_window / params.max_messages as f64;
        let interval = if half_used { spaced } else { interval };
        let interval = interval.max(if is_urgent { 0.0 } else { 0.5 });
        let is_recent = self.backlog.sent_at.back().is_some_and(|last| now - last < interval);
        is_recent || if is_urgent { sent + 1 >= params.max_messages } else { half_used }
    }

    /// How many of a call's orders may be written to the joined proxies now. If a copy may be queued already, or the
    /// call is too long for the whole backlog, the part that fits may be written.
    pub(crate) fn writable(&self, now: f64, params: &Parameters, call: &CallToWrite) -> usize {
        let proxies = self.backlog.receiver_count(params, call.unannounced_proxies);
        let is_silent = self.backlog.is_silent(now, params);
        let limit = if is_silent { params.max_backlog } else { BACKLOG_SHARE * params.max_backlog };
        // Without proxies the quotient is infinite, and all orders fit.
        let overhead = self.backlog.overhead_lines(params);
        let fitting = |used: f64| ((limit - used + 1e-6) / proxies - overhead).max(0.0) as usize;
        let count = fitting(self.backlog.unacknowledged_written_lines()).min(call.orders);
        let is_partial = count < call.orders;
        let may_be_part = call.is_repeat || is_silent || fitting(0.0) < call.orders;
        let is_worthwhile = is_silent || count as f64 >= params.message_overhead;
        let used_up = self.backlog.sent_at.len() >= params.max_messages && (call.is_repeat || is_partial);
        if used_up || is_partial && !(may_be_part && is_worthwhile) {
            return 0;
        }
        count
    }
}
