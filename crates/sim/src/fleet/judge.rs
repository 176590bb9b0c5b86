//! Compares what nodes in touch have in force with what is confirmed.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::ReaderState;

use super::{Event, SimulatedFleet};
use crate::lag::{ConfirmedVersion, LagSample};

/// Time between two looks at all nodes.
const JUDGE_INTERVAL: Duration = Duration::from_millis(50);

/// What the bound is at a moment.
#[derive(Clone, Copy, Debug)]
struct CurrentBound {
    bound: Duration,
    is_stable: bool,
}

impl SimulatedFleet<'_> {
    pub(super) fn judge(&mut self) {
        let now = self.now();
        if let Some(current) = self.current_bound() {
            for host in 0..self.hosts.len() {
                self.judge_host(host, current);
            }
        }
        let running = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let readers = running.filter_map(|process| process.reader.as_ref());
        let leaders = readers.filter(|reader| reader.state() == ReaderState::Leading);
        self.report.max_leaders = self.report.max_leaders.max(leaders.count());
        self.schedule(now.after(JUDGE_INTERVAL), Event::Judge);
    }

    /// The bound in force; `None` while an outage of the store excuses any lag.
    fn current_bound(&self) -> Option<CurrentBound> {
        let now = self.now();
        let (settings, store) = (self.settings, &self.store);
        if store.outages > 0 || now < store.outage_until {
            return None;
        }
        let is_stable = store.disturbances == 0 && now >= store.disturbed_until;
        let extension = if is_stable {
            Duration::ZERO
        } else {
            settings.unstable_bound_extension
        };
        Some(CurrentBound {
            bound: settings.bound + extension,
            is_stable,
        })
    }

    fn judge_host(&mut self, host: usize, current: CurrentBound) {
        let now = self.now();
        let place = &self.hosts[host];
        let Some(process) = place.process.as_ref().filter(|_| place.is_in_touch(now)) else {
            return;
        };
        let held = process.current_version();
        let first_missing = self
            .confirmed
            .partition_point(|confirmed| confirmed.version <= held);
        let Some(missing) = self.confirmed.get_mut(first_missing..) else {
            return;
        };
        let Some(oldest) = missing.first() else {
            return;
        };
        let sample = LagSample {
            node: place.name.clone(),
            at: now,
            held,
            missing: oldest.version,
            lag: now.since(oldest.confirmed_at),
            bound: current.bound,
        };
        for confirmed in missing {
            confirmed.last_missing_at = Some(now);
        }
        self.report.record(&sample, current.is_stable);
    }

    pub(super) fn finish_report(&mut self) {
        let spread = |confirmed: &ConfirmedVersion| {
            let until: Option<Instant> = confirmed.last_missing_at;
            until.map_or(Duration::ZERO, |until| until.since(confirmed.confirmed_at))
        };
        self.report.spread_times = self.confirmed.iter().map(spread).collect();
        self.report.spread_times.sort_unstable();
        self.report.versions = self.confirmed.len();
        self.report.store_calls = self.store.calls;
    }
}
