//! The command `agatedeckctl get`.

use agatedeck_records::{kind_name, render_record};
use agatedeck_wire::RecordKind;
use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::client::RecordFilter;
use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;

/// Prints records in the form that `apply` reads.
#[derive(Clone, Debug, Default)]
pub struct GetCommand {
    /// Only records of this kind.
    pub kind: Option<RecordKind>,
    /// Only records of this name.
    pub name: Option<String>,
}

impl GetCommand {
    async fn get(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let filter = RecordFilter {
            kind: self.kind.map(kind_name),
            name: self.name.as_deref(),
        };
        let response = context.client.records(filter).await?;
        if context.json {
            context.print_json(&response)?;
        } else {
            writeln!(context.out, "# version {}", response.version)?;
            for record in &response.records {
                write!(context.out, "\n{}", render_record(record))?;
            }
        }
        if self.name.is_some() && response.records.is_empty() {
            writeln!(context.progress, "record not found")?;
            return Ok(ExitStatus::Refused);
        }
        Ok(ExitStatus::Success)
    }
}

impl AdminCommand for GetCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.get(context).boxed_local()
    }
}
