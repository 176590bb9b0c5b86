//! How long the target takes for a call.

use std::time::Duration;

/// Moving mean and mean deviation of the service time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean_us: f64,
    deviation_us: f64,
}

impl ServiceTime {
    pub(crate) fn note(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64() * 1e6;
        if self.mean_us == 0.0 {
            self.mean_us = sample;
            self.deviation_us = sample / 2.0;
        } else {
            let error = sample - self.mean_us;
            // The gains of the usual round-trip estimator: an eighth and a quarter.
            self.mean_us += error / 8.0;
            self.deviation_us += (error.abs() - self.deviation_us) / 4.0;
        }
    }

    /// Expected time of one call; zero before the first sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us / 1e6)
    }

    /// Time within which nearly all calls end. Used once calls compete for slots, because a call
    /// that misses its deadline then takes the place of one that would not. With the mean alone,
    /// 6% of the slot time was lost to such calls when one tenant offered ten times the capacity.
    pub(crate) fn cautious(&self) -> Duration {
        Duration::from_secs_f64((self.mean_us + 2.0 * self.deviation_us) / 1e6)
    }
}
