//! CPU time, messages and bytes that decisions cost per event.

use std::time::Instant;

use agatedeck_wire::ControlPlaneRequest;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

use super::series::SeriesTable;
use crate::report::BenchReport;
use crate::statistics::u64_to_f64;

/// Number of batches that the events of one kind are timed in. Taking the median over the batches
/// excludes those in which the thread was preempted.
const BATCH_COUNT: u32 = 20;

/// Count and encoded size of the requests that decisions ask to send. Framing, the `tarpc` envelope
/// and responses are not included.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MessageTotals {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

impl MessageTotals {
    /// Adds `request` at its encoded size.
    pub(super) fn count_request(&mut self, request: &ControlPlaneRequest) -> Result<()> {
        let encoded = postcard::to_stdvec(request).into_diagnostic()?;
        self.messages += 1;
        self.bytes += u64::try_from(encoded.len()).into_diagnostic()?;
        Ok(())
    }
}

/// Measured cost of one kind of event at one size of its driver.
#[derive(Clone, Debug, Serialize)]
pub(super) struct EventCost {
    pub(super) role: &'static str,
    pub(super) event: &'static str,
    /// Independent variable, for example `members` or `services`.
    pub(super) driver: &'static str,
    /// Value of the driver.
    pub(super) size: usize,
    /// Whether `size` is the two-year size, for which the load per day is reported.
    pub(super) full_size: bool,
    pub(super) events: u32,
    pub(super) cpu_us_per_event: f64,
    pub(super) messages_per_event: f64,
    pub(super) bytes_per_event: f64,
    /// Events per node on an ordinary day at the two-year size, where the design states a number.
    pub(super) events_per_day: Option<f64>,
    /// Memory in bytes, for entries that measure state instead of events.
    pub(super) state_bytes: Option<u64>,
}

/// Benchmark of one kind of event at one size of its driver.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventBenchmark {
    pub(super) role: &'static str,
    pub(super) event: &'static str,
    pub(super) driver: &'static str,
    pub(super) size: usize,
    pub(super) full_size: bool,
    pub(super) events: u32,
    pub(super) events_per_day: Option<f64>,
}

impl EventBenchmark {
    /// Runs `handle_event` for each event and measures it. `count_messages` counts the messages in
    /// the results after the timed section, because encoding is not part of a decision.
    ///
    /// # Errors
    ///
    /// Returns the errors of `count_messages`.
    pub(super) fn measure<T>(
        self,
        mut handle_event: impl FnMut(u32) -> T,
        count_messages: impl Fn(&T, &mut MessageTotals) -> Result<()>,
    ) -> Result<EventCost> {
        let mut results = Vec::with_capacity(self.events as usize);
        // Decisions never block, so the elapsed time of a batch without preemption equals its CPU
        // time. The kernel's own CPU accounting is updated only every few milliseconds.
        let events_per_batch = (self.events / BATCH_COUNT).max(1);
        let mut batch_times_us = Vec::new();
        let mut batch_start = Instant::now();
        for number in 0..self.events {
            results.push(handle_event(number));
            if (number + 1) % events_per_batch == 0 {
                batch_times_us
                    .push(batch_start.elapsed().as_secs_f64() * 1e6 / f64::from(events_per_batch));
                batch_start = Instant::now();
            }
        }
        batch_times_us.sort_by(f64::total_cmp);
        let mut totals = MessageTotals::default();
        for result in &results {
            count_messages(result, &mut totals)?;
        }
        let events = f64::from(self.events);
        Ok(EventCost {
            role: self.role,
            event: self.event,
            driver: self.driver,
            size: self.size,
            full_size: self.full_size,
            events: self.events,
            cpu_us_per_event: batch_times_us[batch_times_us.len() / 2],
            messages_per_event: u64_to_f64(totals.messages) / events,
            bytes_per_event: u64_to_f64(totals.bytes) / events,
            events_per_day: self.events_per_day,
            state_bytes: None,
        })
    }

    /// Measures events that send no messages.
    pub(super) fn measure_without_messages<T>(
        self,
        handle_event: impl FnMut(u32) -> T,
    ) -> Result<EventCost> {
        self.measure(handle_event, |_, _| Ok(()))
    }
}

const SECONDS_PER_DAY: f64 = 86_400.0;

const DECISION_TABLE_TITLE: &str = "decisions of one node at the two-year size";
const DECISION_TABLE_HEADER: [&str; 9] = [
    "role",
    "event",
    "events",
    "us CPU",
    "messages",
    "bytes",
    "per day",
    "% of a core",
    "B/s",
];

impl EventCost {
    /// Writes a `decision` line and, at the two-year size, the table rows.
    pub(super) fn write_report(&self, seed: u64, report: &mut BenchReport) -> Result<()> {
        #[derive(Serialize)]
        struct DecisionRecord<'a> {
            seed: u64,
            #[serde(flatten)]
            cost: &'a EventCost,
        }
        report.write_record("decision", &DecisionRecord { seed, cost: self })?;
        if !self.full_size {
            return Ok(());
        }
        let events_per_second = self.events_per_day.map(|events| events / SECONDS_PER_DAY);
        let format_rate =
            |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.4}"));
        let cells = vec![
            self.role.to_owned(),
            self.event.to_owned(),
            self.events.to_string(),
            format!("{:.3}", self.cpu_us_per_event),
            format!("{:.2}", self.messages_per_event),
            format!("{:.1}", self.bytes_per_event),
            self.events_per_day
                .map_or("-".to_owned(), |events| format!("{events:.1}")),
            format_rate(events_per_second.map(|rate| rate * self.cpu_us_per_event / 1e4)),
            format_rate(events_per_second.map(|rate| rate * self.bytes_per_event)),
        ];
        report.add_row(DECISION_TABLE_TITLE, &DECISION_TABLE_HEADER, cells);
        if let Some(state) = self.state_bytes {
            let cells = vec![
                self.role.to_owned(),
                self.event.to_owned(),
                self.size.to_string(),
                state.to_string(),
            ];
            report.add_row("state in bytes", &["role", "event", "size", "bytes"], cells);
        }
        Ok(())
    }

    /// Adds the measured values to the series of this role and event.
    pub(super) fn add_to_series(&self, table: &mut SeriesTable) {
        let role = format!("{}, {}", self.role, self.event);
        let size = crate::statistics::usize_to_f64(self.size);
        let cpu_point = (size, self.cpu_us_per_event);
        if self.events > 0 {
            table.add_point(self.driver, &role, "CPU us/event", cpu_point);
        }
        if self.bytes_per_event > 0.0 {
            let bytes_point = (size, self.bytes_per_event);
            table.add_point(self.driver, &role, "bytes/event", bytes_point);
        }
        if let Some(state) = self.state_bytes {
            table.add_point(self.driver, &role, "state bytes", (size, u64_to_f64(state)));
        }
    }
}
