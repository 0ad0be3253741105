//! Generated pools, tables and proposals against the oracle: what was accepted and refused rightly. And repairs of small
//! ones against the best that there is. `cargo run --release -p coppersail-guard --example confusion [CASES] [SMALL]`

mod model;

use coppersail_guard::Verdict;
use model::{badness, best, is_unsafe, less, told, Case, World};
use std::time::Instant;

fn main() {
    let mut args = std::env::args().skip(1).map(|many| many.parse::<u64>().unwrap_or(0));
    let (cases, small) = (args.next().unwrap_or(100_000), args.next().unwrap_or(5_000));
    let mut table = [[0_u64; 3]; 2];
    for seed in 0..cases {
        let case = Case::drawn(seed, 2 + (seed % 7) as usize, 1 + (seed % 9) as usize);
        let verdict = case.guard().judge(&case.calls, &case.pending, case.now);
        let given = match verdict {
            Verdict::Accepted => 0,
            Verdict::Least(_) => 1,
            Verdict::Refused(_) => 2,
        };
        table[is_unsafe(&case) as usize][given] += 1;
    }
    println!("{cases} cases, 2 to 8 hosts, 1 to 9 slices\n");
    println!("| by the oracle | accepted | accepted as less bad than what stands | refused |");
    println!("| --- | --- | --- | --- |");
    for (name, row) in [("safe", table[0]), ("unsafe", table[1])] {
        println!("| {name} | {} | {} | {} |", row[0], row[1], row[2]);
    }
    let (mut least, mut wrongly, mut refused, mut whole, mut possible, mut more) =
        (0, 0, 0, 0, 0, vec![0_u64; 8]);
    let mut times = Vec::new();
    for seed in 0..small {
        let case = Case::drawn(1_000_000 + seed, 4, 3);
        let mut guard = case.guard();
        let begun = Instant::now();
        let verdict = guard.judge(&case.calls, &case.pending, case.now);
        times.push(begun.elapsed().as_secs_f64() * 1e6);
        let (bound, fewest) = match verdict {
            Verdict::Accepted => continue,
            _ => best(&case),
        };
        match verdict {
            Verdict::Least(_) => {
                least += 1;
                wrongly += less(&bound, &badness(&told(&case).ahead(&case))) as u64;
            }
            Verdict::Refused(refusal) => {
                refused += 1;
                possible += fewest.is_some() as u64;
                let Some(repair) = refusal.repair else { continue };
                let mut world: World = told(&case);
                repair.orders().iter().for_each(|order| world.apply(order));
                if badness(&world.ahead(&case)) == [0.0; 4] {
                    whole += 1;
                    let over = repair.moves.len().saturating_sub(fewest.unwrap_or(repair.moves.len()));
                    more[over.min(7)] += 1;
                }
            }
            Verdict::Accepted => {}
        }
    }
    times.sort_by(f64::total_cmp);
    println!("\n{small} cases of 4 hosts and 3 slices, against all tables of one or two even lines\n");
    println!("accepted as less bad than what stands: {least}, of which something better exists: {wrongly}");
    println!("refused: {refused}; a safe table of that kind exists: {possible}; repaired whole: {whole}");
    println!("moves over the fewest tables changed, by 0, 1, 2...: {more:?}");
    println!(
        "time to answer: p50 {:.0} us, p99 {:.0} us",
        times[times.len() / 2],
        times[times.len() * 99 / 100]
    );
}
