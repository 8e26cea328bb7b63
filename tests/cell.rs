//! Guards the plain course of a cell: creation, joining, removal, replacement and planned stops.

mod world;

use std::time::Duration;

use redwinggrade::process::cell::{
    Action, Cell, Config, Event, HANDOVER_GRACE, Heads, PERMIT_TTL, Safeguards,
};
use redwinggrade::time::Moment;
use redwinggrade::wire::exchange::{Ballot, Record};
use redwinggrade::wire::{Exchange, Revision};
use rstest::rstest;
use world::{Message, TARGETS, World, member};

const STEP: Duration = Duration::from_millis(50);
const ALL: u32 = (1 << TARGETS) - 1;

/// Returns three members that serve all targets.
fn three() -> World {
    three_with(Safeguards::default())
}

fn three_with(safeguards: Safeguards) -> World {
    let mut world = World::open(&[1_000, 950, 1_050], safeguards);
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

/// Guards against a member that stops as planned but makes the others wait for its permit.
#[test]
fn a_stopping_member_hands_its_targets_over_without_a_wait() {
    let mut world = three();
    world.event(2, Event::Stopping);
    let mut unserved = 0;
    for _ in 0..40 {
        world.round(STEP);
        unserved += u32::from(world.served() != ALL);
    }
    assert!(world.cell(2).is_removed());
    assert_eq!(world.cell(0).record().expect("it exists").members.len(), 2);
    // Two round trips at most, far less than HANDOVER_GRACE (34 rounds).
    assert!(unserved <= 8, "unserved for {unserved} rounds");
}

/// Guards against a cell that cannot start again after its last member stopped.
#[test]
fn a_cell_starts_again_after_all_members_stopped() {
    let mut world = three();
    for node in 0..3 {
        world.event(node, Event::Stopping);
        world.run(40, STEP);
        world.crash(node);
    }
    assert_eq!(
        world.store.record.as_ref().expect("it exists").0.members,
        []
    );
    for node in 0..3 {
        world.start(node);
    }
    world.run(120, STEP);
    assert_eq!(world.served(), ALL);
}

/// Guards against a record that nobody may change any more because all listed incarnations have ended.
#[rstest]
fn a_cell_survives_a_restart_of_all_its_nodes(#[values(false, true)] during_ballot: bool) {
    let mut world = three();
    if during_ballot {
        world.event(2, Event::Stopping);
        world.until(STEP, World::ballot_open);
    }
    for node in 0..3 {
        world.crash(node);
        world.start(node);
    }
    world.run(200, STEP);
    assert!((0..3).all(|node| world.cell(node).is_member()));
    assert_eq!(world.served(), ALL);
}

/// Guards against permits that depend on the store while a majority is up, and on a majority while the
/// store is up.
#[rstest]
#[case::store_down(&[], true, ALL.count_ones())]
#[case::two_of_three_down_with_store(&[1, 2], false, 1)]
#[case::two_of_three_down_without_store(&[1, 2], true, 0)]
fn permits_under_long_outages(
    #[case] dead: &[usize],
    #[case] store_down: bool,
    #[case] least_served: u32,
) {
    let mut world = three();
    world.store.up = !store_down;
    for node in dead {
        world.crash(*node);
    }
    world.run(400, STEP);
    let served = world.served().count_ones();
    assert!(
        served >= least_served && (least_served > 0 || served == 0),
        "{served}"
    );
}

/// Guards against a node that suspects all others because it was itself paused.
#[test]
fn a_resumed_node_suspects_nobody() {
    let mut world = three();
    world.isolate(0, true);
    world.nodes[0].store_cut = true;
    world.store.up = false;
    world.pause(0);
    world.run(60, STEP);
    world.isolate(0, false);
    world.nodes[0].store_cut = false;
    world.store.up = true;
    let before = world.store.record.clone();
    world.resume(0);
    world.run(3, STEP);
    assert_eq!(world.store.record, before);
}

/// Guards against a stampede of the store when a whole rack joins at once.
#[test]
fn many_joiners_swap_at_a_bounded_rate() {
    let mut world = World::open(&[1_000; 16], Safeguards::default());
    world.untracked.checked = false;
    for node in 0..16 {
        world.start(node);
    }
    let (mut swaps, mut reads, mut rounds, mut worst) = (0, 0, 0, 0);
    while rounds < 1_200
        && world
            .store
            .record
            .as_ref()
            .is_none_or(|(record, _)| record.members.len() < 16)
    {
        let before = world.untracked.swaps;
        for _ in 0..20 {
            world.round(STEP);
            rounds += 1;
        }
        worst = worst.max(world.untracked.swaps - before);
        swaps = world.untracked.swaps;
        reads = world.untracked.reads;
    }
    let seconds = rounds / 20;
    println!("16 joiners: {seconds} s, {swaps} swaps, at most {worst} in a second, {reads} reads");
    let members = &world.store.record.as_ref().expect("it exists").0.members;
    assert_eq!(members.len(), 16);
    // 31 swaps are necessary: one creates the record and each other joiner needs two.
    assert!(
        swaps <= 62 && worst <= 16,
        "{swaps} swaps, {worst} in a second"
    );
}

#[derive(Debug, Clone, Copy)]
enum Course {
    Join,
    Leave,
    Death,
    Replacement,
    Write,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(usize),
    StoreDown,
    Isolate(usize),
    StoreCut(usize),
    Restart(usize),
    Slow(usize),
}

/// Guards against a fault, at any step of a change, that breaks a promise or stops the change for good.
#[rstest]
fn changes_survive_a_fault_at_each_step(
    #[values(
        Course::Join,
        Course::Leave,
        Course::Death,
        Course::Replacement,
        Course::Write
    )]
    course: Course,
    #[values(
        Fault::Pause(0),
        Fault::Pause(2),
        Fault::StoreDown,
        Fault::Isolate(0),
        Fault::Isolate(2),
        Fault::StoreCut(0),
        Fault::StoreCut(2),
        Fault::Restart(0),
        Fault::Restart(2),
        Fault::Slow(0)
    )]
    fault: Fault,
) {
    const COARSE: Duration = Duration::from_millis(100);
    let formed = match course {
        Course::Join => {
            let mut world = World::open(&[1_050, 950, 1_000], Safeguards::default());
            world.start(0);
            world.start(1);
            world.run(120, STEP);
            world
        }
        _ => three(),
    };
    // Removal of a silent member ends within 20 steps; the other changes within 10.
    for step in 0..20 {
        let mut world = formed.clone();
        match course {
            Course::Join => world.start(2),
            Course::Leave => world.event(2, Event::Stopping),
            Course::Death => world.crash(2),
            Course::Replacement => {
                world.crash(2);
                world.start(2);
            }
            Course::Write => world.store.settings += 1,
        }
        world.run(step, COARSE);
        set(&mut world, fault, true);
        world.run(25, COARSE);
        set(&mut world, fault, false);
        for node in 0..3 {
            if world.nodes[node].cell.as_ref().is_none_or(Cell::is_removed) {
                world.start(node);
            }
        }
        for _ in 0..120 {
            world.round(COARSE);
            for node in 0..3 {
                if world.cell(node).is_removed() {
                    world.start(node);
                }
            }
        }
        assert_eq!(
            world.served(),
            ALL,
            "{course:?}, {fault:?} at step {step}: {world:#?}"
        );
        assert!((0..3).all(|node| world.cell(node).is_member()));
        assert_eq!(world.accepted, world.store.settings);
    }
}

