//! Assignment of targets to cells and to members, by rendezvous hashing.
//!
//! `docs/design.md`, section 5: each target belongs to one cell of its data centre and to one member
//! of that cell, and replicas of a service have different owners where there are enough members.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use super::cell::MEMBERS_MAX;
use crate::wire::Member;

/// What ownership needs to know of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target<'a> {
    /// The name of the index.
    pub index: &'a str,
    /// The name of the service.
    pub service: &'a str,
    /// The number of the replica within the service.
    pub replica: u32,
}

/// Returns the cell of a data centre that a target belongs to.
pub fn cell_of<'c, Cells>(target: Target<'_>, cells: Cells) -> Option<&'c str>
where
    Cells: IntoIterator<Item = &'c str>,
{
    cells
        .into_iter()
        .max_by_key(|cell| (rendezvous_weight(target, cell), *cell))
}

/// Returns the member that owns a replica of a service.
///
/// The replicas are assigned in order, each to the member with the highest weight among those whose
/// load allows it: the first replicas, as many as there are members, go to different members, and
/// later ones to members at most one above the mean. That slack keeps replicas in position when the
/// number of members changes; ranks modulo the number of members would move most of them.
pub fn owner_of<'m>(
    index: &str,
    service: &str,
    replica: u32,
    members: &'m [Member],
) -> Option<&'m Member> {
    let mut loads: SmallVec<[usize; MEMBERS_MAX]> = SmallVec::from_elem(0, members.len());
    let mut owner = None;
    for replica in 0..=replica.min(REPLICA_NUMBER_MAX) {
        let target = Target {
            index,
            service,
            replica,
        };
        let full_rounds = (replica as usize).checked_div(members.len())?;
        let load_limit = if full_rounds == 0 { 0 } else { full_rounds + 1 };
        let position = (0..members.len())
            .filter(|&position| loads[position] <= load_limit)
            .max_by_key(|&position| {
                let name = members[position].name.as_str();
                (rendezvous_weight(target, name), name)
            })?;
        loads[position] += 1;
        owner = members.get(position);
    }
    owner
}

/// Replica numbers beyond this limit share its owner, so that a wrong number cannot stall a node.
pub const REPLICA_NUMBER_MAX: u32 = 1_024;

fn rendezvous_weight(target: Target<'_>, candidate: &str) -> u64 {
    let mut hash = Xxh3::new();
    for part in [target.index, target.service, candidate] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&target.replica.to_le_bytes());
    hash.digest()
}
