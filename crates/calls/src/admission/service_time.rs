//! How long the target takes for a call.

use std::time::Duration;

/// Moving mean, mean deviation and lower end of the service time, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTimeEstimate {
    mean_us: f64,
    deviation_us: f64,
    shortest_us: f64,
}

impl ServiceTimeEstimate {
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample_us = sample.as_secs_f64() * 1e6;
        if self.mean_us == 0.0 {
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2.0;
            self.shortest_us = sample_us;
        } else {
            let error_us = sample_us - self.mean_us;
            // Gains of the TCP round-trip time estimator (RFC 6298): 1/8 and 1/4.
            self.mean_us += error_us / 8.0;
            self.deviation_us += (error_us.abs() - self.deviation_us) / 4.0;
            self.shortest_us =
                sample_us.min(self.shortest_us + (sample_us - self.shortest_us) / 64.0);
        }
    }

    /// Expected time of one call; zero before the first sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us / 1e6)
    }

    /// Time of the shortest recent calls. It falls at once and rises slowly, so that a few long calls
    /// do not hide that others are short.
    pub(crate) fn shortest(&self) -> Duration {
        Duration::from_secs_f64(self.shortest_us / 1e6)
    }

    /// Time within which nearly all calls end. Used once calls compete for slots, because a call
    /// that misses its deadline then takes the place of one that would not. With the mean alone,
    /// 6% of the slot time was lost to such calls when one tenant offered ten times the capacity.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64((self.mean_us + 2.0 * self.deviation_us) / 1e6)
    }
}
