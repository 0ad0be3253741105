//! Each test drives a book through a few calls; the last one through a thousand seeds of them, with a crash at every
//! record.

use super::*;
use crate::pool::PoolHost;
use coppersail_operator_config::KnownRoute;
use test_case::test_case;

fn known() -> Known {
    let routes = vec![KnownRoute { name: "r".into(), repeatable: true }];
    Known { zones: vec!["z".into()], routes, slices: 4, admits: true }
}

fn pool(hosts: usize) -> Pool {
    let host = |k| (format!("h{k}"), PoolHost { ready: true, warm: true, carries: 10.0 });
    Pool { hosts: (0..hosts).map(host).collect(), calls: 0.0 }
}

fn edits(fields: &[(&str, &str)]) -> Edits {
    let edit = |(path, value): &(&str, &str)| {
        let field: Field = path.parse().unwrap();
        let value = field.value(value).unwrap();
        (field, value)
    };
    fields.iter().map(edit).collect()
}

fn wish(base: u64, who: &str, fields: &[(&str, &str)]) -> Submission {
    Submission {
        base: Version(base),
        who: who.into(),
        why: "test".into(),
        edits: edits(fields),
        ..Submission::default()
    }
}

const HEARD: Ready = Ready { baseline: true, heard: true, calm: false };

/// Takes a wish and brings it on trial.
fn tried(book: &mut Book, now: f64, wanted: Submission) -> Version {
    let (number, _) = book.submit(now, 0.0, wanted, &known(), &pool(4)).unwrap();
    book.written(0.0, number);
    book.tick(now, 0.0, &pool(4), &|_| HEARD);
    book.settled(now, 0.0, number);
    assert!(matches!(book.stage(number), Some(Stage::Trial | Stage::Kept(_))));
    number
}

fn kept(book: &mut Book, now: f64, wanted: Submission) -> Version {
    let number = tried(book, now, wanted);
    book.confirm(0.0, number, "op".into()).unwrap();
    number
}

fn asked() -> (String, String) {
    ("op".into(), "asked".into())
}

#[test]
fn a_change_is_given_only_when_the_history_holds_it() {
    let mut book = Book::default();
    let (number, _) =
        book.submit(0.0, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]), &known(), &pool(4)).unwrap();
    assert_eq!(book.tick(0.1, 0.0, &pool(4), &|_| HEARD), vec![], "not written yet");
    book.written(0.0, number);
    let acts = book.tick(0.2, 0.0, &pool(4), &|_| HEARD);
    assert!(matches!(acts.last(), Some(Act::Give { by, .. }) if *by == number));
    book.settled(0.3, 0.0, number);
    assert_eq!(book.stage(number), Some(&Stage::Trial));
    book.tick(60.4, 0.0, &pool(4), &|_| HEARD);
    assert_eq!(book.stage(number), Some(&Stage::Kept(Keep::Judged)));
}

#[test_case(true ; "in one order")]
#[test_case(false ; "in the other")]
fn of_two_conflicting_changes_the_later_is_refused_by_name(order: bool) {
    let mut book = Book::default();
    let (first, second) = if order { ("a", "b") } else { ("b", "a") };
    let number = kept(&mut book, 0.0, wish(0, first, &[("hosts.h0.weight", "2"), ("zones.z.weight", "2")]));
    let refusal =
        book.submit(1.0, 0.0, wish(0, second, &[("hosts.h0.weight", "3")]), &known(), &pool(4)).unwrap_err();
    let field = "hosts.h0.weight".parse().unwrap();
    assert_eq!(refusal, Refusal::Conflict { field, holder: number, who: first.into(), stage: "kept" });
    // On what it knows, or on another field, it may go.
    kept(&mut book, 1.0, wish(number.0, second, &[("hosts.h0.weight", "3")]));
    kept(&mut book, 2.0, wish(0, second, &[("hosts.h1.weight", "3")]));
    assert_eq!(book.document().len(), 3);
}

