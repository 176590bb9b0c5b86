//! A mesh in one process over loopback: a stand-in for the platform, and nodes with one target
//! each.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatedeck_node::{
    CallSettings, ListenSettings, Node, NodeSettings, StoreSettings, TargetSettings,
};
use agatedeck_records::read_record_file;
use agatedeck_standin::{PlatformServer, TargetBehaviour, TargetServer};
use agatedeck_wire::{ControlPlaneClient, DomainDigest, Sync, client_transport};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use tarpc::client::Config;
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinHandle;

/// Records of the mesh. Calls under the policy `search` are idempotent, those under `charge` run at
/// most once, those under `upload` are not retried, and `wide` has more slots than connections.
const RECORD_FILE: &str = r#"
[[policy]]
name = "search"
[[policy.form]]
schema = 2
repeat = "always"
timeout_ms = 3000
slots = 4
queue = 8
max_attempts = 3
tenant_share_percent = 50

[[policy]]
name = "charge"
[[policy.form]]
schema = 1
repeat = "once"
timeout_ms = 3000
slots = 20

[[policy]]
name = "upload"
[[policy.form]]
schema = 1
repeat = "safe-methods"
timeout_ms = 20000
slots = 4
max_attempts = 1

[[policy]]
name = "wide"
[[policy.form]]
schema = 1
repeat = "always"
timeout_ms = 5000
slots = 300
queue = 300
connections = 20

[[service]]
name = "packprice"
[[service.form]]
schema = 1
policy = "wide"
health_path = "/health"

[[route]]
name = "prices"
[[route.form]]
schema = 1
prefix = "/prices"
service = "packprice"

[[service]]
name = "slotfinder"
[[service.form]]
schema = 2
policy = "search"
health_path = "/health"
load_path = "/load"

[[service]]
name = "depositdesk"
[[service.form]]
schema = 1
policy = "charge"
health_path = "/health"

[[service]]
name = "waiverbox"
[[service.form]]
schema = 1
policy = "upload"
health_path = "/health"

[[route]]
name = "slots"
[[route.form]]
schema = 1
prefix = "/slots"
service = "slotfinder"

[[route]]
name = "deposits"
[[route.form]]
schema = 1
prefix = "/deposits"
service = "depositdesk"

[[route]]
name = "waivers"
[[route.form]]
schema = 1
prefix = "/waivers"
service = "waiverbox"
"#;

pub(crate) struct TestMesh {
    pub(crate) platform: PlatformServer,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) targets: Vec<Option<TargetServer>>,
    pub(crate) client: Client,
    /// Socket that receives the metrics of the nodes.
    pub(crate) metrics_socket: UdpSocket,
    /// Addresses for local callers and for the admin API, by node.
    listen_addresses: Vec<(SocketAddr, SocketAddr)>,
}

/// The answer that a caller received.
#[derive(Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    /// `None` if the answer was truncated.
    pub(crate) body: Option<Value>,
}

impl ReceivedAnswer {
    pub(crate) fn run_number(&self) -> Option<u64> {
        self.body.as_ref()?["run"].as_u64()
    }
}

impl TestMesh {
    /// Starts one node and target per entry of `services`, each in its own failure domain.
    pub(crate) async fn start(services: &[&str]) -> Self {
        Self::start_with_settings(services, CallSettings::default()).await
    }

