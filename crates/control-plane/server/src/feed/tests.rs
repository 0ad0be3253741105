//! Tests of the module `feed`.
use super::*;

fn host(ident: &str, calls: u64, stage: Stage) -> HostNews {
    HostNews { ident: ident.into(), calls, stage, via: "a".into(), ..HostNews::default() }
}

#[test]
fn what_a_follower_has_is_not_told_again_and_a_gap_is_filled_whole() {
    let mut feed = Feed::new(7);
    feed.put_host(&host("i", 1, Stage::Ready));
    feed.put_settings(&Settings { revision: 9, body: "x".into() });
    let news = feed.since(0, 0);
    assert!(news.whole && news.hosts.len() == 1 && news.settings.is_some());
    assert_eq!(feed.since(7, news.seq).hosts.len(), 0);
    assert!(feed.since(6, 1).whole, "another life of the centre");
    assert!(feed.since(7, 99).whole, "a number that was never given");
}

#[test]
fn versions_in_any_order_leave_the_newest() {
    let mut feed = Feed::new(7);
    assert!(feed.put_settings(&Settings { revision: 9, body: "nine".into() }));
    assert!(!feed.put_settings(&Settings { revision: 8, body: "eight".into() }));
    assert!(feed.put_row("s", 4, 1, "i", 12) && !feed.put_row("s", 4, 1, "j", 11));
}

#[test]
fn a_host_that_empties_is_never_ready_again_and_late_beats_change_nothing() {
    let mut feed = Feed::new(7);
    feed.put_host(&host("i", 5, Stage::Emptying));
    assert!(!feed.put_host(&host("i", 4, Stage::Ready)));
    feed.put_host(&host("i", 6, Stage::Ready));
    assert_eq!(feed.host("i").unwrap().stage, Stage::Emptying);
    assert!(!feed.put_host(&host("i", 7, Stage::Emptying)), "a beat alone is no news");
}
