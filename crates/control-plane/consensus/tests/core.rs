//! Hard cases of the control side, played step by step on the very core.
#[path = "model/world.rs"]
#[allow(dead_code)]
mod world;

use world::{everything, spans, Rules, Step, Then, Without, World};

fn rules() -> Rules {
    Rules { members: 4, first: 3, spans: spans(), slow: 0, swift: true, short: 8, struck: 0xff, pace: [0; 5] }
}

fn begun(rules: Rules) -> World {
    let mut world = World::new(rules);
    world.calm().unwrap();
    world.rest(60).unwrap();
    assert_eq!(world.acting(), [0]);
    world.budget = everything();
    world
}

fn go(world: &mut World, steps: &[Step]) {
    for step in steps {
        world.step(step, true).unwrap_or_else(|why| panic!("{why} at {step:?}"));
    }
}

/// Delivers all that is under way, and leaves the disks alone.
fn network(world: &mut World) {
    for _ in 0..200 {
        let Some(step) = world.steps().into_iter().find(|s| matches!(s, Step::Deliver(_, Then::Answer)))
        else {
            return;
        };
        go(world, &[step]);
    }
    panic!("messages without end");
}

const SHORT: Step = Step::Short { keep: None, without: Without::Nobody };

#[test]
fn a_backup_whose_earlier_write_fails_after_a_probe_does_not_join() {
    let mut world = begun(Rules { slow: 0b10, ..rules() });
    go(&mut world, &[Step::Submit(0)]);
    network(&mut world);
    go(&mut world, &[Step::Crash(0, 0), SHORT, Step::Restart(0), SHORT]);
    network(&mut world);
    // b has taken the change and the join; the first of the two writes fails.
    go(&mut world, &[Step::Refuse(1)]);
    while world.steps().contains(&Step::Confirm(1)) {
        go(&mut world, &[Step::Confirm(1)]);
    }
    network(&mut world);
    assert_eq!(world.nodes[1].state.get("k1"), None);
    world.rest(100).unwrap();
    assert_eq!((world.acting(), world.ghost.seen.clone()), (vec![0], vec![1]));
}

/// Time passes without x until somebody else acts; says after how many steps.
fn without(world: &mut World, x: usize) -> usize {
    for n in 0..200 {
        go(world, &[Step::Short { keep: None, without: Without::Asleep(x) }]);
        while let Some(step) = world.steps().into_iter().find(|s| {
            matches!(s, Step::Deliver(_, Then::Answer) | Step::Confirm(_)) && world.owner(s) != Some(x)
        }) {
            go(world, &[step]);
        }
        if world.acting().iter().any(|y| *y != x) {
            return n;
        }
    }
    panic!("nobody takes over from {x}");
}

fn change(world: &mut World) {
    let x = world.acting()[0];
    world.submit(x).unwrap();
    world.calm().unwrap();
    assert!(world.ghost.acked.contains(&world.submitted), "change {} is not written", world.submitted);
}

fn record(world: &World) -> coppersail_consensus::LeadershipRecord {
    let x = world.acting()[0];
    match &world.core(x).unwrap().role {
        coppersail_consensus::Role::Leader(record) => record.clone(),
        coppersail_consensus::Role::Follower => panic!("acts without a record"),
    }
}

fn sits(world: &World, id: &str) -> bool {
    record(world).voters.iter().any(|w| w.id == id)
}

#[test]
fn a_second_leader_lost_right_after_a_failover() {
    let mut world = begun(rules());
    change(&mut world);
    without(&mut world, 0);
    let next = world.acting()[0];
    change(&mut world);
    // a is back, and the second one falls silent at once.
    go(&mut world, &[SHORT]);
    network(&mut world);
    without(&mut world, next);
    change(&mut world);
    assert_eq!(world.ghost.seen, [1, 2, 3]);
    assert!(world.ghost.epochs >= 3, "{}", world.ghost.epochs);
}

#[test]
fn a_leader_frozen_past_its_lease_does_not_commit() {
    let mut world = begun(Rules { slow: 0b1, ..rules() });
    go(&mut world, &[Step::Submit(0)]);
    network(&mut world);
    // The backup has it and its answer is here; the own disk's answer waits while a sleeps and b takes over.
    without(&mut world, 0);
    assert_eq!(world.acting(), [1]);
    go(&mut world, &[Step::Confirm(0)]);
    assert!(world.ghost.acked.is_empty(), "b knows nothing of an acknowledgement");
    assert_eq!(
        (world.ghost.seen.clone(), world.acting()),
        (vec![1], vec![1]),
        "what b held is in force all the same"
    );
    world.rest(50).unwrap();
    change(&mut world);
}

/// b is down, and a sends a snapshot to the one that is to be its next backup.
fn while_a_snapshot_runs() -> World {
    let mut world = begun(rules());
    change(&mut world);
    go(&mut world, &[Step::Crash(1, 0)]);
    for _ in 0..100 {
        go(&mut world, &[SHORT]);
        let next =
            |world: &World| world.steps().into_iter().find(|s| matches!(s, Step::Deliver(_, Then::Answer)));
        while world.under_way("Snapshot") == 0 {
            let Some(step) = next(&world) else { break };
            go(&mut world, &[step]);
        }
        if world.under_way("Snapshot") > 0 {
            return world;
        }
    }
    panic!("no snapshot is sent");
}

