//! The command `agatedeckctl retire`.

use agatedeck_records::{RecordKey, kind_name};
use agatedeck_wire::{RecordName, RecordWrite};
use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::client::RecordFilter;
use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::submission::{ChangeOptions, ChangeResult, report_result, submit_change};

/// Retires one record.
#[derive(Clone, Debug)]
pub struct RetireCommand {
    /// Kind and name of the record.
    pub key: RecordKey,
    /// Id, operator and other options of the change.
    pub options: ChangeOptions,
}

impl RetireCommand {
    async fn retire(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let filter = RecordFilter {
            kind: Some(kind_name(self.key.kind)),
            name: Some(&self.key.name),
        };
        let response = context.client.records(filter).await?;
        let base_revision = response.revision(&self.key);
        if base_revision == 0 {
            let reason = format!(
                "{} does not exist at version {}",
                self.key, response.version
            );
            let (reasons, conflicts) = (vec![reason], Vec::new());
            let result = ChangeResult::Refused { reasons, conflicts };
            return Ok(report_result(context, &self.options.change_id, &result)?);
        }
        let write = RecordWrite {
            name: Some(RecordName::from(&self.key)),
            forms: Vec::new(),
            base_revision,
        };
        submit_change(context, &self.options, vec![write]).await
    }
}

impl AdminCommand for RetireCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.retire(context).boxed_local()
    }
}
