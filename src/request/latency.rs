//! A percentile of recent latencies.

use std::time::Duration;

/// Recent latencies in buckets of an eighth of a power of two, with older ones losing weight.
///
/// `hdrhistogram` has no decay, and it computes a percentile over all of its buckets at each call.
#[derive(Debug, Clone)]
pub struct Latency {
    counts: [u16; Self::BUCKETS],
    total: u16,
    /// One latency in this number lies above the percentile.
    above: u16,
    /// The cached percentile in microseconds.
    high: u64,
}

impl Default for Latency {
    /// Opens an estimate of the 95th percentile.
    fn default() -> Self {
        Self::above(20)
    }
}

impl Latency {
    /// Buckets up to 2^26 microseconds, about 67 s, which exceeds the longest deadline.
    const BUCKETS: usize = 24 * 8;
    /// Weight at which all counts are halved; the estimate follows about this many latencies.
    const WINDOW: u16 = 1_024;
    /// Latencies before the estimate is used.
    const FEW: u16 = 20;
    /// Latencies between two computations of the percentile.
    const STRIDE: u16 = 16;

    /// Opens an estimate of the percentile above which one latency in `above` lies.
    pub const fn above(above: u16) -> Self {
        Self {
            counts: [0; Self::BUCKETS],
            total: 0,
            above,
            high: 0,
        }
    }

    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let bucket = Self::bucket(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= Self::WINDOW {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
        if self.total.is_multiple_of(Self::STRIDE) || self.total == Self::FEW {
            self.high = self.compute();
        }
    }

    /// Returns the percentile, once enough latencies are known.
    pub fn percentile(&self) -> Option<Duration> {
        (self.high > 0 && self.total >= Self::FEW).then(|| Duration::from_micros(self.high))
    }

    fn compute(&self) -> u64 {
        let above = self.total / self.above;
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate().rev() {
            seen += count;
            if seen > above {
                return Self::upper(bucket);
            }
        }
        0
    }

    /// Returns the bucket of a latency: three bits after the leading one select within a power of two.
    fn bucket(micros: u64) -> usize {
        let micros = micros.max(8);
        let power = micros.ilog2();
        let part = (micros >> (power - 3)) & 7;
        (((power - 3) * 8) as usize + part as usize).min(Self::BUCKETS - 1)
    }

    /// Returns the upper end of a bucket in microseconds.
    const fn upper(bucket: usize) -> u64 {
        (bucket as u64 % 8 + 9) << (bucket / 8)
    }
}
