//! Estimates a percentile of recent latencies.

use std::time::Duration;

/// A histogram of recent latencies whose older samples lose weight.
///
/// Each power of two is divided into eight buckets.
///
/// `hdrhistogram` has no decay and computes a percentile over all of its buckets at each call.
#[derive(Debug, Clone)]
pub struct LatencyEstimator {
    counts: [u16; Self::BUCKET_COUNT],
    sample_count: u16,
    /// One sample in this number lies above the percentile: 20 stands for the 95th.
    tail_divisor: u16,
    /// The percentile as last computed, in microseconds; zero before the first time.
    percentile_us: u64,
}

impl Default for LatencyEstimator {
    /// Creates an estimator of the 95th percentile.
    fn default() -> Self {
        Self::with_tail_divisor(20)
    }
}

impl LatencyEstimator {
    /// The number of buckets: up to 2^26 microseconds, about 67 s, which exceeds the longest deadline.
    const BUCKET_COUNT: usize = 24 * 8;
    /// The total count at which all counts are halved; the estimate follows about this many samples.
    const WINDOW_SAMPLES: u16 = 1_024;
    /// The number of samples below which there is no estimate.
    const MIN_SAMPLES: u16 = 20;
    /// The number of samples between two computations of the percentile.
    const RECOMPUTE_INTERVAL_SAMPLES: u16 = 16;

    /// Creates an estimator of the percentile above which one sample in `tail_divisor` lies.
    pub const fn with_tail_divisor(tail_divisor: u16) -> Self {
        Self {
            counts: [0; Self::BUCKET_COUNT],
            sample_count: 0,
            tail_divisor,
            percentile_us: 0,
        }
    }

    /// Adds one sample; one beyond the last bucket counts in it.
    pub fn record(&mut self, latency: Duration) {
        let bucket = Self::bucket(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        self.counts[bucket] += 1;
        self.sample_count += 1;
        if self.sample_count >= Self::WINDOW_SAMPLES {
            self.sample_count = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.sample_count += *count;
            }
        }
        if self
            .sample_count
            .is_multiple_of(Self::RECOMPUTE_INTERVAL_SAMPLES)
            || self.sample_count == Self::MIN_SAMPLES
        {
            self.percentile_us = self.compute_percentile_us();
        }
    }

    /// Returns the upper bound of the bucket of the percentile, or `None` while there are too few samples.
    pub fn percentile(&self) -> Option<Duration> {
        (self.percentile_us > 0 && self.sample_count >= Self::MIN_SAMPLES)
            .then(|| Duration::from_micros(self.percentile_us))
    }

    fn compute_percentile_us(&self) -> u64 {
        let max_above = self.sample_count / self.tail_divisor;
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate().rev() {
            seen += count;
            if seen > max_above {
                return Self::upper_bound_us(bucket);
            }
        }
        0
    }

    /// Returns the bucket of a latency: the three bits after the leading one divide a power of two.
    fn bucket(latency_us: u64) -> usize {
        let latency_us = latency_us.max(8);
        let power = latency_us.ilog2();
        let part = (latency_us >> (power - 3)) & 7;
        (((power - 3) * 8) as usize + part as usize).min(Self::BUCKET_COUNT - 1)
    }

    /// Returns the exclusive upper bound of a bucket, in microseconds.
    const fn upper_bound_us(bucket: usize) -> u64 {
        (bucket as u64 % 8 + 9) << (bucket / 8)
    }
}
