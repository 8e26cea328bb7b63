//! The share of a service's requests that one node sends to a new version.

/// The part of [`canary_share`](super::Bounds::canary_share) that canaries use. The rest is for the requests that reach a
/// version between the start of the shift and the verdict on it.
pub const SHARE_USED: f64 = 0.7;
/// The part of [`canary_slack`](super::Bounds::canary_slack) that canaries use, for the same reason: at 40 requests a second
/// and a heartbeat of 300 ms, about 40 requests reach a version that fails only once all traffic goes to it.
pub const SLACK_USED: f64 = 0.3;

/// Counts the requests of a service at one node, and those of them that went to the new version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    seen: u64,
    sent: u64,
}

impl Share {
    /// Tells whether the next request may go to the new version: then at most `share` of all requests have gone there,
    /// plus `extra`.
    pub fn admits(&self, share: f64, extra: u32) -> bool {
        (self.sent + 1) as f64 <= share * (self.seen + 1) as f64 + f64::from(extra)
    }

    /// Counts a request.
    pub const fn record(&mut self, to_new: bool) {
        self.seen += 1;
        self.sent += to_new as u64;
    }

    /// Returns the number of requests that went to the new version.
    pub const fn sent(&self) -> u64 {
        self.sent
    }
}

/// Returns a node's part of a slack of whole requests that `nodes` nodes share; `rank` is its place among them, from zero.
/// The parts sum up to the slack.
pub const fn slack_part(slack: u32, rank: u32, nodes: u32) -> u32 {
    let nodes = if nodes == 0 { 1 } else { nodes };
    slack / nodes + (rank < slack % nodes) as u32
}