fn set(world: &mut World, fault: Fault, on: bool) {
    match fault {
        Fault::Pause(node) if on => world.pause(node),
        Fault::Slow(node) if on => world.nodes[node].slow = true,
        Fault::Pause(node) | Fault::Slow(node) => world.resume(node),
        Fault::StoreDown => world.store.up = !on,
        Fault::Isolate(node) => world.isolate(node, on),
        Fault::StoreCut(node) => world.nodes[node].store_cut = on,
        Fault::Restart(node) if on => {
            world.crash(node);
            world.start(node);
        }
        Fault::Restart(_) => {}
    }
}

/// A new incarnation that knows only the old record must not support the old incarnation's permits.
fn support_of_a_new_incarnation(safeguards: Safeguards) {
    let mut world = three_with(safeguards);
    world.isolate(2, true);
    world.nodes[2].store_cut = true;
    world.run(120, STEP);
    assert_eq!(world.cell(0).record().expect("it exists").members.len(), 2);
    // Node 1 restarts and reaches only node 2, which still knows the old record.
    world.isolate(1, true);
    world.crash(1);
    world.nodes[1].store_cut = true;
    world.start(1);
    world.cut[1][2] = false;
    world.cut[2][1] = false;
    world.run(40, STEP);
}

#[test]
fn a_new_incarnation_does_not_support_the_old_record() {
    support_of_a_new_incarnation(Safeguards::default());
}

