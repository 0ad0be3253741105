//! Tests of the module `names`, and the names that other tests use.
use super::*;
use crate::input;
use coppersail_bench_codec::Event;

const ORIGIN_NS: u64 = 5_000_000_000;

/// Two zones, machine kinds and routes, one host `h:1` of number 0, and a clock that began at second 5.
pub(crate) fn names() -> Names {
    let line =
        "CONFIGURE who=3 init-seed=2 kinds=k,l zones=a,b classes.count=2 classes.0.name=r classes.1.name=s";
    let Event::Configure { boot, .. } = Event::parse(line, 1).unwrap() else { panic!() };
    let mut names = Names::new(&boot, Clock::starting_at(ORIGIN_NS));
    let item = "ITEM sku=l born-ns=4000000000 host=h:1 w=1.5 block=7 rack-zone=b status=3";
    input::listing(&Event::parse(item, 1).unwrap(), &mut names).unwrap();
    names
}

#[test]
fn a_name_that_is_not_known_is_rejected_with_its_field_and_value() {
    let names = names();
    let errors = [
        names.zone("x").unwrap_err(),
        names.route("x").unwrap_err(),
        names.machine_kind("x").unwrap_err(),
        names.known_host("x").unwrap_err(),
    ];
    let expected = [
        "field rack-zone: expected a zone of the settings, one of a, b",
        "field grade: expected a class of the settings, one of r, s",
        "field sku: expected a kind of the settings, one of k, l",
        "field host: expected a host that was listed",
    ];
    assert_eq!(errors.clone().map(|error| error.to_string()), expected);
    assert!(errors.iter().all(|error| error.found.as_deref() == Some("x")));
}
