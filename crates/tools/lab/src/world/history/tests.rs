//! Tests of the module `history`.

use super::History;

#[test]
fn a_proxy_that_lags_behind_sees_a_value_of_a_later_message() {
    let mut history = History::new("first");
    history.set(3, "third");
    history.set(5, "fifth");
    let seen: Vec<&str> = (0..7).map(|applied| *history.at(applied)).collect();
    assert_eq!(seen, ["first", "first", "first", "third", "third", "fifth", "fifth"]);
    assert_eq!(*history.last(), "fifth");
}

#[test]
fn a_second_value_of_one_message_does_not_replace_the_first() {
    let mut history = History::new(1);
    history.set(2, 2);
    history.set(2, 3);
    assert_eq!((*history.at(1), *history.at(2)), (1, 3));
}

#[test]
fn a_value_that_a_proxy_still_sees_is_forgotten() {
    let mut history = History::new(0);
    for message in 1..6 {
        history.set(message, message);
    }
    history.forget_before(3);
    let seen: Vec<u32> = (3..6).map(|applied| *history.at(applied)).collect();
    assert_eq!(seen, [3, 4, 5]);
    assert_eq!(history.versions.len(), 3, "what nobody sees is gone");
}
