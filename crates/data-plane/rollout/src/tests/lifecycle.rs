//! Phases, commands and errors of a rollout.
use super::{initial_state, BODY};
use crate::lifecycle::{AppliedAt, CommandError, Phase, RolloutCommand, RolloutState, SubmitError};
use crate::{RolloutPlan, Variant, VariantSelector, Verdict};
use assert_matches::assert_matches;

#[test]
fn a_concurrent_step_and_pause_end_paused_in_either_order() {
    let (plan, sound, bad) = (initial_state().plan(), Verdict::Healthy, Verdict::Pause("late".into()));
    let stepped = initial_state().tick(&plan, 10_000, AppliedAt(0), &sound).unwrap();
    assert_eq!((stepped.step, stepped.number), (1, 2));
    let paused = stepped.tick(&plan, 10_400, AppliedAt(10_000), &bad).unwrap();
    assert_eq!((paused.phase, paused.number), (Phase::Withdrawn, 3));
    let first = initial_state().tick(&plan, 10_000, AppliedAt(0), &bad).unwrap();
    assert_eq!(first.tick(&plan, 10_400, AppliedAt(10_000), &sound), None);
    assert_matches!(first.apply_command(400, RolloutCommand::Promote, ""), Err(_));
    // At an edge the state with the higher number is valid, in whichever order the states arrive.
    let mut selector = VariantSelector::default();
    selector.renew_lease(0);
    assert!(selector.apply(&paused) && !selector.apply(&stepped));
    assert!((0..200u32)
        .all(|n| selector.choose(1, "a", "r", &n.to_le_bytes()).unwrap().variant == Variant::Control));
}

#[test]
fn repeated_commands_change_nothing_and_ended_plans_stay_ended() {
    let paused = initial_state().apply_command(5, RolloutCommand::Pause, "by hand").unwrap().unwrap();
    assert_eq!(paused.apply_command(5, RolloutCommand::Pause, "by hand"), Ok(None));
    let resumed = paused.apply_command(5, RolloutCommand::Resume, "").unwrap().unwrap();
    assert_eq!((resumed.run, resumed.step, resumed.phase), (3, 0, Phase::Running));
    let ended = resumed.apply_command(5, RolloutCommand::End, "").unwrap().unwrap();
    assert_matches!(ended.apply_command(5, RolloutCommand::Resume, ""), Err(_));
    let mut selector = VariantSelector::default();
    selector.apply(&ended);
    assert!(!selector.apply(&resumed) && selector.is_empty());
    assert_eq!(RolloutState::submit("p", BODY, Some(&ended)).unwrap().number, 5);
    assert_matches!(RolloutState::submit("p", &BODY.replace("0.05", "0.06"), Some(&resumed)), Err(_));
    assert_eq!(RolloutState::submit("p", BODY, Some(&resumed)).unwrap(), resumed);
    // A rollout is paused once its maximum duration is over.
    let plan = initial_state().plan();
    let over = resumed.tick(&plan, 3_600_000, AppliedAt(0), &Verdict::Wait(String::new())).unwrap();
    assert_eq!(over.phase, Phase::Withdrawn);
}

#[test]
fn each_invalid_field_of_a_plan_is_reported_on_one_line() {
    for (found, replacement, line) in [
        ("\"a\", \"from\"", "\"\", \"from\"", "service is \"\", expected text that isn't empty"),
        (
            "\"ends\": \"3600s\"",
            "\"ends\": \"0s\"",
            "ends is \"0s\", expected between a second and two weeks",
        ),
        ("\"ends\"", "\"end\"", "the whole is \"end\", expected no such setting"),
        ("\"share\": 0.5", "\"share\": 1.5", "steps[1].share is 1.5, expected a share of 1 at most"),
        (
            "{\"revision\": \"2\"}",
            "{\"backend\": \"b\"}",
            "to is {\"backend\":\"b\"}, expected another version than `from`, of the same kind",
        ),
    ] {
        assert_eq!(
            coppersail_config::rollout::parse(&BODY.replacen(found, replacement, 1)).unwrap_err().to_string(),
            line
        );
    }
    let _: RolloutPlan = initial_state().plan();
}

#[test]
fn each_error_keeps_its_message() {
    let running = initial_state();
    let other = BODY.replace("0.05", "0.06");
    let refused = RolloutState::submit("p", &other, Some(&running)).unwrap_err();
    assert_eq!(refused, SubmitError::NameInForce { found: Phase::Running });
    assert_eq!(refused.to_string(), "a plan of that name is in force");
    let invalid = RolloutState::submit("p", &BODY.replace("0.5", "1.5"), None).unwrap_err();
    assert_eq!(invalid.to_string(), "steps[1].share is 1.5, expected a share of 1 at most");
    let paused = running.apply_command(0, RolloutCommand::RollBack, "").unwrap().unwrap();
    let refused = paused.apply_command(0, RolloutCommand::Promote, "").unwrap_err();
    assert_eq!(refused, CommandError::Paused { found: Phase::Withdrawn });
    assert_eq!(refused.to_string(), "the plan is paused; resume it first");
    let ended = running.apply_command(0, RolloutCommand::End, "").unwrap().unwrap();
    assert_eq!(
        ended.apply_command(0, RolloutCommand::RollBack, "").unwrap_err().to_string(),
        "the plan has ended"
    );
}
