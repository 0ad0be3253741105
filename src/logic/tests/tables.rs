//! Tests of withdrawals, and of the tables that are sent.

use super::*;
use test_case::test_case;

#[test]
fn unchanged_table_is_not_sent_again() {
    let mut tables = tables(&[1, 0]);
    tables.slices.get_mut(&SliceId(0)).unwrap().owner = Some(id(1));
    let mut outbox = Outbox::default();
    tables.send_tables(&params(), &mut outbox);
    assert_eq!(desired_tables(&mut outbox), [(SliceId(0), PerHost::from([(id(1), 1.0)]))]);
    tables.send_tables(&params(), &mut outbox);
    assert!(desired_tables(&mut outbox).is_empty(), "only differences are sent");
}

#[test_case(4, 4 ; "four of ten")]
#[test_case(5, 0 ; "five of ten: the director's own network is more likely at fault")]
fn suspects_are_withdrawn_up_to_four_in_ten(suspects: usize, withdrawn: usize) {
    let mut tables = tables(&[1; 10]);
    for n in 0..suspects {
        tables.views.get_mut(&id(n)).unwrap().suspect = true;
    }
    tables.update_withdrawals(1.0, &mut Outbox::default());
    assert_eq!(tables.withdrawn.len(), withdrawn);
}

#[test_case(true, 1.0, 1 ; "a proxy has joined")]
#[test_case(false, 1.0, 0 ; "no proxy has joined")]
#[test_case(true, 20.0, 1 ; "for a host that is gone for long, as a table may still name it")]
fn withdrawals_are_resent_to_proxies_that_join(resend: bool, later: f64, sent: usize) {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    tables.update_withdrawals(1.0, &mut Outbox::default());
    let mut outbox = Outbox::default();
    tables.resend_withdrawals = resend;
    tables.update_withdrawals(1.0 + later, &mut outbox);
    assert_eq!(outbox.take_next_mailbox().map_or(0, |(_, messages)| messages.len()), sent);
}

#[test]
fn tables_are_kept_without_an_open_host() {
    let mut tables = tables(&[1]);
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    for slice in tables.slices.values_mut() {
        slice.owner = None;
    }
    tables.move_displaced(1.0, &params());
    let mut outbox = Outbox::default();
    tables.send_tables(&params(), &mut outbox);
    assert!(desired_tables(&mut outbox).is_empty());
}

#[test_case(0.5, 1 ; "just restarted with full weights: withdrawn")]
#[test_case(1.5, 0 ; "a second later it may return")]
fn unannounced_restart_withdraws_a_host_for_a_second(later: f64, withdrawn: usize) {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().restarted_at = Some(5.0);
    tables.update_withdrawals(5.0 + later, &mut Outbox::default());
    assert_eq!(tables.withdrawn.len(), withdrawn);
}

#[test]
fn host_is_open_only_once_the_proxies_use_it_again() {
    let mut tables = tables(&[1, 1]);
    tables.withdrawn.insert(id(0), 1.0);
    tables.update_withdrawals(5.0, &mut Outbox::default());
    assert!(!tables.is_open(id(0)));
    tables.handle(5.0, &params(), Message::Readmitted(id(0)), &mut Outbox::default());
    assert!(tables.is_open(id(0)));
}

// When 1,800 proxies joined within three seconds, ninety withdrawals were sent to all of them in each round.
#[test]
fn withdrawals_are_resent_at_most_once_a_second() {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    let mut sent = 0;
    for tenth in 20..40 {
        tables.resend_withdrawals = true;
        let mut outbox = Outbox::default();
        tables.update_withdrawals(0.1 * f64::from(tenth), &mut outbox);
        sent += std::iter::from_fn(|| outbox.take_next_mailbox())
            .filter(|(to, _)| *to == Recipient::Channel)
            .count();
    }
    assert_eq!(sent, 2);
}

#[test]
fn hosts_are_withdrawn_when_none_is_ready() {
    let mut tables = tables(&[2, 2]);
    tables.tick(1.0, &params(), &mut Outbox::default());
    for view in tables.views.values_mut() {
        view.ready = false;
    }
    let mut outbox = Outbox::default();
    tables.tick(2.0, &params(), &mut outbox);
    let is_withdrawal =
        |message: &Message| matches!(message, Message::Send(Order::SetWithdrawn { withdrawn: true, .. }));
    let count = std::iter::from_fn(|| outbox.take_next_mailbox())
        .flat_map(|(_, messages)| messages)
        .filter(is_withdrawal)
        .count();
    assert_eq!(count, 2, "no calls may go to them, whatever tables the proxies have");
}
