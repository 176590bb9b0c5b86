//! What every daemon does before its node starts.

use std::path::Path;

use tokio::runtime::{Builder, Runtime};

use crate::settings::NodeSettings;

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Fails with a text that names the file and each finding.
pub fn read_settings(path: &Path) -> Result<NodeSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| format!("{file}: {error}"))?;
    NodeSettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

/// The runtime of a node with this many worker threads. One worker shares the thread with everything
/// else, which saves the wake-ups between threads.
///
/// # Errors
///
/// Fails if the operating system refuses threads or timers.
pub fn node_runtime(workers: usize) -> std::io::Result<Runtime> {
    if workers == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}
