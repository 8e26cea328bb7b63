//! Tests how a cell changes its members (creation, joins, removals, restarts, planned stops), also under
//! faults, and that each safeguard without an enumeration test is necessary.

mod simulation;

use std::time::Duration;

use redwinggrade::process::cell::{
    Action, Cell, Config, Event, HANDOVER_GRACE, Heads, PERMIT_TTL, Safeguards,
};
use redwinggrade::time::Moment;
use redwinggrade::wire::exchange::{Ballot, Record};
use redwinggrade::wire::{Exchange, Revision};
use rstest::rstest;
use simulation::{Message, Simulation, TARGET_COUNT, member};

/// Time that a simulation round takes.
const STEP: Duration = Duration::from_millis(50);
/// The bit set of all targets.
const ALL_TARGETS: u32 = (1 << TARGET_COUNT) - 1;

/// Returns a cell of three members that serve all targets.
fn three_members() -> Simulation {
    three_members_with(Safeguards::default())
}

fn three_members_with(safeguards: Safeguards) -> Simulation {
    let mut sim = Simulation::open(&[1_000, 950, 1_050], safeguards);
    for node in 0..3 {
        sim.start(node);
    }
    sim.run_rounds(120, STEP);
    sim
}

/// Guards against new nodes that never agree on a first record.
#[test]
fn three_new_nodes_form_a_cell_and_serve_every_target() {
    let sim = three_members();
    let record = sim.cell(0).record().expect("the cell record exists");
    assert_eq!(record.members.len(), 3);
    assert_eq!(record.ballot, None);
    assert_eq!(sim.served_targets(), ALL_TARGETS);
}

/// Guards against a crashed member whose targets are never taken over.
#[test]
fn crashed_member_is_removed_and_its_targets_are_taken_over() {
    let mut sim = three_members();
    sim.crash(2);
    sim.run_rounds(100, STEP);
    let record = sim.cell(0).record().expect("the cell record exists");
    assert_eq!(record.members.len(), 2);
    assert_eq!(sim.served_targets(), ALL_TARGETS);
}

/// Guards against a planned stop after which the other members wait until the permit of the stopped one
/// has expired.
#[test]
fn a_stopping_member_hands_its_targets_over_without_a_wait() {
    let mut sim = three_members();
    sim.step_cell(2, Event::Stopping);
    let mut unserved = 0;
    for _ in 0..40 {
        sim.run_round(STEP);
        unserved += u32::from(sim.served_targets() != ALL_TARGETS);
    }
    assert!(sim.cell(2).is_removed());
    assert_eq!(
        sim.cell(0)
            .record()
            .expect("the cell record exists")
            .members
            .len(),
        2
    );
    // The handover takes two round trips at most, far less than HANDOVER_GRACE (34 rounds).
    assert!(
        unserved <= 8,
        "some target had no gateway for {unserved} rounds"
    );
}

/// Guards against a cell that cannot start again after the planned stop of its last member.
#[test]
fn a_cell_starts_again_after_all_members_stopped() {
    let mut sim = three_members();
    for node in 0..3 {
        sim.step_cell(node, Event::Stopping);
        sim.run_rounds(40, STEP);
        sim.crash(node);
    }
    assert_eq!(
        sim.store
            .record
            .as_ref()
            .expect("the cell record exists")
            .0
            .members,
        []
    );
    for node in 0..3 {
        sim.start(node);
    }
    sim.run_rounds(120, STEP);
    assert_eq!(sim.served_targets(), ALL_TARGETS);
}

/// Guards against a record that no node may change any more because all listed incarnations have ended.
#[rstest]
fn a_cell_survives_a_restart_of_all_its_nodes(#[values(false, true)] during_ballot: bool) {
    let mut sim = three_members();
    if during_ballot {
        sim.step_cell(2, Event::Stopping);
        sim.run_until(STEP, Simulation::has_open_ballot);
    }
    for node in 0..3 {
        sim.crash(node);
        sim.start(node);
    }
    sim.run_rounds(200, STEP);
    assert!((0..3).all(|node| sim.cell(node).is_member()));
    assert_eq!(sim.served_targets(), ALL_TARGETS);
}

/// Guards against permits that need the store while a majority is up, or a majority while the store is
/// up, and against permits that need neither.
#[rstest]
#[case::store_down(&[], true, ALL_TARGETS.count_ones())]
#[case::two_of_three_down_with_store(&[1, 2], false, 1)]
#[case::two_of_three_down_without_store(&[1, 2], true, 0)]
fn permit_needs_store_or_majority(
    #[case] crashed: &[usize],
    #[case] store_down: bool,
    #[case] least_served: u32,
) {
    let mut sim = three_members();
    sim.store.up = !store_down;
    for node in crashed {
        sim.crash(*node);
    }
    sim.run_rounds(400, STEP);
    let served = sim.served_targets().count_ones();
    assert!(
        served >= least_served && (least_served > 0 || served == 0),
        "{served} targets are served"
    );
}