#[test]
fn the_next_backup_crashes_during_its_snapshot() {
    let mut world = while_a_snapshot_runs();
    go(&mut world, &[Step::Crash(2, 0)]);
    world.rest(100).unwrap();
    assert!(world.acting().is_empty(), "a is no majority of a, b, c");
    go(&mut world, &[SHORT, Step::Restart(2)]);
    world.rest(100).unwrap();
    change(&mut world);
    assert_eq!(world.ghost.seen, [1, 2]);
}

#[test]
fn a_voter_loses_its_disk_during_a_snapshot() {
    let mut world = while_a_snapshot_runs();
    go(&mut world, &[SHORT, Step::Wipe(1)]);
    network(&mut world);
    assert_eq!(world.nodes[1].state.get("k1"), None);
    world.rest(100).unwrap();
    change(&mut world);
    let record = record(&world);
    assert!(record.outgoing_voters.is_empty());
    assert!(record.voters.iter().any(|w| w.id == "b" && w.incarnation > 0), "its new life sits: {record:?}");
    assert_eq!(world.ghost.seen, [1, 2]);
}

#[test]
fn a_leader_lost_right_after_an_earlier_loss_was_repaired() {
    let mut world =
        begun(Rules { spans: coppersail_consensus::Timeouts { replace_after: 60, ..spans() }, ..rules() });
    change(&mut world);
    go(&mut world, &[Step::Gone(0)]);
    let mut ticks = 0;
    while !world.mended() || sits(&world, "a") {
        world.rest(1).unwrap();
        ticks += 1;
        assert!(ticks < 200, "not repaired");
    }
    change(&mut world);
    // Of the three that are left the primary goes as well; the two others are a majority.
    let primary = world.acting()[0];
    go(&mut world, &[Step::Gone(primary)]);
    world.rest(100).unwrap();
    change(&mut world);
    assert_eq!(world.ghost.seen, [1, 2, 3]);
}

#[test]
fn all_disks_lost_in_turn_and_then_a_power_failure_of_all_nodes() {
    let mut world = begun(rules());
    change(&mut world);
    for x in [1, 0, 2, 3] {
        go(&mut world, &[Step::Crash(x, 0), SHORT, Step::Wipe(x)]);
        let mut ticks = 0;
        while !world.mended() {
            world.rest(1).unwrap();
            ticks += 1;
            assert!(ticks < 300, "not repaired after {x}");
        }
        world.rest(40).unwrap();
        change(&mut world);
    }
    for x in 0..4 {
        go(&mut world, &[Step::Crash(x, 0)]);
    }
    go(&mut world, &[SHORT, Step::Restart(0), Step::Restart(1), Step::Restart(2), Step::Restart(3)]);
    world.rest(100).unwrap();
    change(&mut world);
    assert_eq!(world.ghost.seen, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_draining_leader_killed_before_its_transfer_is_complete() {
    for steps in 0..30 {
        let mut world = begun(rules());
        change(&mut world);
        go(&mut world, &[Step::Leave(0)]);
        for _ in 0..steps {
            go(&mut world, &[SHORT]);
            network(&mut world);
        }
        go(&mut world, &[Step::Gone(0)]);
        world.rest(150).unwrap();
        change(&mut world);
        assert_eq!(world.ghost.seen, [1, 2], "killed after {steps} steps");
    }
}

#[test]
fn a_draining_leader_hands_over_its_vote_and_its_state_before_it_exits() {
    let mut world = begun(rules());
    change(&mut world);
    go(&mut world, &[Step::Leave(0)]);
    let mut ticks = 0;
    while !world.core(0).unwrap().may_exit(world.clock(0)) {
        world.rest(1).unwrap();
        ticks += 1;
        assert!(ticks < 100, "never lets go");
    }
    assert!(ticks < 60, "{ticks}: not by the time that it has to hand over");
    let record = record(&world);
    assert!(!record.is_replica("a") && !record.is_voter("a"), "{record:?}");
    go(&mut world, &[Step::Gone(0)]);
    change(&mut world);
}

#[test]
fn a_replaced_node_back_with_its_old_disk_does_not_lead() {
    let mut world =
        begun(Rules { spans: coppersail_consensus::Timeouts { replace_after: 40, ..spans() }, ..rules() });
    change(&mut world);
    go(&mut world, &[Step::Crash(0, 0)]);
    world.rest(100).unwrap();
    assert!(!sits(&world, "a"));
    for _ in 0..3 {
        change(&mut world);
    }
    // It stood first in the record that it knows, and asks nobody's pardon.
    go(&mut world, &[Step::Restart(0)]);
    for _ in 0..20 {
        go(&mut world, &[SHORT]);
        network(&mut world);
        assert_ne!(world.acting(), [0]);
    }
    world.rest(50).unwrap();
    change(&mut world);
    assert_eq!(world.ghost.seen, [1, 2, 3, 4, 5]);
}
