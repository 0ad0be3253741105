//! What operators set.

use super::*;
use test_case::test_case;

fn wished(tables: &mut Tables, wishes: Wishes) {
    tables.handle(1.0, &params(), Message::Input(Input::Wishes(wishes)), &mut Outbox::default());
    tables.tick(1.0, &params(), &mut Outbox::default());
}

#[test_case(&[0], [0.0, 6.0, 6.0] ; "it keeps no slice, others take them at once")]
#[test_case(&[0, 1, 2], [4.0, 4.0, 4.0] ; "with all drained somebody must serve")]
fn drained_by_hand(hosts: &[usize], owned: [f64; 3]) {
    let mut tables = tables(&[4, 4, 4]);
    let drained = hosts.iter().map(|host| id(*host)).collect();
    wished(&mut tables, Wishes { drained, ..Wishes::default() });
    assert_eq!([0, 1, 2].map(|host| held(&tables, host)), owned);
    let named = |slice: &Slice| slice.weights.keys().any(|host| hosts == [0] && *host == id(0));
    assert!(!tables.slices.values().any(named), "nor stands by for one");
    wished(&mut tables, Wishes::default());
    assert!(tables.is_open(id(0)), "open again when the wish is taken back");
}

#[test]
fn one_drained_by_hand_that_is_gone_stays_out_when_the_wish_is_taken_back() {
    let mut tables = tables(&[4, 4, 4]);
    wished(&mut tables, Wishes { drained: [id(0)].into(), ..Wishes::default() });
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    wished(&mut tables, Wishes::default());
    assert_eq!((held(&tables, 0), tables.is_open(id(0))), (0.0, false));
}

#[test_case(0.5, 1, 2.0 ; "half of it")]
#[test_case(0.1, 1, 1.0 ; "a trickle")]
fn a_weight_set_by_hand_shows_at_once(weight: f64, host: usize, most: f64) {
    let mut tables = tables(&[4, 4, 4]);
    wished(&mut tables, Wishes { hosts: [(id(host), weight)].into(), ..Wishes::default() });
    assert!(held(&tables, host) <= most, "{}", held(&tables, host));
}

#[test]
fn a_zone_made_heavier_by_hand_draws_slices() {
    let mut tables = tables(&[4, 4, 4, 4]);
    wished(&mut tables, Wishes { zones: vec![1.0, 3.0], ..Wishes::default() });
    (2..40).for_each(|at| tables.tick(at as f64, &params(), &mut Outbox::default()));
    assert!(held(&tables, 1) + held(&tables, 3) >= 10.0, "until the gap per unit of weight is under two");
}

#[test]
fn a_slice_is_kept_away_from_hosts_as_long_as_there_are_others() {
    let mut tables = tables(&[2, 2, 2]);
    let apart = |hosts: &[usize]| hosts.iter().map(|host| (SliceId(0), id(*host))).collect();
    wished(&mut tables, Wishes { apart: apart(&[0, 1]), ..Wishes::default() });
    let slice = &tables.slices[&SliceId(0)];
    assert_eq!((slice.owner, slice.standby), (Some(id(2)), None), "nor does one of them stand by");
    wished(&mut tables, Wishes { apart: apart(&[0, 1, 2]), ..Wishes::default() });
    assert!(tables.slices[&SliceId(0)].owner.is_some());
}

#[test_case(true, 2.0 ; "home, when home is open")]
#[test_case(false, 0.0 ; "to any host but home, when home drains meanwhile")]
fn what_was_moved_by_hand_goes_home_when_the_wish_is_taken_back(open: bool, at_home: f64) {
    let mut tables = tables(&[2, 2, 2]);
    let apart = [(SliceId(0), id(0)), (SliceId(0), id(1))].into();
    wished(&mut tables, Wishes { apart, ..Wishes::default() });
    assert_eq!(tables.slices[&SliceId(0)].owner, Some(id(2)));
    tables.views.get_mut(&id(0)).unwrap().ready = open;
    wished(&mut tables, Wishes::default());
    assert_eq!((tables.slices[&SliceId(0)].owner == Some(id(0)), held(&tables, 0) >= at_home), (open, true));
    assert!(open || held(&tables, 0) == 0.0, "one that drains stays out");
    assert_eq!(tables.slices[&SliceId(0)].original_owner, None, "either way it is at home where it is");
}