    /// As [`Self::start`], with these call settings.
    pub(crate) async fn start_with_settings(services: &[&str], calls: CallSettings) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port)
            .await
            .expect("the platform stand-in starts");
        let client = Client::builder()
            .no_proxy()
            .build()
            .expect("the HTTP client is built");
        let metrics_socket = UdpSocket::bind(any_port)
            .await
            .expect("the metrics socket is bound");
        let mut mesh = Self {
            metrics_socket,
            platform,
            nodes: Vec::new(),
            targets: Vec::new(),
            client,
            listen_addresses: Vec::new(),
        };
        for (index, service) in services.iter().enumerate() {
            let name = format!("node-{index}");
            let target = TargetServer::start(agatedeck_standin::TargetSettings {
                service: (*service).to_owned(),
                name: name.clone(),
                ..Default::default()
            })
            .await
            .expect("the target stand-in starts");
            let settings = NodeSettings {
                name,
                region: "kolkata".to_owned(),
                domain: format!("kolkata-{index}"),
                store: StoreSettings {
                    url: mesh.platform.base_url(),
                    region: "kolkata".to_owned(),
                    timeout: Duration::from_millis(500),
                },
                target: Some(TargetSettings {
                    service: (*service).to_owned(),
                    address: target.address(),
                    ..Default::default()
                }),
                metrics: mesh.metrics_socket.local_addr().ok(),
                listen: ListenSettings {
                    metrics: Some(any_port),
                    ..Default::default()
                },
                calls: CallSettings {
                    probe_interval: Duration::from_millis(100),
                    ..calls.clone()
                },
                ..Default::default()
            };
            let node = Node::start(settings).await.expect("the node starts");
            let addresses = node.addresses();
            mesh.listen_addresses
                .push((addresses.calls, addresses.admin));
            mesh.nodes.push(Some(node));
            mesh.targets.push(Some(target));
            // Nodes that join at the same time may discover each other only by later probes.
            mesh.wait_for_members(index + 1).await;
        }
        mesh.apply_records(services).await;
        mesh
    }

    /// Submits the records and waits until every node has them.
    async fn apply_records(&self, services: &[&str]) {
        let records = read_record_file("records.toml", RECORD_FILE).expect("records are valid");
        let writes: Vec<_> = records.iter().map(|record| record.to_write(0)).collect();
        let change =
            json!({ "change_id": "first", "operator": "test", "writes": writes, "insist": false });
        let url = format!("http://{}/v1/changes", self.listen_addresses[0].1);
        eventually("the change is accepted", async || {
            let answer = self.client.post(&url).json(&change).send().await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        for index in 0..services.len() {
            eventually("the node holds the records", async || {
                self.admin_json(index, "/v1/node").await["report"]["version"] == 1
            })
            .await;
        }
        // Longer than the interval at which the targets of the load balancers are refreshed.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }

    async fn wait_for_members(&self, count: usize) {
        for index in 0..count {
            eventually("the node knows all members", async || {
                self.admin_json(index, "/v1/node").await["members"]["MEMBER_STATUS_ALIVE"] == count
            })
            .await;
        }
    }

    pub(crate) async fn admin_json(&self, node: usize, path: &str) -> Value {
        let url = format!("http://{}{path}", self.listen_addresses[node].1);
        let answer = self.client.get(url).send().await.expect("the node answers");
        answer.json().await.expect("the answer is JSON")
    }

    pub(crate) fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.listen_addresses[node].0)
    }

    /// URL at which a node accepts calls from other nodes.
    pub(crate) fn peer_url(&self, node: usize, path: &str) -> String {
        let node = self.nodes[node].as_ref().expect("the node runs");
        format!("http://{}{path}", node.addresses().peer)
    }

    /// Metrics of a node in the `OpenMetrics` text format.
    pub(crate) async fn metrics_text(&self, node: usize) -> String {
        let node = self.nodes[node].as_ref().expect("the node runs");
        let address = node.addresses().metrics.expect("metrics are served");
        let answer = self.client.get(format!("http://{address}/metrics")).send();
        let answer = answer.await.expect("the node answers");
        answer.text().await.expect("the answer is text")
    }

    /// Number of crash reports in the answer of a node to another one that compares its members.
    pub(crate) async fn reports_in_member_exchange(&self, node: usize) -> usize {
        let node = self.nodes[node].as_ref().expect("the node runs");
        let stream = TcpStream::connect(node.addresses().control).await;
        let transport = client_transport(stream.expect("the node listens"));
        let client = ControlPlaneClient::new(Config::default(), transport).spawn();
        let sync = Sync {
            digests: vec![DomainDigest::default()],
            ..Default::default()
        };
        let answer = client.sync(tarpc::context::current(), sync).await;
        answer.expect("the node answers").crashes.len()
    }

    pub(crate) fn get_request(&self, node: usize, path: &str) -> RequestBuilder {
        self.client.get(self.url(node, path))
    }

    /// A call of `depositdesk` with `key` as its idempotency key and request ID.
    pub(crate) fn charge_request(&self, node: usize, key: &str) -> RequestBuilder {
        let request = self.client.post(self.url(node, "/deposits"));
        let request = request.header("idempotency-key", key);
        request.header("x-request-id", key).body("charge 30")
    }

    pub(crate) fn target(&self, index: usize) -> &TargetServer {
        self.targets[index].as_ref().expect("the target runs")
    }

    pub(crate) async fn set_behaviour(&self, index: usize, behaviour: TargetBehaviour) {
        self.target(index).set_behaviour(behaviour).await;
    }

    /// Stops a target and waits until its address refuses connections, because a task closes its
    /// listener asynchronously.
    /// Makes the first target hang, and sends it calls at `path` until its four slots are taken and the
    /// four places of its queue.
    pub(crate) async fn fill_first_target(&self, path: &str) -> Vec<JoinHandle<ReceivedAnswer>> {
        let behaviour = TargetBehaviour {
            hang: true,
            ..Default::default()
        };
        self.set_behaviour(0, behaviour).await;
        let calls = (0..8).map(|_| {
            let call = self.client.post(self.url(0, path)).body("form");
            tokio::spawn(send_call(call))
        });
        let calls = calls.collect();
        eventually("the slots are taken", async || {
            self.target(0).counters().await.started == 4
        })
        .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        calls
    }

    pub(crate) async fn kill_target(&mut self, index: usize) {
        let target = self.targets[index].take().expect("the target runs");
        let address = target.address();
        drop(target);
        eventually("the target is gone", async || {
            tokio::net::TcpStream::connect(address).await.is_err()
        })
        .await;
    }

    /// Number of times that a request ran, over all targets.
    pub(crate) async fn run_count(&self, id: &str) -> u64 {
        let mut runs = 0;
        for target in self.targets.iter().flatten() {
            runs += target.counters().await.runs.get(id).copied().unwrap_or(0);
        }
        runs
    }
}

/// Sends a call and reads the answer.
pub(crate) async fn send_call(request: RequestBuilder) -> ReceivedAnswer {
    let answer = request.send().await.expect("the node answers");
    let header_text = |name| {
        let value = answer.headers().get(name);
        let value = value.and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (
        header_text("agatedeck-outcome"),
        header_text("agatedeck-reason"),
    );
    let status = answer.status().as_u16();
    let body = answer.bytes().await.ok();
    ReceivedAnswer {
        status,
        outcome,
        reason,
        body: body.map(|body| serde_json::from_slice(&body).unwrap_or(Value::Null)),
    }
}

/// Waits until `condition` holds.
pub(crate) async fn eventually(description: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
