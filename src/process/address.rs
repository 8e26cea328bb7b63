//! The address lists that callers ask for.
//!
//! Callers keep a list for [`LIST_LIFETIME`] and connect to its addresses directly, so a list holds several
//! addresses and their order spreads the load. See `docs/design.md`, sections 5 and 6.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::time::Moment;

/// How long callers may use a list.
pub const LIST_LIFETIME: Duration = Duration::from_secs(2);
/// A node that joined more recently than this ranks after all others of its data centre.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(10);
/// Longest list; a caller needs a few addresses to retry at, not the whole fleet.
pub const ADDRESSES_MAX: usize = 8;
/// Addresses of other data centres at the end of a full list, for the case that the own one fails.
pub const REMOTE_ADDRESSES_MIN: usize = 2;

/// What a list needs to know of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Where callers reach the node.
    pub caller_address: SocketAddr,
    /// The node is in the data centre of the node that answers.
    pub local: bool,
    /// When the answering node first saw the node as a member.
    pub first_seen: Moment,
    /// How the node may be used.
    pub state: State,
}

/// Whether a node takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It answers exchanges and takes callers.
    Serving,
    /// It is stopping.
    Stopping,
    /// The settings take it or its data centre out of service.
    OutOfService,
    /// It did not answer lately.
    Unresponsive,
}

/// Returns the addresses to give to a caller, best first.
///
/// `random` decides the order among equals, so that callers spread over the nodes. Nodes that joined
/// lately come after the others of their data centre; if a data centre has only such nodes, they are
/// still preferred to those of other data centres.
pub fn select<Random>(candidates: &[Candidate], random: &mut Random, now: Moment) -> Vec<SocketAddr>
where
    Random: Rng,
{
    let mut serving: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.state == State::Serving)
        .collect();
    serving.shuffle(random);
    // The sort is stable and keeps the random order among equals.
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
