//! Exhaustive searches, within bounds, over the very core: every order of messages, every loss, faults by budget.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[path = "model/search.rs"]
mod search;
#[allow(dead_code)]
#[path = "model/world.rs"]
mod world;

use search::search;
use world::{everything, spans, Budget, Rules, Step, Then, Without, World};

const A: u8 = 1;
const B: u8 = 2;
const C: u8 = 4;

fn rules() -> Rules {
    Rules {
        members: 4,
        first: 3,
        spans: spans(),
        slow: 0,
        swift: true,
        short: 25,
        struck: A | B | C,
        pace: [0; 5],
    }
}

/// a acts, b is its backup, all have heard each other.
fn begun(rules: Rules) -> World {
    let mut world = World::new(rules);
    world.calm().unwrap();
    world.rest(60).unwrap();
    assert_eq!(world.acting(), [0]);
    world
}

/// What comes before a search, one step after the other, with all messages delivered after each.
fn after(mut world: World, budget: Budget, steps: &[Step]) -> World {
    for step in steps {
        world.budget = everything();
        world.step(step, true).unwrap();
        if !matches!(step, Step::Short { .. } | Step::Expiry(_)) || step != &steps[steps.len() - 1] {
            world.calm().unwrap();
        }
    }
    world.budget = budget;
    world
}

#[expect(clippy::too_many_lines, reason = "a table of the searches")]
fn case(name: &str) -> World {
    let one = Budget::default();
    let patient = Rules { spans: coppersail_consensus::Timeouts { replace_after: 40, ..spans() }, ..rules() };
    let short = |without| Step::Short { keep: None, without };
    match name {
        "takeovers" => {
            let budget = Budget { times: 3, expiries: 2, cuts: 2, submits: 1, ..one };
            after(begun(Rules { struck: A | B, ..rules() }), budget, &[])
        }
        "two changes" => {
            let budget = Budget { times: 3, expiries: 1, cuts: 1, submits: 2, ..one };
            after(begun(Rules { struck: A | B, ..rules() }), budget, &[])
        }
        "old group" => {
            // With one unheard as well, 6,000,000 states are not the end.
            let budget = Budget { times: 2, expiries: 1, crashes: 1, ..one };
            let rules = Rules { struck: A | B, ..patient };
            after(begun(rules), budget, &[short(Without::Unheard(2)), short(Without::Unheard(2))])
        }
        "new group" => {
            let budget = Budget { times: 2, expiries: 1, crashes: 1, ..one };
            let mut world = begun(Rules { struck: A | B, ..patient });
            // Until the record that names both groups is chosen, and the bid for the next one is out.
            while world.ghost.groups < 2 {
                world = after(world, budget, &[short(Without::Unheard(2))]);
                world.calm().unwrap();
            }
            after(world, budget, &[short(Without::Unheard(2))])
        }
        "leaver" => {
            let budget = Budget { times: 3, expiries: 1, crashes: 1, ..one };
            let rules = Rules { struck: A, ..rules() };
            let short = short(Without::Nobody);
            after(begun(rules), budget, &[Step::Leave(0), short.clone(), short.clone(), short])
        }
        "lost disk" => {
            let budget = Budget { times: 4, expiries: 1, cuts: 1, wipes: 1, ..one };
            after(begun(rules()), budget, &[Step::Crash(2, 0)])
        }
        "new backup" => {
            let budget = Budget { times: 3, expiries: 1, cuts: 1, crashes: 1, submits: 2, late: 2, ..one };
            let out = Step::Expiry(Without::Nobody);
            after(
                begun(rules()),
                budget,
                &[Step::Gone(1), short(Without::Nobody), out, short(Without::Nobody), short(Without::Nobody)],
            )
        }
        "replaced" => {
            let budget = Budget { times: 4, expiries: 1, crashes: 1, submits: 1, ..one };
            let rules = Rules { struck: A, ..patient };
            after(begun(rules), budget, &[short(Without::Unheard(2))])
        }
        "disk of the primary" => {
            let budget = Budget { times: 3, crashes: 1, submits: 1, refusals: 1, ..one };
            after(begun(Rules { slow: A, struck: A, short: 8, ..rules() }), budget, &[])
        }
        "disk of the backup" => {
            let budget = Budget { times: 3, crashes: 1, submits: 1, refusals: 1, ..one };
            after(begun(Rules { slow: B, struck: A, short: 8, ..rules() }), budget, &[])
        }
        "late copies" => {
            let budget = Budget { times: 2, expiries: 1, cuts: 1, submits: 2, late: 2, ..one };
            after(begun(rules()), budget, &[])
        }
        "late answers" => {
            let budget = Budget { times: 3, expiries: 1, cuts: 3, ..one };
            after(begun(Rules { swift: false, short: 15, struck: A, ..rules() }), budget, &[])
        }
        "frozen" => {
            let budget = Budget { times: 3, expiries: 2, freezes: 2, submits: 1, ..one };
            after(begun(Rules { struck: A | B, ..rules() }), budget, &[])
        }
        _ => panic!("no case {name}"),
    }
}

