//! How hosts are judged.

use super::*;
use test_case::test_case;

fn probes(outcomes: &[Outcome], answered_at: f64) -> Host {
    let mut host = Host::new(id(0), 0.0, true);
    host.last_answer_at = answered_at;
    outcomes.iter().for_each(|outcome| host.on_probe(10.0, &params(), *outcome, &mut Outbox::default()));
    host
}

#[test_case(&[Outcome::Unreachable], 0.0, false ; "one refusal may be chance")]
#[test_case(&[Outcome::Unreachable, Outcome::Broken], 9.9, true ; "two are not")]
#[test_case(&[Outcome::TimedOut; 4], 9.9, false ; "a full host times out but answers calls")]
#[test_case(&[Outcome::TimedOut; 3], 0.0, true ; "a silent one answers none")]
#[test_case(&[Outcome::Throttled, Outcome::Error, Outcome::Throttled], 0.0, false ; "an error shows life")]
fn suspicion(outcomes: &[Outcome], answered_at: f64, suspect: bool) {
    assert_eq!(probes(outcomes, answered_at).view.suspect, suspect);
}

#[test]
fn a_host_trusted_again_is_young() {
    let (fine, dead) = (Outcome::Answered, Outcome::Unreachable);
    let mut host = probes(&[dead, dead], 0.0);
    host.withdrawn_as_suspect = true;
    (0..2).for_each(|_| host.on_probe(10.0, &params(), fine, &mut Outbox::default()));
    assert_eq!((host.view.suspect, host.started_at), (false, Some(10.0)));
}

#[test_case(0.9, 0.2, true ; "slower than the fleet")]
#[test_case(0.9, 0.9, false ; "what slows all condemns none")]
#[test_case(0.2, 0.05, false ; "under comfort nobody is slow")]
fn easing(rt: f64, fleet: f64, eased: bool) {
    let mut host = Host::new(id(0), 0.0, true);
    host.response_times.add(BINS, rt, 10.0, 0.0);
    host.handle(
        1.0,
        &params(),
        Message::FleetMedians { response_time: fleet, utilisation: 0.0 },
        &mut Outbox::default(),
    );
    assert_eq!(host.view.derating < 1.0, eased);
}

#[test]
fn a_restart_listed_in_place_makes_a_host_young() {
    let mut host = Host::new(id(0), 0.0, true);
    let (born, zone, cell, kind) = (Some(50.0), ZoneId(0), CellId(0), KindId(0));
    let listing = Listing { host: id(0), state: HostState::Ready, born, weight: 1.0, zone, cell, kind };
    host.handle(52.0, &params(), Message::Listed { entry: listing, position: 1 }, &mut Outbox::default());
    assert!((host.view.slow_start - (0.2 + 0.8 * 0.2)).abs() < 1e-9);
}

#[test_case(Outcome::Answered, true ; "an answer proves it")]
#[test_case(Outcome::Error, false ; "an error may come from anybody")]
#[test_case(Outcome::Unreachable, false ; "nobody is there")]
fn a_stranger_proves_itself_first(outcome: Outcome, open: bool) {
    let mut host = Host::new(id(0), 0.0, false);
    host.on_probe(1.0, &params(), outcome, &mut Outbox::default());
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().verified = host.view.verified;
    assert_eq!(tables.is_open(id(0)), open);
}

#[test_case(true, 0, true ; "where gone is advice a host that answers stays")]
#[test_case(true, 4, false ; "not one that is suspected")]
#[test_case(false, 0, false ; "elsewhere gone binds")]
fn gone_may_be_advice(gone_is_advice: bool, misses: u32, stays: bool) {
    let mut host = Host { probe_failures: misses, has_answered: true, ..Host::new(id(0), 0.0, true) };
    (host.view.ready, host.view.suspect) = (true, misses >= 4);
    let params = Parameters { removal_is_advisory: gone_is_advice, ..params() };
    host.handle(1.0, &params, Message::Unlisted, &mut Outbox::default());
    assert_eq!(host.view.ready, stays);
    (0..2).for_each(|_| host.on_probe(2.0, &params, Outcome::Unreachable, &mut Outbox::default()));
    assert!(!host.view.ready || !host.serves_unlisted, "and goes when its probes fail");
}

#[test_case(4, true ; "few were out, and are taken to have restarted")]
#[test_case(5, false ; "past four in ten our own path failed")]
fn only_who_was_out_is_young_when_trusted_again(suspects: usize, young: bool) {
    let mut tables = tables(&[1; 10]);
    (0..suspects).for_each(|n| tables.views.get_mut(&id(n)).unwrap().suspect = true);
    let (mut host, mut outbox) = (probes(&[Outcome::Unreachable; 2], 0.0), Outbox::default());
    tables.update_withdrawals(11.0, &mut outbox);
    let told =
        std::iter::from_fn(|| outbox.take_next_mailbox()).filter(|(to, _)| *to == Recipient::Host(id(0)));
    let messages: Vec<Message> = told.flat_map(|(_, messages)| messages).collect();
    messages.into_iter().for_each(|message| host.handle(11.0, &params(), message, &mut Outbox::default()));
    (0..2).for_each(|_| host.on_probe(13.0, &params(), Outcome::Answered, &mut Outbox::default()));
    assert_eq!((host.view.suspect, host.started_at.is_some()), (false, young));
}
