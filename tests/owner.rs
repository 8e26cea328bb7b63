//! Tests the assignment of targets to cells and members: balance, different owners for the replicas of
//! a service, and few targets that move when members or cells change.

use redwinggrade::process::owner::{Target, cell_of, owner_of};
use redwinggrade::wire::{Incarnation, Member};
use rstest::rstest;

const SERVICE_COUNT: usize = 500;

/// Returns a number of members, sorted by name.
fn members(count: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        name: format!("node-{number:02}"),
        incarnation: Incarnation(1),
        peer: (
            [10, 0, 0, 1],
            7_000 + u16::try_from(number).expect("few members"),
        )
            .into(),
        caller: ([10, 0, 0, 1], 8_000).into(),
    };
    (0..count).map(member).collect()
}

/// Returns the names of the owners of all replicas, service by service.
fn owners(replicas: u32, members: &[Member]) -> Vec<Vec<&str>> {
    let owner_name = |service: usize, replica| {
        let service = format!("s{service:03}");
        let owner = owner_of("index", &service, replica, members).expect("there are members");
        owner.name.as_str()
    };
    (0..SERVICE_COUNT)
        .map(|service| {
            (0..replicas)
                .map(|replica| owner_name(service, replica))
                .collect()
        })
        .collect()
}

/// Guards against one node that owns several replicas of a service, so that its failure can take all
/// replicas of a shard out of use.
#[rstest]
#[case(2, 3)]
#[case(3, 3)]
#[case(7, 9)]
#[case(13, 16)]
fn replicas_have_different_owners(#[case] replicas: u32, #[case] count: usize) {
    for mut service in owners(replicas, &members(count)) {
        service.sort_unstable();
        service.dedup();
        assert_eq!(service.len(), replicas as usize);
    }
}

/// Guards against an assignment that gives a member 30% more or fewer targets than the mean.
#[rstest]
#[case(2, 3)]
#[case(7, 3)]
#[case(2, 16)]
fn targets_are_balanced(#[case] replicas: u32, #[case] count: usize) {
    let members = members(count);
    let all: Vec<&str> = owners(replicas, &members).into_iter().flatten().collect();
    let mean = all.len() / count;
    for member in &members {
        let owned = all.iter().filter(|name| **name == member.name).count();
        assert!(
            owned * 10 > mean * 7 && owned * 10 < mean * 13,
            "a member owns {owned} targets, the mean is {mean}"
        );
    }
}

/// Guards against a join that moves far more targets than the new member gains.
#[rstest]
#[case(2, 3, 1.3)]
#[case(2, 15, 1.3)]
#[case(7, 3, 2.0)]
#[case(13, 3, 2.0)]
#[case(7, 15, 2.0)]
#[case(13, 15, 2.0)]
fn a_join_moves_few_targets(#[case] replicas: u32, #[case] count: usize, #[case] factor: f64) {
    let larger = members(count + 1);
    // The member that joins is in the middle of the order of names.
    let mut smaller = larger.clone();
    smaller.remove(count / 2);
    let (before, after) = (owners(replicas, &smaller), owners(replicas, &larger));
    let pairs = before.iter().flatten().zip(after.iter().flatten());
    let moved = pairs.filter(|(before, after)| before != after).count();
    let share = moved as f64 / (SERVICE_COUNT * replicas as usize) as f64;
    let ideal = 1.0 / (count + 1) as f64;
    println!(
        "{replicas} replicas, {count} -> {} members: {share:.3} moved, {ideal:.3} at least",
        count + 1
    );
    assert!(share <= ideal * factor, "{share} of the targets moved");
}

/// Guards against ownership that depends on the incarnation of a member, so that a restart moves targets.
#[test]
fn a_restart_keeps_the_assignment() {
    let before = members(5);
    let mut after = before.clone();
    after[2].incarnation = Incarnation(9);
    assert_eq!(owners(3, &before), owners(3, &after));
}

/// Guards against a new cell that moves targets between other cells, or that takes far more or fewer
/// than its share of a quarter.
#[test]
fn a_new_cell_moves_only_targets_that_it_takes() {
    let cells = ["dc1-0", "dc1-1", "dc1-2", "dc1-3"];
    let mut taken = 0;
    for service in 0..SERVICE_COUNT {
        let service = format!("s{service}");
        let target = Target {
            index: "index",
            service: &service,
            replica: 0,
        };
        let before = cell_of(target, cells[..3].iter().copied());
        let after = cell_of(target, cells.iter().copied());
        if before != after {
            assert_eq!(after, Some("dc1-3"));
            taken += 1;
        }
    }
    assert!(
        (SERVICE_COUNT / 6..SERVICE_COUNT / 3).contains(&taken),
        "the new cell took {taken} of {SERVICE_COUNT} targets"
    );
}

/// Guards against a panic if a data centre has no cell or a cell has no member.
#[test]
fn target_without_cells_or_members_has_no_owner() {
    assert_eq!(owner_of("index", "s0", 0, &[]), None);
    let target = Target {
        index: "index",
        service: "s0",
        replica: 0,
    };
    assert_eq!(cell_of(target, []), None);
}
