//! Compares verdicts on random pools, tables and proposals with the oracle, and repairs of small cases with
//! the best possible ones. `cargo run --release -p coppersail-capacity-guard --example confusion [CASES]
//! [SMALL]`

mod model;

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{CapacityModel, Estimate, Guard, Host, Pool, Table, Verdict};
use model::{after_proposal, best, is_unsafe, less, severity, worsens, Case, World};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

fn main() {
    let mut args = std::env::args().skip(1).map(|many| many.parse::<u64>().unwrap_or(0));
    let (cases, small) = (args.next().unwrap_or(100_000), args.next().unwrap_or(5_000));
    let mut verdicts = [[0_u64; 3]; 2];
    for seed in 0..cases {
        let case = Case::random(seed, 2 + (seed % 7) as usize, 1 + (seed % 9) as usize);
        let verdict = case.guard().judge(&case.calls, &case.pending, case.now);
        let given = match verdict {
            Verdict::Accepted => 0,
            Verdict::Improvement(_) => 1,
            Verdict::Refused(_) => 2,
        };
        verdicts[is_unsafe(&case) as usize][given] += 1;
    }
    println!("{cases} cases, 2 to 8 hosts, 1 to 9 slices\n");
    println!("| by the oracle | accepted | let through as less bad than what stands | refused |");
    println!("| --- | --- | --- | --- |");
    for (name, row) in [("safe", verdicts[0]), ("unsafe", verdicts[1])] {
        println!("| {name} | {} | {} | {} |", row[0], row[1], row[2]);
    }
    let mut statistics = RepairStatistics::default();
    for seed in 0..small {
        statistics.add(&Case::random(1_000_000 + seed, 4, 3));
    }
    println!("\n{small} cases of 4 hosts and 3 slices, against all tables of one or two even lines\n");
    statistics.print();
    println!("\nTime to answer what is unsafe, by size of the proposal's fleet (warm hosts, one filled past its bound)\n");
    println!("| hosts | slices | p50 | p99 | most | repaired whole |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (hosts, slices) in [(8, 40), (30, 210), (120, 840), (500, 3500), (2000, 14_000)] {
        measure_fleet(hosts, slices, if small == 0 { 5 } else { 200 });
    }
}

/// Results of the small cases, compared with the best possible ones.
#[derive(Default)]
struct RepairStatistics {
    least: u64,
    /// Of these, the proposals that assign an open host to a slice without one, and the others for which a
    /// safe table exists.
    covers_slice: u64,
    least_with_safe_table: u64,
    refused: u64,
    /// Refused proposals for which a table exists with which nothing is unsafe, and a safe one; and those for
    /// which such were found.
    complete_exists: u64,
    complete: u64,
    safe_exists: u64,
    safe: u64,
    over: [u64; 8],
    times: Vec<f64>,
}

impl RepairStatistics {
    fn add(&mut self, case: &Case) {
        let mut guard = case.guard();
        let begun = Instant::now();
        let verdict = guard.judge(&case.calls, &case.pending, case.now);
        self.times.push(begun.elapsed().as_secs_f64() * 1e6);
        let best = match verdict {
            Verdict::Accepted => return,
            _ => best(case),
        };
        match verdict {
            Verdict::Improvement(_) => {
                self.least += 1;
                let uncovered = |world: World| severity(&world.ahead(case))[0];
                let covers_slice = uncovered(after_proposal(case)) < uncovered(World::of(case));
                self.covers_slice += u64::from(covers_slice);
                self.least_with_safe_table += u64::from(!covers_slice && best.safe.is_some());
            }
            Verdict::Refused(refusal) => {
                self.refused += 1;
                self.complete_exists += u64::from(best.fewest.is_some());
                self.safe_exists += u64::from(best.safe.is_some());
                let Some(repair) = refusal.repair else { return };
                let (before, mut world) = (World::of(case).ahead(case), after_proposal(case));
                repair.orders().iter().for_each(|order| world.apply(order));
                let after = world.ahead(case);
                let sound = !worsens(&before, &after) && less(&severity(&after), &severity(&before));
                assert!(
                    !refusal.repair_is_safe || sound || severity(&after) == [0.0; 4],
                    "what is said to be safe is so: {case:?}"
                );
                self.safe += u64::from(refusal.repair_is_safe);
                if severity(&after) == [0.0; 4] {
                    self.complete += 1;
                    let changed: BTreeSet<SliceId> = repair.moves.iter().map(|made| made.slice).collect();
                    let over = changed.len().saturating_sub(best.fewest.unwrap_or(changed.len()));
                    self.over[over.min(7)] += 1;
                }
            }
            Verdict::Accepted => {}
        }
    }

