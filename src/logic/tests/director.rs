//! Tests of the host list, ticks, and the release of hosts.

use super::*;
use test_case::test_case;

#[test_case(true, 1.1, vec![Order::WatchHostList(true)] ; "after a failure the list is watched again")]
#[test_case(false, 1.1, vec![] ; "a list that is watched is not fetched at once")]
#[test_case(false, 3.1, vec![Order::FetchHostList] ; "after a third of the allowed silence the list is fetched")]
fn host_list_is_watched_again_or_fetched(failed: bool, now: f64, expected: Vec<Order>) {
    let mut watch = DiscoveryWatch { watching: true, requested_at: Some(0.0) };
    let mut outbox = Outbox::default();
    if failed {
        let failure = Input::HostListUpdate { scope: ListScope::Failed, version: 0, entries: vec![] };
        watch.handle(0.5, &params(), Message::Input(failure), &mut outbox);
    }
    watch.handle(now, &params(), Message::Tick, &mut outbox);
    assert_eq!(outbox.orders, expected);
}

#[test]
fn ticks_continue_despite_rounding_of_the_time() {
    let mut director = Director::new(settings(), 7);
    director.next_tick_at = 8.200000000000001;
    let orders = director.handle(8.2, &[Input::TimerFired(TimerId(1))]);
    assert!(orders.iter().any(|order| matches!(order, Order::SetTimer { .. })));
}

#[test]
fn outdated_host_list_is_ignored() {
    let mut director = Director::new(settings(), 7);
    director.list_version = Some(5);
    let mut outbox = Outbox::default();
    director.update_list(ListScope::Snapshot, 4, &[], &mut outbox);
    assert!(outbox.take_next_mailbox().is_none());
}

fn listing(n: usize, state: HostState) -> HostListEntry {
    let (zone, cell, machine_type) = (ZoneId(0), CellId(0), MachineTypeId(0));
    HostListEntry { host: id(n), state, started_at: None, weight: 1.0, zone, cell, machine_type }
}

/// Each second a host is added and another removed; proxies and hosts answer at once.
#[test]
fn state_of_removed_hosts_is_released() {
    let mut director = Director::new(Settings { host_list_is_pushed: true, ..settings() }, 7);
    let first = (0..5).map(|n| listing(n, HostState::Ready)).collect();
    let (proxy, zone) = (ProxyId(0), ZoneId(0));
    let mut inputs = vec![
        Input::HostListUpdate { scope: ListScope::Snapshot, version: 0, entries: first },
        Input::ProxyJoined { proxy, zone, requests_per_s: 9.0, without_tables: false },
        Input::SliceAssigned(SliceId(0)),
        Input::StoredWeight { slice: SliceId(0), host: id(0), weight: 1.0 },
    ];
    let mut withdrawn = BTreeSet::new();
    let mut released = 0;
    for tick in 0..20_000 {
        let (n, now) = (5 + tick / 10, tick as f64 / 10.0);
        if tick % 10 == 0 {
            let entries = vec![listing(n, HostState::Ready), listing(n - 5, HostState::Removed)];
            inputs.push(Input::HostListUpdate { scope: ListScope::Delta, version: n as u64, entries });
        }
        for order in director.handle(now, &std::mem::take(&mut inputs)) {
            match order {
                Order::Probe(host) => {
                    let (outcome, duration, load) = (Outcome::Succeeded, 0.01, LoadReport::default());
                    inputs.push(Input::ProbeFinished { host, outcome, duration, load });
                }
                Order::RequestAcknowledgement { round, .. } => {
                    inputs.push(Input::RoundAcknowledged { proxy, round, latency: 0.1 })
                }
                Order::SetWithdrawn { host, withdrawn: is_withdrawn } => {
                    assert!(if is_withdrawn { withdrawn.insert(host) } else { withdrawn.remove(&host) })
                }
                Order::ReleaseHost(host) => {
                    assert!(
                        !withdrawn.contains(&host),
                        "the proxies would still withdraw a host that reuses its name"
                    );
                    released += 1;
                }
                _ => {}
            }
        }
    }
    let (tables, channel) = (&director.tables, &director.channel);
    let host_counts =
        [director.hosts.len(), tables.views.len(), tables.withdrawn.len(), tables.relative_loads.len()];
    let channel_counts =
        [channel.withdrawn.len(), channel.pending_withdrawals.len(), channel.expired.len(), withdrawn.len()];
    assert!(
        released > 1900 && host_counts.iter().chain(&channel_counts).all(|count| *count < 60),
        "{released} {host_counts:?} {channel_counts:?}"
    );
}

