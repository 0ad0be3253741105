//! Every way in which a try can end, and what follows.
use coppersail_retry::{Broke, Closing, Tally, Turned, Unsent, Verdict};

/// All of them; a new one does not compile until it has its line in [`follows`].
fn all() -> Vec<Verdict<()>> {
    use Unsent::*;
    let unsent = [Unreachable, Full, Closed, Late, Leaving].map(Verdict::NotSent);
    let turned = [Turned::Full, Turned::Elsewhere, Turned::Unheld].map(Verdict::TurnedAway);
    let broke = [Broke::Reset, Broke::Foreign, Broke::Cut, Broke::Unsealed, Broke::Silent];
    let ran = [Verdict::Ran(()), Verdict::Failed(())];
    unsent.into_iter().chain(turned).chain(broke.map(Verdict::MayHaveRun)).chain(ran).collect()
}

/// Whether one that may run once goes on, whether one that may be repeated does, and what the client gets.
fn follows(verdict: &Verdict<()>) -> (bool, bool, Closing) {
    match verdict {
        Verdict::NotSent(
            Unsent::Unreachable | Unsent::Full | Unsent::Closed | Unsent::Late | Unsent::Leaving,
        ) => (true, true, Closing::Later),
        Verdict::TurnedAway(Turned::Full | Turned::Elsewhere | Turned::Unheld) => {
            (true, true, Closing::Later)
        }
        Verdict::MayHaveRun(Broke::Reset | Broke::Foreign | Broke::Cut | Broke::Unsealed) => {
            (false, true, Closing::Unknown)
        }
        Verdict::MayHaveRun(Broke::Silent) => (false, false, Closing::Late),
        Verdict::Failed(()) => (false, true, Closing::Unknown),
        Verdict::Ran(()) => (false, false, Closing::Unknown),
    }
}

#[test]
fn each_verdict_decides_alone() {
    for verdict in all() {
        let (once, repeatable, closing) = follows(&verdict);
        assert_eq!((verdict.again(false), verdict.again(true)), (once, repeatable), "{verdict:?}");
        let mut tally = Tally::default();
        tally.take(&verdict);
        assert_eq!(tally.closing(), closing, "{verdict:?}");
        assert_eq!((tally.arrived, tally.unsent), if verdict.arrived() { (1, 0) } else { (0, 1) });
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
            let (mut tally, mut ran) = (Tally::default(), 0);
            for verdict in tries {
                tally.take(verdict);
                ran += u32::from(!matches!(verdict, Verdict::NotSent(_) | Verdict::TurnedAway(_)));
                assert_eq!(tally.may_have_run(), ran > 0);
                assert_eq!(tally.closing() == Closing::Later, ran == 0, "{tries:?}");
                if !verdict.again(repeatable) {
                    break;
                }
            }
            assert!(repeatable || ran <= 1, "{tries:?}");
        }
    }
}
