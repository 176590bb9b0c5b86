//! `agatedeckctl lookup`

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::submission::{look_up_result, report};

/// Asks once what became of a change.
#[derive(Clone, Debug)]
pub struct LookupCommand {
    /// Id of the change.
    pub change_id: String,
}

impl LookupCommand {
    async fn look_up(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let answer = context.client.look_up(&self.change_id).await?;
        let result = look_up_result(context.client, &self.change_id, Some(&answer));
        Ok(report(context, &self.change_id, &result)?)
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
