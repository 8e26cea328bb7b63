//! Guards the plain course of a cell: creation, joining, removal, replacement and planned stops.

mod world;

use std::time::Duration;

use redwinggrade::process::cell::Rules;
use world::{TARGETS, World};

const STEP: Duration = Duration::from_millis(50);
const ALL: u32 = (1 << TARGETS) - 1;

/// Returns three members that serve all targets.
fn three() -> World {
    let mut world = World::open(&[1_000, 950, 1_050], Rules::default());
    for node in 0..3 {
        world.start(node);
    }
    world.run(120, STEP);
    world
}

/// Guards against nodes that never agree on a first record.
#[test]
fn three_new_nodes_form_a_cell_and_serve_every_target() {
    let world = three();
    let record = world.cell(0).record().expect("the record exists");
    assert_eq!(record.members.len(), 3);
    assert_eq!(record.ballot, None);
    assert_eq!(world.served(), ALL);
}

/// Guards against a dead member whose targets are never taken over.
#[test]
fn a_dead_member_is_removed_and_its_targets_are_taken_over() {
    let mut world = three();
    world.crash(2);
    world.run(100, STEP);
    let record = world.cell(0).record().expect("the record exists");
    assert_eq!(record.members.len(), 2);
    assert_eq!(world.served(), ALL);
}
