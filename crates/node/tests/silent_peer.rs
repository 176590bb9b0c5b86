//! A peer whose connection stays open and silent, as after a partition.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_node::{Node, NodeSettings, StoreSettings};
use agatedeck_standin::PlatformServer;
use agatedeck_wire::{
    ControlPlaneClient, Member, MemberStatus, Rumor, SpreadScope, client_transport,
};
use tarpc::client::Config;
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Time within which a node must open another connection to a peer that does not respond.
const RECONNECT_BOUND: Duration = Duration::from_secs(3);

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

/// Tells the node at `control` that a member is alive at `address`.
async fn announce_member(control: SocketAddr, address: SocketAddr) {
    let stream = TcpStream::connect(control).await.expect("the node listens");
    let client = ControlPlaneClient::new(Config::default(), client_transport(stream)).spawn();
    let member = Member {
        node: "silent".to_owned(),
        incarnation: 1,
        status: MemberStatus::Alive.into(),
        domain: "kolkata-a".to_owned(),
        region: "kolkata".to_owned(),
        control_address: address.to_string(),
        peer_address: address.to_string(),
        ..Default::default()
    };
    let rumor = Rumor {
        scope: SpreadScope::Self_.into(),
        members: vec![member],
        ..Default::default()
    };
    let answer = client.rumor(tarpc::context::current(), rumor).await;
    answer.expect("the node takes the rumor");
}

/// Guards against a node that waits on a connection that lost its bytes in a partition: TCP resends
/// them seconds after the partition has healed, while a new connection works at once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_replaced() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port)
        .await
        .expect("the store starts");
    let node = Node::start(NodeSettings {
        name: "node-0".to_owned(),
        region: "kolkata".to_owned(),
        domain: "kolkata-a".to_owned(),
        store: StoreSettings {
            url: platform.base_url(),
            region: "kolkata".to_owned(),
            ..Default::default()
        },
        ..Default::default()
    })
    .await
    .expect("the node starts");
    let (address, mut accepted) = start_silent_peer().await;
    announce_member(node.addresses().control, address).await;
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
