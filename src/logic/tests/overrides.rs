//! Tests of operators' overrides.

use super::*;
use test_case::test_case;

fn apply_overrides(tables: &mut Tables, overrides: OperatorOverrides) {
    tables.handle(1.0, &params(), Message::Input(Input::OverridesChanged(overrides)), &mut Outbox::default());
    tables.tick(1.0, &params(), &mut Outbox::default());
}

#[test_case(&[0], [0.0, 6.0, 6.0] ; "it keeps no slice, and others own them at once")]
#[test_case(&[0, 1, 2], [4.0, 4.0, 4.0] ; "if all are drained, hosts must still serve")]
fn drained_host_gives_up_its_slices(hosts: &[usize], owned: [f64; 3]) {
    let mut tables = tables(&[4, 4, 4]);
    let drained = hosts.iter().map(|host| id(*host)).collect();
    apply_overrides(
        &mut tables,
        OperatorOverrides { drained_hosts: drained, ..OperatorOverrides::default() },
    );
    assert_eq!([0, 1, 2].map(|host| held(&tables, host)), owned);
    let named = |slice: &Slice| slice.weights.keys().any(|host| hosts == [0] && *host == id(0));
    assert!(!tables.slices.values().any(named), "it is no standby either");
    apply_overrides(&mut tables, OperatorOverrides::default());
    assert!(tables.is_open(id(0)), "open again when the override is lifted");
}

#[test]
fn host_that_is_gone_is_not_open_when_its_drain_is_lifted() {
    let mut tables = tables(&[4, 4, 4]);
    apply_overrides(
        &mut tables,
        OperatorOverrides { drained_hosts: [id(0)].into(), ..OperatorOverrides::default() },
    );
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    apply_overrides(&mut tables, OperatorOverrides::default());
    assert_eq!((held(&tables, 0), tables.is_open(id(0))), (0.0, false));
}

#[test_case(0.5, 1, 2.0 ; "half of the weight")]
#[test_case(0.1, 1, 1.0 ; "a tenth of the weight")]
fn lowered_weight_moves_slices_at_once(weight: f64, host: usize, max_slices: f64) {
    let mut tables = tables(&[4, 4, 4]);
    apply_overrides(
        &mut tables,
        OperatorOverrides {
            host_weight_factors: [(id(host), weight)].into(),
            ..OperatorOverrides::default()
        },
    );
    assert!(held(&tables, host) <= max_slices, "{}", held(&tables, host));
}

#[test]
fn raised_zone_weight_attracts_slices() {
    let mut tables = tables(&[4, 4, 4, 4]);
    apply_overrides(
        &mut tables,
        OperatorOverrides { zone_weight_factors: vec![1.0, 3.0], ..OperatorOverrides::default() },
    );
    for at in 2..40 {
        tables.tick(at as f64, &params(), &mut Outbox::default());
    }
    assert!(held(&tables, 1) + held(&tables, 3) >= 10.0, "until the gap per unit of weight is under two");
}

#[test]
fn anti_affinity_holds_while_another_host_can_serve() {
    let mut tables = tables(&[2, 2, 2]);
    let excluded = |hosts: &[usize]| hosts.iter().map(|host| (SliceId(0), id(*host))).collect();
    apply_overrides(
        &mut tables,
        OperatorOverrides { anti_affinity: excluded(&[0, 1]), ..OperatorOverrides::default() },
    );
    let slice = &tables.slices[&SliceId(0)];
    assert_eq!((slice.owner, slice.standby), (Some(id(2)), None), "neither of them is its standby");
    apply_overrides(
        &mut tables,
        OperatorOverrides { anti_affinity: excluded(&[0, 1, 2]), ..OperatorOverrides::default() },
    );
    assert!(tables.slices[&SliceId(0)].owner.is_some());
}

#[test_case(true, 2.0 ; "to its original owner, which is open")]
#[test_case(false, 0.0 ; "to another host, as its original owner is draining")]
fn slice_returns_when_an_override_is_lifted(open: bool, returned: f64) {
    let mut tables = tables(&[2, 2, 2]);
    let anti_affinity = [(SliceId(0), id(0)), (SliceId(0), id(1))].into();
    apply_overrides(&mut tables, OperatorOverrides { anti_affinity, ..OperatorOverrides::default() });
    assert_eq!(tables.slices[&SliceId(0)].owner, Some(id(2)));
    tables.views.get_mut(&id(0)).unwrap().ready = open;
    apply_overrides(&mut tables, OperatorOverrides::default());
    assert_eq!((tables.slices[&SliceId(0)].owner == Some(id(0)), held(&tables, 0) >= returned), (open, true));
    assert!(open || held(&tables, 0) == 0.0, "a draining host gets no slices back");
    assert_eq!(
        tables.slices[&SliceId(0)].original_owner,
        None,
        "in either case no override applies to the owner any more"
    );
}