/// Guards against a node that proposes to remove the others after a pause of its own, because it counts
/// the time of the pause as their silence.
#[test]
fn resumed_node_proposes_no_removal() {
    let mut sim = three_members();
    sim.isolate(0, true);
    sim.nodes[0].cut_from_store = true;
    sim.store.up = false;
    sim.pause(0);
    sim.run_rounds(60, STEP);
    sim.isolate(0, false);
    sim.nodes[0].cut_from_store = false;
    sim.store.up = true;
    let before = sim.store.record.clone();
    sim.resume(0);
    sim.run_rounds(3, STEP);
    assert_eq!(sim.store.record, before);
}

/// Guards against a burst of store writes when many nodes join at once, each of which retries its swap
/// after a conflict.
#[test]
fn limits_swap_rate_of_joining_nodes() {
    let mut sim = Simulation::open(&[1_000; 16], Safeguards::default());
    sim.untracked.check_invariants = false;
    for node in 0..16 {
        sim.start(node);
    }
    let (mut swaps, mut reads, mut rounds, mut worst) = (0, 0, 0, 0);
    while rounds < 1_200
        && sim
            .store
            .record
            .as_ref()
            .is_none_or(|(record, _)| record.members.len() < 16)
    {
        let before = sim.untracked.swap_count;
        for _ in 0..20 {
            sim.run_round(STEP);
            rounds += 1;
        }
        worst = worst.max(sim.untracked.swap_count - before);
        swaps = sim.untracked.swap_count;
        reads = sim.untracked.read_count;
    }
    let seconds = rounds / 20;
    println!("16 joiners: {seconds} s, {swaps} swaps, at most {worst} in a second, {reads} reads");
    let members = &sim
        .store
        .record
        .as_ref()
        .expect("the cell record exists")
        .0
        .members;
    assert_eq!(members.len(), 16);
    // 31 swaps are necessary: one creates the record and each other joiner needs two.
    assert!(
        swaps <= 62 && worst <= 16,
        "{swaps} swaps, up to {worst} in a second"
    );
}

/// A change of the members or the settings during which a fault occurs; node 2 is the one concerned.
#[derive(Debug, Clone, Copy)]
enum Change {
    Join,
    PlannedStop,
    Crash,
    Restart,
    SettingsWrite,
}

/// A fault that lasts for 25 steps, with the number of the node that it concerns.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(usize),
    StoreDown,
    /// The node is cut from all other nodes, not from the store.
    Isolate(usize),
    /// The node cannot reach the store.
    StoreCut(usize),
    Restart(usize),
    /// Answers to the node's exchanges are held back.
    HoldAnswers(usize),
}

/// Guards against a fault, at any step of a change, that violates an invariant or prevents the change
/// for good.
#[rstest]
fn change_completes_despite_fault_at_any_step(
    #[values(
        Change::Join,
        Change::PlannedStop,
        Change::Crash,
        Change::Restart,
        Change::SettingsWrite
    )]
    change: Change,
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
        Fault::HoldAnswers(0)
    )]
    fault: Fault,
) {
    const COARSE_STEP: Duration = Duration::from_millis(100);
    let formed = match change {
        Change::Join => {
            let mut sim = Simulation::open(&[1_050, 950, 1_000], Safeguards::default());
            sim.start(0);
            sim.start(1);
            sim.run_rounds(120, STEP);
            sim
        }
        _ => three_members(),
    };
    // The removal of an unresponsive member ends within 20 steps, the other changes within 10.
    for step in 0..20 {
        let mut sim = formed.clone();
        match change {
            Change::Join => sim.start(2),
            Change::PlannedStop => sim.step_cell(2, Event::Stopping),
            Change::Crash => sim.crash(2),
            Change::Restart => {
                sim.crash(2);
                sim.start(2);
            }
            Change::SettingsWrite => sim.store.settings += 1,
        }
        sim.run_rounds(step, COARSE_STEP);
        set_fault(&mut sim, fault, true);
        sim.run_rounds(25, COARSE_STEP);
        set_fault(&mut sim, fault, false);
        for node in 0..3 {
            if sim.nodes[node].cell.as_ref().is_none_or(Cell::is_removed) {
                sim.start(node);
            }
        }
        for _ in 0..120 {
            sim.run_round(COARSE_STEP);
            for node in 0..3 {
                if sim.cell(node).is_removed() {
                    sim.start(node);
                }
            }
        }
        assert_eq!(
            sim.served_targets(),
            ALL_TARGETS,
            "{change:?} with {fault:?} at step {step} leaves targets unserved: {sim:#?}"
        );
        assert!((0..3).all(|node| sim.cell(node).is_member()));
        assert_eq!(sim.accepted_settings, sim.store.settings);
    }
}

