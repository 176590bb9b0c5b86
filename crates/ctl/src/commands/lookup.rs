//! `agatedeckctl lookup`

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CtlError;
use crate::submission::{look_up_result, report};

/// Asks once what became of a change.
#[derive(Clone, Debug)]
pub struct LookUpCommand {
    /// Id of the change.
    pub change_id: String,
}

impl LookUpCommand {
    async fn look_up(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CtlError> {
        let answer = context.client.look_up(&self.change_id).await?;
        let result = look_up_result(context.client, &self.change_id, Some(&answer));
        Ok(report(context, &self.change_id, &result)?)
    }
}

impl AdminCommand for LookUpCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CtlError>> {
        self.look_up(context).boxed_local()
    }
}