#[test]
fn what_is_on_trial_is_no_ground_to_build_on() {
    let mut book = Book::default();
    let number = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    let refused = book.submit(1.0, 0.0, wish(number.0, "b", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(refused, Err(Refusal::Conflict { stage: "on trial", .. })));
}

#[test]
fn an_undoing_does_not_bring_back_what_was_drained_meanwhile() {
    let mut book = Book::default();
    let weight = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2"), ("hosts.h1.weight", "2")]));
    kept(&mut book, 1.0, wish(weight.0, "b", &[("hosts.h0.drained", "true")]));
    let acts = book.harmful(2.0, 0.0, weight, ("found".into(), false), &pool(4));
    let given = acts.iter().find_map(|act| match act {
        Act::Give { document, .. } => Some(document.clone()),
        _ => None,
    });
    let drained = Document::from([("hosts.h0.drained".parse().unwrap(), Value::Flag(true))]);
    assert_eq!(given, Some(drained));
}

#[test]
fn an_undoing_leaves_what_others_set_since_and_names_it() {
    let mut book = Book::default();
    let first = kept(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2"), ("zones.z.weight", "3")]));
    kept(&mut book, 1.0, wish(first.0, "b", &[("hosts.h0.weight", "5")]));
    let acts = book.undo(2.0, 0.0, first, asked(), &pool(4)).unwrap();
    let weight = Document::from([("hosts.h0.weight".parse().unwrap(), Value::Number(5.0))]);
    assert_eq!(book.document(), &weight);
    let named = |act: &Act| matches!(act, Act::Say { text, .. } if text.contains("later changes stand: hosts.h0.weight (change 2)"));
    assert!(acts.iter().any(named), "{acts:?}");
}

#[test]
fn an_undoing_goes_back_to_what_lies_below_not_to_what_was() {
    let mut book = Book::default();
    let first = kept(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    let second = kept(&mut book, 1.0, wish(first.0, "b", &[("hosts.h0.weight", "5")]));
    book.undo(2.0, 0.0, first, asked(), &pool(4)).unwrap();
    book.undo(3.0, 0.0, second, asked(), &pool(4)).unwrap();
    assert!(book.document().is_empty(), "the value of a change that is undone must not come back");
    let stale = book.submit(4.0, 0.0, wish(second.0, "c", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(stale, Err(Refusal::Conflict { .. })), "its base does not know of the undoing");
}

#[test]
fn weights_of_hosts_that_left_are_dropped_by_an_undoing() {
    let mut book = Book::default();
    let first = kept(&mut book, 0.0, wish(0, "a", &[("hosts.h3.weight", "2")]));
    let second = kept(&mut book, 1.0, wish(first.0, "b", &[("hosts.h3.weight", "5")]));
    book.undo(2.0, 0.0, second, asked(), &pool(3)).unwrap();
    assert!(book.document().is_empty(), "h3 has left: {:?}", book.document());
}

#[test]
fn of_two_trials_only_the_harmful_one_is_undone() {
    let mut book = Book::default();
    let one = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    let two = tried(&mut book, 1.0, wish(0, "b", &[("hosts.h1.weight", "2")]));
    book.harmful(2.0, 0.0, one, ("found".into(), false), &pool(4));
    assert!(matches!(book.stage(one), Some(Stage::Undone(Why::Harm { .. }))));
    assert_eq!(book.stage(two), Some(&Stage::Trial));
}

#[test]
fn a_change_that_would_empty_the_pool_is_refused() {
    let mut book = Book::default();
    let all: Vec<(String, &str)> = (0..4).map(|k| (format!("hosts.h{k}.drained"), "true")).collect();
    let all: Vec<(&str, &str)> = all.iter().map(|(field, value)| (field.as_str(), *value)).collect();
    let submit = |book: &mut Book, fields: &[(&str, &str)]| {
        book.submit(0.0, 0.0, wish(0, "a", fields), &known(), &pool(4)).map(drop)
    };
    assert!(matches!(submit(&mut book, &all), Err(Refusal::Pool(_))));
    let apart: Vec<(String, &str)> = (0..4).map(|k| (format!("apart.2.h{k}"), "true")).collect();
    let apart: Vec<(&str, &str)> = apart.iter().map(|(field, value)| (field.as_str(), *value)).collect();
    assert!(matches!(submit(&mut book, &apart), Err(Refusal::Pool(what)) if what.contains("slice 2")));
    assert_eq!(submit(&mut book, &all[..3]), Ok(()));
}

#[test_case(29.0, true ; "that can")]
#[test_case(31.0, false ; "that cannot")]
fn a_drain_leaves_hosts_that_carry_what_comes(calls: f64, expected: bool) {
    let drain = wish(0, "a", &[("hosts.h0.drained", "true")]);
    let pool = Pool { calls, ..pool(4) };
    assert_eq!(Book::default().submit(0.0, 0.0, drain, &known(), &pool).is_ok(), expected);
}

#[test_case(Ready { baseline: true, heard: false, calm: false }, Why::Unjudged ; "sums that stop")]
fn a_trial_that_nobody_can_judge_is_undone_in_the_end(ready: Ready, why: Why) {
    let mut book = Book::default();
    let number = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    book.tick(119.0, 0.0, &pool(4), &|_| ready);
    assert_eq!(book.stage(number), Some(&Stage::Trial), "it waits as long again");
    book.tick(121.0, 0.0, &pool(4), &|_| ready);
    assert_eq!(book.stage(number), Some(&Stage::Undone(why)));
}

#[test]
fn orders_that_are_not_settled_in_time_go_back_whole() {
    let mut book = Book::default();
    let (number, _) =
        book.submit(0.0, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]), &known(), &pool(4)).unwrap();
    book.written(0.0, number);
    book.tick(0.0, 0.0, &pool(4), &|_| HEARD);
    let acts = book.tick(APPLY_MOST + 0.1, 0.0, &pool(4), &|_| HEARD);
    assert!(acts.iter().any(|act| matches!(act, Act::Give { document, .. } if document.is_empty())));
    assert_eq!(book.stage(number), Some(&Stage::Undone(Why::Unsettled)));
}

#[test]
fn a_history_that_fails_takes_nothing_new_but_undoes() {
    let mut book = Book::default();
    let first = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    let (second, _) =
        book.submit(1.0, 0.0, wish(0, "a", &[("hosts.h1.weight", "2")]), &known(), &pool(4)).unwrap();
    book.unwritten(0.0, Some(second), "disk full");
    assert!(matches!(book.stage(second), Some(Stage::Dropped(Why::Unwritten { .. }))));
    let third = book.submit(2.0, 0.0, wish(0, "a", &[("hosts.h2.weight", "2")]), &known(), &pool(4));
    assert!(matches!(third, Err(Refusal::History(_))));
    book.harmful(3.0, 0.0, first, ("found".into(), false), &pool(4));
    assert!(book.document().is_empty());
}

#[test]
fn a_wish_that_is_sent_twice_is_one() {
    let mut book = Book::default();
    let wanted = Submission { token: "t".into(), ..wish(0, "a", &[("hosts.h0.weight", "2")]) };
    let first = book.submit(0.0, 0.0, wanted.clone(), &known(), &pool(4)).unwrap().0;
    assert_eq!(book.submit(1.0, 0.0, wanted, &known(), &pool(4)).unwrap(), (first, vec![]));
}

#[test]
fn frozen_is_told_by_whom_and_thawed_goes_on() {
    let mut book = Book::default();
    book.freeze(0.0, "a".into(), "the holiday".into());
    let refused = book.submit(0.0, 0.0, wish(0, "b", &[("hosts.h0.weight", "2")]), &known(), &pool(4));
    assert_eq!(refused.unwrap_err().to_string(), "frozen by a: the holiday");
    book.thaw(0.0, "a".into());
    kept(&mut book, 1.0, wish(0, "b", &[("hosts.h0.weight", "2")]));
}

#[test]
fn a_draft_whose_base_went_stale_is_refused_when_it_is_staged() {
    let mut book = Book::default();
    let draft = Submission { draft: true, ..wish(0, "a", &[("hosts.h0.weight", "2")]) };
    let (draft, _) = book.submit(0.0, 0.0, draft, &known(), &pool(4)).unwrap();
    kept(&mut book, 1.0, wish(0, "b", &[("hosts.h0.weight", "3")]));
    let refused = book.stage_draft(2.0, 0.0, draft, &known(), &pool(4)).unwrap_err();
    assert!(matches!(refused, Refusal::Conflict { who, .. } if who == "b"));
}

#[test]
fn a_wall_clock_that_jumps_back_changes_nothing() {
    let mut book = Book::default();
    let number = tried(&mut book, 0.0, wish(0, "a", &[("hosts.h0.weight", "2")]));
    book.tick(59.0, -1e9, &pool(4), &|_| HEARD);
    assert_eq!(book.stage(number), Some(&Stage::Trial));
    book.tick(60.0, -2e9, &pool(4), &|_| HEARD);
    assert_eq!(book.stage(number), Some(&Stage::Kept(Keep::Judged)));
}

#[test]
fn ten_thousand_changes_are_remembered_as_ground() {
    let mut book = Book::default();
    let mut records = Vec::new();
    for k in 0..10_000_u64 {
        let weight = (1 + k % 90).to_string();
        let wanted =
            Submission { trial: Some(0.0), ..wish(book.head().0, "a", &[("hosts.h0.weight", &weight)]) };
        let (number, acts) = book.submit(k as f64, 0.0, wanted, &known(), &pool(4)).unwrap();
        let mut acts: Vec<Act> = acts.into_iter().chain(book.written(0.0, number)).collect();
        acts.extend(book.tick(k as f64, 0.0, &pool(4), &|_| HEARD));
        acts.extend(book.settled(k as f64, 0.0, number));
        records.extend(acts.into_iter().filter_map(|act| match act {
            Act::Write(record) => Some(record),
            _ => None,
        }));
    }
    assert_eq!((book.changes().count(), book.document().len()), (ENDED_MOST, 1));
    assert!(matches!(book.undo(0.0, 0.0, Version(5), asked(), &pool(4)), Err(Refusal::NoSuch(_))));
    assert_eq!(Book::recover(records).unwrap().told(), book.told());
}

/// What should be in force, from the list of all changes alone: of each field the newest of those that stand.
fn model(book: &Book) -> Document {
    let mut fields: BTreeMap<Field, Option<Value>> = BTreeMap::new();
    for change in book.changes.values().filter(|change| change.stage.in_force()) {
        for (field, value) in &change.submission.edits {
            // An undoing sets nothing itself; here no host leaves.
            if change.undoes.is_none() {
                fields.insert(field.clone(), *value);
            }
        }
    }
    fields.into_iter().filter_map(|(field, value)| Some((field, value?))).collect()
}

/// One day of calls, by seed. Gives the records written.
fn day(book: &mut Book, seed: u64, look: &mut dyn FnMut(&Book, &[Record])) {
    let (mut chance, mut now, mut records) = (fastrand::Rng::with_seed(seed), 0.0, Vec::new());
    let fields =
        ["hosts.h0.weight", "hosts.h1.weight", "hosts.h2.drained", "routes.r.ceiling", "zones.z.weight"];
    for _ in 0..60 {
        now += chance.f64() * 20.0;
        let number = Version(1 + chance.u64(0..12));
        let acts = match chance.u8(0..10) {
            0..=3 => {
                let many = chance.usize(1..3);
                let value = |field: &str, chance: &mut fastrand::Rng| match field {
                    "hosts.h2.drained" => ["true", "null"][chance.usize(0..2)],
                    _ => ["0.5", "0.7", "1", "null"][chance.usize(0..4)],
                };
                let mut picked = Vec::new();
                for _ in 0..many {
                    let field = fields[chance.usize(0..fields.len())];
                    picked.push((field, value(field, &mut chance)));
                }
                let base = book.head().0.saturating_sub(chance.u64(0..3));
                let draft = chance.u8(0..6) == 0;
                let wanted = Submission { draft, ..wish(base, "a", &picked) };
                book.submit(now, 0.0, wanted, &known(), &pool(4)).map_or(vec![], |(number, acts)| {
                    let written = if chance.u8(0..4) > 0 { book.written(0.0, number) } else { vec![] };
                    acts.into_iter().chain(written).collect()
                })
            }
            4 => book.stage_draft(now, 0.0, number, &known(), &pool(4)).unwrap_or_default(),
            5 => book.undo(now, 0.0, number, asked(), &pool(4)).unwrap_or_default(),
            6 => book.harmful(now, 0.0, number, ("found".into(), chance.bool()), &pool(4)),
            7 => book.confirm(0.0, number, "op".into()).unwrap_or_default(),
            _ => {
                let (heard, calm) = (chance.bool(), chance.bool());
                let mut acts = book.tick(now, 0.0, &pool(4), &|_| Ready { baseline: true, heard, calm });
                let applied: Vec<Version> = book.clocks.keys().copied().collect();
                if chance.u8(0..4) > 0 {
                    acts.extend(applied.into_iter().flat_map(|number| book.settled(now, 0.0, number)));
                }
                acts
            }
        };
        records.extend(acts.into_iter().filter_map(|act| match act {
            Act::Write(record) => Some(record),
            _ => None,
        }));
        look(book, &records);
    }
}

/// On trial, and then set aside for harm that a trouble of the whole fleet might have been.
fn set_aside(book: &mut Book, fields: &[(&str, &str)]) -> Version {
    let number = tried(book, 0.0, wish(0, "a", fields));
    let acts = book.harmful(5.0, 0.0, number, ("found".into(), true), &pool(4));
    assert!(acts.contains(&Act::SetAside(number)) && book.document().is_empty());
    assert!(acts.iter().any(|act| matches!(act, Act::Give { document, .. } if document.is_empty())));
    number
}

const CALM: Ready = Ready { baseline: true, heard: true, calm: true };

#[test]
fn what_is_set_aside_is_tried_once_more_when_all_is_calm_and_then_kept_or_undone() {
    for harm_again in [true, false] {
        let mut book = Book::default();
        let number = set_aside(&mut book, &[("hosts.h0.weight", "2")]);
        assert_eq!(book.tick(6.0, 0.0, &pool(4), &|_| CALM), vec![], "its taking back is not settled");
        book.settled(7.0, 0.0, number);
        assert_eq!(book.tick(8.0, 0.0, &pool(4), &|_| HEARD), vec![], "not calm");
        let acts = book.tick(9.0, 0.0, &pool(4), &|_| CALM);
        assert!(acts.contains(&Act::Resume(number)) && book.document().len() == 1);
        book.settled(10.0, 0.0, number);
        if harm_again {
            book.harmful(12.0, 0.0, number, ("found".into(), true), &pool(4));
            assert!(
                matches!(book.stage(number), Some(Stage::Undone(Why::Harm { found })) if found.contains("second"))
            );
            assert!(book.document().is_empty());
        } else {
            book.tick(71.0, 0.0, &pool(4), &|_| HEARD);
            assert_eq!(book.stage(number), Some(&Stage::Kept(Keep::Judged)));
        }
    }
}

#[test]
fn what_is_set_aside_holds_its_fields_and_lets_no_other_in_between_its_orders() {
    let mut book = Book::default();
    let number = set_aside(&mut book, &[("hosts.h0.weight", "2")]);
    let refused = book.submit(6.0, 0.0, wish(number.0, "b", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(refused, Err(Refusal::Conflict { stage: "set aside", .. })));
    let wanted = wish(number.0, "b", &[("hosts.h1.drained", "true")]);
    let (other, _) = book.submit(6.0, 0.0, wanted, &known(), &pool(4)).unwrap();
    book.written(0.0, other);
    assert_eq!(book.tick(6.5, 0.0, &pool(4), &|_| HEARD), vec![]);
    book.settled(7.0, 0.0, number);
    book.tick(7.5, 0.0, &pool(4), &|_| CALM);
    assert_eq!(book.stage(number), Some(&Stage::Applied), "one at a time");
    assert_eq!(book.stage(other), Some(&Stage::Staged));
}

#[test]
fn a_drain_that_would_leave_too_few_by_now_is_not_tried_a_second_time() {
    let mut book = Book::default();
    let number = set_aside(&mut book, &[("hosts.h0.drained", "true"), ("hosts.h1.drained", "true")]);
    book.settled(7.0, 0.0, number);
    // The other hosts have gone meanwhile.
    let mut left = pool(4);
    left.hosts.retain(|name, _| name == "h0" || name == "h1");
    book.tick(9.0, 0.0, &left, &|_| CALM);
    assert!(matches!(book.stage(number), Some(Stage::Undone(Why::Stale { .. }))));
    assert!(book.document().is_empty());
}

#[test_case(false, 306.0, Why::NeverCalm ; "a fleet that never becomes calm")]
#[test_case(true, 306.0, Why::NeverCalm ; "frozen until it is too late")]
fn what_is_set_aside_is_given_up_in_the_end(frozen: bool, at: f64, why: Why) {
    let mut book = Book::default();
    let number = set_aside(&mut book, &[("hosts.h0.weight", "2")]);
    book.settled(7.0, 0.0, number);
    if frozen {
        book.freeze(0.0, "op".into(), "until Monday".into());
    }
    let ready = if frozen { CALM } else { HEARD };
    assert_eq!(book.tick(300.0, 0.0, &pool(4), &|_| ready), vec![]);
    book.tick(at, 0.0, &pool(4), &|_| ready);
    assert_eq!(book.stage(number), Some(&Stage::Undone(why)));
    assert!(book.idle() && book.document().is_empty());
}

#[test]
fn an_operator_may_end_what_is_set_aside() {
    let mut book = Book::default();
    let number = set_aside(&mut book, &[("hosts.h0.weight", "2")]);
    let acts = book.undo(6.0, 0.0, number, asked(), &pool(4)).unwrap();
    assert!(acts.contains(&Act::Unwatch(number)) && !acts.iter().any(|act| matches!(act, Act::Give { .. })));
    assert!(matches!(book.stage(number), Some(Stage::Undone(Why::Asked { .. }))));
}

#[test]
fn a_thousand_seeds_with_a_crash_at_every_record() {
    for seed in 0..1000 {
        let mut records = Vec::new();
        day(&mut Book::default(), seed, &mut |book, so_far| {
            assert_eq!(book.document(), &model(book), "seed {seed}");
            assert_eq!(book.document(), &book.stacks.document(), "seed {seed}");
            assert_eq!(Book::recover(so_far.to_vec()).unwrap().told(), book.told(), "seed {seed}");
            records = so_far.to_vec();
        });
        for cut in 0..=records.len() {
            let mut book =
                Book::recover(records[..cut].to_vec()).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
            let accepted = |record: &&Record| matches!(record, Record::Accepted { .. } | Record::Undo { .. });
            let held = records[..cut].iter().filter(accepted).count();
            assert_eq!(book.changes.len(), held, "seed {seed}, cut {cut}: none lost, none twice");
            let again = book.resume(0.0, 0.0, &pool(4));
            let live = |change: &&Change| {
                matches!(change.stage, Stage::Trial | Stage::Checked | Stage::Aside { .. })
            };
            assert_eq!(book.changes.values().filter(live).count(), 0, "seed {seed}, cut {cut}");
            assert_eq!(book.document(), &model(&book), "seed {seed}, cut {cut}");
            // A crash right after this start finds the same again.
            let more = again.into_iter().filter_map(|act| match act {
                Act::Write(record) => Some(record),
                _ => None,
            });
            let twice = Book::recover(records[..cut].iter().cloned().chain(more)).unwrap();
            assert_eq!(twice.told(), book.told(), "seed {seed}, cut {cut}");
        }
    }
}
