//! Operators' changes tried on whole fleets: which are taken back, how soon, and which wrongly. The judge's own table
//! (`coppersail-judge`) is made of sums by chance; here hosts, queues and retries make them.

use crate::policy::Kind;
use crate::scenario::{Change, Fault, Scenario, What};
use crate::World;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// When the change is submitted: the judge wants a minute before it.
const AT: f64 = 62.0;
/// A trial, and one more if it is set aside.
const SECONDS: f64 = AT + 200.0;

/// A change, whether callers lose by it, and what else befalls the fleet.
pub struct Case {
    pub change: &'static str,
    pub harmful: bool,
    pub trouble: &'static str,
    scenario: Scenario,
}

/// What became of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub refused: bool,
    /// Seconds after it was applied until it was first out of force.
    pub back: Option<f64>,
    pub undone: bool,
    pub kept: bool,
    pub service: f64,
}

/// What it is called, whether callers lose by it, and the fields with their values.
type Named = (&'static str, bool, Vec<(String, &'static str)>);

fn changes() -> Vec<Named> {
    let each = |many: u32, last: &str, value: &'static str| {
        (0..many).map(|host| (format!("hosts.h{host}.{last}"), value)).collect::<Vec<_>>()
    };
    vec![
        ("a tenth of a route held back", true, vec![("routes.read.ceiling".into(), "0.9")]),
        ("half of a route held back", true, vec![("routes.read.ceiling".into(), "0.5")]),
        ("seven of twelve hosts drained", true, each(7, "drained", "true")),
        ("one host weighs 40 times", true, each(1, "weight", "40")),
        ("a host drained", false, each(1, "drained", "true")),
        ("a host weighs half", false, each(1, "weight", "0.5")),
        ("all zones weigh the same", false, (0..3).map(|z| (format!("zones.z{z}.weight"), "0.9")).collect()),
        ("slices kept apart", false, (0..4).map(|s| (format!("apart.{s}.h{s}"), "true")).collect()),
    ]
}

fn troubles() -> Vec<(&'static str, Vec<What>)> {
    vec![
        ("none", vec![]),
        ("a quarter dies", vec![What::Kill { share: 0.25 }]),
        ("a flood", vec![What::Flood { factor: 2.0 }]),
        ("a zone cut", vec![What::Cut { zone: 1 }]),
        ("a quarter slow", vec![What::Slow { share: 0.25, factor: 4.0 }]),
    ]
}

pub fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for (change, harmful, set) in changes() {
        for (trouble, what) in troubles() {
            // Near the change on purpose: what befalls the fleet must not be put to its account.
            let faults = what.into_iter().map(|what| Fault { at: AT + 3.0, lasts: 15.0, what }).collect();
            let set = set.iter().map(|(field, value)| (field.clone(), value.to_string())).collect();
            let changes = vec![Change { at: AT, set, trial: None }];
            let mut scenario = Scenario { seconds: SECONDS, faults, changes, ..Scenario::default() };
            scenario.load.fill = 0.55;
            cases.push(Case { change, harmful, trouble, scenario });
        }
    }
    cases
}

impl Case {
    pub fn play(&self, seed: u64) -> Verdict {
        let world = World::new(&self.scenario, Kind::Reduced, seed).run();
        let mut verdict = Verdict { service: world.measured.service(), ..Verdict::default() };
        let mut applied = AT;
        for (at, _, text) in world.told() {
            let of_it = text.strip_prefix("change 1: ");
            match of_it {
                Some("applied") if verdict.back.is_none() => applied = at,
                Some(text) if text.starts_with("set aside") => _ = verdict.back.get_or_insert(at - applied),
                Some(text) if text.starts_with("undone") => {
                    verdict.back.get_or_insert(at - applied);
                    verdict.undone = true;
                }
                Some(text) if text.starts_with("kept") => verdict.kept = true,
                None if text.starts_with("refused") => verdict.refused = true,
                _ => {}
            }
        }
        verdict
    }
}

/// The table of all cases, `seeds` each, on so many threads.
pub fn table(seeds: u64, threads: usize, progress: &(dyn Fn(usize, usize) + Sync)) -> String {
    let cases = cases();
    let jobs: Vec<(usize, u64)> =
        (0..cases.len()).flat_map(|case| (1..=seeds).map(move |seed| (case, seed))).collect();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let verdicts = Mutex::new(vec![Vec::new(); cases.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((case, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let verdict = cases[*case].play(*seed);
                    if let Ok(mut verdicts) = verdicts.lock() {
                        verdicts[*case].push(verdict);
                    }
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1, jobs.len());
                }
            });
        }
    });
    let verdicts = verdicts.into_inner().unwrap_or_default();
    let mut text = String::from(
        "| change | harmful | trouble | refused | out of force | in 30 s | undone | kept | service |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (case, verdicts) in cases.iter().zip(&verdicts) {
        let many = verdicts.len().max(1) as f64;
        let share =
            |is: &dyn Fn(&Verdict) -> bool| 100.0 * verdicts.iter().filter(|v| is(v)).count() as f64 / many;
        let service = verdicts.iter().map(|v| v.service).sum::<f64>() / many;
        text += &format!(
            "| {} | {} | {} | {:.0}% | {:.0}% | {:.0}% | {:.0}% | {:.0}% | {service:.3} |\n",
            case.change,
            if case.harmful { "yes" } else { "no" },
            case.trouble,
            share(&|v| v.refused),
            share(&|v| v.back.is_some()),
            share(&|v| v.back.is_some_and(|at| at <= 30.0)),
            share(&|v| v.undone),
            share(&|v| v.kept),
        );
    }
    text
}
