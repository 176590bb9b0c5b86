//! Runs commands through the public API with a client and writers of another front end.

use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;

use agatedeck_ctl::{
    AdminClient, AdminCommand, ChangeOptions, ChangeResponse, ClientError, CommandContext,
    ExitStatus, HistoryResponse, LookupCommand, LookupResponse, LookupSettings, RecordFilter,
    RecordsResponse, RetireCommand, StatusCommand, StatusResponse,
};
use agatedeck_records::RecordKey;
use agatedeck_wire::{Change, Record, RecordKind};
use futures::FutureExt;
use futures::future::{BoxFuture, ready};

/// Client that returns fixed responses and contacts no node.
#[derive(Debug)]
struct InMemoryClient;

type ClientFuture<'a, T> = BoxFuture<'a, Result<T, ClientError>>;

impl AdminClient for InMemoryClient {
    fn nodes(&self) -> &[SocketAddr] {
        &[]
    }

    fn submit<'a>(&'a self, _: &'a Change) -> ClientFuture<'a, ChangeResponse> {
        ready(Ok(ChangeResponse::Accepted { version: 10 })).boxed()
    }

    fn look_up<'a>(&'a self, _: &'a str) -> ClientFuture<'a, LookupResponse> {
        ready(Ok(LookupResponse::NotAccepted)).boxed()
    }

    fn records<'a>(&'a self, _: RecordFilter<'a>) -> ClientFuture<'a, RecordsResponse> {
        let record = Record {
            kind: RecordKind::Policy.into(),
            name: "p".to_owned(),
            revision: 4,
            forms: Vec::new(),
        };
        let (version, records) = (9, vec![record]);
        ready(Ok(RecordsResponse { version, records })).boxed()
    }

    fn history(&self, _: Option<u64>, _: u64) -> ClientFuture<'_, HistoryResponse> {
        ready(Ok(HistoryResponse::default())).boxed()
    }

    fn status(&self) -> ClientFuture<'_, StatusResponse> {
        ready(Ok(StatusResponse::default())).boxed()
    }
}

/// Guards against commands that depend on the HTTP client or on a terminal.
#[tokio::test]
async fn commands_run_without_http() {
    let change_id = "c1".to_owned();
    let commands: [Box<dyn AdminCommand>; 2] = [
        Box::new(StatusCommand),
        Box::new(LookupCommand { change_id }),
    ];
    let (mut out, mut progress) = (Vec::new(), Vec::new());
    let mut context = CommandContext {
        client: &InMemoryClient,
        out: &mut out,
        progress: &mut progress,
        json: false,
    };
    let mut statuses = Vec::new();
    for command in commands {
        statuses.push(command.run(&mut context).await.unwrap());
    }
    assert_eq!(statuses, [ExitStatus::Success, ExitStatus::Refused]);
    let expected = "change c1: not accepted\n  to ask again: agatedeckctl lookup c1\n";
    let out = String::from_utf8(out).unwrap();
    assert!(out.starts_with("version 0, 0 nodes, 0 lagging\n"), "{out}");
    assert!(out.ends_with(expected), "{out}");
}

/// Writer that fails as on a full disk.
#[derive(Debug)]
struct FullDiskWriter;

impl Write for FullDiskWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(ErrorKind::StorageFull.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against an accepted change whose exit status reports a failure because its report cannot
/// be written.
#[tokio::test]
async fn accepted_change_succeeds_if_report_cannot_be_written() {
    let mut progress = Vec::new();
    let mut context = CommandContext {
        client: &InMemoryClient,
        out: &mut FullDiskWriter,
        progress: &mut progress,
        json: false,
    };
    let command = RetireCommand {
        key: RecordKey::new(RecordKind::Policy, "p"),
        options: ChangeOptions {
            change_id: "c1".to_owned(),
            operator: "services".to_owned(),
            insist: false,
            lookup: LookupSettings::default(),
        },
    };
    assert_eq!(
        command.run(&mut context).await.unwrap(),
        ExitStatus::Success
    );
    let progress = String::from_utf8(progress).unwrap();
    assert!(
        progress.contains("the result cannot be written"),
        "{progress}"
    );
}
