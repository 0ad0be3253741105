//! Many plays: grids over scenarios, policies and seeds on all cores, comparisons in pairs, the shortest timeline that
//! still fails, and the search for a bad one.

use crate::policy::Kind;
use crate::scenario::{Fault, Scenario, What};
use crate::stats::{paired, spearman};
use crate::World;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// One play in a line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    pub scenario: String,
    pub policy: Kind,
    pub seed: u64,
    /// Importance served in time over what was asked: all, the worst ten seconds, the worst route.
    pub service: f64,
    pub worst: f64,
    pub worst_route: f64,
    /// Times that a rule was broken.
    pub broken: u64,
    pub calls: u64,
    pub events: u64,
    pub lines: f64,
}

fn rounded(share: f64) -> f64 {
    (share * 1e6).round() / 1e6
}

impl Outcome {
    pub fn of(world: &World, kind: Kind, seed: u64) -> Outcome {
        let measured = &world.measured;
        Outcome {
            scenario: world.scenario.name.clone(),
            policy: kind,
            seed,
            // Short enough to come back from a file as it went in.
            service: rounded(measured.service()),
            worst: rounded(measured.worst()),
            worst_route: rounded(measured.worst_route()),
            broken: world.rules.many,
            calls: measured.seconds.iter().map(|second| u64::from(second.calls)).sum(),
            events: measured.events,
            lines: measured.seconds.iter().map(|second| second.lines).sum(),
        }
    }

    /// What the scenario's own checks have against it.
    pub fn failed(&self, scenario: &Scenario) -> Option<String> {
        let checks = &scenario.checks;
        if checks.rules && self.broken > 0 {
            return Some(format!("{} breaks of rules", self.broken));
        }
        if self.service < checks.service_least {
            return Some(format!(
                "service {:.3}, expected {:.3} at least",
                self.service, checks.service_least
            ));
        }
        let low = self.worst < checks.worst_least;
        low.then(|| {
            format!("worst ten seconds {:.3}, expected {:.3} at least", self.worst, checks.worst_least)
        })
    }
}

pub fn play(scenario: &Scenario, kind: Kind, seed: u64) -> (Outcome, World) {
    let world = World::new(scenario, kind, seed);
    let world = if kind == Kind::Live { world.run_live() } else { world.run() };
    (Outcome::of(&world, kind, seed), world)
}

