//! Detects stalled gateways, which return no results, so that new subrequests avoid them.
//!
//! A frozen gateway keeps its connections open, and other nodes notice in their exchanges only after about
//! a second. Until then every subrequest sent to it would be lost.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Moment;

/// The time without a result after which a gateway with open subrequests is stalled.
///
/// It is many times the service time of a target; a gateway with several targets returns results much more
/// often.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// The time without a result after which a gateway is no longer treated as stalled: by then the exchanges
/// between nodes show whether it is alive.
pub const STALL_EXPIRY: Duration = Duration::from_secs(2);
/// The limit on gateways that are tracked; it exceeds the number of nodes to which one coordinator sends.
const MAX_TRACKED_GATEWAYS: usize = 4_096;

/// Tracks the progress of the batches at each gateway, by the name of its node.
#[derive(Debug, Default)]
pub struct StallDetector {
    gateways: HashMap<String, Gateway>,
}

#[derive(Debug)]
struct Gateway {
    /// The number of batches that have not ended.
    open_batches: u32,
    /// The moment of the last result, or of the first batch after a time without batches.
    last_progress: Moment,
}

impl StallDetector {
    /// Records that a batch of subrequests is sent to a gateway.
    pub fn batch_sent(&mut self, gateway_name: &str, now: Moment) {
        if let Some(gateway) = self.gateways.get_mut(gateway_name) {
            if gateway.open_batches == 0 {
                gateway.last_progress = now;
            }
            gateway.open_batches += 1;
        } else if self.gateways.len() < MAX_TRACKED_GATEWAYS {
            let gateway = Gateway {
                open_batches: 1,
                last_progress: now,
            };
            self.gateways.insert(gateway_name.to_owned(), gateway);
        }
    }

    /// Records that a gateway returned a result.
    pub fn result_received(&mut self, gateway_name: &str, now: Moment) {
        if let Some(gateway) = self.gateways.get_mut(gateway_name) {
            gateway.last_progress = now;
        }
    }

    /// Records that a batch has ended, whether or not all of its results arrived.
    pub fn batch_ended(&mut self, gateway_name: &str) {
        if let Some(gateway) = self.gateways.get_mut(gateway_name) {
            gateway.open_batches = gateway.open_batches.saturating_sub(1);
        }
    }

    /// Returns whether new subrequests should avoid the gateway.
    pub fn is_stalled(&self, gateway_name: &str, now: Moment) -> bool {
        self.gateways.get(gateway_name).is_some_and(|gateway| {
            let stalled_for = now.since(gateway.last_progress);
            gateway.open_batches > 0 && stalled_for >= STALL_THRESHOLD && stalled_for < STALL_EXPIRY
        })
    }
}
