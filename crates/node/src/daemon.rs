//! What every daemon does before its node starts.

use std::fmt::Debug;
use std::path::Path;
use std::process::ExitCode;

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

/// Exit code of a daemon whose command line or settings are wrong.
pub const BAD_INPUT_EXIT_CODE: u8 = 2;

/// Runs a daemon with its settings, or says what is wrong with them. With `check`, the settings file
/// that is only to be checked, it does not run.
pub fn run_daemon<E: Debug>(
    settings: Result<NodeSettings, String>,
    check: Option<&Path>,
    run: impl FnOnce(NodeSettings) -> Result<(), E>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(BAD_INPUT_EXIT_CODE);
        }
    };
    if let Some(file) = check {
        println!("{}: the settings are in order", file.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}
