//! Which gateways give no results at the moment, so that new subrequests avoid them.
//!
//! A frozen gateway keeps its connections open, and other nodes miss it in exchanges only after about
//! a second. Until then every subrequest sent to it would be lost.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Moment;

/// The time without any result from a gateway with subrequests under way after which it counts as silent.
///
/// It exceeds the service times of today many times over; a gateway with several targets gives some
/// result much more often.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// How long silence counts; by then the exchanges between nodes tell whether the gateway is there.
pub const STALL_EXPIRY: Duration = Duration::from_secs(2);
/// Gateways that are remembered; it exceeds the nodes that one coordinator sends to.
const MAX_TRACKED_GATEWAYS: usize = 4_096;

/// What is under way at the gateways, by the name of the node.
#[derive(Debug, Default)]
pub struct StallDetector {
    gateways: HashMap<String, Gateway>,
}

#[derive(Debug)]
struct Gateway {
    /// Batches without their last result.
    batches: u32,
    /// The last result, or the first sending after a time without batches.
    progress: Moment,
}

impl StallDetector {
    /// Records that a batch is sent.
    pub fn batch_sent(&mut self, gateway: &str, now: Moment) {
        if let Some(known) = self.gateways.get_mut(gateway) {
            if known.batches == 0 {
                known.progress = now;
            }
            known.batches += 1;
        } else if self.gateways.len() < MAX_TRACKED_GATEWAYS {
            let fresh = Gateway {
                batches: 1,
                progress: now,
            };
            self.gateways.insert(gateway.to_owned(), fresh);
        }
    }

    /// Records that a result came.
    pub fn result_received(&mut self, gateway: &str, now: Moment) {
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.progress = now;
        }
    }

    /// Records that a batch has ended, with or without all of its results.
    pub fn batch_ended(&mut self, gateway: &str) {
        if let Some(known) = self.gateways.get_mut(gateway) {
            known.batches = known.batches.saturating_sub(1);
        }
    }

    /// Tells whether new subrequests should avoid the gateway.
    pub fn is_stalled(&self, gateway: &str, now: Moment) -> bool {
        self.gateways.get(gateway).is_some_and(|known| {
            let silent = now.since(known.progress);
            known.batches > 0 && silent >= STALL_THRESHOLD && silent < STALL_EXPIRY
        })
    }
}
