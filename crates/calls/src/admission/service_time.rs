//! How long the target takes for a call.

use std::time::Duration;

/// Moving mean, mean deviation and lower end of the service time, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: f64,
    deviation: f64,
    short: f64,
}

impl ServiceTime {
    pub(crate) fn note(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64() * 1e6;
        if self.mean == 0.0 {
            self.mean = sample;
            self.deviation = sample / 2.0;
            self.short = sample;
        } else {
            let error = sample - self.mean;
            // The gains of the usual round-trip estimator: an eighth and a quarter.
            self.mean += error / 8.0;
            self.deviation += (error.abs() - self.deviation) / 4.0;
            self.short = sample.min(self.short + (sample - self.short) / 64.0);
        }
    }

    /// Expected time of one call; zero before the first sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean / 1e6)
    }

    /// Time of the shortest recent calls. It falls at once and rises slowly, so that a few long calls
    /// do not hide that others are short.
    pub(crate) fn shortest(&self) -> Duration {
        Duration::from_secs_f64(self.short / 1e6)
    }

    /// Time within which nearly all calls end. Used once calls compete for slots, because a call
    /// that misses its deadline then takes the place of one that would not. With the mean alone,
    /// 6% of the slot time was lost to such calls when one tenant offered ten times the capacity.
    pub(crate) fn cautious(&self) -> Duration {
        Duration::from_secs_f64((self.mean + 2.0 * self.deviation) / 1e6)
    }
}
