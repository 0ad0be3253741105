//! Tests of the module `fleet`.
use super::*;
use coppersail_bench_codec::Reader;
use test_case::test_case;

const CONFIGURE: &str = "CONFIGURE who=1 init-seed=2 discovery=pushed kinds=k zones=a classes.count=1 \
        classes.0.name=r classes.0.aim-ns=1000000000 specifics.slices=2 limits.may-probe=true";
const LIST: &str = "MEMBERS who=1 scope=2 rev=1 members-list=1\n\
        ITEM sku=k host=h:1 w=1 block=0 rack-zone=a status=3";

fn batch(lines: &[&str], fleet: &mut Fleet) -> (Vec<Order>, Vec<InvalidLine>) {
    let text = format!("MARK sim-time-ns=5000\n{}\nCOMMIT\n", lines.join("\n"));
    fleet.handle_batch(Reader::new(text.as_bytes()).next_batch().unwrap().unwrap().unwrap())
}

#[test_case("STOP who=2", "who" ; "never configured")]
#[test_case("HEAT who=1 covers-ns=9 grade=x bad=0 many=4 table=0", "grade" ; "an unknown class")]
#[test_case("MEMBERS who=1 scope=0 rev=2 members-list=1", "members-list" ; "entries missing")]
#[test_case("ITEM sku=k host=h:1 w=1 block=0 rack-zone=a status=3\nSTOP who=2", "(first word)" ; "a stray entry")]
fn an_event_that_cannot_be_used_is_reported_with_its_line_and_field(line: &str, field: &str) {
    let mut fleet = Fleet::default();
    batch(&[CONFIGURE], &mut fleet);
    let (_, errors) = batch(&[line], &mut fleet);
    assert_eq!((errors[0].line, errors[0].field.as_str()), (2, field));
}

#[test]
fn an_instance_without_events_that_sends_orders_is_noticed() {
    let mut fleet = Fleet::default();
    let other = CONFIGURE.replace("who=1", "who=2");
    batch(&[CONFIGURE, LIST, &other], &mut fleet);
    let (orders, errors) = batch(&["TENURE who=2 set=1 table=0"], &mut fleet);
    assert!(errors.is_empty());
    assert!(orders.iter().all(|order| !format!("{order:?}").contains("instance: 1")), "{orders:?}");
}

#[test]
fn a_restart_in_one_batch_that_keeps_old_state_is_noticed() {
    let mut fleet = Fleet::default();
    let first = batch(&[CONFIGURE, LIST], &mut fleet);
    let restarted = batch(&["STOP who=1", CONFIGURE, LIST], &mut fleet);
    assert!(restarted.1.is_empty());
    assert_eq!(first.0, restarted.0, "the same start gives the same orders");
}

#[test]
fn an_instance_that_influences_another_is_noticed() {
    let (mut alone, mut together) = (Fleet::default(), Fleet::default());
    let other = CONFIGURE.replace("who=1", "who=2").replace("init-seed=2", "init-seed=9");
    let more = LIST.replace("who=1", "who=2").replace("h:1", "h:7");
    let tenure = "TENURE who=1 set=1 table=0\nCURRENT_OWNER who=1 table=0 w=1 host=h:1";
    let mut by_itself = batch(&[CONFIGURE, LIST, tenure], &mut alone).0;
    let both = batch(&[CONFIGURE, LIST, &other, &more, tenure], &mut together).0;
    by_itself.retain(|order| both.contains(order));
    assert_eq!(
        by_itself,
        both.into_iter().filter(|o| format!("{o:?}").contains("instance: 1")).collect::<Vec<_>>()
    );
}
