//! Tests of health checks, derating and slow start of a host.

use super::*;
use test_case::test_case;

/// A host that last answered a call at `answered_at`, after probes with these outcomes at 10 s.
fn probed_host(outcomes: &[Outcome], answered_at: f64) -> Host {
    let mut host = Host::new(id(0), 0.0, true);
    host.last_answer_at = answered_at;
    for outcome in outcomes {
        host.on_probe(10.0, &params(), *outcome, &mut Outbox::default());
    }
    host
}

#[test_case(&[Outcome::ConnectFailed], 0.0, false ; "one refused connection may be transient")]
#[test_case(&[Outcome::ConnectFailed, Outcome::ConnectionLost], 9.9, true ; "two failed connections")]
#[test_case(&[Outcome::TimedOut; 4], 9.9, false ; "an overloaded host times out but answers calls")]
#[test_case(&[Outcome::TimedOut; 3], 0.0, true ; "a failed host answers no calls")]
#[test_case(&[Outcome::Throttled, Outcome::ErrorResponse, Outcome::Throttled], 0.0, false ; "an error comes from a live process")]
fn host_is_suspected_only_if_it_has_failed(outcomes: &[Outcome], answered_at: f64, suspect: bool) {
    assert_eq!(probed_host(outcomes, answered_at).view.suspect, suspect);
}

#[test]
fn recovered_host_repeats_slow_start() {
    let (success, failure) = (Outcome::Succeeded, Outcome::ConnectFailed);
    let mut host = probed_host(&[failure, failure], 0.0);
    host.withdrawn_as_suspect = true;
    for _ in 0..2 {
        host.on_probe(10.0, &params(), success, &mut Outbox::default());
    }
    assert_eq!((host.view.suspect, host.started_at), (false, Some(10.0)));
}

#[test_case(0.9, 0.2, true ; "slower than the fleet")]
#[test_case(0.9, 0.9, false ; "as slow as all others")]
#[test_case(0.2, 0.05, false ; "faster than four tenths of the latency objective")]
fn host_slower_than_the_fleet_is_derated(response_time: f64, fleet: f64, is_derated: bool) {
    let mut host = Host::new(id(0), 0.0, true);
    host.response_times.add(BINS, response_time, 10.0, 0.0);
    host.handle(
        1.0,
        &params(),
        Message::FleetMedians { response_time: fleet, utilisation: 0.0 },
        &mut Outbox::default(),
    );
    assert_eq!(host.view.derating < 1.0, is_derated);
}

#[test]
fn restart_shown_by_the_list_begins_slow_start() {
    let mut host = Host::new(id(0), 0.0, true);
    let (started_at, zone, cell, machine_type) = (Some(50.0), ZoneId(0), CellId(0), MachineTypeId(0));
    let listing = HostListEntry {
        host: id(0),
        state: HostState::Ready,
        started_at,
        weight: 1.0,
        zone,
        cell,
        machine_type,
    };
    host.handle(52.0, &params(), Message::Listed { entry: listing, position: 1 }, &mut Outbox::default());
    assert!((host.view.slow_start - (0.2 + 0.8 * 0.2)).abs() < 1e-9);
}

#[test_case(Outcome::Succeeded, true ; "an answer verifies it")]
#[test_case(Outcome::ErrorResponse, false ; "an error may come from another service")]
#[test_case(Outcome::ConnectFailed, false ; "no process is listening")]
fn host_is_open_once_it_is_verified(outcome: Outcome, open: bool) {
    let mut host = Host::new(id(0), 0.0, false);
    host.on_probe(1.0, &params(), outcome, &mut Outbox::default());
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().verified = host.view.verified;
    assert_eq!(tables.is_open(id(0)), open);
}

#[test_case(true, 0, true ; "where removal is advisory a host that answers stays")]
#[test_case(true, 4, false ; "where removal is advisory a suspected host is gone")]
#[test_case(false, 0, false ; "elsewhere removal is binding")]
fn advisory_removal_keeps_a_host_that_answers(removal_is_advisory: bool, probe_failures: u32, stays: bool) {
    let mut host = Host { probe_failures, has_answered: true, ..Host::new(id(0), 0.0, true) };
    host.view.ready = true;
    host.view.suspect = probe_failures >= 4;
    let params = Parameters { removal_is_advisory, ..params() };
    host.handle(1.0, &params, Message::Unlisted, &mut Outbox::default());
    assert_eq!(host.view.ready, stays);
    for _ in 0..2 {
        host.on_probe(2.0, &params, Outcome::ConnectFailed, &mut Outbox::default());
    }
    assert!(!host.view.ready || !host.serves_unlisted, "it is gone once its health checks fail");
}

#[test_case(4, true ; "few are withdrawn, and assumed to have restarted")]
#[test_case(5, false ; "more than four in ten: the director's own network failed")]
fn only_a_host_that_was_withdrawn_repeats_slow_start(suspects: usize, in_slow_start: bool) {
    let mut tables = tables(&[1; 10]);
    for n in 0..suspects {
        tables.views.get_mut(&id(n)).unwrap().suspect = true;
    }
    let mut host = probed_host(&[Outcome::ConnectFailed; 2], 0.0);
    let mut outbox = Outbox::default();
    tables.update_withdrawals(11.0, &mut outbox);
    let sent =
        std::iter::from_fn(|| outbox.take_next_mailbox()).filter(|(to, _)| *to == Recipient::Host(id(0)));
    let messages: Vec<Message> = sent.flat_map(|(_, messages)| messages).collect();
    for message in messages {
        host.handle(11.0, &params(), message, &mut Outbox::default());
    }
    for _ in 0..2 {
        host.on_probe(13.0, &params(), Outcome::Succeeded, &mut Outbox::default());
    }
    assert_eq!((host.view.suspect, host.started_at.is_some()), (false, in_slow_start));
}
