//! Cost of an evaluation of one changed weight and of a batch of a hundred, by size of the fleet; and of an
//! update of the load index compared with recomputing all loads.

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{CapacityModel, Estimate, Guard, Host, LoadIndex, Pool, Table};
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::collections::BTreeMap;

fn fleet(hosts: u32, slices: u16) -> (Pool, BTreeMap<SliceId, Table>) {
    let capacity = Some(Estimate { low: 80.0, middle: 100.0 });
    let capacity_model = CapacityModel {
        cold_capacity_share: 0.2,
        slow_start_duration: 10.0,
        collapse_multiple: 2.5,
        capacity,
    };
    let host = |n| (HostId(n), Host { zone: ZoneId((n % 3) as u16), ..Host::default() });
    let table = |n: u16| {
        let at = u32::from(n) % hosts;
        let lines = BTreeMap::from([(HostId(at), 1.0), (HostId((at * 7 + 1) % hosts), 0.1)]);
        (SliceId(n), Table { demand: vec![3.0, 1.0], weights: lines })
    };
    (Pool { hosts: (0..hosts).map(host).collect(), capacity_model }, (0..slices).map(table).collect())
}

fn set_weight(slice: u16, host: u32) -> Order {
    Order::SetWeight { slice: SliceId(slice), host: HostId(host), weight: 0.5 }
}

fn judgement_cost(criterion: &mut Criterion) {
    for (proxies, hosts, slices) in [(150, 30, 210), (1600, 120, 840), (10_000, 2000, 14_000)] {
        let (pool, tables) = fleet(hosts, slices);
        let mut guard = Guard::new(pool.clone(), &tables, 2);
        let one = [vec![set_weight(5, 9)]];
        criterion.bench_function(&format!("one line, {proxies} proxies, {hosts} hosts"), |bencher| {
            bencher.iter(|| guard.judge(&one, &[], 100.0));
        });
        let batch = [(0..100).map(|n| set_weight(n, (u32::from(n) + 3) % hosts)).collect::<Vec<Order>>()];
        criterion.bench_function(&format!("a batch of 100, {proxies} proxies, {hosts} hosts"), |bencher| {
            bencher.iter(|| guard.judge(&batch, &[], 100.0));
        });
    }
    for lines in [100_u32, 1000, 10_000, 100_000] {
        let (pool, tables) = fleet((lines / 14).max(8), (lines / 2) as u16);
        let mut loads = LoadIndex::from_tables(&pool, &tables, 2);
        criterion.bench_function(&format!("a line kept up, {lines} lines"), |bencher| {
            bencher.iter(|| {
                loads.set_weight(SliceId(5), HostId(3), 0.5);
                loads.set_weight(SliceId(5), HostId(3), 0.0);
            });
        });
        criterion.bench_function(&format!("all reckoned anew, {lines} lines"), |bencher| {
            bencher.iter_batched(
                || (),
                |()| LoadIndex::from_tables(&pool, &tables, 2),
                BatchSize::LargeInput,
            );
        });
    }
}

criterion_group!(benches, judgement_cost);
criterion_main!(benches);
