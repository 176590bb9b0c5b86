//! Tests of `HttpStore` against the platform test double over loopback.

use std::io::Read as _;
use std::time::Duration;

use agatedeck_standin::{PlatformFaults, PlatformServer};
use agatedeck_store::{
    HttpStore, HttpStoreSettings, PlatformStore, RowCondition, RowWrite, StoreError,
    StoreTransaction, TransactionOutcome,
};
use tokio::time::Instant;

async fn start_platform() -> (PlatformServer, HttpStore) {
    let address = ([127, 0, 0, 1], 0).into();
    let server = PlatformServer::start(address).await.unwrap();
    let store = client(server.base_url());
    (server, store)
}

fn client(base_url: String) -> HttpStore {
    let settings = HttpStoreSettings {
        base_url,
        ..HttpStoreSettings::default()
    };
    HttpStore::new(&settings).unwrap()
}

fn faults_with(change: impl FnOnce(&mut PlatformFaults)) -> PlatformFaults {
    let mut faults = PlatformFaults::default();
    change(&mut faults);
    faults
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// Builds a transaction that writes each key on condition that its row has the given revision.
fn transaction(rows: &[(&str, u64, Option<&[u8]>)]) -> StoreTransaction {
    let condition = |row: &(&str, u64, _)| RowCondition {
        key: row.0.to_owned(),
        revision: row.1,
    };
    let write = |row: &(&str, u64, Option<&[u8]>)| RowWrite {
        key: row.0.to_owned(),
        value: row.2.map(<[u8]>::to_vec),
    };
    StoreTransaction {
        conditions: rows.iter().map(condition).collect(),
        writes: rows.iter().map(write).collect(),
    }
}

async fn read_value(store: &HttpStore, key: &str) -> Option<Vec<u8>> {
    store
        .read_row(key, deadline())
        .await
        .unwrap()
        .map(|row| row.value)
}

/// Guards against a transaction that writes only some of its rows, a condition that is not checked,
/// and a revision that is reused after a deletion.
#[tokio::test]
async fn failed_condition_rejects_the_whole_transaction() {
    let (_server, store) = start_platform().await;
    let first = transaction(&[("a", 0, Some(b"1")), ("b & c/ü", 0, Some(&[0, 255]))]);
    let outcome = store.transact(&first, deadline()).await.unwrap();
    let TransactionOutcome::Committed(revision) = outcome else {
        panic!("the transaction was not committed: {outcome:?}");
    };
    let row = store
        .read_row("b & c/ü", deadline())
        .await
        .unwrap()
        .unwrap();
    assert_eq!((row.value, row.revision), (vec![0, 255], revision));

    let mixed = transaction(&[("a", 0, Some(b"2")), ("new", 0, Some(b"2"))]);
    let outcome = store.transact(&mixed, deadline()).await.unwrap();
    assert_eq!(outcome, TransactionOutcome::Conflict(vec!["a".to_owned()]));
    assert_eq!(read_value(&store, "a").await, Some(b"1".to_vec()));
    assert_eq!(read_value(&store, "new").await, None);

    let delete = transaction(&[("a", revision, None)]);
    store.transact(&delete, deadline()).await.unwrap();
    assert_eq!(read_value(&store, "a").await, None);
    let again = transaction(&[("a", 0, Some(b"3"))]);
    let outcome = store.transact(&again, deadline()).await.unwrap();
    assert!(matches!(outcome, TransactionOutcome::Committed(later) if later > revision));
}

/// Guards against treating a write with a lost response as a write without effect.
#[tokio::test]
async fn write_with_a_lost_answer_takes_effect() {
    let (server, store) = start_platform().await;
    server
        .set_faults(faults_with(|faults| faults.lose_answers = 1))
        .await;
    let write = transaction(&[("a", 0, Some(b"1"))]);
    let error = store.transact(&write, deadline()).await.unwrap_err();
    assert!(matches!(error, StoreError::Unanswered(_)), "{error:?}");
    assert_eq!(read_value(&store, "a").await, Some(b"1".to_vec()));
    let repeated = store.transact(&write, deadline()).await.unwrap();
    assert_eq!(repeated, TransactionOutcome::Conflict(vec!["a".to_owned()]));
}

/// Guards against treating a write during an outage as one that may have taken effect.
#[yare::parameterized(
    outage = { faults_with(|faults| faults.outage = true) },
    refused = { faults_with(|faults| faults.refuse_requests = 1) },
)]
#[test_macro(tokio::test)]
async fn unavailable_platform_runs_nothing(faults: PlatformFaults) {
    let (server, store) = start_platform().await;
    server.set_faults(faults).await;
    let write = transaction(&[("a", 0, Some(b"1"))]);
    let error = store.transact(&write, deadline()).await.unwrap_err();
    assert!(matches!(error, StoreError::Unreachable(_)), "{error:?}");
    server.set_faults(PlatformFaults::default()).await;
    assert_eq!(read_value(&store, "a").await, None);
    assert_eq!(server.counters().await.refused, 1);
}

