//! Peers that are silent, as after a partition: their connections stay open, or their hosts answer nothing.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_node::{Node, NodeSettings, StoreSettings};
use agatedeck_records::read_record_file;
use agatedeck_standin::PlatformServer;
use agatedeck_wire::{
    ControlPlaneClient, Member, MemberStatus, ReaderHeartbeat, Rumor, SpreadScope, client_transport,
};
use serde_json::json;
use tarpc::client::Config;
use tokio::io::copy;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Time within which a node must open another connection to a peer that does not respond.
const RECONNECT_BOUND: Duration = Duration::from_secs(3);

/// Time within which a version must be in force once a node has been told of it.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Time that a node has to start.
const START_BOUND: Duration = Duration::from_secs(10);

/// Time within which a call must end whose target's host no longer answers: twice the time without an
/// acknowledgement after which a connection is given up.
const LOST_HOST_BOUND: Duration = Duration::from_secs(3);

/// Size of a body that is sent only once the node of the target has asked for it.
const LARGE_BODY_BYTES: usize = 100_000;

/// Records of the first version.
const RECORD_FILE: &str = r#"
[[policy]]
name = "charge"
[[policy.form]]
schema = 1
repeat = "never"
timeout_ms = 9000
slots = 20

[[service]]
name = "charge"
[[service.form]]
schema = 1
policy = "charge"
health_path = "/healthz"

[[route]]
name = "charge"
[[route.form]]
schema = 1
prefix = "/charge"
service = "charge"
"#;

/// Accepts connections, reads them and never answers. Returns its address and the number of
/// accepted connections.
async fn start_silent_peer() -> (SocketAddr, watch::Receiver<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (accepted_sender, accepted) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted_sender.send_modify(|accepted| *accepted += 1);
            tokio::spawn(async move { copy(&mut stream, &mut tokio::io::sink()).await });
        }
    });
    (address, accepted)
}

async fn control_client(control: SocketAddr) -> ControlPlaneClient {
    let stream = TcpStream::connect(control).await.expect("the node listens");
    ControlPlaneClient::new(Config::default(), client_transport(stream)).spawn()
}

/// Member entry of a live node with its listeners at `address`.
fn live_member(name: &str, domain: &str, address: SocketAddr) -> Member {
    Member {
        node: name.to_owned(),
        incarnation: 1,
        status: MemberStatus::Alive.into(),
        domain: domain.to_owned(),
        region: "kolkata".to_owned(),
        control_address: address.to_string(),
        peer_address: address.to_string(),
        ..Default::default()
    }
}

/// Tells the node at `control` of other members.
async fn announce_members(control: SocketAddr, members: Vec<Member>) {
    let rumor = Rumor {
        scope: SpreadScope::Self_.into(),
        members,
        ..Default::default()
    };
    let client = control_client(control).await;
    let answer = client.rumor(tarpc::context::current(), rumor).await;
    answer.expect("the node takes the rumor");
}

/// Starts a node whose store is `platform`.
async fn start_node(name: &str, domain: &str, platform: &PlatformServer) -> Node {
    let settings = NodeSettings {
        name: name.to_owned(),
        region: "kolkata".to_owned(),
        domain: domain.to_owned(),
        store: StoreSettings {
            url: platform.base_url(),
            region: "kolkata".to_owned(),
            ..Default::default()
        },
        ..Default::default()
    };
    Node::start(settings).await.expect("the node starts")
}

async fn start_platform() -> PlatformServer {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    PlatformServer::start(any_port)
        .await
        .expect("the store starts")
}

/// Guards against a node that waits on a connection that lost its bytes in a partition: TCP resends
/// them seconds after the partition has healed, while a new connection works at once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_replaced() {
    let platform = start_platform().await;
    let node = start_node("node-0", "kolkata-a", &platform).await;
    let (address, mut accepted) = start_silent_peer().await;
    let silent = live_member("silent", "kolkata-a", address);
    announce_members(node.addresses().control, vec![silent]).await;
    let first = timeout(
        RECONNECT_BOUND,
        accepted.wait_for(|accepted| *accepted >= 1),
    )
    .await;
    first.expect("the node connects").expect("the peer runs");
    let second = timeout(
        RECONNECT_BOUND,
        accepted.wait_for(|accepted| *accepted >= 2),
    )
    .await;
    second
        .expect("the node replaces the silent connection")
        .expect("the peer runs");
}

