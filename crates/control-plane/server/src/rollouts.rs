//! Plans at a centre: what is queued and in force while it is primary, evidence on its way, and how old its knowledge
//! of plans is. No I/O; decisions are those of `coppersail-rollout`.
use crate::store::Put;
use coppersail_config::Config;
use coppersail_consensus::Ms;
use coppersail_peer_protocol::{HostNews, Seen, Stage};
use coppersail_rollout::judge::Fleet;
use coppersail_rollout::ledger::Kind;
use coppersail_rollout::pace::{Order, Phase, Since, Stand};
use coppersail_rollout::{Judge, Report, Rollout, Verdict, Version};
use std::collections::BTreeMap;

/// Reports that wait to be passed on. A primary that is away for longer asks for all of it again.
const MOST_REPORTS: usize = 4096;

struct Entry {
    /// As last queued: it is in force once it is on both disks.
    stand: Stand,
    plan: Rollout,
    since: Since,
    judge: Judge,
    verdict: Verdict,
}

impl Entry {
    fn new(now: Ms, stand: Stand) -> Entry {
        let plan = stand.plan();
        let judge = Judge::new(&plan, stand.run);
        let mut entry =
            Entry { stand, plan, since: Since(now), judge, verdict: Verdict::Wait("nothing yet".into()) };
        entry.judge.step(entry.stand.step);
        entry
    }

    fn next(&mut self, now: Ms, next: Stand) -> Put {
        if next.run != self.stand.run {
            *self = Entry::new(now, next);
        } else {
            (self.stand, self.since) = (next, Since(now));
            self.judge.step(self.stand.step);
        }
        put(&self.stand)
    }

    fn live(&self) -> bool {
        self.stand.phase != Phase::Ended
    }
}

fn put(stand: &Stand) -> Put {
    (format!("plan/{}", stand.name), serde_json::to_string(stand).unwrap_or_default())
}

/// A plan as it is on the disk.
pub fn read(put: &Put) -> Option<Stand> {
    put.0.starts_with("plan/").then(|| serde_json::from_str(&put.1).ok()).flatten()
}

/// What a plan is told about hosts.
pub struct Hosts<'a> {
    pub all: &'a dyn Fn() -> Vec<HostNews>,
    /// Whether a host has died, for a loss that was told at a time.
    pub dead: &'a dyn Fn(&str, Ms) -> Option<bool>,
}

#[derive(Default)]
pub struct Rollouts {
    plans: BTreeMap<String, Entry>,
    relay: Vec<Report>,
    /// Until when the plans here are known to be a primary's, and its epoch.
    heard: Option<(u64, Ms)>,
}

