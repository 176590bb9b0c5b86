//! An open-loop load generator.
//!
//! Each call has a scheduled start time that is fixed before the load starts, and its latency is
//! measured from that time. A slow answer therefore does not delay later calls, and the delay of a
//! call that was sent late is part of its latency (no coordinated omission).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result};
use reqwest::Client;
use serde_json::Value;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::statistics::new_histogram;

/// Maximum number of calls in flight. A call that is due beyond this limit is counted as not sent,
/// which bounds the number of open connections when no call is answered.
const MAX_IN_FLIGHT_CALLS: usize = 4_096;

/// Delay between the start of [`run_load`] and the first scheduled call.
const START_DELAY: Duration = Duration::from_millis(5);

/// Arrival rate, duration and request parameters of one load.
#[derive(Clone, Debug)]
pub(super) struct LoadProfile {
    /// Base URLs, used in round-robin order.
    pub(super) base_urls: Vec<String>,
    /// Path prefix; the number of the call is appended to make each path unique.
    pub(super) path: String,
    /// Arrival rate in calls per second.
    pub(super) rate: f64,
    pub(super) duration: Duration,
    /// Deadline of each call in milliseconds, sent as a header.
    pub(super) deadline_ms: u64,
}

impl LoadProfile {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate and the duration are positive and bounded by the argument parser"
    )]
    fn call_count(&self) -> u32 {
        (self.rate * self.duration.as_secs_f64()).round() as u32
    }
}

/// Outcome of a call for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallOutcome {
    /// Complete answer of a target that echoes the path of this call.
    Answered,
    /// A node reported that no target ran the call.
    NotRun,
    /// A node reported that the call may have run.
    Unknown,
    /// Answer with a status other than success.
    Failed,
    /// Answer that belongs to another call.
    Wrong,
    /// No HTTP answer, or a truncated one.
    Lost,
}

/// Measurements of one completed call.
struct CallSample {
    outcome: CallOutcome,
    /// Time from the scheduled start to the end of the call.
    latency_us: u64,
    /// Time from the scheduled start to the actual start of the call.
    send_lag_us: u64,
}

/// Number of calls by outcome, and latencies, of one load.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    pub(super) offered: u64,
    pub(super) answered: u64,
    /// Calls answered within the deadline, measured from their scheduled start.
    pub(super) in_time: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) wrong: u64,
    pub(super) lost: u64,
    /// Calls not sent because [`MAX_IN_FLIGHT_CALLS`] calls were in flight.
    pub(super) not_sent: u64,
    pub(super) seconds: f64,
    /// Latencies of answered calls, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Delays between scheduled and actual start of the calls, in microseconds.
    pub(super) send_lag: Histogram<u64>,
}

impl Default for LoadResult {
    fn default() -> Self {
        Self {
            offered: 0,
            answered: 0,
            in_time: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            wrong: 0,
            lost: 0,
            not_sent: 0,
            seconds: 0.0,
            latency: new_histogram(),
            send_lag: new_histogram(),
        }
    }
}

impl LoadResult {
    fn record(&mut self, sample: &CallSample, deadline_ms: u64) {
        self.send_lag.saturating_record(sample.send_lag_us);
        match sample.outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                self.in_time += u64::from(sample.latency_us <= deadline_ms * 1_000);
                self.latency.saturating_record(sample.latency_us);
            }
            CallOutcome::NotRun => self.not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::Wrong => self.wrong += 1,
            CallOutcome::Lost => self.lost += 1,
        }
    }

    /// Adds the results of another slice of the same load.
    pub(super) fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.in_time += other.in_time;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.lost += other.lost;
        self.not_sent += other.not_sent;
        self.seconds += other.seconds;
        for (total, part) in [
            (&mut self.latency, &other.latency),
            (&mut self.send_lag, &other.send_lag),
        ] {
            total
                .add(part)
                .expect("all histograms have the same bounds");
        }
    }
}

/// Sends the calls of `profile` and waits until each has ended.
///
/// # Errors
///
/// Fails if the dispatcher thread panicked.
pub(super) async fn run_load(client: &Client, profile: LoadProfile) -> Result<LoadResult> {
    let (sender, mut samples) = unbounded_channel();
    let mut result = LoadResult {
        offered: u64::from(profile.call_count()),
        seconds: profile.duration.as_secs_f64(),
        ..Default::default()
    };
    let (client, runtime) = (client.clone(), Handle::current());
    let deadline_ms = profile.deadline_ms;
    // A dedicated thread sleeps more precisely than the runtime's timer, which has a resolution of
    // one millisecond.
    let dispatcher =
        tokio::task::spawn_blocking(move || dispatch_calls(&client, &profile, &runtime, &sender));
    while let Some(sample) = samples.recv().await {
        result.record(&sample, deadline_ms);
    }
    result.not_sent = dispatcher.await.into_diagnostic()?;
    Ok(result)
}

/// Starts each call at its scheduled time; returns the number of calls that were not sent.
fn dispatch_calls(
    client: &Client,
    profile: &LoadProfile,
    runtime: &Handle,
    samples: &UnboundedSender<CallSample>,
) -> u64 {
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT_CALLS));
    let start = Instant::now() + START_DELAY;
    let mut not_sent = 0;
    for number in 0..profile.call_count() {
        let due = start + Duration::from_secs_f64(f64::from(number) / profile.rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if samples.is_closed() {
            // The measurement was interrupted.
            break;
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            not_sent += 1;
            continue;
        };
        let base_url = &profile.base_urls[number as usize % profile.base_urls.len()];
        let path = format!("{}/{number}", profile.path);
        let request = client
            .get(format!("{base_url}{path}"))
            .header("agatedeck-deadline-ms", profile.deadline_ms)
            .header("agatedeck-tenant", "bench");
        runtime.spawn(send_call(request, path, due, permit, samples.clone()));
    }
    not_sent
}

async fn send_call(
    request: reqwest::RequestBuilder,
    path: String,
    due: Instant,
    _permit: OwnedSemaphorePermit,
    samples: UnboundedSender<CallSample>,
) {
    let send_lag_us = elapsed_us(due);
    let outcome = receive_outcome(request, &path).await;
    let latency_us = elapsed_us(due);
    // The receiver is dropped only if the measurement was interrupted.
    let _ = samples.send(CallSample {
        outcome,
        latency_us,
        send_lag_us,
    });
}

async fn receive_outcome(request: reqwest::RequestBuilder, path: &str) -> CallOutcome {
    let Ok(response) = request.send().await else {
        return CallOutcome::Lost;
    };
    let outcome_header = response.headers().get("agatedeck-outcome");
    match outcome_header.and_then(|outcome| outcome.to_str().ok()) {
        Some("not-run") => return CallOutcome::NotRun,
        Some("unknown") => return CallOutcome::Unknown,
        // Targets that are called directly send no outcome header.
        _ => {}
    }
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return CallOutcome::Lost;
    };
    if !status.is_success() {
        return CallOutcome::Failed;
    }
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if body["path"] == path {
        CallOutcome::Answered
    } else {
        CallOutcome::Wrong
    }
}

fn elapsed_us(due: Instant) -> u64 {
    u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX)
}