/// Guards against a node that lacks a version for seconds because the peers that it asks first are
/// frozen: one of them costs the whole bound on a change if the peers are asked one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_pulled_past_silent_peers() {
    pull_past_silent_peers(3).await;
}

/// Guards against a node that asks only the peers of its own failure domain, and waits for each of
/// them, while all of that domain is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_pulled_past_a_silent_failure_domain() {
    pull_past_silent_peers(12).await;
}

/// Checks that a node with `silent_count` silent peers in its failure domain and one peer that answers
/// elsewhere gets a version that the latter holds.
async fn pull_past_silent_peers(silent_count: usize) {
    // Each node has a store of its own, so that the version can only come from the other node.
    let (platform, other_platform) = (start_platform().await, start_platform().await);
    let node = start_node("node-0", "kolkata-a", &platform).await;
    let other = start_node("node-1", "kolkata-b", &other_platform).await;
    timeout(START_BOUND, node.wait_for_version(0))
        .await
        .expect("the node serves");
    timeout(START_BOUND, other.wait_for_version(0))
        .await
        .expect("the other node serves");
    write_first_version(&other).await;
    timeout(START_BOUND, other.wait_for_version(1))
        .await
        .expect("version 1");
    let mut members = vec![live_member(
        "node-1",
        "kolkata-b",
        other.addresses().control,
    )];
    for index in 0..silent_count {
        let (address, _) = start_silent_peer().await;
        // In the same failure domain, so that they are asked first.
        members.push(live_member(
            &format!("silent-{index:02}"),
            "kolkata-a",
            address,
        ));
    }
    let control = node.addresses().control;
    announce_members(control, members).await;
    let heartbeat = ReaderHeartbeat {
        node: "node-1".to_owned(),
        version: 1,
        scope: SpreadScope::Self_.into(),
        ..Default::default()
    };
    let client = control_client(control).await;
    let answer = client
        .reader_heartbeat(tarpc::context::current(), heartbeat)
        .await;
    answer.expect("the node takes the heartbeat");
    timeout(CONFIG_BOUND, node.wait_for_version(1))
        .await
        .expect("the version is in force within the bound");
}

/// Guards against an upload that waits until its deadline for a host that is lost: nothing on its connection
/// shows the loss while the host has yet to ask for the body.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_to_a_lost_host_is_given_up_in_time() {
    let platform = start_platform().await;
    let node = start_node("node-0", "kolkata-a", &platform).await;
    timeout(START_BOUND, node.wait_for_version(0))
        .await
        .expect("the node serves");
    write_first_version(&node).await;
    timeout(START_BOUND, node.wait_for_version(1))
        .await
        .expect("version 1");
    let (control_address, _accepted) = start_silent_peer().await;
    // The kernel completes the connection of the call, and none after it.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port");
    let lost_host = socket.listen(0).expect("a listener");
    let target = Member {
        peer_address: lost_host.local_addr().expect("an address").to_string(),
        service: "charge".to_owned(),
        slots: 20,
        ..live_member("lost", "kolkata-a", control_address)
    };
    announce_members(node.addresses().control, vec![target]).await;
    let request = reqwest::Client::new()
        .post(format!("http://{}/charge", node.addresses().calls))
        .body(vec![7_u8; LARGE_BODY_BYTES]);
    let sent_at = Instant::now();
    let response = request.send().await.expect("the node answers");
    let took = sent_at.elapsed();
    let outcome = response.headers().get("agatedeck-outcome");
    assert_eq!(outcome.expect("an outcome"), "unknown");
    assert!(took < LOST_HOST_BOUND, "the answer came after {took:?}");
}

/// Writes the first version through the admin API of `node`.
async fn write_first_version(node: &Node) {
    let records = read_record_file("records.toml", RECORD_FILE).expect("records are valid");
    let writes: Vec<_> = records.iter().map(|record| record.to_write(0)).collect();
    let change =
        json!({ "change_id": "first", "operator": "test", "writes": writes, "insist": false });
    let url = format!("http://{}/v1/changes", node.addresses().admin);
    let response = reqwest::Client::new().post(url).json(&change).send().await;
    let response = response.expect("the node answers");
    assert_eq!(response.status(), 200, "{:?}", response.text().await);
}
