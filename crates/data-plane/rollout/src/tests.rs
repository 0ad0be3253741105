//! Unit tests, by module.
use crate::RolloutState;

mod analysis;
mod lifecycle;
mod recorder;
mod selector;

const BODY: &str = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"}, "ends": "3600s",
    "steps": [{"share": 0.05, "least": "10s", "evidence": 20}, {"share": 0.5, "least": "10s", "evidence": 20}]}"#;

fn initial_state() -> RolloutState {
    RolloutState::submit("p", BODY, None).unwrap()
}
