//! Every way in which a try can end, and what follows.
use coppersail_retry::{
    AttemptHistory, AttemptOutcome, FinalOutcome, IndeterminateCause, RejectReason, SendFailure,
};

/// All of them; a new one does not compile until it has its line in [`follows`].
fn all() -> Vec<AttemptOutcome<()>> {
    use SendFailure::*;
    let unsent = [Unreachable, ConnectionLimit, ConnectionClosed, DeadlineExceeded, EndpointDraining]
        .map(AttemptOutcome::NotSent);
    let turned = [RejectReason::Overloaded, RejectReason::StaleAddress, RejectReason::NotOwner]
        .map(AttemptOutcome::Rejected);
    let broke = [
        IndeterminateCause::ConnectionReset,
        IndeterminateCause::ForeignResponse,
        IndeterminateCause::Truncated,
        IndeterminateCause::Unsealed,
        IndeterminateCause::Timeout,
    ];
    let ran = [AttemptOutcome::Completed(()), AttemptOutcome::Failed(())];
    unsent.into_iter().chain(turned).chain(broke.map(AttemptOutcome::Indeterminate)).chain(ran).collect()
}

/// Whether one that may run once goes on, whether one that may be repeated does, and what the client gets.
fn follows(verdict: &AttemptOutcome<()>) -> (bool, bool, FinalOutcome) {
    match verdict {
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
fn each_verdict_decides_alone() {
    for verdict in all() {
        let (once, repeatable, closing) = follows(&verdict);
        assert_eq!(
            (verdict.is_retryable(false), verdict.is_retryable(true)),
            (once, repeatable),
            "{verdict:?}"
        );
        let mut tally = AttemptHistory::default();
        tally.record(&verdict);
        assert_eq!(tally.final_outcome(), closing, "{verdict:?}");
        assert_eq!((tally.delivered, tally.unsent), if verdict.arrived() { (1, 0) } else { (0, 1) });
    }
}

/// A promise is given only if none of the tries may have run, and what may run once never goes on once it may have.
#[test]
fn no_order_of_tries_ends_in_a_false_promise() {
    let all = all();
    let count = all.len();
    for order in 0..count.pow(3) {
        let tries = [order / count / count, order / count % count, order % count].map(|at| &all[at]);
        for repeatable in [false, true] {
            let (mut tally, mut ran) = (AttemptHistory::default(), 0);
            for verdict in tries {
                tally.record(verdict);
                ran +=
                    u32::from(!matches!(verdict, AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_)));
                assert_eq!(tally.may_have_run(), ran > 0);
                assert_eq!(tally.final_outcome() == FinalOutcome::Unavailable, ran == 0, "{tries:?}");
                if !verdict.is_retryable(repeatable) {
                    break;
                }
            }
            assert!(repeatable || ran <= 1, "{tries:?}");
        }
    }
}