/// Begins or ends a fault.
fn set_fault(sim: &mut Simulation, fault: Fault, on: bool) {
    match fault {
        Fault::Pause(node) if on => sim.pause(node),
        Fault::HoldAnswers(node) if on => sim.nodes[node].answers_held = true,
        Fault::Pause(node) | Fault::HoldAnswers(node) => sim.resume(node),
        Fault::StoreDown => sim.store.up = !on,
        Fault::Isolate(node) => sim.isolate(node, on),
        Fault::StoreCut(node) => sim.nodes[node].cut_from_store = on,
        Fault::Restart(node) if on => {
            sim.crash(node);
            sim.start(node);
        }
        Fault::Restart(_) => {}
    }
}

/// Restarts node 1 so that it reaches only node 2, which was removed but has not learned of it.
///
/// If the new incarnation of node 1 counts as support for the old record, node 2 gets a permit for
/// targets that others own by now.
fn restart_beside_member_with_old_record(safeguards: Safeguards) {
    let mut sim = three_members_with(safeguards);
    sim.isolate(2, true);
    sim.nodes[2].cut_from_store = true;
    sim.run_rounds(120, STEP);
    assert_eq!(
        sim.cell(0)
            .record()
            .expect("the cell record exists")
            .members
            .len(),
        2
    );
    // Node 1 restarts and reaches only node 2, which still knows the old record.
    sim.isolate(1, true);
    sim.crash(1);
    sim.nodes[1].cut_from_store = true;
    sim.start(1);
    sim.link_cut[1][2] = false;
    sim.link_cut[2][1] = false;
    sim.run_rounds(40, STEP);
}

/// Guards against support from an incarnation that the record does not list.
#[test]
fn new_incarnation_does_not_support_the_old_record() {
    restart_beside_member_with_old_record(Safeguards::default());
}

/// Shows that the check of the incarnation is necessary: support by name alone breaks ownership.
#[test]
#[should_panic(expected = "two nodes may dispatch")]
fn support_by_name_alone_breaks_ownership() {
    restart_beside_member_with_old_record(Safeguards {
        exact_incarnation: false,
        ..Safeguards::default()
    });
}

/// Lets node 2 miss two changes of the member list: node 3 joins, takes some of its targets, and is
/// removed while its last store proof is still valid.
fn miss_two_list_changes(safeguards: Safeguards) {
    let mut sim = Simulation::open(&[1_000; 5], safeguards);
    for node in [0, 1, 2, 4] {
        sim.start(node);
    }
    sim.run_rounds(120, STEP);
    let before = sim.dispatchable_targets(2);
    // Node 2 answers exchanges but learns nothing while node 3 joins and takes some of its targets.
    sim.nodes[2].answers_held = true;
    sim.nodes[2].cut_from_store = true;
    sim.start(3);
    sim.run_rounds(80, STEP);
    assert_ne!(sim.dispatchable_targets(3) & before, 0);
    // Node 3 is removed as an unresponsive member; its last store proof is still valid.
    sim.isolate(3, true);
    let members = |sim: &Simulation| sim.cell(0).record().map(|record| record.members.len());
    sim.run_rounds(26, STEP);
    sim.nodes[3].cut_from_store = true;
    for _ in 0..40 {
        if members(&sim) == Some(4) {
            break;
        }
        sim.run_round(STEP);
    }
    assert_eq!(members(&sim), Some(4));
    sim.nodes[2].held_messages.clear();
    sim.nodes[2].cut_from_store = false;
    sim.resume(2);
    sim.run_rounds(60, STEP);
}

/// Guards against a member that resumes dispatch at once because it owned the targets before, although
/// another node may have owned them in between.
#[test]
fn member_that_missed_lists_waits_before_dispatch() {
    miss_two_list_changes(Safeguards::default());
}

/// Shows that the wait after missed member lists is necessary.
#[test]
#[should_panic(expected = "two nodes may dispatch")]
fn no_wait_after_missed_lists_breaks_ownership() {
    miss_two_list_changes(Safeguards {
        wait_after_missed_lists: false,
        ..Safeguards::default()
    });
}

/// Restarts node 0 with older settings than the store shows, after a version was accepted while node 2
/// lagged behind.
///
/// If node 0 joins with the older settings, it and node 2 are a majority at the older version.
fn join_with_outdated_settings(safeguards: Safeguards) {
    let mut sim = three_members_with(safeguards);
    sim.store.settings = 2;
    sim.nodes[2].settings_limit = 1;
    sim.run_rounds(60, STEP);
    assert_eq!(sim.accepted_settings, 2);
    sim.crash(0);
    sim.nodes[0].settings_limit = 1;
    sim.start(0);
    sim.run_rounds(80, STEP);
}

