//! The decision module with the guard, on random fleets: refusals are bounded, no slice is without an open
//! host, and the guard's tables match those of the proxies.

use coppersail::interface::*;
use coppersail_capacity_guard::{GuardedDirector, HostEvent, Mode, PendingEvent};
use fastrand::Rng;
use std::collections::BTreeMap;

fn settings() -> Settings {
    let route = |importance| Route {
        latency_target: 1.0,
        deadline: 3.0,
        value: importance,
        idempotency: Idempotency::Idempotent,
        is_write: false,
        zone_local: false,
    };
    Settings {
        peer_id: PeerId(0),
        director_count: 1,
        zone: None,
        zone_names: vec!["a".into(), "b".into()],
        machine_types: vec!["k".into()],
        routes: vec![route(1.0), route(5.0)],
        host_list_is_pushed: true,
        host_list_max_silence: 9.0,
        listed_weights: false,
        probes_allowed: true,
        peer_messages_allowed: false,
        cold_capacity_share: 0.2,
        slow_start_duration: 10.0,
        collapse_multiple: 2.5,
        collapse_time: 2.0,
        grace_period: 2.0,
        throttled_may_have_executed: false,
        removal_is_advisory: false,
        max_unserved_time: 5.0,
        slice_count: 24,
        proxy_count: 4,
        exclusive_ownership: false,
        admission_unit: AdmissionUnit::Fraction,
        default_retry_policy: RetryPolicy::IfNotExecuted,
        proxy_ejection_threshold: 5,
        message_overhead_lines: 10.0,
        channel_lines_per_s: 60_000.0,
        channel_backlog_lines: 120_000.0,
        max_messages_per_window: 0,
        message_window: 10.0,
        typical_transit_time: 0.3,
        max_transit_time: 1.0,
        report_interval: 1.0,
        max_write_in_flight_time: 5.0,
        hosts_cache_keys: true,
    }
}

fn listing(host: u32, state: HostState, started_at: Option<f64>) -> HostListEntry {
    let (zone, cell, kind) = (ZoneId((host % 2) as u16), CellId(0), MachineTypeId(0));
    HostListEntry { host: HostId(host), state, started_at, weight: 1.0, zone, cell, machine_type: kind }
}

/// The tables of the proxies, updated by the orders.
#[derive(Default)]
struct Proxies {
    tables: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
    withdrawn: BTreeMap<HostId, bool>,
    lines: usize,
}

impl Proxies {
    fn apply(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::SetWeight { slice, host, weight } => {
                    self.lines += 1;
                    let table = self.tables.entry(*slice).or_default();
                    _ = if *weight > 0.0 { table.insert(*host, *weight) } else { table.remove(host) };
                }
                Order::SetWithdrawn { host, withdrawn } => _ = self.withdrawn.insert(*host, *withdrawn),
                _ => {}
            }
        }
    }
}

/// The first inputs: six hosts, four proxies, and 24 slices on one host each.
fn first_inputs(hosts: u32, proxies: &mut Proxies) -> Vec<Input> {
    let listed = (0..hosts).map(|host| listing(host, HostState::Ready, None)).collect();
    let mut inputs =
        vec![Input::HostListUpdate { scope: ListScope::CachedSnapshot, version: 1, entries: listed }];
    inputs.extend((0..4).map(|n| Input::ProxyJoined {
        proxy: ProxyId(n),
        zone: ZoneId(0),
        requests_per_s: 9.0,
        without_tables: false,
    }));
    for slice in (0..24).map(SliceId) {
        let host = HostId(slice.0 as u32 % hosts);
        inputs.extend([Input::SliceAssigned(slice), Input::StoredWeight { slice, host, weight: 1.0 }]);
        proxies.tables.insert(slice, [(host, 1.0)].into());
    }
    inputs
}