#[test_case(Some(HostState::Ready), false ; "listed again")]
#[test_case(Some(HostState::Draining), false ; "listed again as draining")]
#[test_case(None, true ; "not listed again")]
fn only_an_unlisted_host_is_released(listed_again: Option<HostState>, released: bool) {
    let mut director = Director::new(settings(), 7);
    let list = |version, entries| Input::HostListUpdate { scope: ListScope::Delta, version, entries };
    director.handle(0.0, &[list(1, vec![listing(3, HostState::Removed)])]);
    let entries = listed_again.into_iter().map(|state| listing(3, state)).collect();
    let mut orders = director.handle(5.0, &[list(2, entries)]);
    orders.extend((51..200).flat_map(|tick| director.handle(tick as f64 / 10.0, &[])));
    // The host may expire in the channel at the moment at which it is listed again.
    let mut outbox = Outbox::default();
    outbox.send(Recipient::Tables, Message::Expired(id(3)));
    director.deliver_messages(21.0, &mut outbox);
    assert_eq!(
        (orders.contains(&Order::ReleaseHost(id(3))), director.hosts.is_empty()),
        (released, released)
    );
}

/// A slice is assigned whose stored table still names a removed host. Proxies that joined since have not been told that
/// this host is withdrawn.
#[test_case(None, 14.0 ; "still draining")]
#[test_case(Some(3.0), 11.0 ; "removed, but not expired")]
#[test_case(Some(3.0), 14.0 ; "expired, and to be readmitted with other orders")]
#[test_case(Some(3.0), 30.0 ; "expired for long, and to be readmitted with other orders")]
fn removed_host_in_the_table_of_a_newly_assigned_slice_is_withdrawn(
    removed_at: Option<f64>,
    assigned_at: f64,
) {
    let mut director =
        Director::new(Settings { host_list_is_pushed: true, probes_allowed: false, ..settings() }, 7);
    let list = |scope, version, entries| Input::HostListUpdate { scope, version, entries };
    let stored = |slice, host| Input::StoredWeight { slice: SliceId(slice), host: id(host), weight: 1.0 };
    let joined = |proxy| {
        let (proxy, zone) = (ProxyId(proxy), ZoneId(0));
        Input::ProxyJoined { proxy, zone, requests_per_s: 9.0, without_tables: false }
    };
    let hosts = (0..5).map(|n| listing(n, HostState::Ready)).collect();
    let mut due = vec![
        (
            0.0,
            vec![
                list(ListScope::Snapshot, 0, hosts),
                joined(0),
                Input::SliceAssigned(SliceId(0)),
                stored(0, 0),
            ],
        ),
        (1.0, vec![list(ListScope::Delta, 1, vec![listing(0, HostState::Draining)])]),
        (assigned_at - 2.0, vec![joined(1)]),
        (assigned_at, vec![Input::SliceAssigned(SliceId(1)), stored(1, 0), stored(1, 1)]),
    ];
    due.extend(
        removed_at.map(|at| (at, vec![list(ListScope::Delta, 2, vec![listing(0, HostState::Removed)])])),
    );
    let mut inputs = Vec::new();
    let mut is_assigned = false;
    let mut withdrawn_at = None;
    for tick in 0..400 {
        let now = tick as f64 / 10.0;
        for (_, more) in due.extract_if(.., |(at, _)| *at <= now) {
            inputs.extend(more);
        }
        is_assigned |= inputs.contains(&Input::SliceAssigned(SliceId(1)));
        for order in director.handle(now, &std::mem::take(&mut inputs)) {
            match order {
                Order::RequestAcknowledgement { round, .. } => {
                    inputs.extend([0, 1].map(|proxy| Input::RoundAcknowledged {
                        proxy: ProxyId(proxy),
                        round,
                        latency: 0.1,
                    }))
                }
                Order::SetWithdrawn { host, withdrawn } if is_assigned && host == id(0) => {
                    assert!(
                        withdrawn || withdrawn_at.is_some(),
                        "readmitted at {now} while a table names it"
                    );
                    withdrawn_at = withdrawn_at.or(withdrawn.then_some(now));
                }
                _ => {}
            }
        }
    }
    // The tables wait for a fifth of a second after the assignment; two more ticks are allowed.
    assert!(withdrawn_at.is_some_and(|at| at <= assigned_at + 0.45), "{withdrawn_at:?}");
}