/// A grid whose results are not all there.
#[derive(Debug, thiserror::Error)]
pub enum GridError {
    /// The results' file cannot be opened or written; what it held before stands.
    #[error("results: {0}")]
    Results(#[source] std::io::Error),
    /// A play panicked.
    #[error("a play ended in a crash")]
    Panicked,
}

type Key = (String, Kind, u64);

/// Plays what is not in the file yet, on so many threads, and adds each as it ends; so one that was killed goes on where
/// it was. Gives all of them in the order of the grid.
///
/// # Errors
/// [`GridError`]: the file cannot be written, or a play panicked.
pub fn grid(
    scenarios: &[Scenario],
    kinds: &[Kind],
    seeds: std::ops::Range<u64>,
    threads: usize,
    file: Option<&Path>,
    progress: &(dyn Fn(usize, usize) + Sync),
) -> Result<Vec<Outcome>, GridError> {
    let mut known: BTreeMap<Key, Outcome> = BTreeMap::new();
    // A device could be read without end.
    if let Some(text) = file.filter(|file| file.is_file()).and_then(|file| std::fs::read_to_string(file).ok())
    {
        // A line that a kill cut off is played again.
        for outcome in text.lines().filter_map(|line| serde_json::from_str::<Outcome>(line).ok()) {
            known.insert((outcome.scenario.clone(), outcome.policy, outcome.seed), outcome);
        }
    }
    let mut jobs = Vec::new();
    for scenario in scenarios {
        for kind in kinds {
            jobs.extend(seeds.clone().map(|seed| (scenario, *kind, seed)));
        }
    }
    let key = |(scenario, kind, seed): &(&Scenario, Kind, u64)| (scenario.name.clone(), *kind, *seed);
    let left: Vec<&(&Scenario, Kind, u64)> =
        jobs.iter().filter(|job| !known.contains_key(&key(job))).collect();
    let open = |file: &Path| {
        let mut out = OpenOptions::new().create(true).append(true).open(file)?;
        // Behind a line that was cut off a new one begins.
        out.write_all(b"\n")?;
        Ok::<_, std::io::Error>(out)
    };
    let out = file.map(open).transpose().map_err(GridError::Results)?;
    let (out, next, done) = (Mutex::new((out, Vec::new(), None)), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1).min(left.len().max(1)) {
            scope.spawn(|| loop {
                let Some(job) = left.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let (outcome, _) = play(job.0, job.1, job.2);
                let Ok(mut kept) = out.lock() else { return };
                let line = serde_json::to_string(&outcome).unwrap_or_default() + "\n";
                if let Some(Err(wrong)) = kept.0.as_mut().map(|file| file.write_all(line.as_bytes())) {
                    // What could not be kept is told; what was kept before stands.
                    kept.2 = Some(GridError::Results(wrong));
                    return;
                }
                kept.1.push(outcome);
                progress(done.fetch_add(1, Ordering::Relaxed) + 1, left.len());
            });
        }
    });
    let (_, played, wrong) = out.into_inner().map_err(|_| GridError::Panicked)?;
    if let Some(wrong) = wrong {
        return Err(wrong);
    }
    known.extend(
        played.into_iter().map(|outcome| ((outcome.scenario.clone(), outcome.policy, outcome.seed), outcome)),
    );
    Ok(jobs.iter().filter_map(|job| known.get(&key(job)).cloned()).collect())
}

/// The second against the first on the same seeds: the mean difference and half of its interval, for service and for the
/// worst ten seconds.
pub fn compared(outcomes: &[Outcome], scenario: &str, a: Kind, b: Kind) -> ((f64, f64), (f64, f64)) {
    let of = |kind: Kind| outcomes.iter().filter(move |o| o.scenario == scenario && o.policy == kind);
    let pairs: Vec<(&Outcome, &Outcome)> =
        of(a).filter_map(|first| Some((first, of(b).find(|second| second.seed == first.seed)?))).collect();
    let differences =
        |part: fn(&Outcome) -> f64| -> Vec<f64> { pairs.iter().map(|(a, b)| part(b) - part(a)).collect() };
    (paired(&differences(|o| o.service)), paired(&differences(|o| o.worst)))
}

/// The table of a grid: a row for each scenario and policy.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut rows: BTreeMap<(String, Kind), Vec<&Outcome>> = BTreeMap::new();
    outcomes.iter().for_each(|o| rows.entry((o.scenario.clone(), o.policy)).or_default().push(o));
    let mut text = String::from(
        "| scenario | policy | seeds | service | worst 10 s | worst route | rules broken | lines |\n",
    );
    text += "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for ((scenario, kind), outcomes) in rows {
        let mean =
            |part: fn(&Outcome) -> f64| outcomes.iter().map(|o| part(o)).sum::<f64>() / outcomes.len() as f64;
        let broken = outcomes.iter().filter(|o| o.broken > 0).count();
        text += &format!(
            "| {scenario} | {} | {} | {:.3} | {:.3} | {:.3} | {broken} of {} | {:.0} |\n",
            kind.name(),
            outcomes.len(),
            mean(|o| o.service),
            mean(|o| o.worst),
            mean(|o| o.worst_route),
            outcomes.len(),
            mean(|o| o.lines),
        );
    }
    text
}

