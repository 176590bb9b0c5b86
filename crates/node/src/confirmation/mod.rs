//! Confirms that the version of this node is the newest one, without which keys of workspaces are refused.

mod task;

use std::time::Duration;

use agatedeck_control::ConfirmedVersion;
use tokio::sync::mpsc;

pub(crate) use task::{ConfirmationTask, run_confirmation};

/// Time by which keys are refused before their validity ends. It covers the rates of the clocks of two
/// hosts, which differ by less than 1 in 1,000, and the rounding of ages.
pub(crate) const KEY_VALIDITY_MARGIN: Duration = Duration::from_millis(250);

/// Maximum number of messages that wait for the task. Later ones repeat what earlier ones state.
pub(crate) const MAX_QUEUED_CONFIRMATIONS: usize = 16;

/// Message to the task that confirms versions.
#[derive(Clone, Debug)]
pub(crate) enum ConfirmationMessage {
    /// This node has read which version is the newest one.
    VersionRead(ConfirmedVersion),
    /// A heartbeat of the leading reader of this name has arrived.
    HeartbeatReceived(String),
}

/// Sender of messages to the task.
pub(crate) type ConfirmationSender = mpsc::Sender<ConfirmationMessage>;

/// Receiver of these messages, owned by the task.
pub(crate) type ConfirmationReceiver = mpsc::Receiver<ConfirmationMessage>;
