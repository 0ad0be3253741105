//! Whose turn it is.
use super::*;
use assert_matches::assert_matches;

#[test]
fn every_centre_has_its_turn_and_only_whole_rounds_pause() {
    let known_peers = vec!["10.0.0.1:99".into(), "10.0.0.2:99".into()];
    let boot = ProcessSettings {
        ip: "10.0.9.9".into(),
        spare_ports: (75, 80),
        known_peers,
        ..ProcessSettings::default()
    };
    let mut round = Round::new(&boot);
    let first = round.centre().unwrap().clone();
    assert!(round.bad().is_zero());
    assert_ne!(round.centre(), Some(&first));
    assert!(!round.bad().is_zero());
    let centres = vec!["10.0.0.7:75".into(), "10.0.0.1:75".into()];
    assert_matches!(
        round.heed(
            &mut WatchRequest::default(),
            Update { control_plane_addresses: centres, ..Update::default() }
        ),
        Ok(_)
    );
    assert_eq!(round.centre(), Some(&first));
    assert_eq!(round.all().count(), 3);
}

#[test]
fn a_centre_without_a_majority_only_names_others_to_ask() {
    let known_peers = vec!["10.0.0.1:99".into(), "10.0.0.2:99".into()];
    let boot = ProcessSettings {
        ip: "10.0.9.9".into(),
        spare_ports: (75, 80),
        known_peers,
        ..ProcessSettings::default()
    };
    let mut round = Round::new(&boot);
    let mut follow = WatchRequest { feed_id: 4, sequence: 40, ..WatchRequest::default() };
    let centres = vec!["10.0.0.2:75".into()];
    let sound =
        Update { feed_id: 5, sequence: 50, control_plane_addresses: centres.clone(), ..Update::default() };
    assert_matches!(round.heed(&mut follow, sound.clone()), Ok(news) if news == sound);
    assert_eq!((follow.feed_id, follow.sequence, &round.known), (5, 50, &centres));
    let other = round.all().find(|one| Some(*one) != round.centre()).cloned();
    let alone = Update {
        feed_id: 3,
        sequence: 99,
        isolated: true,
        control_plane_addresses: vec!["10.0.0.7:75".into()],
        ..Update::default()
    };
    assert_matches!(round.heed(&mut follow, alone), Err(pause) if pause.is_zero());
    // It goes on from where it was, at the next one, and what it knew of centres stands.
    assert_eq!((follow.feed_id, follow.sequence, &round.known), (5, 50, &centres));
    assert_eq!(round.centre(), other.as_ref());
    assert!(round.all().count() == 3 && round.all().any(|one| one == "10.0.0.7:75"));
}

#[test]
fn a_silent_centre_is_left_early_and_waited_for_longer_where_all_are_slow() {
    let known_peers = vec!["10.0.0.1:99".into(), "10.0.0.2:99".into()];
    let boot = ProcessSettings {
        ip: "10.0.9.9".into(),
        spare_ports: (75, 80),
        known_peers,
        ..ProcessSettings::default()
    };
    let mut round = Round::new(&boot);
    let mut waits = Vec::new();
    for _ in 0..40 {
        waits.push(round.patience());
        round.bad();
    }
    assert_eq!((waits[0], waits[1]), (FIRST, FIRST));
    assert!(waits.is_sorted() && waits[2] > FIRST && *waits.last().unwrap() == WHOLE);
    round.good();
    assert_eq!(round.patience(), FIRST);
}
