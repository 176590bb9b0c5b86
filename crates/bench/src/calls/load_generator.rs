//! An open-loop load generator.
//!
//! Each call has a time at which it is due, fixed before the load starts, and its latency counts
//! from that time. A slow answer therefore delays no later call, and the wait of a call that was
//! sent late is part of its latency.

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

/// Calls under way at the same time; a call that is due beyond them is counted as not sent. Bounds
/// the open connections when nothing is answered.
const MAX_IN_FLIGHT: usize = 4_096;

/// Time between the call of [`run_load`] and the first call.
const START_DELAY: Duration = Duration::from_millis(5);

/// The calls of one load.
#[derive(Clone, Debug)]
pub(super) struct LoadProfile {
    /// Base addresses, used in turn.
    pub(super) base_urls: Vec<String>,
    /// Path without the number of the call, which makes each path unique.
    pub(super) path: String,
    /// Calls per second.
    pub(super) rate: f64,
    pub(super) duration: Duration,
    /// Deadline of each call, stated to the node.
    pub(super) deadline_ms: u64,
}

impl LoadProfile {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate and the time are positive and bounded by the command line"
    )]
    fn call_count(&self) -> u32 {
        (self.rate * self.duration.as_secs_f64()).round() as u32
    }
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallOutcome {
    /// A whole answer of a target to this very call.
    Answered,
    NotRun,
    Unknown,
    /// The target answered with an error.
    Failed,
    /// An answer to another call.
    Wrong,
    /// No HTTP answer, or one that broke off.
    Lost,
}

/// One call that ended.
struct CallSample {
    outcome: CallOutcome,
    latency_us: u64,
    send_lag_us: u64,
}

/// What became of the calls of a load.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    pub(super) offered: u64,
    pub(super) answered: u64,
    /// Answered within the deadline, counted from when the call was due.
    pub(super) in_time: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) wrong: u64,
    pub(super) lost: u64,
    /// Not sent, because too many calls were under way.
    pub(super) not_sent: u64,
    pub(super) seconds: f64,
    /// Latency of answered calls in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Time by which calls were sent late, in microseconds.
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

    /// Adds the calls of another slice of the same load.
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
        for (sum, part) in [
            (&mut self.latency, &other.latency),
            (&mut self.send_lag, &other.send_lag),
        ] {
            sum.add(part).expect("all histograms have the same bounds");
        }
    }
}

/// Makes the calls of `profile` and waits for the end of each.
pub(super) async fn run_load(client: &Client, profile: LoadProfile) -> Result<LoadResult> {
    let (sender, mut samples) = unbounded_channel();
    let mut result = LoadResult {
        offered: u64::from(profile.call_count()),
        seconds: profile.duration.as_secs_f64(),
        ..Default::default()
    };
    let (client, runtime) = (client.clone(), Handle::current());
    let deadline_ms = profile.deadline_ms;
    // A thread of its own sleeps more exactly than the runtime's timer, which counts milliseconds.
    let dispatcher =
        tokio::task::spawn_blocking(move || dispatch_calls(&client, &profile, &runtime, &sender));
    while let Some(sample) = samples.recv().await {
        result.record(&sample, deadline_ms);
    }
    result.not_sent = dispatcher.await.into_diagnostic()?;
    Ok(result)
}

/// Sends each call when it is due; returns how many were not sent.
fn dispatch_calls(
    client: &Client,
    profile: &LoadProfile,
    runtime: &Handle,
    samples: &UnboundedSender<CallSample>,
) -> u64 {
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
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
        let base = &profile.base_urls[number as usize % profile.base_urls.len()];
        let path = format!("{}/{number}", profile.path);
        let request = client
            .get(format!("{base}{path}"))
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
    // The receiver is gone only when the measurement was interrupted.
    let _ = samples.send(CallSample {
        outcome,
        latency_us,
        send_lag_us,
    });
}

async fn receive_outcome(request: reqwest::RequestBuilder, path: &str) -> CallOutcome {
    let Ok(answer) = request.send().await else {
        return CallOutcome::Lost;
    };
    let outcome = answer.headers().get("agatedeck-outcome");
    match outcome.and_then(|outcome| outcome.to_str().ok()) {
        Some("not-run") => return CallOutcome::NotRun,
        Some("unknown") => return CallOutcome::Unknown,
        // A target that is called directly states no outcome.
        _ => {}
    }
    let status = answer.status();
    let Ok(body) = answer.bytes().await else {
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