/// How the lab orders policies beside figures that something else gave them: the rank correlation over all scenarios, and
/// for each one. `scores` are by the last part of a policy's name.
pub fn ranked(outcomes: &[Outcome], scores: &BTreeMap<String, f64>) -> String {
    let mut means: BTreeMap<(String, String), (f64, f64)> = BTreeMap::new();
    for outcome in outcomes {
        let name = outcome.policy.name();
        let short = name.rsplit(' ').next().unwrap_or_default().to_string();
        for scenario in [outcome.scenario.clone(), String::new()] {
            let sum = means.entry((scenario, short.clone())).or_default();
            *sum = (sum.0 + outcome.service, sum.1 + 1.0);
        }
    }
    let of = |scenario: &str| -> Vec<(String, f64, f64)> {
        let known = means.iter().filter(|((of, name), _)| of == scenario && scores.contains_key(name));
        known.map(|((_, name), (sum, many))| (name.clone(), scores[name], sum / many)).collect()
    };
    let correlation = |rows: &[(String, f64, f64)]| {
        let pairs: Vec<(f64, f64)> = rows.iter().map(|row| (row.1, row.2)).collect();
        spearman(&pairs).map_or("-".to_string(), |rho| format!("{rho:+.2}"))
    };
    let mut all = of("");
    all.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut text = String::from("| build | there | here |\n| --- | --- | --- |\n");
    all.iter().for_each(|(name, there, here)| text += &format!("| {name} | {there:.3} | {here:.3} |\n"));
    text += &format!(
        "\nrank correlation over {} builds: {}\n\n| scenario | rank correlation |\n| --- | --- |\n",
        all.len(),
        correlation(&all)
    );
    let scenarios: std::collections::BTreeSet<&String> = means.keys().map(|(scenario, _)| scenario).collect();
    for scenario in scenarios.into_iter().filter(|scenario| !scenario.is_empty()) {
        text += &format!("| {scenario} | {} |\n", correlation(&of(scenario)));
    }
    text
}

/// The same scenario in simulated time, on several seeds through the reducer, and in real time around the binary.
pub struct Agreement {
    pub scenario: String,
    pub simulated: Vec<Outcome>,
    pub live: Outcome,
    /// Seconds that the play in real time was behind the clock at most.
    pub behind: f64,
}

/// What a play in real time may lie outside of what seeds give: reports and orders come in other moments there.
const APART: f64 = 0.03;

impl Agreement {
    fn span(&self, part: fn(&Outcome) -> f64) -> (f64, f64) {
        let of = self.simulated.iter().map(part);
        (of.clone().fold(f64::INFINITY, f64::min), of.fold(f64::NEG_INFINITY, f64::max))
    }

    /// The real time lies where seeds lie, in service, and has broken no rule that they kept.
    pub fn holds(&self) -> bool {
        let (least, most) = self.span(|outcome| outcome.service);
        let rules = self.live.broken == 0 || self.simulated.iter().any(|outcome| outcome.broken > 0);
        rules && self.live.service >= least - APART && self.live.service <= most + APART
    }

    pub fn row(&self) -> String {
        let (service, worst) = (self.span(|o| o.service), self.span(|o| o.worst));
        format!(
            "| {} | {:.3} to {:.3} | {:.3} | {:.3} to {:.3} | {:.3} | {} | {:.0} ms | {} |",
            self.scenario,
            service.0,
            service.1,
            self.live.service,
            worst.0,
            worst.1,
            self.live.worst,
            self.live.broken,
            1e3 * self.behind,
            if self.holds() { "yes" } else { "no" },
        )
    }
}

/// All scenarios at one time, as real time cannot be hurried.
pub fn agreement(scenarios: &[Scenario], seeds: u64) -> Vec<Agreement> {
    let one = |scenario: &Scenario| {
        let simulated = (1..=seeds).map(|seed| play(scenario, Kind::Reduced, seed).0).collect();
        let (live, world) = play(scenario, Kind::Live, 1);
        Agreement { scenario: scenario.name.clone(), simulated, live, behind: world.behind }
    };
    std::thread::scope(|scope| {
        let plays: Vec<_> = scenarios.iter().map(|scenario| scope.spawn(move || one(scenario))).collect();
        plays.into_iter().filter_map(|play| play.join().ok()).collect()
    })
}

