//! Two partitions of a mesh that started without knowledge of each other.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_node::{Node, NodeSettings, StoreSettings};
use agatedeck_standin::PlatformServer;
use agatedeck_store::{HttpStore, HttpStoreSettings, PlatformStore, RowWrite, StoreTransaction};
use futures::future::join_all;
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// Time within which two nodes that start together must know each other. It ends before either node
/// reads the rows of the store again, which happens after 10 s at the earliest.
const START_TIMEOUT: Duration = Duration::from_secs(4);

/// Time within which the partitions must merge into one mesh.
const MERGE_TIMEOUT: Duration = Duration::from_secs(45);

async fn start_pair(store: &str, names: [&str; 2]) -> Vec<Node> {
    let start = |name: &str| {
        Node::start(NodeSettings {
            name: name.to_owned(),
            region: "kolkata".to_owned(),
            domain: "kolkata-a".to_owned(),
            store: StoreSettings {
                url: store.to_owned(),
                region: "kolkata".to_owned(),
                ..Default::default()
            },
            ..Default::default()
        })
    };
    let nodes = join_all(names.map(start)).await;
    nodes
        .into_iter()
        .map(|node| node.expect("the node starts"))
        .collect()
}

async fn alive_members(admin: SocketAddr) -> u64 {
    let answer = reqwest::get(format!("http://{admin}/v1/node")).await;
    let state: Value = answer
        .expect("the node answers")
        .json()
        .await
        .expect("JSON");
    state["members"]["MEMBER_STATUS_ALIVE"]
        .as_u64()
        .unwrap_or(0)
}

/// Waits until each of `nodes` knows `count` alive members or `timeout` has passed. Returns how
/// many alive members each node knows at the end.
async fn wait_for_alive_members(nodes: &[&Node], count: u64, timeout: Duration) -> Vec<u64> {
    let deadline = Instant::now() + timeout;
    loop {
        let admin_addresses = nodes.iter().map(|node| node.addresses().admin);
        let alive_counts = join_all(admin_addresses.map(alive_members)).await;
        if alive_counts.iter().all(|alive| *alive == count) || Instant::now() >= deadline {
            return alive_counts;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against nodes that stop searching for other nodes once they have joined each other. A
/// mesh whose nodes started together would then stay split, with no changes or calls between the
/// partitions.
#[tokio::test(flavor = "multi_thread")]
async fn separately_started_partitions_merge() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port)
        .await
        .expect("the store starts");
    let first = start_pair(&platform.base_url(), ["node-0", "node-1"]).await;
    let pair: Vec<&Node> = first.iter().collect();
    assert_eq!(
        wait_for_alive_members(&pair, 2, START_TIMEOUT).await,
        [2, 2]
    );

    // Deletes the rows of the first pair, so that the second pair does not find them in the store.
    let store = HttpStore::new(&HttpStoreSettings {
        base_url: platform.base_url(),
        ..Default::default()
    })
    .expect("a client");
    let transaction = StoreTransaction {
        conditions: Vec::new(),
        writes: ["node-0", "node-1"]
            .map(|node| RowWrite {
                key: format!("node/kolkata/kolkata-a/{node}"),
                value: None,
            })
            .to_vec(),
    };
    let deadline = Instant::now() + START_TIMEOUT;
    let outcome = store.transact(&transaction, deadline).await;
    outcome.expect("the rows are cleared");
    let second = start_pair(&platform.base_url(), ["node-2", "node-3"]).await;

    let all: Vec<&Node> = first.iter().chain(&second).collect();
    assert_eq!(
        wait_for_alive_members(&all, 4, MERGE_TIMEOUT).await,
        [4, 4, 4, 4]
    );
}
