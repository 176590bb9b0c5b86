//! The hidden subcommand that runs one node.

use std::path::PathBuf;

use agatedeck_node::{Node, NodeSettings, start_logging};
use log::LevelFilter;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use tokio::io::AsyncReadExt;
use tokio::runtime::Builder;

/// Settings of the hidden subcommand.
#[derive(Debug)]
pub(crate) struct NodeCommand {
    pub(crate) config: PathBuf,
    pub(crate) workers: usize,
}

/// Runs the node until its standard input is closed, so that no node outlives the measurement that
/// started it, however that ends.
pub(crate) fn run(settings: &NodeCommand) -> Result<()> {
    let file = settings.config.display().to_string();
    let text = std::fs::read_to_string(&settings.config).into_diagnostic()?;
    let node_settings =
        NodeSettings::parse(&file, &text).map_err(|findings| miette!("{findings}"))?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let result = runtime.block_on(run_node(node_settings));
    // Waiting would block on the thread that reads standard input.
    runtime.shutdown_background();
    result
}

async fn run_node(settings: NodeSettings) -> Result<()> {
    let level = settings.log_level.unwrap_or(LevelFilter::Info);
    start_logging(&settings.name, level).into_diagnostic()?;
    let node = Node::start(settings)
        .await
        .into_diagnostic()
        .wrap_err("the node did not start")?;
    let mut rest = Vec::new();
    // An error means that the other end is gone, as the end of the input does.
    let _ = tokio::io::stdin().read_to_end(&mut rest).await;
    node.shutdown().await;
    Ok(())
}
