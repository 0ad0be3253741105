//! Cost of a period of change analysis without and with one trial, and of starting a trial: with 150 proxies
//! and 30 hosts, and with 1,600 proxies and 120 hosts.

use coppersail::interface::{HostId, RouteId, SliceId};
use coppersail_change_analysis::{ChangeAnalysis, ChangeScope, TrialId};
use criterion::{criterion_group, criterion_main, Criterion};

fn report_period(analysis: &mut ChangeAnalysis, slices: u16, hosts: u32) {
    for slice in 0..slices {
        for route in 0..2 {
            analysis.report_calls(SliceId(slice), RouteId(route), 20, u64::from(slice % 7 == 0));
        }
    }
    (0..hosts).for_each(|host| analysis.report_attempts(HostId(host), 100, 1, 0.3));
}

fn period_cost(criterion: &mut Criterion) {
    for (proxies, hosts, slices) in [(150, 30, 210), (1600, 120, 840)] {
        let mut analysis = ChangeAnalysis::new(1.0, vec![1.0, 3.0], 1.5);
        let mut now = 0.0;
        let mut run_second = |analysis: &mut ChangeAnalysis| {
            report_period(analysis, slices, hosts);
            now += 1.0;
            analysis.close_periods(now).len()
        };
        (0..60).for_each(|_| _ = run_second(&mut analysis));
        criterion.bench_function(&format!("a period, {proxies} proxies, {hosts} hosts, idle"), |bencher| {
            bencher.iter(|| run_second(&mut analysis));
        });
        let scope = ChangeScope {
            slices: (0..slices / 5).map(SliceId).collect(),
            hosts: (0..hosts / 5).map(HostId).collect(),
            ..ChangeScope::default()
        };
        criterion.bench_function(&format!("a trial begins, {proxies} proxies, {hosts} hosts"), |bencher| {
            bencher.iter(|| analysis.start_trial(TrialId(1), scope.clone(), 0.0));
        });
        analysis.start_trial(TrialId(1), scope, 0.0);
        criterion.bench_function(
            &format!("a period, {proxies} proxies, {hosts} hosts, one trial"),
            |bencher| {
                bencher.iter(|| run_second(&mut analysis));
            },
        );
    }
}

criterion_group!(benches, period_cost);
criterion_main!(benches);
