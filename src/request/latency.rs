//! A percentile of recent latencies.

use std::time::Duration;

/// Recent latencies in buckets of an eighth of a power of two, with older ones losing weight.
///
/// `hdrhistogram` has no decay, and it computes a percentile over all of its buckets at each call.
#[derive(Debug, Clone)]
pub struct LatencyEstimator {
    counts: [u16; Self::BUCKET_COUNT],
    total: u16,
    /// One latency in this number lies above the percentile.
    tail_divisor: u16,
    /// The cached percentile in microseconds.
    percentile_us: u64,
}

impl Default for LatencyEstimator {
    /// Opens an estimate of the 95th percentile.
    fn default() -> Self {
        Self::with_tail_divisor(20)
    }
}

impl LatencyEstimator {
    /// Buckets up to 2^26 microseconds, about 67 s, which exceeds the longest deadline.
    const BUCKET_COUNT: usize = 24 * 8;
    /// Weight at which all counts are halved; the estimate follows about this many latencies.
    const WINDOW_SAMPLES: u16 = 1_024;
    /// Latencies before the estimate is used.
    const MIN_SAMPLES: u16 = 20;
    /// Latencies between two computations of the percentile.
    const RECOMPUTE_INTERVAL_SAMPLES: u16 = 16;

    /// Opens an estimate of the percentile above which one latency in `above` lies.
    pub const fn with_tail_divisor(tail_divisor: u16) -> Self {
        Self {
            counts: [0; Self::BUCKET_COUNT],
            total: 0,
            tail_divisor,
            percentile_us: 0,
        }
    }

    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let bucket = Self::bucket(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= Self::WINDOW_SAMPLES {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
        if self.total.is_multiple_of(Self::RECOMPUTE_INTERVAL_SAMPLES)
            || self.total == Self::MIN_SAMPLES
        {
            self.percentile_us = self.compute_percentile_us();
        }
    }

    /// Returns the percentile, once enough latencies are known.
    pub fn percentile(&self) -> Option<Duration> {
        (self.percentile_us > 0 && self.total >= Self::MIN_SAMPLES)
            .then(|| Duration::from_micros(self.percentile_us))
    }

    fn compute_percentile_us(&self) -> u64 {
        let above = self.total / self.tail_divisor;
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate().rev() {
            seen += count;
            if seen > above {
                return Self::upper_bound_us(bucket);
            }
        }
        0
    }

    /// Returns the bucket of a latency: three bits after the leading one select within a power of two.
    fn bucket(latency_us: u64) -> usize {
        let latency_us = latency_us.max(8);
        let power = latency_us.ilog2();
        let part = (latency_us >> (power - 3)) & 7;
        (((power - 3) * 8) as usize + part as usize).min(Self::BUCKET_COUNT - 1)
    }

    /// Returns the upper end of a bucket in microseconds.
    const fn upper_bound_us(bucket: usize) -> u64 {
        (bucket as u64 % 8 + 9) << (bucket / 8)
    }
}