/// Guards against a node that joins with older settings than its store read showed.
#[test]
fn a_node_joins_only_with_current_settings() {
    join_with_outdated_settings(Safeguards::default());
}

/// Shows that joining with current settings only is necessary.
#[test]
#[should_panic(expected = "outdated settings")]
fn joining_with_old_settings_breaks_acceptance() {
    join_with_outdated_settings(Safeguards {
        join_with_current_settings: false,
        ..Safeguards::default()
    });
}

/// Writes a settings version while a node that lags behind is about to create the cell record.
///
/// The version is accepted at once, because the cell has no record yet. The node is then a majority of
/// its own.
fn create_record_after_settings_write(safeguards: Safeguards) {
    let mut sim = Simulation::open(&[1_000], safeguards);
    sim.start(0);
    sim.nodes[0].settings_limit = 1;
    sim.run_until(STEP, |sim| {
        matches!(sim.queue.front(), Some(Message::Swap { .. }))
    });
    sim.store.settings = 2;
    sim.assert_no_violation();
    assert_eq!(sim.accepted_settings, 2);
    sim.run_rounds(40, STEP);
    assert!(sim.cell(0).is_member());
}

/// Guards against a sole member that dispatches with outdated settings on its own support alone.
#[test]
fn sole_member_needs_store_proof_before_dispatch() {
    create_record_after_settings_write(Safeguards::default());
}

/// Shows that a sole member's need of a store proof is necessary.
#[test]
#[should_panic(expected = "outdated settings")]
fn a_sole_member_without_a_store_proof_breaks_acceptance() {
    create_record_after_settings_write(Safeguards {
        sole_member_needs_proof: false,
        ..Safeguards::default()
    });
}

/// Writes a settings version just after the removal of node 2, which still has a valid store proof of
/// the version before.
fn write_settings_after_removal(needs_settled_list: bool) {
    let mut sim = three_members();
    sim.untracked.acceptance_needs_settled = needs_settled_list;
    sim.isolate(2, true);
    let members = |sim: &Simulation| {
        sim.store
            .record
            .as_ref()
            .map(|(record, _)| record.members.len())
    };
    sim.run_until(STEP, |sim| members(sim) == Some(2));
    sim.nodes[2].cut_from_store = true;
    assert_ne!(sim.dispatchable_targets(2), 0);
    sim.store.settings = 2;
    sim.run_rounds(80, STEP);
    assert_eq!(sim.accepted_settings, 2);
}

/// Guards against a version that counts as accepted while a removed node may dispatch with an older one.
#[test]
fn acceptance_waits_for_permit_of_removed_member() {
    write_settings_after_removal(true);
}

/// Shows that acceptance by all members must wait until the member list has been known for
/// `HANDOVER_GRACE`.
#[test]
#[should_panic(expected = "outdated settings")]
fn acceptance_by_all_members_without_a_settled_list_is_too_early() {
    write_settings_after_removal(false);
}

/// Guards against a join during which targets stay without a gateway although their former owners have
/// released them.
#[test]
fn a_joining_node_takes_its_targets_over_without_a_wait() {
    let mut sim = Simulation::open(&[1_050, 950, 1_000], Safeguards::default());
    sim.start(0);
    sim.start(1);
    sim.run_rounds(120, STEP);
    sim.start(2);
    let mut unserved = 0;
    for _ in 0..60 {
        sim.run_round(STEP);
        unserved += u32::from(sim.served_targets() != ALL_TARGETS);
    }
    assert_ne!(sim.dispatchable_targets(2), 0);
    assert!(
        unserved <= 8,
        "some target had no gateway for {unserved} rounds"
    );
}

/// Guards against a permit by a slow clock that outlasts the wait by a fast clock. Clocks run at 95% to
/// 105% of true time.
#[test]
fn handover_grace_covers_clock_rate_errors() {
    assert!(PERMIT_TTL.as_micros() * 1_050 < HANDOVER_GRACE.as_micros() * 950);
}

/// Guards against a ballot that closes because a newer incarnation at another address counts for a
/// member that may still run.
#[rstest]
#[case::same_address(7_002, true)]
#[case::other_address(7_009, false)]
fn only_incarnation_at_listed_address_counts_for_name(#[case] port: u16, #[case] counts: bool) {
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
    // The ballot closes once a majority has seen it; otherwise it is cancelled after 3 s.
    let actions = cell.step(Event::ExchangeReceived(exchange), start);
    let closes = |action: &Action| matches!(action, Action::SwapRecord { .. });
    assert_eq!(actions.iter().any(closes), counts);
}
