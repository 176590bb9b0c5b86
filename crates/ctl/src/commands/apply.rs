//! The command `agatedeckctl apply`.

use std::path::PathBuf;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::client::RecordFilter;
use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::record_files::load_record_files;
use crate::submission::{ChangeOptions, submit_change};

/// Writes the records of all files as one change.
#[derive(Clone, Debug)]
pub struct ApplyCommand {
    /// Record files.
    pub files: Vec<PathBuf>,
    /// Id, operator and other options of the change.
    pub options: ChangeOptions,
}

impl ApplyCommand {
    async fn apply(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let records = load_record_files(&self.files)?;
        let response = context.client.records(RecordFilter::default()).await?;
        let writes = records
            .iter()
            .map(|record| record.to_write(response.revision(&record.key)))
            .collect();
        submit_change(context, &self.options, writes).await
    }
}

impl AdminCommand for ApplyCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.apply(context).boxed_local()
    }
}
