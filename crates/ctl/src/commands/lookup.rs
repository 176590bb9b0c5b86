//! The command `agatedeckctl lookup`.

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::submission::{report_result, result_from_lookup};

/// Looks up once whether a change was accepted.
#[derive(Clone, Debug)]
pub struct LookupCommand {
    /// Id of the change.
    pub change_id: String,
}

impl LookupCommand {
    async fn look_up(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let response = context.client.look_up(&self.change_id).await?;
        let result = result_from_lookup(context.client, &self.change_id, Some(&response));
        Ok(report_result(context, &self.change_id, &result)?)
    }
}

impl AdminCommand for LookupCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.look_up(context).boxed_local()
    }
}
