//! Startup code that is shared by the daemons: settings, async runtime and exit codes.

use std::fmt::Debug;
use std::path::Path;
use std::process::ExitCode;

use tokio::runtime::{Builder, Runtime};

use crate::settings::NodeSettings;

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// Returns a message with the name of the file and each diagnostic.
pub fn read_settings(path: &Path) -> Result<NodeSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| format!("{file}: {error}"))?;
    NodeSettings::parse(&file, &text).map_err(|diagnostics| diagnostics.to_string())
}

/// Builds the async runtime of a node. A single worker runs on the calling thread, which avoids
/// wake-ups between threads.
///
/// # Errors
///
/// Fails if the operating system cannot provide threads, timers or I/O event notification.
pub fn node_runtime(workers: usize) -> std::io::Result<Runtime> {
    if workers == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}

/// Exit code of a daemon whose command line or settings are invalid.
pub const BAD_INPUT_EXIT_CODE: u8 = 2;

/// Runs a daemon with its settings, or prints their diagnostics. If `check` is the path of a
/// settings file, the daemon does not run: the settings are only validated.
pub fn run_daemon<E: Debug>(
    settings: Result<NodeSettings, String>,
    check: Option<&Path>,
    run: impl FnOnce(NodeSettings) -> Result<(), E>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(diagnostics) => {
            eprintln!("{diagnostics}");
            return ExitCode::from(BAD_INPUT_EXIT_CODE);
        }
    };
    if let Some(file) = check {
        println!("{}: the settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    let result = run(settings);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}
