//! Mesh of stand-ins and nodes in the process of the quickstart.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatedeck::{ListenSettings, Node, NodeSettings, StoreSettings, TargetSettings};
use agatedeck_standin::{PlatformServer, TargetServer, TargetSettings as StandinSettings};
use agatedeck_wire::Change;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use reqwest::Client;
use serde_json::Value;

const REGIONS: [&str; 3] = ["kolkata", "mumbai", "chennai"];

/// Maximum time until a node knows all members as alive.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(30);

const SERVICES: [&str; 8] = [
    "slotfinder",
    "depositdesk",
    "waiverbox",
    "packprice",
    "catalogue",
    "orders",
    "manifests",
    "inventory",
];

/// Listen addresses of the first node with `--keep`.
fn fixed_listen_addresses() -> ListenSettings {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    ListenSettings {
        calls: address(7401),
        peer: address(7402),
        control: address(7403),
        admin: address(7404),
        ..Default::default()
    }
}

/// Waits until a node knows `member_count` members as alive, itself included.
async fn wait_for_members(client: &Client, node: &Node, member_count: usize) -> Result<()> {
    let url = format!("http://{}/v1/node", node.addresses().admin);
    let deadline = Instant::now() + MEMBERSHIP_TIMEOUT;
    while Instant::now() < deadline {
        let answer = client.get(&url).send().await.into_diagnostic()?;
        let state: Value = answer.json().await.into_diagnostic()?;
        if state["members"]["MEMBER_STATUS_ALIVE"] == member_count {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(miette!(
        "node at {url} does not know {member_count} alive members after {MEMBERSHIP_TIMEOUT:?}"
    ))
}

/// Running nodes with the stand-ins for their targets and for the platform.
pub(crate) struct LocalMesh {
    pub(crate) nodes: Vec<Node>,
    pub(crate) client: Client,
    targets: Vec<TargetServer>,
    // Held because the stand-in stops when it is dropped.
    _platform: PlatformServer,
}

impl LocalMesh {
    /// Starts one target of each service in each region, with a node beside it, and waits until all
    /// nodes serve and know each other. With `fixed_ports` the first node listens at the addresses
    /// in the tour of the README.
    pub(crate) async fn start(fixed_ports: bool) -> Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port).await.into_diagnostic()?;
        let client = Client::builder().no_proxy().build().into_diagnostic()?;
        let (mut nodes, mut targets) = (Vec::new(), Vec::new());
        for (service_index, service) in SERVICES.into_iter().enumerate() {
            for region in REGIONS {
                let domain = format!(
                    "{region}-{}",
                    if service_index % 2 == 0 { "a" } else { "b" }
                );
                let name = format!("{domain}-{service}");
                let target_settings = StandinSettings {
                    service: service.to_owned(),
                    name: name.clone(),
                    ..Default::default()
                };
                let target = TargetServer::start(target_settings)
                    .await
                    .into_diagnostic()?;
                let node_settings = NodeSettings {
                    name,
                    region: region.to_owned(),
                    domain,
                    listen: if fixed_ports && nodes.is_empty() {
                        fixed_listen_addresses()
                    } else {
                        ListenSettings::default()
                    },
                    store: StoreSettings {
                        url: platform.base_url(),
                        region: REGIONS[0].to_owned(),
                        ..Default::default()
                    },
                    target: Some(TargetSettings {
                        service: service.to_owned(),
                        address: target.address(),
                        ..Default::default()
                    }),
                    ..Default::default()
                };
                targets.push(target);
                nodes.push(Node::start(node_settings).await.into_diagnostic()?);
            }
        }
        // Once the empty version 0 is active, a node has read its floor.
        futures::future::join_all(nodes.iter().map(|node| node.wait_for_version(0))).await;
        // A node that does not know the targets of a service yet answers its calls with `not-run`.
        for node in &nodes {
            wait_for_members(&client, node, nodes.len()).await?;
        }
        Ok(Self {
            nodes,
            client,
            targets,
            _platform: platform,
        })
    }

    /// Commits a change at the first node and returns its version.
    ///
    /// # Errors
    ///
    /// Fails if the admin API does not answer or the change is not accepted.
    pub(crate) async fn commit_change(&self, change: &Change) -> Result<u64> {
        let url = format!("http://{}/v1/changes", self.nodes[0].addresses().admin);
        let answer = self.client.post(url).json(change).send().await;
        let answer = answer
            .into_diagnostic()
            .wrap_err("the admin API does not answer")?;
        let answer: Value = answer.json().await.into_diagnostic()?;
        let version = answer["version"].as_u64();
        version.ok_or_else(|| miette!("the change was not accepted: {answer}"))
    }

    /// Returns the number of requests that ran more than once, summed over all targets.
    pub(crate) async fn count_repeated_requests(&self) -> u64 {
        let mut runs = std::collections::BTreeMap::new();
        for target in &self.targets {
            for (request, count) in target.counters().await.runs {
                *runs.entry(request).or_insert(0) += count;
            }
        }
        // The targets count probes and all other requests without an id under `none`.
        runs.remove("none");
        runs.values().filter(|count| **count > 1).count() as u64
    }

    /// Shuts down all nodes.
    pub(crate) async fn shutdown(self) {
        futures::future::join_all(self.nodes.into_iter().map(Node::shutdown)).await;
    }
}
