//! Checks for every attempt outcome whether the request may be retried, and which final outcome follows.
use coppersail_retry::{
    AttemptHistory, AttemptOutcome, FinalOutcome, IndeterminateCause, RejectReason, SendFailure,
};

/// All outcomes. The exhaustive match in [`expected`] fails to compile when a variant is added without a row
/// there.
fn all_outcomes() -> Vec<AttemptOutcome<()>> {
    use SendFailure::*;
    let not_sent = [Unreachable, ConnectionLimit, ConnectionClosed, DeadlineExceeded, EndpointDraining]
        .map(AttemptOutcome::NotSent);
    let rejected = [RejectReason::Overloaded, RejectReason::StaleAddress, RejectReason::NotOwner]
        .map(AttemptOutcome::Rejected);
    let indeterminate = [
        IndeterminateCause::ConnectionReset,
        IndeterminateCause::ForeignResponse,
        IndeterminateCause::MalformedResponse,
        IndeterminateCause::Truncated,
        IndeterminateCause::Unsealed,
        IndeterminateCause::Timeout,
    ];
    let processed = [AttemptOutcome::Completed(()), AttemptOutcome::Failed(())];
    not_sent
        .into_iter()
        .chain(rejected)
        .chain(indeterminate.map(AttemptOutcome::Indeterminate))
        .chain(processed)
        .collect()
}

/// Returns whether a non-idempotent request is retryable, whether an idempotent one is, and the final
/// outcome.
fn expected(outcome: &AttemptOutcome<()>) -> (bool, bool, FinalOutcome) {
    match outcome {
        AttemptOutcome::NotSent(
            SendFailure::Unreachable
            | SendFailure::ConnectionLimit
            | SendFailure::ConnectionClosed
            | SendFailure::DeadlineExceeded
            | SendFailure::EndpointDraining,
        ) => (true, true, FinalOutcome::Unavailable),
        AttemptOutcome::Rejected(
            RejectReason::Overloaded | RejectReason::StaleAddress | RejectReason::NotOwner,
        ) => (true, true, FinalOutcome::Unavailable),
        AttemptOutcome::Indeterminate(
            IndeterminateCause::ConnectionReset
            | IndeterminateCause::ForeignResponse
            | IndeterminateCause::MalformedResponse
            | IndeterminateCause::Truncated
            | IndeterminateCause::Unsealed,
        ) => (false, true, FinalOutcome::OutcomeUnknown),
        AttemptOutcome::Indeterminate(IndeterminateCause::Timeout) => {
            (false, false, FinalOutcome::DeadlineExceeded)
        }
        AttemptOutcome::Failed(()) => (false, true, FinalOutcome::OutcomeUnknown),
        AttemptOutcome::Completed(()) => (false, false, FinalOutcome::OutcomeUnknown),
    }
}

#[test]
fn each_outcome_determines_whether_a_retry_is_allowed_and_the_final_status() {
    for outcome in all_outcomes() {
        let (not_idempotent, idempotent, final_outcome) = expected(&outcome);
        assert_eq!(
            (outcome.is_retryable(false), outcome.is_retryable(true)),
            (not_idempotent, idempotent),
            "{outcome:?}"
        );
        let mut history = AttemptHistory::default();
        history.record(&outcome);
        assert_eq!(history.final_outcome(), final_outcome, "{outcome:?}");
        assert_eq!(
            (history.delivered, history.unsent),
            if outcome.may_have_been_received() { (1, 0) } else { (0, 1) }
        );
    }
}

/// The final outcome is `Unavailable` only if no endpoint may have processed the request, and a
/// non-idempotent request is not retried once an endpoint may have processed it.
#[test]
fn a_request_that_may_have_run_is_neither_reported_unavailable_nor_repeated_unless_idempotent() {
    let outcomes = all_outcomes();
    let count = outcomes.len();
    for order in 0..count.pow(3) {
        let attempts =
            [order / count / count, order / count % count, order % count].map(|index| &outcomes[index]);
        for idempotent in [false, true] {
            let (mut history, mut runs) = (AttemptHistory::default(), 0);
            for outcome in attempts {
                history.record(outcome);
                runs +=
                    u32::from(!matches!(outcome, AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_)));
                assert_eq!(history.may_have_run(), runs > 0);
                assert_eq!(history.final_outcome() == FinalOutcome::Unavailable, runs == 0, "{attempts:?}");
                if !outcome.is_retryable(idempotent) {
                    break;
                }
            }
            assert!(idempotent || runs <= 1, "{attempts:?}");
        }
    }
}