/// One long way by lot: crashes, lost disks one after the other, freezes, clocks that differ by a fiftieth.
#[expect(
    clippy::too_many_lines,
    reason = "a table of random steps; splitting it would hide the order of the draws"
)]
fn walk(seed: u64, rules: Rules, steps: usize) -> [usize; 4] {
    let mut lot = fastrand::Rng::with_seed(seed);
    let mut world = World::new(rules);
    world.calm().unwrap();
    let (mut frozen, mut losses, mut faults, mut left, mut gone) = (None, 0, 0, false, 0);
    for _ in 0..steps {
        world.budget = everything();
        world.budget.late = lot.u8(0..2);
        if frozen.is_none() && lot.usize(0..100) == 0 {
            // A while without faults, in which a change can be written.
            let outcome = world.rest(lot.usize(0..30)).and_then(|()| match world.acting().first() {
                Some(x) => world.submit(*x),
                None => Ok(()),
            });
            outcome.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        }
        // Who may go does. It is a loss only where somebody's record still has it: it heard of nobody to take its place.
        let may = |x: &usize| world.core(*x).is_some_and(|core| core.may_exit(world.clock(*x)));
        if let Some(x) = world.ups().into_iter().find(may) {
            let free = world.mended() && !world.rests_on(x);
            if free || losses < rules.spans.max_failures {
                world.budget = everything();
                world.step(&Step::Gone(x), true).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                losses += !free as usize;
                gone += free as usize;
            }
        }
        let mended = world.mended();
        if mended {
            losses = 0;
        }
        if lot.usize(0..60) == 0 {
            frozen = frozen.is_none().then(|| lot.usize(0..rules.members));
        }
        let wild = lot.usize(0..if mended { 4 } else { 40 }) == 0;
        let all: Vec<Step> = world
            .steps()
            .into_iter()
            .filter(|step| match step {
                Step::Deliver(..) | Step::Confirm(_) => frozen.is_none_or(|x| world.owner(step) != Some(x)),
                Step::Short { without, .. } | Step::Expiry(without) => match frozen {
                    Some(x) => *without == Without::Asleep(x),
                    None => *without == Without::Nobody || wild,
                },
                Step::Submit(_) => lot.usize(0..3) == 0,
                Step::Restart(_) => true,
                Step::Wipe(_) | Step::Gone(_) if losses >= rules.spans.max_failures => false,
                Step::Wipe(_) | Step::Refuse(_) | Step::Crash(..) => wild,
                Step::Gone(_) => wild && lot.usize(0..20) == 0 && world.ups().len() > 3,
                Step::Leave(_) => wild && !left && world.ups().len() == rules.members,
            })
            .collect();
        let quick: Vec<&Step> =
            all.iter().filter(|s| matches!(s, Step::Deliver(_, Then::Answer) | Step::Confirm(_))).collect();
        let rest: Vec<&Step> =
            all.iter().filter(|s| !matches!(s, Step::Deliver(..) | Step::Confirm(_))).collect();
        let from =
            if !quick.is_empty() && (rest.is_empty() || lot.usize(0..12) > 0) { &quick } else { &rest };
        let Some(step) = (!from.is_empty()).then(|| from[lot.usize(0..from.len())].clone()) else { continue };
        losses += matches!(step, Step::Wipe(_) | Step::Gone(_)) as usize;
        left |= matches!(step, Step::Leave(_));
        faults += matches!(step, Step::Wipe(_) | Step::Gone(_) | Step::Crash(..) | Step::Refuse(_)) as usize;
        world.step(&step, true).unwrap_or_else(|why| {
            let (_, story) = search::tell(&world.path);
            let lines: Vec<&str> = story.lines().collect();
            panic!("seed {seed}: {why}\n{}", lines[lines.len().saturating_sub(60)..].join("\n"));
        });
    }
    let outcome = world.good_end(600);
    outcome.unwrap_or_else(|why| {
        let (_, story) = search::tell(&world.path);
        let lines: Vec<&str> = story.lines().collect();
        let tail = lines[lines.len().saturating_sub(40)..].join("\n");
        let all: Vec<String> = (0..rules.members).map(|x| world.view(x)).collect();
        panic!("seed {seed}: {why}\n{tail}\n{}", all.join("\n"));
    });
    [faults, world.ghost.top.number as usize, world.ghost.acked.len(), gone]
}

