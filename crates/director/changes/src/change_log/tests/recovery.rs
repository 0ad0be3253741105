//! Recovery from the records restores the same state, whichever record a crash follows.

use super::*;
use crate::change::Change;
use crate::change_log::transition::MAX_ENDED;
use crate::record::Record;
use crate::refusal::Refusal;
use coppersail_operator_config::{Document, Value};
use std::collections::BTreeMap;

/// The state that records have to restore.
#[derive(Debug, PartialEq)]
struct RecoveredState {
    newest: Version,
    document: Document,
    changes: Vec<Change>,
    frozen: Option<(String, String)>,
}

impl RecoveredState {
    fn of(log: &ChangeLog) -> Self {
        RecoveredState {
            newest: log.newest,
            document: log.histories.document(),
            changes: log.changes.values().cloned().collect(),
            frozen: log.frozen.clone(),
        }
    }
}

fn written_records(effects: Vec<ChangeEffect>) -> impl Iterator<Item = Record> {
    effects.into_iter().filter_map(|effect| match effect {
        ChangeEffect::Write(record) => Some(record),
        _ => None,
    })
}

#[test]
fn after_ten_thousand_changes_only_the_newest_are_remembered() {
    let mut log = ChangeLog::default();
    let mut records = Vec::new();
    for k in 0..10_000_u64 {
        let weight = (1 + k % 90).to_string();
        let submitted =
            Submission { trial: Some(0.0), ..submission(log.head().0, "a", &[("hosts.h0.weight", &weight)]) };
        let (number, effects) = log.submit(k as f64, 0.0, submitted, &known(), &pool(4)).unwrap();
        let mut effects: Vec<ChangeEffect> =
            effects.into_iter().chain(log.record_written(0.0, number)).collect();
        effects.extend(log.tick(k as f64, 0.0, &pool(4), &|_| REPORTS_RECEIVED));
        effects.extend(log.document_applied(k as f64, 0.0, number));
        records.extend(written_records(effects));
    }
    assert_eq!((log.changes().count(), log.document().len()), (MAX_ENDED, 1));
    assert!(matches!(log.undo(0.0, 0.0, Version(5), operator(), &pool(4)), Err(Refusal::UnknownChange(_))));
    assert_eq!(RecoveredState::of(&ChangeLog::recover(records).unwrap()), RecoveredState::of(&log));
}

/// The expected document, computed from the list of changes only: the value of each field in the newest
/// change in force.
fn expected_document(log: &ChangeLog) -> Document {
    let mut fields: BTreeMap<Field, Option<Value>> = BTreeMap::new();
    for change in log.changes.values().filter(|change| change.stage.in_force()) {
        for (field, value) in &change.submission.edits {
            // An undo sets no value itself, as no host leaves the pool in this test.
            if change.undoes.is_none() {
                fields.insert(field.clone(), *value);
            }
        }
    }
    fields.into_iter().filter_map(|(field, value)| Some((field, value?))).collect()
}

/// Makes sixty random calls, by seed; `inspect` gets the log and all its records after each call.
fn simulate(log: &mut ChangeLog, seed: u64, inspect: &mut dyn FnMut(&ChangeLog, &[Record])) {
    let (mut random, mut now, mut records) = (fastrand::Rng::with_seed(seed), 0.0, Vec::new());
    let fields =
        ["hosts.h0.weight", "hosts.h1.weight", "hosts.h2.drained", "routes.r.ceiling", "zones.z.weight"];
    for _ in 0..60 {
        now += random.f64() * 20.0;
        let number = Version(1 + random.u64(0..12));
        let effects = match random.u8(0..10) {
            0..=3 => {
                let count = random.usize(1..3);
                let value = |field: &str, random: &mut fastrand::Rng| match field {
                    "hosts.h2.drained" => ["true", "null"][random.usize(0..2)],
                    _ => ["0.5", "0.7", "1", "null"][random.usize(0..4)],
                };
                let mut edits = Vec::new();
                for _ in 0..count {
                    let field = fields[random.usize(0..fields.len())];
                    edits.push((field, value(field, &mut random)));
                }
                let base = log.head().0.saturating_sub(random.u64(0..3));
                let draft = random.u8(0..6) == 0;
                let submitted = Submission { draft, ..submission(base, "a", &edits) };
                log.submit(now, 0.0, submitted, &known(), &pool(4)).map_or(vec![], |(number, effects)| {
                    let written = if random.u8(0..4) > 0 { log.record_written(0.0, number) } else { vec![] };
                    effects.into_iter().chain(written).collect()
                })
            }
            4 => log.stage_draft(now, 0.0, number, &known(), &pool(4)).unwrap_or_default(),
            5 => log.undo(now, 0.0, number, operator(), &pool(4)).unwrap_or_default(),
            6 => log.report_harm(now, 0.0, number, ("found".into(), random.bool()), &pool(4)),
            7 => log.confirm(0.0, number, "op".into()).unwrap_or_default(),
            _ => {
                let (has_reports, has_recovered) = (random.bool(), random.bool());
                let mut effects = log.tick(now, 0.0, &pool(4), &|_| AnalysisState {
                    has_baseline: true,
                    has_reports,
                    has_recovered,
                });
                let applied: Vec<Version> = log.active.keys().copied().collect();
                if random.u8(0..4) > 0 {
                    effects.extend(
                        applied.into_iter().flat_map(|number| log.document_applied(now, 0.0, number)),
                    );
                }
                effects
            }
        };
        records.extend(written_records(effects));
        inspect(log, &records);
    }
}

#[test]
fn a_crash_after_any_record_recovers_the_same_state_for_a_thousand_seeds() {
    for seed in 0..1000 {
        let mut records = Vec::new();
        simulate(&mut ChangeLog::default(), seed, &mut |log, records_so_far| {
            assert_eq!(log.document(), &expected_document(log), "seed {seed}");
            assert_eq!(log.document(), &log.histories.document(), "seed {seed}");
            let recovered = ChangeLog::recover(records_so_far.to_vec()).unwrap();
            assert_eq!(RecoveredState::of(&recovered), RecoveredState::of(log), "seed {seed}");
            records = records_so_far.to_vec();
        });
        for crash_after in 0..=records.len() {
            assert_recovers(&records[..crash_after], &format!("seed {seed}, crash after {crash_after}"));
        }
    }
}

/// A start from these records loses and duplicates no change and leaves none on trial, and a second crash
/// immediately after it recovers the same state.
fn assert_recovers(records: &[Record], case: &str) {
    let mut log = ChangeLog::recover(records.to_vec()).unwrap_or_else(|error| panic!("{case}: {error}"));
    let adds_change = |record: &&Record| matches!(record, Record::Accepted { .. } | Record::Undo { .. });
    let accepted = records.iter().filter(adds_change).count();
    assert_eq!(log.changes.len(), accepted, "{case}: none lost, none duplicated");
    let effects = log.resume(0.0, 0.0, &pool(4));
    let is_unresolved =
        |change: &&Change| matches!(change.stage, Stage::Trial | Stage::Checked | Stage::Suspended { .. });
    assert_eq!(log.changes.values().filter(is_unresolved).count(), 0, "{case}");
    assert_eq!(log.document(), &expected_document(&log), "{case}");
    let all_records = records.iter().cloned().chain(written_records(effects));
    let second_recovery = ChangeLog::recover(all_records).unwrap();
    assert_eq!(RecoveredState::of(&second_recovery), RecoveredState::of(&log), "{case}");
}
