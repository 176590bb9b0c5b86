//! Hosts: their place, processor, link and disturbances.

use std::collections::VecDeque;
use std::time::Duration;

use agatedeck_clock::Instant;

use crate::fleet::ProcessEvent;
use crate::node_process::NodeProcess;
use crate::settings::HostClass;

/// A received message that waits for the processor.
#[derive(Debug)]
pub(crate) struct WaitingWork {
    /// Time that it takes on a whole core.
    pub(crate) work: Duration,
    pub(crate) event: ProcessEvent,
}

/// The message that the processor handles.
#[derive(Debug)]
pub(crate) struct CurrentWork {
    event: ProcessEvent,
    /// Time on a whole core that was left at `since`.
    left: Duration,
    since: Instant,
}

/// When the work with this number ends, unless the host changes its speed before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkEstimate {
    pub(crate) number: u64,
    pub(crate) ends_at: Instant,
}

/// One host and the process of its node.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) region: usize,
    pub(crate) domain: usize,
    pub(crate) class: HostClass,
    /// `None` while the process does not run.
    pub(crate) process: Option<NodeProcess>,
    /// Number of the current process, or of the last one.
    pub(crate) process_number: u64,
    /// Received messages that wait for the processor, oldest first.
    pub(crate) waiting_work: VecDeque<WaitingWork>,
    /// What the processor does; `None` while it is idle.
    pub(crate) current_work: Option<CurrentWork>,
    /// Number of the last estimate of the end of work, which tells it from earlier ones.
    pub(crate) last_estimate: u64,
    /// Work of sending, on a whole core, which delays the next message.
    pub(crate) sending_work: Duration,
    pub(crate) link_out_free_at: Instant,
    pub(crate) link_in_free_at: Instant,
    /// Until when the process stands still.
    pub(crate) frozen_until: Instant,
    /// Factor by which the host is slower than its class. Changed by [`Host::change_slowness`].
    pub(crate) slowness: f64,
    /// Share of the packets from this host that are lost.
    pub(crate) packet_loss: f64,
    /// Whether the host has power while its process does not run, so that connections are refused.
    pub(crate) refuses_connections: bool,
    /// Hosts reach each other if they are in the same group. `None` unless the host is cut off.
    pub(crate) cut_group: Option<usize>,
    /// Whether the host is cut off from the store.
    pub(crate) is_cut_from_store: bool,
    /// From when on the host counts as in touch; `None` while it is disturbed.
    pub(crate) in_touch_from: Option<Instant>,
    /// Disturbances in progress.
    pub(crate) disturbances: usize,
}

impl Host {
    /// Begins the next message that waits for the processor.
    pub(crate) fn start_work(&mut self, now: Instant) -> Option<WorkEstimate> {
        let WaitingWork { work, event } = self.waiting_work.pop_front()?;
        self.current_work = Some(CurrentWork {
            event,
            left: work + std::mem::take(&mut self.sending_work),
            since: now,
        });
        self.estimate_work()
    }

    /// Ends the current work if this is its latest estimate; returns the event that it was for.
    pub(crate) fn end_work(&mut self, number: u64) -> Option<ProcessEvent> {
        if number != self.last_estimate {
            return None;
        }
        Some(self.current_work.take()?.event)
    }

    /// Changes the speed of the host, also for the work in progress.
    pub(crate) fn change_slowness(&mut self, factor: f64, now: Instant) -> Option<WorkEstimate> {
        let speed = self.speed();
        self.slowness *= factor;
        let work = self.current_work.as_mut()?;
        let done = now.since(work.since).mul_f64(speed);
        work.left = work.left.saturating_sub(done);
        work.since = now;
        self.estimate_work()
    }

    /// Share of a whole core.
    fn speed(&self) -> f64 {
        self.class.core_share / self.slowness
    }

    fn estimate_work(&mut self) -> Option<WorkEstimate> {
        let speed = self.speed();
        let work = self.current_work.as_ref()?;
        self.last_estimate += 1;
        Some(WorkEstimate {
            number: self.last_estimate,
            ends_at: work.since.after(work.left.div_f64(speed)),
        })
    }

    /// Begins a disturbance, during which the host is not in touch.
    pub(crate) fn begin_disturbance(&mut self) {
        self.disturbances += 1;
        self.in_touch_from = None;
    }

    /// Ends a disturbance.
    pub(crate) fn end_disturbance(&mut self, stable_window: Duration, now: Instant) {
        self.disturbances -= 1;
        if self.disturbances == 0 {
            self.in_touch_from = Some(now.after(stable_window));
        }
    }

    /// Whether the host is in touch.
    pub(crate) fn is_in_touch(&self, now: Instant) -> bool {
        self.process.is_some() && self.in_touch_from.is_some_and(|from| from.is_past(now))
    }
}