/// Reports of one second for all slices, one of which is hot, and for all hosts, with random loads.
fn reports(hosts: u32, rng: &mut Rng) -> Vec<Input> {
    let mut inputs = Vec::new();
    for slice in (0..24).map(SliceId) {
        let calls = if slice.0 == 3 { 200 } else { 2 + rng.u64(0..9) };
        inputs.push(Input::SliceDemand {
            slice,
            route: RouteId(slice.0 % 2),
            requests: calls,
            dropped: 0,
            window: 1.0,
        });
    }
    for host in (0..hosts).map(HostId) {
        let load = LoadReport { queued: Some(rng.f64() * 4.0), ..LoadReport::default() };
        let attempts = 5 + rng.u64(0..40);
        let (zone, window, dropped, mean_response_time) = (ZoneId(0), 1.0, 0, 0.1);
        inputs.push(Input::AttemptStats { host, zone, window, attempts, dropped, mean_response_time, load });
        inputs.push(Input::ProbeFinished { host, outcome: Outcome::Succeeded, duration: 0.01, load });
    }
    inputs
}

/// A random host drains, or returns cold if it was drained.
fn list_change(hosts: u32, tick: u64, open: &mut Vec<u32>, rng: &mut Rng) -> Option<Input> {
    let host = rng.u32(0..hosts);
    let back = !open.contains(&host);
    let leaves = !back && open.len() > 2;
    if !back && !leaves {
        return None;
    }
    let state = if back { HostState::Ready } else { HostState::Draining };
    open.retain(|open| *open != host);
    open.extend(back.then_some(host));
    let entries = vec![listing(host, state, back.then_some(tick as f64 / 10.0))];
    Some(Input::HostListUpdate { scope: ListScope::Delta, version: 2 + tick, entries })
}

/// Runs a fleet for a run_minute, in which hosts drain and return cold, one slice is hot, and reported loads are
/// random.
fn run_minute(seed: u64, mode: Mode) -> (GuardedDirector, Proxies, Vec<u32>) {
    let mut rng = Rng::with_seed(seed);
    let (mut guarded, mut proxies) = (GuardedDirector::new(settings(), seed, mode), Proxies::default());
    let hosts = 6_u32;
    let mut open: Vec<u32> = (0..hosts).collect();
    let mut inputs = first_inputs(hosts, &mut proxies);
    for tick in 0..600_u64 {
        let now = tick as f64 / 10.0;
        if tick % 10 == 0 {
            inputs.extend(reports(hosts, &mut rng));
        }
        if tick % 37 == 36 {
            inputs.extend(list_change(hosts, tick, &mut open, &mut rng));
        }
        let orders = guarded.handle(now, &inputs);
        proxies.apply(&orders);
        let rounds = orders.iter().filter_map(|order| match order {
            Order::RequestAcknowledgement { round, .. } => Some(*round),
            _ => None,
        });
        let rounds: Vec<RoundId> = rounds.collect();
        inputs = vec![Input::TimerFired(TimerId(1))];
        for proxy in (0..4).map(ProxyId) {
            inputs.extend(rounds.iter().map(|round| Input::RoundAcknowledged {
                proxy,
                round: *round,
                latency: 0.1,
            }));
        }
    }
    (guarded, proxies, open)
}

#[test]
fn refusals_are_bounded_and_no_slice_is_without_an_open_host() {
    for seed in 0..60 {
        let (guarded, proxies, open) = run_minute(seed, Mode::On);
        let counts = guarded.counts;
        // A slice may be refused three times in ten seconds; this is the bound for 24 slices in a run_minute, far
        // below one refusal per tick.
        assert!(counts.refused <= 300, "seed {seed}: {counts:?}");
        assert!(counts.judged <= 2000, "seed {seed}: {counts:?}");
        assert!(proxies.lines <= 6000, "seed {seed}: {} lines", proxies.lines);
        for (slice, table) in &proxies.tables {
            let serves = |host: &HostId| open.contains(&host.0) && proxies.withdrawn.get(host) != Some(&true);
            assert!(table.keys().any(serves), "seed {seed}: {slice:?} has {table:?}, open are {open:?}");
        }
        let known = guarded.guard().loads().tables();
        for (slice, table) in &proxies.tables {
            assert_eq!(
                &known[slice].weights, table,
                "seed {seed}: the guard and the proxies have the same tables"
            );
        }
    }
}

