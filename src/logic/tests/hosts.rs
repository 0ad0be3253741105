//! How hosts are judged.

use super::*;
use test_case::test_case;

fn probes(outcomes: &[Outcome], answered_at: f64) -> Host {
    let mut host = Host::new(id(0), 0.0, true);
    host.answered_at = answered_at;
    outcomes.iter().for_each(|outcome| host.probed(10.0, &figures(), *outcome, &mut Post::default()));
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
    host.out = true;
    (0..2).for_each(|_| host.probed(10.0, &figures(), fine, &mut Post::default()));
    assert_eq!((host.view.suspect, host.born), (false, Some(10.0)));
}

#[test_case(0.9, 0.2, true ; "slower than the fleet")]
#[test_case(0.9, 0.9, false ; "what slows all condemns none")]
#[test_case(0.2, 0.05, false ; "under comfort nobody is slow")]
fn easing(rt: f64, fleet: f64, eased: bool) {
    let mut host = Host::new(id(0), 0.0, true);
    host.times.add(BINS, rt, 10.0, 0.0);
    host.work(1.0, &figures(), Note::Fleet { rt: fleet, busy: 0.0 }, &mut Post::default());
    assert_eq!(host.view.ease < 1.0, eased);
}

#[test]
fn a_restart_listed_in_place_makes_a_host_young() {
    let mut host = Host::new(id(0), 0.0, true);
    let (born, zone, cell, kind) = (Some(50.0), ZoneId(0), CellId(0), KindId(0));
    let listing = Listing { host: id(0), state: HostState::Ready, born, weight: 1.0, zone, cell, kind };
    host.work(52.0, &figures(), Note::Listed(listing, 1), &mut Post::default());
    assert!((host.view.ramp - (0.2 + 0.8 * 0.2)).abs() < 1e-9);
}

#[test_case(Outcome::Answered, true ; "an answer proves it")]
#[test_case(Outcome::Error, false ; "an error may come from anybody")]
#[test_case(Outcome::Unreachable, false ; "nobody is there")]
fn a_stranger_proves_itself_first(outcome: Outcome, open: bool) {
    let mut host = Host::new(id(0), 0.0, false);
    host.probed(1.0, &figures(), outcome, &mut Post::default());
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().proven = host.view.proven;
    assert_eq!(tables.is_open(id(0)), open);
}

#[test_case(true, 0, true ; "where gone is advice a host that answers stays")]
#[test_case(true, 4, false ; "not one that is suspected")]
#[test_case(false, 0, false ; "elsewhere gone binds")]
fn gone_may_be_advice(gone_is_advice: bool, misses: u32, stays: bool) {
    let mut host = Host { misses, met: true, ..Host::new(id(0), 0.0, true) };
    (host.view.ready, host.view.suspect) = (true, misses >= 4);
    let figures = Figures { gone_is_advice, ..figures() };
    host.work(1.0, &figures, Note::Unlisted, &mut Post::default());
    assert_eq!(host.view.ready, stays);
    (0..2).for_each(|_| host.probed(2.0, &figures, Outcome::Unreachable, &mut Post::default()));
    assert!(!host.view.ready || !host.unlisted, "and goes when its probes fail");
}

#[test_case(4, true ; "few were out, and are taken to have restarted")]
#[test_case(5, false ; "past four in ten our own path failed")]
fn only_who_was_out_is_young_when_trusted_again(suspects: usize, young: bool) {
    let mut tables = tables(&[1; 10]);
    (0..suspects).for_each(|n| tables.views.get_mut(&id(n)).unwrap().suspect = true);
    let (mut host, mut post) = (probes(&[Outcome::Unreachable; 2], 0.0), Post::default());
    tables.suspects(11.0, &mut post);
    let told = std::iter::from_fn(|| post.collect()).filter(|(to, _)| *to == To::Host(id(0)));
    let notes: Vec<Note> = told.flat_map(|(_, notes)| notes).collect();
    notes.into_iter().for_each(|note| host.work(11.0, &figures(), note, &mut Post::default()));
    (0..2).for_each(|_| host.probed(13.0, &figures(), Outcome::Answered, &mut Post::default()));
    assert_eq!((host.view.suspect, host.born.is_some()), (false, young));
}
