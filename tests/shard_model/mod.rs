//! A model of the targets of queries over all shards, for tests that play load in virtual time.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use rand::Rng;
use rand_pcg::Pcg32;

pub const SHARDS: usize = 20;
const SHARDS_NEEDED: usize = 18;
/// Slots of each shard: two targets with two slots each, modelled as one queue.
const SLOTS_PER_SHARD: usize = 4;
const QUEUE_PER_SHARD_MAX: usize = 24;
const WORK_MS: f64 = 12.5;
const NETWORK_MS: u64 = 5;
/// The time within which an answer counts: the latency objective less the time for the reply.
const ANSWER_LIMIT_MS: u64 = 124;
/// Queries per second that the targets can run.
pub const CAPACITY_PER_SECOND: f64 = SLOTS_PER_SHARD as f64 * 1e3 / WORK_MS;

/// The targets of all shards.
pub struct ShardModel {
    /// For each shard, when each slot becomes free.
    slots: Vec<Vec<u64>>,
    /// For each shard, when each queued subrequest starts to run.
    waiting: Vec<Vec<u64>>,
    /// The multiple of its usual time that a subrequest takes.
    pub slowdown: f64,
}

/// The answer to one subrequest.
pub struct Subresult {
    /// When the answer arrives, in microseconds.
    pub at_us: u64,
    pub took_us: u64,
    /// The time as a multiple of that of a subrequest that does not wait, in thousandths.
    pub ratio_per_mille: u64,
}

impl ShardModel {
    pub fn new() -> Self {
        Self {
            slots: vec![vec![0; SLOTS_PER_SHARD]; SHARDS],
            waiting: vec![Vec::new(); SHARDS],
            slowdown: 1.0,
        }
    }

    /// Sends a query to all shards and returns the answers of those whose queues have room.
    pub fn send(&mut self, now_us: u64, random: &mut Pcg32) -> Vec<Subresult> {
        let mut results = Vec::with_capacity(SHARDS);
        for (slots, waiting) in self.slots.iter_mut().zip(&mut self.waiting) {
            waiting.retain(|start| *start > now_us);
            if waiting.len() >= QUEUE_PER_SHARD_MAX {
                continue;
            }
            let free = slots.iter_mut().min().expect("a shard has slots");
            let start = (*free).max(now_us);
            let work = WORK_MS * self.slowdown * (0.6 + 0.8 * random.random::<f64>());
            *free = start + (work * 1e3) as u64;
            let at_us = *free + NETWORK_MS * 1_000;
            waiting.push(start);
            let took_us = at_us - now_us;
            let ratio = took_us as f64 / ((WORK_MS + NETWORK_MS as f64) * 1e3);
            results.push(Subresult {
                at_us,
                took_us,
                ratio_per_mille: (ratio * 1e3) as u64,
            });
        }
        results
    }
}

/// Tells whether enough shards answer at all for the query to have an answer.
pub const fn is_answered(results: &[Subresult]) -> bool {
    results.len() >= SHARDS_NEEDED
}

/// Tells whether enough answers come in time for the query to count as answered.
pub fn is_in_time(results: &[Subresult]) -> bool {
    let in_time = |it: &&Subresult| it.took_us <= ANSWER_LIMIT_MS * 1_000;
    results.iter().filter(in_time).count() >= SHARDS_NEEDED
}
