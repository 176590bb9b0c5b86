//! Standard output as a destination of log lines that never blocks.

use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::unistd::write;
use serde_json::json;

use crate::clock::unix_us;

/// Bytes that a pipe takes without blocking while it is reported as writable.
const MAX_WRITE_BYTES: usize = 4096;

/// Bytes of log lines that are kept while nobody reads them. Lines beyond that are left out.
const MAX_PENDING_BYTES: usize = 256 * 1024;

/// Time for which the reader of standard output is waited for when the process ends, in milliseconds.
const LAST_WRITE_TIMEOUT_MS: u8 = 200;

/// Writes log lines to standard output as far as it takes them.
///
/// A write to a pipe whose reader has paused blocks the thread, and with it every task of a node. Lines that
/// standard output does not take are kept up to [`MAX_PENDING_BYTES`] and written with later ones.
#[derive(Debug)]
pub(crate) struct LogOutput {
    node: String,
    /// The line that is being composed.
    line: Vec<u8>,
    /// Lines that standard output has not taken.
    pending: Vec<u8>,
    /// Lines left out since the last one that was kept.
    omitted_lines: u64,
}

impl LogOutput {
    pub(crate) fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            line: Vec::new(),
            pending: Vec::new(),
            omitted_lines: 0,
        }
    }

    /// Moves the composed line to those to be written, or leaves it out.
    fn keep_line(&mut self) {
        if self.pending.len() + self.line.len() > MAX_PENDING_BYTES {
            self.omitted_lines += 1;
            self.line.clear();
            return;
        }
        let omitted_lines = std::mem::take(&mut self.omitted_lines);
        if omitted_lines > 0 {
            let omission = omission_line(&self.node, omitted_lines);
            self.pending.extend_from_slice(omission.as_bytes());
        }
        self.pending.append(&mut self.line);
    }

    /// Writes kept lines. Waits up to `timeout` for the reader between two parts.
    fn write_pending(&mut self, timeout: PollTimeout) -> io::Result<()> {
        let stdout = io::stdout();
        while !self.pending.is_empty() && is_writable(stdout.as_fd(), timeout) {
            let end = self.pending.len().min(MAX_WRITE_BYTES);
            let written = write(stdout.as_fd(), &self.pending[..end])?;
            self.pending.drain(..written);
        }
        Ok(())
    }
}

impl Write for LogOutput {
    /// Takes a part of a line.
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        Ok(part.len())
    }

    /// Ends a line. Without a line, the process is about to end, and its reader is given some time.
    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return self.write_pending(PollTimeout::from(LAST_WRITE_TIMEOUT_MS));
        }
        // Makes room for the line.
        let written = self.write_pending(PollTimeout::ZERO);
        self.keep_line();
        written?;
        self.write_pending(PollTimeout::ZERO)
    }
}

fn is_writable(output: BorrowedFd<'_>, timeout: PollTimeout) -> bool {
    let mut polled = [PollFd::new(output, PollFlags::POLLOUT)];
    poll(&mut polled, timeout).is_ok_and(|ready| ready > 0)
}

/// The log line that states how many lines were left out before it.
fn omission_line(node: &str, lines: u64) -> String {
    let unix_us = unix_us();
    let line = json!({
        "unix_ms": unix_us / 1_000,
        "unix_us": unix_us,
        "level": "WARN",
        "node": node,
        "module": module_path!(),
        "event": "lines-left-out",
        "lines": lines,
        "message": format!("{lines} lines were left out: standard output was not read"),
    });
    format!("{line}\n")
}
