//! The rate limit that a target states, in admission control at its node.

use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, RefusalReason,
};
use agatedeck_clock::Instant;
use yare::parameterized;

/// Time that the target takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Time that a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of the spans in which calls are counted.
const SPAN: Duration = Duration::from_secs(4);

/// A target under the load of many callers, in virtual time.
struct LimitedTarget {
    queue: AdmissionQueue,
    now: Instant,
    next_call: u64,
    running: Vec<(Instant, CallId)>,
    started: Vec<Instant>,
    refused: usize,
    stated: Option<f64>,
}

impl LimitedTarget {
    fn new(stated: Option<f64>) -> Self {
        let settings = AdmissionSettings {
            slots: 12,
            queue: 64,
            ..AdmissionSettings::default()
        };
        let now = Instant::default();
        Self {
            queue: AdmissionQueue::new(settings, now),
            now,
            next_call: 0,
            running: Vec::new(),
            started: Vec::new(),
            refused: 0,
            stated,
        }
    }

    fn apply(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(call) => {
                    self.started.push(self.now);
                    self.running.push((self.now.after(SERVICE_TIME), call));
                }
                AdmissionEffect::Refuse(..) => self.refused += 1,
                AdmissionEffect::Stop(_) | AdmissionEffect::Drained => {}
            }
        }
    }

    fn arrive(&mut self) {
        let call = CallId::from(self.next_call);
        self.next_call += 1;
        let request = AdmissionRequest {
            call,
            workspace: "a",
            priority: 0,
            class: "",
            useful_until: Some(self.now.after(CALL_TIMEOUT / 4)),
            deadline: self.now.after(CALL_TIMEOUT),
        };
        let effects = self.queue.admit(&request, self.now);
        self.apply(effects);
    }

    /// Runs for `time` with 200 arrivals a second. Ticks only at the deadlines of the queue.
    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while !end.is_past(self.now) {
            self.now = self.now.after(Duration::from_millis(1));
            let now = self.now;
            let (ended, running): (Vec<_>, Vec<_>) =
                self.running.iter().partition(|(at, _)| at.is_past(now));
            self.running = running;
            for (_, call) in ended {
                let effects = self.queue.record_rate_limit(self.stated, now);
                self.apply(effects);
                let effects = self.queue.release(call, now);
                self.apply(effects);
            }
            if self
                .queue
                .next_deadline(now)
                .is_some_and(|at| at.is_past(now))
            {
                let effects = self.queue.tick(now);
                self.apply(effects);
            }
            if now.as_micros().is_multiple_of(5_000) {
                self.arrive();
            }
        }
    }

    fn most_in_span(&self) -> usize {
        let in_span = |first: &Instant| {
            let in_span = self
                .started
                .iter()
                .filter(|at| *at >= first && **at < first.after(SPAN));
            in_span.count()
        };
        self.started.iter().map(in_span).max().unwrap_or(0)
    }
}

/// Guards against more calls than one and a half times the stated limit and five in any 4 s, and
/// against a target that gets much less than it accepts.
#[parameterized(
    none = { 0.0 },
    below_one = { 0.5 },
    two = { 2.0 },
    fraction = { 22.5 },
    near_capacity = { 90.0 },
)]
fn calls_stay_within_the_stated_limit(limit: f64) {
    let mut target = LimitedTarget::new(Some(limit));
    target.run(Duration::from_secs(1));
    target.started.clear();
    target.run(Duration::from_secs(12));
    let most = f64::from(u32::try_from(target.most_in_span()).expect("few calls"));
    assert!(most <= limit * 6.0 + 5.0, "{most} calls in a span");
    let started = f64::from(u32::try_from(target.started.len()).expect("few calls"));
    assert!(started >= limit * 12.0 * 0.95 - 1.0, "{started} calls");
}

/// Guards against a node that starts beside a target in need and gives it as many calls as it has
/// slots before the first answer states the limit.
#[parameterized(
    below_one = { 0.5 },
    two = { 2.0 },
    fraction = { 22.5 },
)]
fn a_newly_opened_target_is_limited_before_its_first_answer(limit: f64) {
    let mut target = LimitedTarget::new(Some(limit));
    target.queue.close(target.now);
    target.queue.reopen(target.now);
    target.run(Duration::from_secs(5));
    let most = f64::from(u32::try_from(target.most_in_span()).expect("few calls"));
    assert!(most <= limit * 6.0 + 5.0, "{most} calls in a span");
}

/// Guards against a limit that stays although the target no longer states it, and against one that
/// ends with a single answer that was overtaken by another.
#[test]
fn a_limit_ends_once_answers_state_none_for_a_while() {
    let mut target = LimitedTarget::new(Some(10.0));
    target.run(Duration::from_secs(2));
    target.queue.record_rate_limit(None, target.now);
    target.run(Duration::from_secs(2));
    assert_eq!(target.queue.rate_limit(), Some(10.0));
    target.stated = None;
    target.run(Duration::from_secs(2));
    assert!(!target.queue.is_rate_limited());
    target.started.clear();
    target.run(Duration::from_secs(1));
    assert!(
        target.started.len() >= 190,
        "{} calls",
        target.started.len()
    );
}

/// Guards against calls that wait behind a limit until their time has run out: what cannot be served
/// is refused at once, with the time after which it can.
#[test]
fn a_call_that_the_limit_does_not_allow_in_time_is_refused_at_once() {
    let mut target = LimitedTarget::new(Some(2.0));
    target.run(Duration::from_secs(2));
    let now = target.now;
    let request = |call: u64| AdmissionRequest {
        call: CallId::from(call),
        workspace: "a",
        priority: 0,
        class: "",
        useful_until: Some(now.after(Duration::from_millis(200))),
        deadline: now.after(CALL_TIMEOUT),
    };
    let refused: Vec<_> = (0..4)
        .flat_map(|call| target.queue.admit(&request(10_000 + call), now))
        .filter(|effect| matches!(effect, AdmissionEffect::Refuse(_, RefusalReason::QueueFull)))
        .collect();
    assert!(refused.len() >= 3, "{refused:?}");
    let wait = target.queue.expected_queue_wait(0, now);
    assert!(
        wait > Duration::ZERO && wait <= Duration::from_secs(2),
        "{wait:?}"
    );
    assert!(target.queue.load() >= 1.0);
}

/// Guards against calls that are held back from a faulty target, none of whose answers can be used: it
/// would never give the answer that is waited for.
#[test]
fn an_unusable_answer_ends_the_wait_for_the_first_one() {
    let mut target = LimitedTarget::new(None);
    target.queue.close(target.now);
    target.queue.reopen(target.now);
    assert!(target.queue.is_rate_limited());
    target.queue.record_unusable_answer(target.now);
    assert!(!target.queue.is_rate_limited());
    // A limit that was stated stays.
    target.queue.record_rate_limit(Some(5.0), target.now);
    target.queue.record_unusable_answer(target.now);
    assert_eq!(target.queue.rate_limit(), Some(5.0));
}
