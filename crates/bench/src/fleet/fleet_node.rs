//! One node process and the task that reads its log.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// Time in which a node must leave the mesh and end.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Name, place and target of a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeSpec {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) domain: String,
    /// Service and address of the target beside the node.
    pub(crate) target: Option<(String, SocketAddr)>,
}

/// Addresses that a node wrote to its log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) calls: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// What the log of a node tells.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    Listening {
        node: usize,
        pid: u32,
        addresses: NodeAddresses,
    },
    VersionActivated {
        node: usize,
        version: u64,
        at_us: u64,
    },
}

/// A node process. It is killed when dropped.
pub(crate) struct FleetNode {
    pub(crate) addresses: Option<NodeAddresses>,
    child: Child,
}

impl FleetNode {
    /// Starts this program again as a node.
    pub(crate) fn spawn(
        index: usize,
        settings_file: &Path,
        workers: usize,
        event_sender: UnboundedSender<NodeEvent>,
    ) -> Result<Self> {
        let program = std::env::current_exe().into_diagnostic()?;
        let mut child = Command::new(program)
            .args(["node", "--workers", &workers.to_string(), "--config"])
            .arg(settings_file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .into_diagnostic()
            .wrap_err("a node process cannot be started")?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| miette!("the node has no standard output"))?;
        let pid = child.id().unwrap_or_default();
        tokio::spawn(read_log(index, pid, stdout, event_sender));
        Ok(Self {
            addresses: None,
            child,
        })
    }

    /// Closes the node's input and waits until the process has ended; kills one that hangs.
    pub(crate) async fn stop(&mut self) -> Result<()> {
        drop(self.child.stdin.take());
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            self.child.kill().await.into_diagnostic()?;
        }
        Ok(())
    }

    /// The process id; `None` once the process was waited for.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Reads the log to its end, so that the node never blocks on a full pipe.
async fn read_log(
    node: usize,
    pid: u32,
    stdout: ChildStdout,
    event_sender: UnboundedSender<NodeEvent>,
) {
    let mut lines = BufReader::new(stdout).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let line: Value = serde_json::from_str(&line).unwrap_or_default();
        let message = line["message"].as_str().unwrap_or_default();
        let event = if let Some(addresses) = parse_listen_addresses(message) {
            Some(NodeEvent::Listening {
                node,
                pid,
                addresses,
            })
        } else {
            let at_us = line["unix_us"].as_u64();
            let version = parse_active_version(message);
            version
                .zip(at_us)
                .map(|(version, at_us)| NodeEvent::VersionActivated {
                    node,
                    version,
                    at_us,
                })
        };
        if let Some(event) = event {
            // The receiver is gone once the fleet was dropped.
            let _ = event_sender.send(event);
        }
    }
}

fn parse_active_version(message: &str) -> Option<u64> {
    let rest = message.strip_prefix("version ")?;
    rest.strip_suffix(" is in force")?.parse().ok()
}

fn parse_listen_addresses(message: &str) -> Option<NodeAddresses> {
    let listeners = message.strip_prefix("listening: ")?;
    let address = |name: &str| {
        let mut parts = listeners.split(", ");
        parts.find_map(|part| part.strip_prefix(name)?.trim().parse().ok())
    };
    Some(NodeAddresses {
        calls: address("calls")?,
        admin: address("admin")?,
    })
}
