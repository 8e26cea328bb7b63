//! Assigns each target to a cell and to one member of that cell, its owner, by rendezvous hashing.
//!
//! A target belongs to one cell of its data centre and to one member of that cell. The replicas of a
//! service have different owners if the cell has enough members. See `docs/design.md`, section 5.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use super::cell::MEMBERS_MAX;
use crate::wire::Member;

/// The attributes of a target that decide its cell and its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target<'a> {
    /// The name of the index.
    pub index: &'a str,
    /// The name of the service.
    pub service: &'a str,
    /// The number of the replica within the service, from zero.
    pub replica: u32,
}

/// Returns the cell that a target belongs to, out of the cells of its data centre.
///
/// Returns nothing if `cells` is empty.
pub fn cell_of<'c, Cells>(target: Target<'_>, cells: Cells) -> Option<&'c str>
where
    Cells: IntoIterator<Item = &'c str>,
{
    cells
        .into_iter()
        .max_by_key(|cell| (rendezvous_weight(target, cell), *cell))
}

/// Returns the member that owns a replica of a service, or nothing if there are no members.
///
/// The replicas are assigned in the order of their numbers, each to the member with the highest
/// rendezvous weight among those whose load allows it. The first replicas, as many as there are
/// members, go to different members. Later ones go to members that own at most one replica more than
/// the mean. This slack lets most replicas keep their owner when the number of members changes;
/// assignment by the replica number modulo the number of members would move most of them.
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

/// The largest replica number with an owner of its own; larger numbers get the owner of this one.
///
/// The limit bounds the work for one replica, so that a wrong number cannot stall a node.
pub const REPLICA_NUMBER_MAX: u32 = 1_024;

/// Returns the weight of a candidate (a cell or a member) for a target, equal on every node.
fn rendezvous_weight(target: Target<'_>, candidate: &str) -> u64 {
    let mut hash = hash_parts([target.index, target.service, candidate]);
    hash.update(&target.replica.to_le_bytes());
    hash.digest()
}

/// Returns the state of a hash of texts, in which their lengths count too, so that no other texts have the same hash by
/// design.
pub fn hash_parts<'a, Parts>(parts: Parts) -> Xxh3
where
    Parts: IntoIterator<Item = &'a str>,
{
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash
}