    fn print(&mut self) {
        let RepairStatistics {
            least,
            covers_slice,
            least_with_safe_table,
            refused,
            complete_exists,
            complete,
            safe_exists,
            safe,
            over,
            times,
        } = self;
        println!("let through as less bad than what stands: {least}; {covers_slice} as they give a bare slice a host; of the others a safe table exists: {least_with_safe_table}");
        println!("refused: {refused}; a table with nothing wrong exists: {complete_exists}, found: {complete}; a safe one better than what stands exists: {safe_exists}, found: {safe}");
        println!("tables changed over the fewest, by 0, 1, 2...: {over:?}");
        times.sort_by(f64::total_cmp);
        let at = |part: usize| times.get(times.len() * part / 100).copied().unwrap_or(0.0);
        println!("time to answer: p50 {:.0} us, p99 {:.0} us", at(50), at(99));
    }
}

/// Measures how long the verdict with its repair takes on a proposal that concentrates some of a fleet's
/// slices on one host.
fn measure_fleet(hosts: u32, slices: u16, times: u64) {
    let mut rng = fastrand::Rng::with_seed(1);
    let capacity = Some(Estimate { low: 80.0, middle: 100.0 });
    let capacity_model = CapacityModel {
        cold_capacity_share: 0.2,
        slow_start_duration: 10.0,
        collapse_multiple: 2.5,
        capacity,
    };
    let host = |n| (HostId(n), Host { zone: ZoneId((n % 3) as u16), ..Host::default() });
    let each = 0.6 * 100.0 * f64::from(hosts) / f64::from(slices);
    let table = |n: u16| {
        let at = u32::from(n) % hosts;
        let lines = BTreeMap::from([(HostId(at), 1.0), (HostId((at * 7 + 1) % hosts), 0.1)]);
        (SliceId(n), Table { demand: vec![0.7 * each, 0.3 * each], weights: lines })
    };
    let pool = Pool { hosts: (0..hosts).map(host).collect(), capacity_model };
    let mut guard = Guard::new(pool, &(0..slices).map(table).collect(), 2);
    let (mut took, mut unsafe_ones, mut complete) = (Vec::new(), 0, 0);
    for _ in 0..times {
        let to = HostId(rng.u32(0..hosts));
        // Up to three times the capacity of the host is moved to it, with tables that contain no other host.
        let many = (rng.f64() * 3.0 * 100.0 / each) as usize + 4;
        let moved: BTreeSet<u16> = (0..many).map(|_| rng.u16(0..slices)).collect();
        let lines = moved.iter().flat_map(|slice| {
            let slice = SliceId(*slice);
            [Order::ClearTable(slice), Order::SetWeight { slice, host: to, weight: 1.0 }]
        });
        let calls = [lines.collect::<Vec<Order>>()];
        let begun = Instant::now();
        let verdict = guard.judge(&calls, &[], 100.0);
        took.push(begun.elapsed().as_secs_f64() * 1e3);
        let repair = match &verdict {
            Verdict::Refused(refused) | Verdict::Improvement(refused) => refused.repair.as_ref(),
            Verdict::Accepted => continue,
        };
        unsafe_ones += 1;
        complete += u64::from(repair.is_some_and(|repair| repair.left == Default::default()));
    }
    took.sort_by(f64::total_cmp);
    let at = |part: usize| took[(took.len() * part / 100).min(took.len() - 1)];
    println!(
        "| {hosts} | {slices} | {:.2} ms | {:.2} ms | {:.2} ms | {complete} of {unsafe_ones} |",
        at(50),
        at(99),
        at(100)
    );
}