impl Rollouts {
    pub fn took_over<'a>(
        &mut self,
        now: Ms,
        held: impl Iterator<Item = (&'a String, &'a String)>,
    ) -> Vec<Stand> {
        let found = held.filter_map(|(name, value)| read(&(name.clone(), value.clone())));
        let found: Vec<Stand> = found.collect();
        self.plans = found.iter().map(|s| (s.name.clone(), Entry::new(now, s.clone()))).collect();
        found
    }

    pub fn step_down(&mut self) {
        self.plans.clear();
    }

    /// What another centre says about how new its plans are, asked for at a time.
    pub fn hear(&mut self, asked: Ms, seen: &Option<Seen>) {
        if let Some(seen) = seen {
            self.heard = self.heard.max(Some((seen.epoch, asked.saturating_sub(seen.age_ms))));
        }
    }

    /// How new the plans here are: of now where this centre is primary.
    pub fn seen(&self, now: Ms, epoch: Option<u64>) -> Option<Seen> {
        match (epoch, self.heard) {
            (Some(epoch), _) => Some(Seen { epoch, age_ms: 0 }),
            (None, Some((epoch, at))) => Some(Seen { epoch, age_ms: now.saturating_sub(at) }),
            (None, None) => None,
        }
    }

    /// Takes reports; where this centre does not act, they are kept to be passed on.
    pub fn take(&mut self, now: Ms, acts: bool, reports: &[Report]) {
        if !acts {
            let room = MOST_REPORTS.saturating_sub(self.relay.len());
            self.relay.extend(reports.iter().take(room).cloned());
            return;
        }
        for report in reports {
            self.plans.iter_mut().filter(|(_, e)| e.live()).for_each(|(name, entry)| {
                entry.judge.take(now, name, report);
            });
        }
    }

    pub fn relay(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.relay)
    }

    pub fn put_back(&mut self, reports: Vec<Report>) {
        self.take(0, false, &reports);
    }

    pub fn submit(
        &mut self,
        now: Ms,
        name: &str,
        body: &str,
        config: Option<&Config>,
    ) -> Result<Vec<Put>, (u16, String)> {
        let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > 64 || !name.chars().all(sound) {
            return Err((400, format!("name is \"{name}\", expected letters, digits and -_. of up to 64")));
        }
        let plan = coppersail_config::rollout::parse(body).map_err(|fault| (400, fault.to_string()))?;
        if let Some(config) = config {
            plan.fits(config).map_err(|fault| (400, fault.to_string()))?;
        }
        let of = |p: &Rollout| {
            let to = match &p.to {
                Version::Backend(to) => Some(to.clone()),
                Version::Revision(_) => None,
            };
            [Some(p.service.clone()), to]
        };
        let mine = of(&plan);
        let shares = |p: &Rollout| of(p).iter().flatten().any(|s| mine.iter().flatten().any(|m| m == s));
        let other = self.plans.iter().find(|(n, e)| *n != name && e.live() && shares(&e.plan));
        if let Some((other, _)) = other {
            return Err((409, format!("plan {other} moves the same service; end it first")));
        }
        let before = self.plans.get(name).map(|e| &e.stand);
        let stand = Stand::submit(name, body, before).map_err(|why| (409, why))?;
        if before.is_some_and(|old| *old == stand) {
            return Ok(Vec::new());
        }
        let put = put(&stand);
        self.plans.insert(name.into(), Entry::new(now, stand));
        Ok(vec![put])
    }

    pub fn order(&mut self, now: Ms, name: &str, order: Order) -> Result<Vec<Put>, (u16, String)> {
        let entry = self.plans.get_mut(name).ok_or((404, format!("no plan {name}")))?;
        let ran = now.saturating_sub(entry.since.0);
        let next =
            entry.stand.order(ran, order, "an operator's order").map_err(|why| (409, why.to_string()))?;
        Ok(next.map(|next| entry.next(now, next)).into_iter().collect())
    }

    /// What time, evidence and the configuration make of plans: changes to be written, and a line about each.
    pub fn tick(&mut self, now: Ms, config: Option<&Config>, hosts: &Hosts) -> Vec<(Put, String)> {
        let mut all = Vec::new();
        for (name, entry) in self.plans.iter_mut().filter(|(_, e)| e.live()) {
            let ran = now.saturating_sub(entry.since.0);
            let unfit = config.and_then(|c| entry.plan.fits(c).err().map(|fault| (c, fault)));
            let next = if let Some((config, fault)) = unfit {
                let gone = config.service(&entry.plan.service).is_none();
                let order = if gone { Order::End } else { Order::Pause };
                entry.stand.order(ran, order, &fault.to_string()).ok().flatten()
            } else {
                let fleet = fleet(&entry.plan, &(hosts.all)());
                entry.verdict = entry.judge.judge(now, entry.stand.number, fleet, hosts.dead);
                entry.stand.tick(&entry.plan, now, entry.since, &entry.verdict)
            };
            if let Some(next) = next {
                let share = next.share().unwrap_or(0.0) * 100.0;
                let line = format!("Plan {name} is {:?} at {share}%: {}.", next.phase, next.why);
                all.push((entry.next(now, next), line));
            }
        }
        all
    }

    /// What people are shown.
    pub fn show(&self, now: Ms, name: &str) -> Option<serde_json::Value> {
        let entry = self.plans.get(name)?;
        let stand = &entry.stand;
        let side = |c: &coppersail_rollout::ledger::Counts| {
            let of = |k| c.of(k);
            let all: u64 = c.times.iter().map(|t| u64::from(t.1)).sum();
            let at = |part: f64| {
                let mut sum = 0;
                c.times.iter().find(|t| {
                    sum += u64::from(t.1);
                    sum as f64 >= all as f64 * part
                })
            };
            serde_json::json!({
                "offered": of(Kind::Offered), "good": of(Kind::Good), "late": of(Kind::Late),
                "failed": of(Kind::Failed), "lost": of(Kind::Lost), "doubled": of(Kind::Doubled),
                "wrong": of(Kind::Foreign), "aside": of(Kind::Aside),
                "median_ms": at(0.5).map(|t| t.0), "p99_ms": at(0.99).map(|t| t.0),
            })
        };
        let verdict = match &entry.verdict {
            Verdict::Wait(why) => format!("waits: {why}"),
            Verdict::Sound => "sound".into(),
            Verdict::Pause(why) => format!("bad: {why}"),
        };
        Some(serde_json::json!({
            "name": name, "number": stand.number, "phase": stand.phase, "step": stand.step + 1,
            "steps": entry.plan.steps.len(), "share": stand.share(), "why": stand.why, "verdict": verdict,
            "next_in_ms": stand.left(&entry.plan, now, entry.since),
            "answers": entry.judge.counted(stand.number), "rows": entry.judge.rows_taken,
            "late_rows": entry.judge.late,
            "new": side(&entry.judge.sums.new), "old": side(&entry.judge.sums.old),
            "plan": serde_json::from_str::<serde_json::Value>(&stand.body).unwrap_or_default(),
        }))
    }

    pub fn names(&self) -> Vec<&String> {
        self.plans.keys().collect()
    }
}

