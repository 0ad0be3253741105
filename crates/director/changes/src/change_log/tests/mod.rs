//! Each test drives a change log through a few calls; those of `recovery` through random calls, by seed.

mod recovery;
mod set_aside;
mod submission;
mod trial;
mod undo;

use crate::change::{Submission, Version};
use crate::change_log::ChangeLog;
use crate::effect::{AnalysisState, ChangeEffect};
use crate::host_pool::{HostPool, PoolHost};
use crate::stage::{EndReason, Keep, Stage};
use coppersail_operator_config::{Edits, Field, RouteName, SettingsNames};

fn known() -> SettingsNames {
    let routes = vec![RouteName { name: "r".into(), idempotent: true }];
    SettingsNames { zones: vec!["z".into()], routes, slices: 4, has_admission_control: true }
}

fn pool(hosts: usize) -> HostPool {
    let host = |k| (format!("h{k}"), PoolHost { ready: true, warm: true, capacity_per_s: 10.0 });
    HostPool { hosts: (0..hosts).map(host).collect(), calls: 0.0 }
}

fn edits(fields: &[(&str, &str)]) -> Edits {
    let edit = |(path, value): &(&str, &str)| {
        let field: Field = path.parse().unwrap();
        let value = field.parse_value(value).unwrap();
        (field, value)
    };
    fields.iter().map(edit).collect()
}

fn submission(base: u64, who: &str, fields: &[(&str, &str)]) -> Submission {
    Submission {
        base: Version(base),
        who: who.into(),
        why: "test".into(),
        edits: edits(fields),
        ..Submission::default()
    }
}

const REPORTS_RECEIVED: AnalysisState =
    AnalysisState { has_baseline: true, has_reports: true, has_recovered: false };

/// Submits a change and starts its trial.
fn on_trial(log: &mut ChangeLog, now: f64, submitted: Submission) -> Version {
    let (number, _) = log.submit(now, 0.0, submitted, &known(), &pool(4)).unwrap();
    log.record_written(0.0, number);
    log.tick(now, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
    log.document_applied(now, 0.0, number);
    assert!(matches!(log.stage(number), Some(Stage::Trial | Stage::Kept(_))));
    number
}

/// Submits a change, and confirms it as an operator.
fn kept_change(log: &mut ChangeLog, now: f64, submitted: Submission) -> Version {
    let number = on_trial(log, now, submitted);
    log.confirm(0.0, number, "op".into()).unwrap();
    number
}

/// Who undoes a change, and why.
fn operator() -> (String, String) {
    ("op".into(), "asked".into())
}
