//! Logs as JSON lines on standard output.

use derive_more::{Display, Error};
use log::LevelFilter;
use serde_json::json;

use crate::clock::unix_us;

/// Logging was already started in this process.
#[derive(Debug, Display, Error)]
#[display("logging cannot be started: {_0}")]
pub struct LogError(log::SetLoggerError);

/// Writes log lines of this process to standard output from now on.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn start_logging(node: &str, level: LevelFilter) -> Result<(), LogError> {
    let node = node.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_us = unix_us();
            let line = json!({
                "unix_ms": unix_us / 1_000,
                "unix_us": unix_us,
                "level": record.level().as_str(),
                "node": node,
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .level(LevelFilter::Warn)
        .level_for("agatedeck_node", level)
        .chain(std::io::stdout())
        .apply()
        .map_err(LogError)
}