fn walks(name: &str, seeds: std::ops::Range<u64>, rules: Rules) {
    let mut all = [0; 4];
    for seed in seeds.clone() {
        // Every other one with disks that take time, and most with answers that do.
        let slow = if seed % 2 == 0 { 0xff } else { 0 };
        let one = walk(seed, Rules { slow, swift: seed % 3 == 0, ..rules }, 2_000);
        all = std::array::from_fn(|n| all[n] + one[n]);
    }
    let [faults, epochs, changes, left] = all;
    println!(
        "{name}: {} walks, {faults} faults, {epochs} epochs, {changes} changes, {left} that left",
        seeds.count()
    );
}

fn seeds() -> u64 {
    std::env::var("WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(300)
}

const PACES: [i64; 5] = [0, 10, -10, 7, -4];

#[test]
fn random_faults_with_two_disks_lost_of_five() {
    let spans = coppersail_consensus::Timeouts {
        max_failures: 2,
        replace_after: 300,
        shutdown_grace: 1_000_000,
        ..spans()
    };
    walks(
        "five, two",
        0..seeds(),
        Rules { members: 5, first: 5, spans, short: 12, struck: 31, pace: PACES, ..rules() },
    );
}

#[test]
fn random_faults_with_one_disk_lost_of_five() {
    let spans = coppersail_consensus::Timeouts { replace_after: 300, shutdown_grace: 1_000_000, ..spans() };
    walks(
        "five, one",
        0..seeds(),
        Rules { members: 5, spans, short: 12, struck: 31, pace: PACES, ..rules() },
    );
}

/// So many states at most; a search that is cut off there is no proof.
const LIMIT: usize = 2_000_000;

fn exhaust(names: &[&str]) {
    for name in names {
        let found = search(case(name), LIMIT, 997, &|| ());
        println!(
            "{name}: {} states, {} steps, depth {}, {:.1} s; at most {} epochs, {} groups, {} changes; {} good ends, \
             the slowest {} ticks",
            found.states,
            found.steps,
            found.depth,
            found.seconds,
            found.epochs,
            found.groups,
            found.acked,
            found.ends,
            found.slowest
        );
        if let Some((why, steps, story)) = &found.broken {
            panic!("{name}: {why}, after {steps} steps:\n{story}");
        }
        assert!(found.whole, "{name}: more than {LIMIT} states");
    }
}

#[test]
fn failovers_during_appends() {
    exhaust(&["takeovers", "two changes", "frozen"]);
}

#[test]
fn failures_during_membership_changes() {
    exhaust(&["lost disk", "replaced", "old group", "new group", "leaver"]);
}

#[test]
fn disks_that_fail_a_write_or_lose_it_in_a_crash() {
    exhaust(&["disk of the primary", "disk of the backup"]);
}

#[test]
fn messages_late_or_duplicated() {
    exhaust(&["new backup", "late copies", "late answers"]);
}

/// Each bug put in on purpose, and the search that finds it.
#[cfg(feature = "injected-bugs")]
#[test]
fn every_injected_bug_is_found() {
    use coppersail_consensus::InjectedBug::*;
    let all = [
        (CommitWithoutBackup, "takeovers"),
        (LeaseFromResponse, "late answers"),
        (LostDiskVotes, "lost disk"),
        (StaleSnapshot, "new backup"),
        (TwoVotersAtOnce, "lost disk"),
        (OutgoingMajorityOnly, "replaced"),
        (NoLease, "takeovers"),
        (UnverifiedProbe, "replaced"),
    ];
    for (bug, name) in all {
        let found = search(case(name), LIMIT, 0, &|| coppersail_consensus::inject(Some(bug)));
        let (why, steps, story) = found.broken.unwrap_or_else(|| panic!("{bug:?} is not found by {name}"));
        println!(
            "{bug:?}, by {name}: {why}; {steps} steps, {} states, {:.1} s\n{story}",
            found.states, found.seconds
        );
    }
}
