//! Actor that owns the state of the platform test double.

use std::collections::BTreeMap;
use std::time::Duration;

use kameo::Actor;
use kameo::message::{Context, Message};
use serde::{Deserialize, Serialize};

use crate::faults::PlatformFaults;
use crate::platform_server::PlatformCounters;

/// Owns rows, objects, counters and injected faults.
#[derive(Actor, Debug, Default)]
pub(crate) struct PlatformActor {
    rows: BTreeMap<String, TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    revision: u64,
    counters: PlatformCounters,
    faults: PlatformFaults,
}

/// A row; the value is stored in base64 as received.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TableRow {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) revision: u64,
}

/// JSON body of a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TransactionBody {
    pub(crate) conditions: Vec<ConditionBody>,
    pub(crate) writes: Vec<WriteBody>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConditionBody {
    key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WriteBody {
    key: String,
    value: Option<String>,
}

/// A request to the platform.
#[derive(Debug)]
pub(crate) enum PlatformRequest {
    ReadRow(String),
    ScanRows {
        prefix: String,
        after: String,
        limit: usize,
    },
    Transact(TransactionBody),
    ReadObject(String),
    WriteObject(String, Vec<u8>),
}

/// Result of a request that was run.
#[derive(Debug)]
pub(crate) enum RequestResult {
    Row(Option<TableRow>),
    Rows(Vec<TableRow>),
    Committed(u64),
    Conflict(Vec<String>),
    Object(Option<Vec<u8>>),
    Written,
}

/// Result of a request, and the faults to inject into its response.
#[derive(Debug, kameo::Reply)]
pub(crate) struct PlatformReply {
    /// `None` if the request was not run.
    pub(crate) result: Option<RequestResult>,
    pub(crate) delay: Duration,
    pub(crate) response_lost: bool,
}

impl Message<PlatformRequest> for PlatformActor {
    type Reply = PlatformReply;

    async fn handle(
        &mut self,
        request: PlatformRequest,
        _: &mut Context<Self, PlatformReply>,
    ) -> PlatformReply {
        let delay = Duration::from_millis(self.faults.delay_ms);
        if self.faults.outage || consume_one(&mut self.faults.refuse_requests) {
            self.counters.refused += 1;
            return PlatformReply {
                result: None,
                delay,
                response_lost: false,
            };
        }
        let is_write = matches!(
            request,
            PlatformRequest::Transact(_) | PlatformRequest::WriteObject(..)
        );
        if is_write {
            self.counters.writes += 1;
        } else {
            self.counters.reads += 1;
        }
        let response_lost = is_write && consume_one(&mut self.faults.lose_answers);
        PlatformReply {
            result: Some(self.run(request)),
            delay,
            response_lost,
        }
    }
}

/// Decrements a count of remaining faults; returns whether one remained.
fn consume_one(count: &mut u32) -> bool {
    let active = *count > 0;
    *count = count.saturating_sub(1);
    active
}

impl PlatformActor {
    fn run(&mut self, request: PlatformRequest) -> RequestResult {
        match request {
            PlatformRequest::ReadRow(key) => RequestResult::Row(self.rows.get(&key).cloned()),
            PlatformRequest::ScanRows {
                prefix,
                after,
                limit,
            } => RequestResult::Rows(self.scan(&prefix, &after, limit)),
            PlatformRequest::Transact(transaction) => self.transact(transaction),
            PlatformRequest::ReadObject(key) => {
                RequestResult::Object(self.objects.get(&key).cloned())
            }
            PlatformRequest::WriteObject(key, value) => {
                self.objects.insert(key, value);
                RequestResult::Written
            }
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let rows = self.rows.range(prefix.to_owned()..);
        let rows = rows
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix));
        rows.filter(|row| row.key.as_str() > after)
            .take(limit)
            .cloned()
            .collect()
    }

    fn transact(&mut self, transaction: TransactionBody) -> RequestResult {
        let revision = |key: &str| self.rows.get(key).map_or(0, |row| row.revision);
        let failed: Vec<String> = transaction
            .conditions
            .into_iter()
            .filter(|condition| revision(&condition.key) != condition.revision)
            .map(|condition| condition.key)
            .collect();
        if !failed.is_empty() {
            return RequestResult::Conflict(failed);
        }
        self.revision += 1;
        for WriteBody { key, value } in transaction.writes {
            match value {
                Some(value) => {
                    let row = TableRow {
                        key: key.clone(),
                        value,
                        revision: self.revision,
                    };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        RequestResult::Committed(self.revision)
    }
}

/// Replaces the injected faults.
pub(crate) struct SetFaults(pub(crate) PlatformFaults);

impl Message<SetFaults> for PlatformActor {
    type Reply = ();

    async fn handle(&mut self, SetFaults(faults): SetFaults, _: &mut Context<Self, ()>) {
        self.faults = faults;
    }
}

/// Requests the counters.
pub(crate) struct ReadCounters;

impl Message<ReadCounters> for PlatformActor {
    type Reply = PlatformCounters;

    async fn handle(
        &mut self,
        ReadCounters: ReadCounters,
        _: &mut Context<Self, PlatformCounters>,
    ) -> PlatformCounters {
        self.counters.clone()
    }
}