#[test]
#[should_panic(expected = "two nodes may dispatch")]
fn support_by_name_alone_breaks_ownership() {
    support_of_a_new_incarnation(Safeguards {
        exact_incarnation: false,
        ..Safeguards::default()
    });
}

/// A member that missed two changes of the list must wait, although it owned its targets before.
fn missed_lists(safeguards: Safeguards) {
    let mut world = World::open(&[1_000; 5], safeguards);
    for node in [0, 1, 2, 4] {
        world.start(node);
    }
    world.run(120, STEP);
    let before = world.dispatches(2);
    // Node 2 answers but learns nothing while node 3 joins and takes some of its targets.
    world.nodes[2].slow = true;
    world.nodes[2].store_cut = true;
    world.start(3);
    world.run(80, STEP);
    assert_ne!(world.dispatches(3) & before, 0);
    // Node 3 is removed as silent; its last store proof is still valid.
    world.isolate(3, true);
    let members = |world: &World| world.cell(0).record().map(|record| record.members.len());
    world.run(26, STEP);
    world.nodes[3].store_cut = true;
    for _ in 0..40 {
        if members(&world) == Some(4) {
            break;
        }
        world.round(STEP);
    }
    assert_eq!(members(&world), Some(4));
    world.nodes[2].held.clear();
    world.nodes[2].store_cut = false;
    world.resume(2);
    world.run(60, STEP);
}

#[test]
fn a_member_that_missed_lists_waits() {
    missed_lists(Safeguards::default());
}

#[test]
#[should_panic(expected = "two nodes may dispatch")]
fn no_wait_after_missed_lists_breaks_ownership() {
    missed_lists(Safeguards {
        wait_after_missed_lists: false,
        ..Safeguards::default()
    });
}

/// A node that joins with older settings than its read showed could give a lagging member a majority
/// after the new version was accepted.
fn join_with_old_settings(safeguards: Safeguards) {
    let mut world = three_with(safeguards);
    world.store.settings = 2;
    world.nodes[2].settings_limit = 1;
    world.run(60, STEP);
    assert_eq!(world.accepted, 2);
    world.crash(0);
    world.nodes[0].settings_limit = 1;
    world.start(0);
    world.run(80, STEP);
}

#[test]
fn a_node_joins_only_with_current_settings() {
    join_with_old_settings(Safeguards::default());
}

#[test]
#[should_panic(expected = "outdated settings")]
fn joining_with_old_settings_breaks_acceptance() {
    join_with_old_settings(Safeguards {
        join_with_current_settings: false,
        ..Safeguards::default()
    });
}

