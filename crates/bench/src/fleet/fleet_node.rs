//! A node process and the task that parses its log.

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

/// Timeout for a node to leave the mesh and exit, after which it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Name, locality and target of a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeSpec {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) domain: String,
    /// Service and address of the node's local target.
    pub(crate) target: Option<(String, SocketAddr)>,
}

/// Listen addresses that a node reported in its log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) calls: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// Event parsed from the log of a node.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    /// The process `pid` of the node opened its listeners.
    Listening {
        node: usize,
        pid: u32,
        addresses: NodeAddresses,
    },
    /// A version became active at the node.
    VersionActivated {
        node: usize,
        version: u64,
        /// Unix time in microseconds.
        activated_us: u64,
    },
}

/// Running node process. It is killed when dropped.
pub(crate) struct FleetNode {
    /// `None` until the node has reported its listeners.
    pub(crate) addresses: Option<NodeAddresses>,
    child: Child,
}

impl FleetNode {
    /// Spawns this executable with the hidden `node` subcommand.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be spawned.
    pub(crate) fn spawn(
        node: usize,
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
            .wrap_err("cannot start a node process")?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| miette!("node process {node} has no standard output"))?;
        let pid = child.id().unwrap_or_default();
        tokio::spawn(read_log(node, pid, stdout, event_sender));
        Ok(Self {
            addresses: None,
            child,
        })
    }

    /// Closes the node's standard input, which makes it shut down, and waits until the process has
    /// exited. Kills it after [`STOP_TIMEOUT`].
    pub(crate) async fn stop(&mut self) -> Result<()> {
        drop(self.child.stdin.take());
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            self.child.kill().await.into_diagnostic()?;
        }
        Ok(())
    }

    /// Process id; `None` once the process has been reaped.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Sends the events in a node's log. Reads the log to its end, so that the node never blocks on a
/// full pipe.
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
            let activated_us = line["unix_us"].as_u64();
            let version = parse_active_version(message);
            version
                .zip(activated_us)
                .map(|(version, activated_us)| NodeEvent::VersionActivated {
                    node,
                    version,
                    activated_us,
                })
        };
        if let Some(event) = event {
            // The receiver is dropped together with the fleet.
            let _ = event_sender.send(event);
        }
    }
}

/// Parses the log message `version N is in force`.
fn parse_active_version(message: &str) -> Option<u64> {
    let version_text = message.strip_prefix("version ")?;
    version_text.strip_suffix(" is in force")?.parse().ok()
}

/// Parses the log message `listening: calls ADDRESS, ..., admin ADDRESS`.
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