#[test]
fn in_watch_mode_all_orders_are_sent_as_without_a_guard() {
    for seed in 0..10 {
        let watched = run_minute(seed, Mode::Watch);
        let alone = run_minute(seed, Mode::Off);
        assert_eq!(watched.1.tables, alone.1.tables, "seed {seed}");
        assert_eq!(watched.1.lines, alone.1.lines, "seed {seed}");
    }
}

/// Operators exclude a slice from all hosts except one. If that host is announced to leave, the slice must
/// stay where it is; otherwise it must move to that host.
#[test]
fn a_running_director_takes_an_announced_shutdown_into_account() {
    for announced in [true, false] {
        let mut guarded = GuardedDirector::new(settings(), 1, Mode::On);
        let mut proxies = Proxies::default();
        let listed = (0..4).map(|host| listing(host, HostState::Ready, None)).collect();
        let mut inputs =
            vec![Input::HostListUpdate { scope: ListScope::CachedSnapshot, version: 1, entries: listed }];
        let joined = |n| Input::ProxyJoined {
            proxy: ProxyId(n),
            zone: ZoneId(0),
            requests_per_s: 9.0,
            without_tables: false,
        };
        inputs.extend((0..4).map(joined));
        for slice in (0..24).map(SliceId) {
            let host = HostId(1 + slice.0 as u32 % 3);
            inputs.extend([Input::SliceAssigned(slice), Input::StoredWeight { slice, host, weight: 1.0 }]);
            proxies.tables.insert(slice, [(host, 1.0)].into());
        }
        for tick in 0..150 {
            let now = tick as f64 / 10.0;
            if tick == 50 {
                let event = PendingEvent { at: now + 12.0, host: HostId(0), event: HostEvent::Leaves };
                guarded.set_pending_events(if announced { vec![event] } else { vec![] });
                let apart = (1..4).map(|host| (SliceId(5), HostId(host))).collect();
                inputs.push(Input::OverridesChanged(OperatorOverrides {
                    anti_affinity: apart,
                    ..OperatorOverrides::default()
                }));
            }
            let orders = guarded.handle(now, &inputs);
            proxies.apply(&orders);
            inputs = vec![Input::TimerFired(TimerId(1))];
            for order in &orders {
                if let Order::RequestAcknowledgement { round, .. } = order {
                    let applied =
                        |n| Input::RoundAcknowledged { proxy: ProxyId(n), round: *round, latency: 0.1 };
                    inputs.extend((0..4).map(applied));
                }
            }
        }
        let alone = proxies.tables[&SliceId(5)].keys().eq([&HostId(0)]);
        assert_eq!(alone, !announced, "{:?}", proxies.tables[&SliceId(5)]);
        assert_eq!(guarded.counts.refused > 0, announced);
    }
}

#[test]
fn a_slice_that_is_assigned_again_has_its_demand_at_once() {
    let mut guarded = GuardedDirector::new(settings(), 1, Mode::On);
    let listed = (0..4).map(|host| listing(host, HostState::Ready, None)).collect();
    let mut first =
        vec![Input::HostListUpdate { scope: ListScope::CachedSnapshot, version: 1, entries: listed }];
    let stored = |slice: u16| {
        let slice = SliceId(slice);
        [Input::SliceAssigned(slice), Input::StoredWeight { slice, host: HostId(0), weight: 1.0 }]
    };
    first.extend((0..4).flat_map(stored));
    guarded.handle(0.0, &first);
    let demand = |slice| Input::SliceDemand {
        slice: SliceId(slice),
        route: RouteId(0),
        requests: 9,
        dropped: 0,
        window: 1.0,
    };
    guarded.handle(1.0, &(0..4).map(demand).collect::<Vec<_>>());
    // The slice is changed in the store and assigned again well before the next estimate of demand.
    guarded.handle(1.3, &stored(2));
    assert_eq!(guarded.guard().loads().tables()[&SliceId(2)].demand, [9.0, 0.0]);
}
