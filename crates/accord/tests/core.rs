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
fn a_backup_that_joins_before_its_refused_write_came_back_is_not_counted() {
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
