//! Limits of the process that follow from the memory and the descriptors of its host.

use std::path::Path;
use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit};

use crate::settings::LimitSettings;

const MEGABYTE: u64 = 1_000_000;

/// Memory that is assumed if the operating system does not tell: that of the smallest hosts.
const ASSUMED_MEMORY_BYTES: u64 = 160 * MEGABYTE;

/// Descriptors that are assumed if the operating system does not tell.
const ASSUMED_DESCRIPTORS: u64 = 1_024;

/// Connections of a listener for calls per MB of memory. At its largest, a connection takes about 20 KB of
/// the process and what the kernel holds for it, so that the connections of both listeners leave room for
/// the account on the smallest hosts.
const CONNECTIONS_PER_MB: u64 = 4;

/// Shares of the descriptors: a quarter for each listener for calls, an eighth for the control listener,
/// and 1/32 for each of the others. A quarter remains for the store, the target and other nodes.
const CALL_DESCRIPTOR_DIVISOR: u64 = 4;
const CONTROL_DESCRIPTOR_DIVISOR: u64 = 8;
const OPERATOR_DESCRIPTOR_DIVISOR: u64 = 32;

/// Smallest number of connections of a listener.
const MIN_CONNECTIONS: u64 = 8;

/// Other nodes may hold the memory for clients divided by this number. A node receives few bodies at a time.
const NODE_MEMORY_DIVISOR: u64 = 4;

/// The control protocol may hold the memory divided by this number for frames that are not complete. On the
/// smallest hosts, this is more than the largest frame.
const CONTROL_MEMORY_DIVISOR: u64 = 8;

/// Receive buffers of connections of callers and of other nodes: the memory divided by these numbers. The
/// kernel takes twice as much. Other nodes are farther away and need a larger window. Hosts with memory for
/// larger buffers leave them to the kernel.
const CALL_BUFFER_DIVISOR: u64 = 10_000;
const PEER_BUFFER_DIVISOR: u64 = 5_000;
const MIN_BUFFER_BYTES: u64 = 8_192;
const MAX_BUFFER_BYTES: u64 = 262_144;

/// Limits on what clients may hold of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessLimits {
    /// Size of the account for the bytes of local callers and operators.
    pub(crate) caller_bytes: u64,
    /// Size of the account for the bytes of other nodes.
    pub(crate) node_bytes: u64,
    /// Size of the account for frames of the control protocol.
    pub(crate) control_bytes: u64,
    /// Connections of each listener for calls.
    pub(crate) call_connections: usize,
    /// Connections of the control listener.
    pub(crate) control_connections: usize,
    /// Connections of each other listener.
    pub(crate) operator_connections: usize,
    /// Receive buffer of a connection of a local caller; `None` if the kernel sizes it.
    pub(crate) call_buffer_bytes: Option<usize>,
    /// Receive buffer of a connection of another node; `None` if the kernel sizes it.
    pub(crate) peer_buffer_bytes: Option<usize>,
    pub(crate) head_bytes: usize,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) memory_wait: Duration,
    pub(crate) stall_timeout: Duration,
}

impl ProcessLimits {
    /// Derives the limits from the settings, and from the host where they are not set.
    pub(crate) fn from_settings(settings: &LimitSettings) -> Self {
        let memory_bytes = settings.memory_mb.map_or_else(memory_of_host, |megabytes| {
            megabytes.saturating_mul(MEGABYTE)
        });
        let descriptors = settings.max_fds.unwrap_or_else(descriptors_of_process);
        let descriptors = descriptors.min(descriptors_of_process());
        let connections = |divisor: u64| (descriptors / divisor).max(MIN_CONNECTIONS);
        let by_memory = (memory_bytes / MEGABYTE).saturating_mul(CONNECTIONS_PER_MB);
        let call_connections = connections(CALL_DESCRIPTOR_DIVISOR).min(by_memory);
        let call_connections = settings.connections.unwrap_or(call_connections);
        let buffer_bytes = |divisor: u64| {
            let bytes = (memory_bytes / divisor).max(MIN_BUFFER_BYTES);
            usize::try_from(bytes)
                .ok()
                .filter(|_| bytes <= MAX_BUFFER_BYTES)
        };
        let client_bytes = memory_bytes / 100 * settings.memory_percent;
        let count = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        Self {
            caller_bytes: client_bytes - client_bytes / NODE_MEMORY_DIVISOR,
            node_bytes: client_bytes / NODE_MEMORY_DIVISOR,
            control_bytes: memory_bytes / CONTROL_MEMORY_DIVISOR,
            call_connections: count(call_connections),
            control_connections: count(connections(CONTROL_DESCRIPTOR_DIVISOR)),
            operator_connections: count(connections(OPERATOR_DESCRIPTOR_DIVISOR)),
            call_buffer_bytes: buffer_bytes(CALL_BUFFER_DIVISOR),
            peer_buffer_bytes: buffer_bytes(PEER_BUFFER_DIVISOR),
            head_bytes: settings.head_bytes,
            head_timeout: settings.head_timeout,
            idle_timeout: settings.idle_timeout,
            memory_wait: settings.memory_wait,
            stall_timeout: settings.stall_timeout,
        }
    }

    pub(crate) fn log(&self) {
        log::info!(
            event = "limits",
            caller_bytes = self.caller_bytes,
            node_bytes = self.node_bytes,
            control_bytes = self.control_bytes,
            call_connections = self.call_connections,
            control_connections = self.control_connections,
            operator_connections = self.operator_connections;
            "callers may hold {} bytes, other nodes {}, and both {} connections each",
            self.caller_bytes,
            self.node_bytes,
            self.call_connections
        );
    }
}

/// Memory of the host, or the limit of the control group if that is lower.
fn memory_of_host() -> u64 {
    let limits = [
        host_memory(),
        group_limit(Path::new("/sys/fs/cgroup/memory.max")),
        group_limit(Path::new("/sys/fs/cgroup/memory/memory.limit_in_bytes")),
    ];
    let limits = limits.into_iter().flatten();
    limits.min().unwrap_or(ASSUMED_MEMORY_BYTES)
}

fn host_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Limit of a control group; `None` if there is none.
fn group_limit(path: &Path) -> Option<u64> {
    std::fs::read_to_string(path).ok()?.trim().parse().ok()
}

fn descriptors_of_process() -> u64 {
    getrlimit(Resource::RLIMIT_NOFILE).map_or(ASSUMED_DESCRIPTORS, |(soft, _)| soft)
}
