//! Selection of the node addresses that a caller gets when it asks for an address list.
//!
//! Callers keep a list for [`LIST_LIFETIME`] and connect to its addresses directly, so a list holds several
//! addresses and their order spreads the load. See `docs/design.md`, sections 5 and 6.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::time::Moment;

/// How long callers may use an address list.
pub const LIST_LIFETIME: Duration = Duration::from_secs(2);
/// A node that was first seen more recently than this ranks after the other nodes of its data centre.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of addresses in a list; a caller needs a few of them to retry at, not all nodes.
pub const ADDRESSES_MAX: usize = 8;
/// Minimum number of addresses of other data centres in a full list, if so many nodes serve there, for the
/// case that the own data centre fails.
pub const REMOTE_ADDRESSES_MIN: usize = 2;

/// A node that may appear in an address list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// Whether the node is in the same data centre as the node that answers.
    pub local: bool,
    /// When the node that answers first saw this one as a member of its cell.
    pub first_seen: Moment,
    /// Whether the node takes callers; only [`State::Serving`] is listed.
    pub state: State,
}

/// Whether a node takes callers, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// The node answers exchanges and takes callers.
    Serving,
    /// The node announced a planned stop, or the membership list marks it as leaving.
    Stopping,
    /// The settings take the node or its data centre out of service.
    OutOfService,
    /// The node answered no exchange lately.
    Unresponsive,
}

/// Returns the addresses for one caller, in the order in which it should try them.
///
/// `random` decides the order among nodes of equal rank, so that callers spread over them. Nodes of the own
/// data centre come first, and among these the ones first seen within [`SLOW_START_WINDOW`] come last.
pub fn select<Random>(candidates: &[Candidate], random: &mut Random, now: Moment) -> Vec<SocketAddr>
where
    Random: Rng,
{
    let mut serving: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.state == State::Serving)
        .collect();
    serving.shuffle(random);
    // The sort is stable, so nodes of equal rank keep their random order.
    serving.sort_by_key(|candidate| {
        (
            !candidate.local,
            now.since(candidate.first_seen) < SLOW_START_WINDOW,
        )
    });
    let local_count = serving.iter().filter(|candidate| candidate.local).count();
    let remote_listed = (serving.len() - local_count)
        .min(REMOTE_ADDRESSES_MIN.max(ADDRESSES_MAX.saturating_sub(local_count)));
    let local_listed = local_count.min(ADDRESSES_MAX - remote_listed);
    serving[..local_listed]
        .iter()
        .chain(&serving[local_count..local_count + remote_listed])
        .map(|candidate| candidate.caller_address)
        .collect()
}
