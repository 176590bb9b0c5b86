//! The hidden subcommand `node`, which runs one node of a fleet.

use std::path::PathBuf;

use agatedeck_node::{Node, NodeSettings, start_logging};
use log::LevelFilter;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use tokio::io::AsyncReadExt;
use tokio::runtime::Builder;

/// Arguments of the `node` subcommand.
#[derive(Debug)]
pub(crate) struct NodeCommand {
    /// Settings file of the node.
    pub(crate) config: PathBuf,
    /// Worker threads of the runtime.
    pub(crate) workers: usize,
}

/// Runs the node until its standard input is closed, so that no node outlives the benchmark process
/// that started it, even if that crashes.
///
/// # Errors
///
/// Fails if the settings are invalid or the node does not start.
pub(crate) fn run(command: &NodeCommand) -> Result<()> {
    let file = command.config.display().to_string();
    let text = std::fs::read_to_string(&command.config).into_diagnostic()?;
    let node_settings =
        NodeSettings::parse(&file, &text).map_err(|diagnostics| miette!("{diagnostics}"))?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(command.workers)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let result = runtime.block_on(run_node(node_settings));
    // A normal shutdown would block on the thread that reads standard input.
    runtime.shutdown_background();
    result
}

async fn run_node(settings: NodeSettings) -> Result<()> {
    let level = settings.log_level.unwrap_or(LevelFilter::Info);
    start_logging(&settings.name, level).into_diagnostic()?;
    let node = Node::start(settings)
        .await
        .into_diagnostic()
        .wrap_err("cannot start the node")?;
    let mut remaining_input = Vec::new();
    // An error means that the parent process is gone, like the end of the input.
    let _ = tokio::io::stdin().read_to_end(&mut remaining_input).await;
    node.shutdown().await;
    Ok(())
}