/// A node that creates the record right after a version was accepted without it must not start work
/// at the version before, although it is its own majority.
fn creation_after_a_write(safeguards: Safeguards) {
    let mut world = World::open(&[1_000], safeguards);
    world.start(0);
    world.nodes[0].settings_limit = 1;
    world.until(STEP, |world| {
        matches!(world.queue.front(), Some(Message::Swap { .. }))
    });
    world.store.settings = 2;
    world.check();
    assert_eq!(world.accepted, 2);
    world.run(40, STEP);
    assert!(world.cell(0).is_member());
}

#[test]
fn a_sole_member_starts_with_a_store_proof() {
    creation_after_a_write(Safeguards::default());
}

#[test]
#[should_panic(expected = "outdated settings")]
fn a_sole_member_without_a_store_proof_breaks_acceptance() {
    creation_after_a_write(Safeguards {
        sole_member_needs_proof: false,
        ..Safeguards::default()
    });
}

/// A member that was removed just before a write may still hold a store proof of the version before.
fn write_after_removal(settled: bool) {
    let mut world = three();
    world.untracked.settled = settled;
    world.isolate(2, true);
    let members = |world: &World| {
        world
            .store
            .record
            .as_ref()
            .map(|(record, _)| record.members.len())
    };
    world.until(STEP, |world| members(world) == Some(2));
    world.nodes[2].store_cut = true;
    assert_ne!(world.dispatches(2), 0);
    world.store.settings = 2;
    world.run(80, STEP);
    assert_eq!(world.accepted, 2);
}

#[test]
fn acceptance_waits_for_a_removed_member() {
    write_after_removal(true);
}

#[test]
#[should_panic(expected = "outdated settings")]
fn acceptance_by_all_members_without_a_settled_list_is_too_early() {
    write_after_removal(false);
}

/// Guards against a join that leaves targets without a gateway although their owners gave them up.
#[test]
fn a_joining_node_takes_its_targets_over_without_a_wait() {
    let mut world = World::open(&[1_050, 950, 1_000], Safeguards::default());
    world.start(0);
    world.start(1);
    world.run(120, STEP);
    world.start(2);
    let mut unserved = 0;
    for _ in 0..60 {
        world.round(STEP);
        unserved += u32::from(world.served() != ALL);
    }
    assert_ne!(world.dispatches(2), 0);
    assert!(unserved <= 8, "unserved for {unserved} rounds");
}

/// Guards against a permit of a slow clock that outlives the wait of a fast one.
#[test]
fn grace_covers_the_worst_clocks() {
    assert!(PERMIT_TTL.as_micros() * 1_050 < HANDOVER_GRACE.as_micros() * 950);
}

/// Guards against a process at another address that vouches for a member that may still run.
#[rstest]
#[case::same_address(7_002, true)]
#[case::other_address(7_009, false)]
fn only_the_listed_address_vouches_for_a_name(#[case] port: u16, #[case] vouches: bool) {
    let start = Moment::from_millis(60_000);
    let config = Config {
        cell: "dc1-0".to_owned(),
        local: member(1, 1),
        settings: 1,
        safeguards: Safeguards::default(),
    };
    let mut cell = Cell::open(config, start);
    let members: Vec<_> = (0..3).map(|node| member(node, 1)).collect();
    let record = Record {
        revision: 8,
        members: members.clone(),
        ballot: Some(Ballot {
            members: members[1..].to_vec(),
        }),
    };
    let heads = Heads {
        settings: 1,
        record: Some((record, 100)),
    };
    let read = Event::ReadEnded {
        started: start,
        heads: Some(heads),
    };
    cell.step(read, start);
    let mut from = member(2, 2);
    from.peer.set_port(port);
    let exchange = Exchange {
        from,
        cell: "dc1-0".to_owned(),
        revision: Revision {
            settings: 1,
            cell: 8,
        },
        since: 0,
    };
    // The ballot closes once a majority has seen it, and is cancelled after 3 s otherwise.
    let actions = cell.step(Event::ExchangeReceived(exchange), start);
    let closes = |action: &Action| matches!(action, Action::SwapRecord { .. });
    assert_eq!(actions.iter().any(closes), vouches);
}
