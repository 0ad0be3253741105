//! Tests of the module `bounded_hashing`.

use super::*;

#[test]
fn a_host_gets_more_slices_than_its_bound() {
    let slices: Vec<SliceId> = (0..40).map(SliceId).collect();
    let ready = BTreeSet::from([HostId(0), HostId(1), HostId(2), HostId(3)]);
    let tables = tables(slices.iter(), &ready);
    assert_eq!(tables.len(), 40);
    for host in &ready {
        let owned = tables.values().filter(|table| table.get(host) == Some(&1.0)).count();
        assert!(owned <= 13, "{host:?} has {owned} of 40 slices, a quarter more than 10 at most");
    }
}

fn primary(slice: SliceId, ready: &BTreeSet<HostId>) -> HostId {
    let tables = tables([slice].iter(), ready);
    let found = tables[&slice].iter().find(|(_, weight)| **weight == 1.0);
    *found.unwrap().0
}

/// Alone a slice is not subject to the bound, so that only the hash decides.
#[test]
fn a_slice_moves_as_another_host_than_its_own_leaves() {
    let all: BTreeSet<HostId> = (0..20).map(HostId).collect();
    for slice in (0..10).map(SliceId) {
        let own = primary(slice, &all);
        for left in &all {
            let mut fewer = all.clone();
            fewer.remove(left);
            assert_eq!(primary(slice, &fewer) == own, *left != own, "{slice:?} without {left:?}");
        }
    }
}
