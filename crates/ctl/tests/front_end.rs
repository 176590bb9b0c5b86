//! Guards the border of the crate: commands run with a client and writers of another front end.

use std::net::SocketAddr;

use agatedeck_ctl::{
    AdminClient, AdminCommand, ChangeAnswer, ClientError, CommandContext, ExitStatus, GetCommand,
    HistoryAnswer, LookUpAnswer, LookUpCommand, RecordFilter, RecordsAnswer, StatusAnswer,
};
use agatedeck_wire::Change;
use futures::FutureExt;
use futures::future::{BoxFuture, ready};

/// Answers from memory and knows no node.
#[derive(Debug)]
struct FixedClient;

type Answer<'a, T> = BoxFuture<'a, Result<T, ClientError>>;

impl AdminClient for FixedClient {
    fn nodes(&self) -> &[SocketAddr] {
        &[]
    }

    fn submit<'a>(&'a self, _: &'a Change) -> Answer<'a, ChangeAnswer> {
        ready(Err(ClientError::Unreachable(Vec::new()))).boxed()
    }

    fn look_up<'a>(&'a self, _: &'a str) -> Answer<'a, LookUpAnswer> {
        ready(Ok(LookUpAnswer::NotAccepted)).boxed()
    }

    fn records<'a>(&'a self, _: RecordFilter<'a>) -> Answer<'a, RecordsAnswer> {
        ready(Ok(RecordsAnswer::default())).boxed()
    }

    fn history(&self, _: Option<u64>, _: u64) -> Answer<'_, HistoryAnswer> {
        ready(Ok(HistoryAnswer::default())).boxed()
    }

    fn status(&self) -> Answer<'_, StatusAnswer> {
        ready(Ok(StatusAnswer::default())).boxed()
    }
}

#[tokio::test]
async fn commands_run_without_http() {
    let change_id = "c1".to_owned();
    let commands: [Box<dyn AdminCommand>; 2] = [
        Box::new(GetCommand::default()),
        Box::new(LookUpCommand { change_id }),
    ];
    let (mut out, mut progress) = (Vec::new(), Vec::new());
    let mut context = CommandContext {
        client: &FixedClient,
        out: &mut out,
        progress: &mut progress,
        json: false,
    };
    let mut ends = Vec::new();
    for command in commands {
        ends.push(command.run(&mut context).await.unwrap());
    }
    assert_eq!(ends, [ExitStatus::Success, ExitStatus::Refused]);
    let expected = "# version 0\nchange c1: not accepted\n  to ask again: agatedeckctl lookup c1\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}