/// Plays that a shrinking may take.
const SHRINK_MOST: usize = 200;

/// The smallest part of a timeline that still fails: troubles are taken out, then made shorter, as long as it fails.
pub fn shrunk(scenario: &Scenario, fails: &dyn Fn(&Scenario) -> bool) -> Scenario {
    let mut best = scenario.clone();
    let mut plays = 0;
    let mut changed = true;
    while changed && plays < SHRINK_MOST {
        changed = false;
        let mut candidates = Vec::new();
        for at in 0..best.faults.len() {
            let mut without = best.clone();
            without.faults.remove(at);
            candidates.push(without);
        }
        for at in 0..best.faults.len() {
            let mut shorter = best.clone();
            shorter.faults[at].lasts /= 2.0;
            if shorter.faults[at].lasts >= 0.5 {
                candidates.push(shorter);
            }
        }
        let mut shorter = best.clone();
        let end = best.faults.iter().map(|fault| fault.at + fault.lasts).fold(0.0, f64::max);
        shorter.seconds = (end + 5.0).min(0.75 * best.seconds);
        if shorter.seconds >= 5.0 {
            candidates.push(shorter);
        }
        for candidate in candidates {
            plays += 1;
            if plays < SHRINK_MOST && fails(&candidate) {
                best = candidate;
                changed = true;
                break;
            }
        }
    }
    best
}

/// Looks for a day on which the policy serves least against the one that sees the true state: by chance first, then by
/// changing the worst one found. Gives it with both services.
pub fn hunt(base: &Scenario, kind: Kind, plays: usize, seed: u64, rules: bool) -> (Scenario, f64) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let score = |scenario: &Scenario| {
        let (outcome, _) = play(scenario, kind, seed);
        if rules {
            return outcome.broken as f64;
        }
        let (best, _) = play(scenario, Kind::TrueState, seed);
        best.service - outcome.service
    };
    let mut worst = (base.clone(), score(base));
    for n in 1..plays.max(1) {
        let mut next =
            if n < plays / 2 { Scenario { faults: vec![], ..base.clone() } } else { worst.0.clone() };
        if n < plays / 2 {
            next.faults = (0..chance.usize(1..4)).map(|_| drawn(base, &mut chance)).collect();
        } else if next.faults.is_empty() || chance.bool() {
            next.faults.push(drawn(base, &mut chance));
        } else {
            let at = chance.usize(0..next.faults.len());
            next.faults[at] = drawn(base, &mut chance);
        }
        next.faults.truncate(5);
        let found = score(&next);
        if found > worst.1 {
            worst = (next, found);
        }
    }
    worst
}

fn drawn(scenario: &Scenario, chance: &mut fastrand::Rng) -> Fault {
    let fleet = &scenario.fleet;
    let share = 0.1 + 0.4 * chance.f64();
    let what = match chance.u8(0..12) {
        0 => What::Kill { share },
        1 => What::KillZone { zone: chance.u16(0..fleet.zones) },
        2 => What::Hang { share: share / 2.0 },
        3 => What::Slow { share, factor: 2.0 + 4.0 * chance.f64() },
        4 => What::Cut { zone: chance.u16(0..fleet.zones) },
        5 => What::Roll { share: 1.0, at_a_time: 1 + fleet.hosts / 6 },
        6 => What::ListLate { by: 2.0 + 6.0 * chance.f64() },
        7 => What::StoreDown,
        8 => What::KillDirector { director: chance.usize(0..fleet.directors) },
        9 => What::Flood { factor: 1.3 + 0.7 * chance.f64() },
        10 => What::Cost {
            route: chance.usize(0..scenario.load.routes.len()),
            factor: 1.5 + 2.0 * chance.f64(),
        },
        _ => What::ReportsLost { share: 0.5 + 0.5 * chance.f64() },
    };
    let at = (0.1 + 0.6 * chance.f64()) * scenario.seconds;
    Fault { at, lasts: (0.1 + 0.25 * chance.f64()) * scenario.seconds, what }
}