/// Guards against treating a write to a closed port as one that may have run, and a connection that
/// fails after the request as one that was never opened.
#[tokio::test]
async fn broken_connection_is_unanswered_and_closed_port_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let store = client(format!("http://{}", listener.local_addr().unwrap()));
    let server = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        connection.read(&mut [0; 1_024]).unwrap()
    });
    let write = transaction(&[("a", 0, Some(b"1"))]);
    let error = store.transact(&write, deadline()).await.unwrap_err();
    assert!(matches!(error, StoreError::Unanswered(_)), "{error:?}");
    assert!(server.join().unwrap() > 0);
    let error = store.transact(&write, deadline()).await.unwrap_err();
    assert!(matches!(error, StoreError::Unreachable(_)), "{error:?}");
}

/// Guards against requests that outlive their deadline, and against treating a late write as one
/// without effect.
#[tokio::test]
async fn response_after_the_deadline_is_unanswered() {
    let (server, store) = start_platform().await;
    server
        .set_faults(faults_with(|faults| faults.delay_ms = 60_000))
        .await;
    let write = transaction(&[("a", 0, Some(b"1"))]);
    let started = Instant::now();
    let deadline = started + Duration::from_millis(500);
    let error = store.transact(&write, deadline).await.unwrap_err();
    assert!(matches!(error, StoreError::Unanswered(_)), "{error:?}");
    assert!(
        started.elapsed() < Duration::from_secs(30),
        "the request outlived its deadline"
    );
    server.set_faults(PlatformFaults::default()).await;
    assert_eq!(read_value(&store, "a").await, Some(b"1".to_vec()));
}

/// Guards against a paged scan that repeats or omits rows.
#[tokio::test]
async fn paged_scan_returns_each_row_once_in_key_order() {
    let (_server, store) = start_platform().await;
    let keys = [
        "delta/10", "delta/02", "delta/1", "other", "delta/01", "delt",
    ];
    let rows: Vec<_> = keys.map(|key| (key, 0, Some(key.as_bytes()))).into();
    store
        .transact(&transaction(&rows), deadline())
        .await
        .unwrap();
    let (mut after, mut found) = (String::new(), Vec::new());
    loop {
        let page = store
            .scan_rows("delta/", &after, 2, deadline())
            .await
            .unwrap();
        assert!(page.len() <= 2);
        let Some(last) = page.last() else { break };
        after.clone_from(&last.key);
        found.extend(page.into_iter().map(|row| row.key));
    }
    assert_eq!(found, ["delta/01", "delta/02", "delta/1", "delta/10"]);
}

/// Guards against objects that are altered in storage, and against an absent object being reported
/// as a failure.
#[tokio::test]
async fn objects_round_trip() {
    let (_server, store) = start_platform().await;
    let key = "snapshot/00000000000000000064";
    assert_eq!(store.read_object(key, deadline()).await.unwrap(), None);
    let bytes: Vec<u8> = (0..=255).cycle().take(100_000).collect();
    store.write_object(key, &bytes, deadline()).await.unwrap();
    assert_eq!(
        store.read_object(key, deadline()).await.unwrap(),
        Some(bytes)
    );
}