fn fleet(plan: &Rollout, hosts: &[HostNews]) -> Fleet {
    let mut fleet = Fleet::default();
    for host in hosts.iter().filter(|h| h.stage == Stage::Ready && !h.silent) {
        let of = |version: &Version| match version {
            Version::Backend(name) => host.backend == *name,
            Version::Revision(name) => host.backend == plan.service && host.revision == *name,
        };
        if of(&plan.to) {
            fleet.new_hosts += 1;
            fleet.new_slots += f64::from(host.capacity);
        } else if of(&plan.from) {
            fleet.old_slots += f64::from(host.capacity);
        }
    }
    fleet
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;
    use coppersail_rollout::ledger::Row;

    const BODY: &str = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"},
        "steps": [{"share": 0.1, "least": "5s", "evidence": 0}, {"share": 1}]}"#;

    fn config(service: &str) -> Config {
        let text = format!(
            r#"{{"revision": "r1", "routes": {{"columns": ["name", "domain", "backend"],
            "rows": [["x", "a.example", "{service}"]]}}, "backends": {{"columns": ["name"], "rows": [["{service}"]]}}}}"#
        );
        coppersail_config::config::parse(text.as_bytes()).unwrap()
    }

    fn tick(rollouts: &mut Rollouts, now: Ms, service: &str) -> Vec<(Put, String)> {
        let hosts = Hosts { all: &Vec::new, dead: &|_, _| None };
        rollouts.tick(now, Some(&config(service)), &hosts)
    }

    fn doubled(number: u64) -> Report {
        let mut row = Row { plan: "p".into(), number, count: 1, ..Row::default() };
        row.new.all[Kind::Doubled as usize] = 1;
        Report { edge: "e".into(), rows: vec![row], ..Report::default() }
    }

    #[test]
    fn two_plans_on_one_service_and_plans_that_fit_nothing_are_refused() {
        let mut rollouts = Rollouts::default();
        assert_matches!(rollouts.submit(0, "p", BODY, Some(&config("b"))), Err((400, _)));
        assert_matches!(rollouts.submit(0, "a/b", BODY, None), Err((400, _)));
        assert_eq!(rollouts.submit(0, "p", BODY, Some(&config("a"))).unwrap().len(), 1);
        assert_matches!(rollouts.submit(1, "q", BODY, None), Err((409, why)) if why.contains("plan p"));
        assert_eq!(rollouts.submit(2, "p", BODY, None).unwrap().len(), 0, "sent again");
        rollouts.order(3, "p", Order::End).unwrap();
        assert_eq!(rollouts.submit(4, "q", BODY, None).unwrap().len(), 1);
    }

    #[test]
    fn a_plan_ends_with_its_service() {
        let mut rollouts = Rollouts::default();
        rollouts.submit(0, "p", BODY, None).unwrap();
        let changes = tick(&mut rollouts, 1, "b");
        assert_eq!(read(&changes[0].0).unwrap().phase, Phase::Ended);
        assert!(tick(&mut rollouts, 2, "b").is_empty());
    }

    #[test]
    fn a_new_primary_knows_the_plan_and_finds_the_reason_again() {
        let mut first = Rollouts::default();
        let puts = first.submit(0, "p", BODY, None).unwrap();
        let held: BTreeMap<String, String> = puts.into_iter().collect();
        first.take(1, true, &[doubled(1)]);
        // It decides, and is lost before that is on both disks.
        assert_eq!(read(&tick(&mut first, 2, "a")[0].0).unwrap().phase, Phase::Withdrawn);
        let mut second = Rollouts::default();
        // What came in between is passed on, and edges tell again what they have.
        second.take(3, false, &[doubled(1)]);
        let again = second.relay();
        assert_eq!(second.took_over(10, held.iter()).len(), 1);
        assert!(tick(&mut second, 11, "a").is_empty());
        second.take(12, true, &again);
        let changes = tick(&mut second, 13, "a");
        assert_eq!(read(&changes[0].0).map(|s| (s.phase, s.number)), Some((Phase::Withdrawn, 2)));
        assert_eq!(second.show(13, "p").unwrap()["phase"], "withdrawn");
    }

    #[test]
    fn how_new_plans_are_is_what_the_primary_said_and_grows_old() {
        let mut rollouts = Rollouts::default();
        assert_eq!(rollouts.seen(5, None), None);
        rollouts.hear(100, &Some(Seen { epoch: 3, age_ms: 20 }));
        rollouts.hear(90, &Some(Seen { epoch: 2, age_ms: 0 }));
        assert_eq!(rollouts.seen(500, None), Some(Seen { epoch: 3, age_ms: 420 }));
        assert_eq!(rollouts.seen(500, Some(4)), Some(Seen { epoch: 4, age_ms: 0 }));
    }
}
