//! What is told to proxies, when, and how much at a time.

use super::*;

/// The part of the backlog that may wait; and how late news may be of a proxy that joined before a call was
/// carried out: twice the 50 ms in which that is done, or never.
const HELD: f64 = 0.9;
const CARRIED: f64 = 0.1;

/// Gathers what is to be told to proxies and sends it as its budgets of lines and messages allow.
impl Channel {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::Lines { slice, lines } => self.want(now, slice, lines),
            Note::In(Input::StoredLine { slice, host, weight }) => {
                self.told.entry(slice).or_default().insert(host, weight);
                // A table names it once more, so it is not over.
                self.over.remove(&host);
            }
            // A host that is to be shut is shut before it may return: only then are its lines looked at.
            Note::Tell(Order::Withdraw { host, out: false }) if self.shuts.get(&host) == Some(&true) => {}
            // Who joins reads the store: a host in no table of ours need not be shut out once more.
            Note::Tell(Order::Withdraw { host, out: true })
                if self.out.contains(&host) && !self.shuts.contains_key(&host) && !self.names(host) => {}
            Note::Tell(Order::Withdraw { host, out }) => self.shut(host, out),
            Note::Tell(order) => self.level(order),
            Note::In(Input::Refused { slice, lines, .. }) => self.stands(slice, Some(lines)),
            Note::In(Input::Taken(id) | Input::Given(id)) => self.stands(id, None),
            // It is over when no table names it. Proxies that shut it out are told to let it in before it is
            // forgotten: should its name come back, they and we must agree.
            Note::Over(host) if self.names(host) => {}
            Note::Over(h) if self.out.contains(&h) && !self.told.is_empty() => _ = self.over.insert(h),
            Note::Over(host) => {
                _ = (self.shuts.remove(&host), self.out.remove(&host));
                post.note(To::Tables, Note::Over(host));
            }
            Note::In(input) => self.ledger.heard(now, f, CARRIED, &input),
            Note::Tick => self.flush(now, f, post),
            _ => {}
        }
    }

    /// All that waits by rank: withdrawals, slices without an open line, levels, lines that a host's return
    /// waits for, returns, slices whose heaviest line is shut, others; last the lines of hosts that are out.
    pub(super) fn items(&self, f: &Figures) -> Vec<Item> {
        let shut = |host: &HostId| self.shuts.get(host).copied().unwrap_or(self.out.contains(host));
        let back = |host: &&HostId| self.out.contains(*host) && !shut(host);
        let (mut items, mut awaited, none) = (Vec::new(), BTreeSet::<HostId>::new(), Sums::new());
        for (id, (since, wanted)) in &self.wanted {
            let line = |host: &HostId, weight| Order::Line { slice: *id, host: *host, weight };
            let told = self.told.get(id).unwrap_or(&none);
            let new = wanted.iter().filter(|(host, weight)| !alike(f, told.get(*host), **weight));
            let gone = told.keys().filter(|host| !wanted.contains_key(*host));
            let (late, stale): (Vec<&HostId>, Vec<&HostId>) = gone.partition(|host| shut(host));
            awaited.extend(stale.iter().copied().filter(back));
            let heaviest = told.iter().max_by(|a, b| a.1.total_cmp(b.1));
            let rank = match heaviest {
                _ if told.keys().all(|host| shut(host) || self.out.contains(host)) => 1,
                _ if stale.iter().any(back) => 3,
                Some((host, _)) if shut(host) => 5,
                _ => 6,
            };
            let stale = stale.into_iter().map(|host| line(host, 0.0));
            items.push((rank, *since, new.map(|(host, weight)| line(host, *weight)).chain(stale).collect()));
            items.push((7, *since, late.into_iter().map(|host| line(host, 0.0)).collect()));
        }
        // A host comes back when no table names it that should not: a young one could not bear it.
        let due = self.shuts.iter().filter(|(host, out)| **out || !awaited.contains(host));
        let withdraw = |(host, out): (&HostId, &bool)| Order::Withdraw { host: *host, out: *out };
        items.extend(due.map(|shut| (if *shut.1 { 0 } else { 4 }, 0.0, vec![withdraw(shut)])));
        items.extend(self.levels.iter().map(|order| (2, 0.0, vec![order.clone()])));
        items.retain(|(_, _, orders)| !orders.is_empty());
        items.extend(self.over.iter().map(|host| (8, 0.0, vec![withdraw((host, &false))])));
        items.sort_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap_or(Ordering::Equal));
        items
    }

    /// Sends what waits: at once if urgent, else in steps, and never past a part of what the rules allow.
    pub(super) fn flush(&mut self, now: f64, f: &Figures, post: &mut Post) {
        // A channel slower than stated shows in its receipts; where these are held up, less is written then.
        let pace = self.ledger.pass(now, f, 0.02, 10.0);
        // What was written and not received stays under nine tenths of the backlog. Where no receipt comes, a
        // short message may use the last tenth, to show what has passed; in ten seconds of silence all has.
        let (out, waiting, sent) = (self.ledger.out(), self.ledger.waiting, self.ledger.sent.len());
        let items = self.items(f);
        // Letting in a host that is gone is worth no message of its own.
        let Some((first, ..)) = items.first().filter(|(rank, ..)| *rank < 8) else { return };
        let urgent = *first < 6;
        let proxies = self.ledger.proxies.len() as f64;
        let fixed = proxies * (self.ledger.head(f) + 1.0);
        // Without slices to its name a director concerns no proxy, and no receipt would come.
        let idle = f.slices && self.told.is_empty() && self.wanted.is_empty();
        // Routine changes use half of the messages; urgent ones the rest too, but spaced, lest none be left.
        let half = sent >= f.messages_most / 2;
        let apart = if half { 2.0 * f.messages_span / f.messages_most as f64 } else { 2.0 * fixed / pace };
        let apart = apart.max(if urgent { 0.0 } else { 0.5 });
        let recent = self.ledger.sent.back().is_some_and(|last| now - last < apart);
        let spent = if urgent { sent + 1 >= f.messages_most } else { half };
        // Parts of what the channel writes in the backlog's time: the more a delay costs, the more.
        let held = f.backlog * pace / f.lines_per_s;
        let (least, routine) = ((0.7 * f.backlog).min(3.0 * fixed), (fixed + 0.25 * held).min(0.6 * held));
        let limits = [0.7 * f.backlog, least.max(0.7 * held), routine];
        let limit = |rank: u8| limits[(rank > 0) as usize + (rank > 5) as usize];
        // What waits, or as much of it as is worth a message.
        let all = fixed + proxies * items.iter().map(|(.., orders)| orders.len() as f64).sum::<f64>();
        let worth = if *first == 0 { fixed + proxies } else { all.min((fixed + limit(*first)) / 2.0) };
        let full = waiting + worth > limit(*first) || out + worth > HELD * f.backlog;
        let least = out + fixed + proxies * items[0].2.len() as f64;
        let sound = full && least <= f.backlog && self.ledger.mute(now, f);
        if idle || spent || recent || full && !sound {
            return;
        }
        let mut each = self.ledger.head(f) + 1.0;
        for (at, (rank, _, orders)) in items.into_iter().enumerate() {
            let lines = proxies * (each + orders.len() as f64);
            if !(sound && at == 0) && (waiting + lines > limit(rank) || out + lines > HELD * f.backlog) {
                break;
            }
            each += orders.len() as f64;
            orders.iter().for_each(|order| self.keep(now, order, post));
            post.orders.extend(orders);
        }
        let mark = MarkId(self.mark);
        post.orders.push(Order::Mark { mark, all: false });
        self.ledger.order(now, mark, each);
        self.mark = self.mark.wrapping_add(1);
    }

    /// How many of a call's orders may be written, with the proxies that are there now. Where a copy may wait
    /// already, or it is too long for all of them, what fits goes as a part.
    pub(crate) fn writable(&self, now: f64, f: &Figures, orders: usize, again: bool, unheard: bool) -> usize {
        let (proxies, mute) = (self.ledger.receivers(f, unheard), self.ledger.mute(now, f));
        let most = if mute { f.backlog } else { HELD * f.backlog };
        // With nobody there all fits.
        let fits = |out: f64| ((most - out + 1e-6) / proxies - self.ledger.head(f)).max(0.0) as usize;
        let (many, part) = (fits(self.ledger.written_out()).min(orders), again || mute || fits(0.0) < orders);
        let worth = many == orders || part && (many as f64 >= f.overhead || mute);
        let spent = self.ledger.sent.len() >= f.messages_most && (again || many < orders);
        many * (worth && !spent) as usize
    }
}
