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
    /// Whether the processor handles a message.
    pub(crate) is_working: bool,
    /// Work of sending, on a whole core, which delays the next message.
    pub(crate) sending_work: Duration,
    pub(crate) link_out_free_at: Instant,
    pub(crate) link_in_free_at: Instant,
    /// Until when the process stands still.
    pub(crate) frozen_until: Instant,
    /// Factor by which the host is slower than its class.
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
    /// Takes the next message that waits for the processor, with the time that it takes.
    pub(crate) fn start_work(&mut self) -> Option<(Duration, ProcessEvent)> {
        let next = self.waiting_work.pop_front();
        self.is_working = next.is_some();
        let WaitingWork { work, event } = next?;
        let work = work + std::mem::take(&mut self.sending_work);
        let share = self.class.core_share / self.slowness;
        Some((work.div_f64(share), event))
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
