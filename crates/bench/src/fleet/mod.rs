//! Fleets of real node processes that run against test doubles of the platform and of targets.

mod fleet_node;
mod process_usage;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agatedeck_standin::{PlatformCounters, PlatformServer};
use agatedeck_wire::Change;
use futures::future::{join_all, try_join_all};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use reqwest::Client;
use serde_json::Value;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

pub(crate) use fleet_node::{NodeAddresses, NodeEvent, NodeSpec};
pub(crate) use process_usage::ProcessUsage;

use fleet_node::FleetNode;

/// Regions of a fleet, with two failure domains each. The store is in the first region.
const REGION_NAMES: [&str; 3] = ["kolkata", "mumbai", "chennai"];

/// Emulated one-way delay between regions, in microseconds.
const REGION_DELAY_US: u64 = 12_000;

/// Emulated one-way delay between the failure domains of a region, in microseconds.
const DOMAIN_DELAY_US: u64 = 1_500;

/// Timeout for all nodes of a fleet to serve and to see each other alive.
const START_TIMEOUT: Duration = Duration::from_secs(90);

/// Timeout for a change to become active on every node.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for a response of a node's admin API.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the state of the nodes is polled while waiting for them to join.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settling time per started node, in milliseconds, until probes no longer carry the member updates
/// of the start. Each update is sent about 15 times, with up to 8 updates per message and two to
/// three messages per second, so the byte rate stays high for this long and then drops.
pub(crate) const SETTLE_PER_NODE_MS: u64 = 1_000;

/// Maximum number of node processes in a fleet. 200 processes use about 4 GB of memory.
pub(crate) const MAX_NODES: usize = 200;

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) nodes: Vec<NodeSpec>,
    /// Dissemination policy: `tree` or `poll`.
    pub(crate) policy: String,
    /// Whether delays between regions and failure domains are emulated.
    pub(crate) emulate_delays: bool,
    /// Worker threads of each node.
    pub(crate) workers: usize,
    /// TOML that is appended to the settings file of each node.
    pub(crate) extra_settings: String,
}

impl FleetSettings {
    /// Configures `size` nodes without targets, distributed evenly over the regions and failure
    /// domains.
    pub(crate) fn spread_over_regions(size: usize, policy: &str, workers: usize) -> Self {
        Self {
            nodes: (0..size).map(|index| node_spec(index, None)).collect(),
            policy: policy.to_owned(),
            emulate_delays: true,
            workers,
            extra_settings: String::new(),
        }
    }
}

/// Specifies the node number `index`, with region and failure domain assigned in round-robin order.
pub(crate) fn node_spec(index: usize, target: Option<(String, std::net::SocketAddr)>) -> NodeSpec {
    let region = REGION_NAMES[index % REGION_NAMES.len()];
    let domain = ["a", "b"][index / REGION_NAMES.len() % 2];
    NodeSpec {
        name: format!("node-{index}"),
        region: region.to_owned(),
        domain: format!("{region}-{domain}"),
        target,
    }
}

/// Version and timestamps of an accepted change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedChange {
    pub(crate) version: u64,
    /// Unix time at which the request was sent, in microseconds.
    pub(crate) sent_us: u64,
    /// Unix time at which the response arrived, in microseconds.
    pub(crate) accepted_us: u64,
}

/// State of a node as reported by its admin API.
#[derive(Clone, Debug)]
pub(crate) struct NodeState {
    pub(crate) version: u64,
    pub(crate) phase: String,
    /// Members that the node sees alive, including itself.
    pub(crate) alive_members: u64,
    /// Control traffic since the start of the node, in bytes.
    pub(crate) control_bytes: u64,
    /// Part of `control_bytes` that crossed regions.
    pub(crate) cross_region_control_bytes: u64,
}

/// Running node processes and the test double of the platform. Dropping a fleet kills its nodes.
pub(crate) struct NodeFleet {
    platform: PlatformServer,
    client: Client,
    settings_dir: TempDir,
    settings: FleetSettings,
    nodes: Vec<FleetNode>,
    events: mpsc::UnboundedReceiver<NodeEvent>,
    event_sender: mpsc::UnboundedSender<NodeEvent>,
    /// For each node, the Unix time in microseconds at which each version became active.
    activation_times_us: Vec<BTreeMap<u64, u64>>,
}

/// Returns the Unix time in microseconds. Timestamps of different processes are comparable, because
/// all processes of a measurement run on one host.
pub(crate) fn unix_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

impl NodeFleet {
    /// Starts all nodes concurrently and waits until they serve and see each other alive.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`MAX_NODES`] nodes, a process cannot be started or the nodes
    /// have not joined within [`START_TIMEOUT`].
    pub(crate) async fn start(settings: FleetSettings) -> Result<Self> {
        let count = settings.nodes.len();
        if count > MAX_NODES {
            return Err(miette!("{count} nodes exceed the limit of {MAX_NODES}"));
        }
        let bind_address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(bind_address)
            .await
            .into_diagnostic()?;
        let client = Client::builder()
            .no_proxy()
            .timeout(ADMIN_TIMEOUT)
            .build()
            .into_diagnostic()?;
        let (event_sender, events) = mpsc::unbounded_channel();
        let mut fleet = Self {
            platform,
            client,
            settings_dir: tempfile::tempdir().into_diagnostic()?,
            activation_times_us: vec![BTreeMap::new(); count],
            settings,
            nodes: Vec::new(),
            events,
            event_sender,
        };
        for index in 0..count {
            let node = fleet.spawn_node(index)?;
            fleet.nodes.push(node);
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while fleet.nodes.iter().any(|node| node.addresses.is_none()) {
            fleet.next_event(deadline, "open their listeners").await?;
        }
        fleet.wait_joined(deadline).await?;
        Ok(fleet)
    }

    fn spawn_node(&self, index: usize) -> Result<FleetNode> {
        let settings_file = self.write_settings(&self.settings.nodes[index])?;
        FleetNode::spawn(
            index,
            &settings_file,
            self.settings.workers,
            self.event_sender.clone(),
        )
    }

    fn write_settings(&self, spec: &NodeSpec) -> Result<PathBuf> {
        let mut text = format!(
            "[node]\nname = \"{}\"\nregion = \"{}\"\ndomain = \"{}\"\n\
             [listen]\ncalls = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
             control = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             [store]\nurl = \"{}\"\nregion = \"{}\"\n[spread]\npolicy = \"{}\"\n",
            spec.name,
            spec.region,
            spec.domain,
            self.platform.base_url(),
            REGION_NAMES[0],
            self.settings.policy,
        );
        if self.settings.emulate_delays {
            let delays = format!(
                "[emulation]\nregion_delay_us = {REGION_DELAY_US}\n\
                 domain_delay_us = {DOMAIN_DELAY_US}\n"
            );
            text.push_str(&delays);
        }
        if let Some((service, address)) = &spec.target {
            let target = format!("[target]\nservice = \"{service}\"\naddress = \"{address}\"\n");
            text.push_str(&target);
        }
        text.push_str(&self.settings.extra_settings);
        let file = self.settings_dir.path().join(format!("{}.toml", spec.name));
        std::fs::write(&file, text).into_diagnostic()?;
        Ok(file)
    }

    /// Records the next event from the logs. `expectation` completes the error message after "the
    /// nodes did not".
    async fn next_event(&mut self, deadline: Instant, expectation: &str) -> Result<()> {
        let event = timeout_at(deadline, self.events.recv()).await;
        match event {
            Ok(Some(event)) => {
                self.record_event(&event);
                Ok(())
            }
            Ok(None) | Err(_) => Err(miette!("timed out: the nodes did not {expectation}")),
        }
    }

    fn record_event(&mut self, event: &NodeEvent) {
        match *event {
            NodeEvent::Listening {
                node,
                pid,
                addresses,
            } => {
                let node = &mut self.nodes[node];
                if node.pid() == Some(pid) {
                    node.addresses = Some(addresses);
                }
            }
            NodeEvent::VersionActivated {
                node,
                version,
                activated_us,
            } => {
                self.activation_times_us[node]
                    .entry(version)
                    .or_insert(activated_us);
            }
        }
    }

    /// Waits until every node serves and sees all members alive.
    ///
    /// # Errors
    ///
    /// Fails with the phase and the number of live members of each node if `deadline` passes.
    pub(crate) async fn wait_joined(&self, deadline: Instant) -> Result<()> {
        let expected = u64::try_from(self.nodes.len()).unwrap_or(u64::MAX);
        loop {
            let states = join_all((0..self.nodes.len()).map(|node| self.state(node))).await;
            let has_joined =
                |state: &NodeState| state.phase == "serving" && state.alive_members == expected;
            let joined_count = states
                .iter()
                .flatten()
                .filter(|state| has_joined(state))
                .count();
            if joined_count == self.nodes.len() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let node_states = states.iter().map(|state| match state {
                    Ok(state) => format!("{} {}", state.phase, state.alive_members),
                    Err(error) => error.to_string(),
                });
                let node_states: Vec<String> = node_states.collect();
                return Err(miette!(
                    "only {joined_count} of {expected} nodes serve and see all members alive; \
                     phase and live members of each node: {}",
                    node_states.join(", ")
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits `base_ms` plus `per_node_ms` per node, so that the member updates of the start do not
    /// affect measurements.
    pub(crate) async fn wait_settled(&self, base_ms: u64, per_node_ms: u64) {
        let nodes = u64::try_from(self.nodes.len()).unwrap_or(u64::MAX);
        let pause_ms = base_ms.saturating_add(per_node_ms.saturating_mul(nodes));
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Number of nodes.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Makes a node leave the mesh and starts it again. Waits for its listeners, but not until it
    /// has joined.
    ///
    /// # Errors
    ///
    /// Fails if the listeners are not open within [`START_TIMEOUT`].
    pub(crate) async fn restart(&mut self, node: usize) -> Result<()> {
        self.nodes[node].stop().await?;
        self.nodes[node] = self.spawn_node(node)?;
        let deadline = Instant::now() + START_TIMEOUT;
        while self.nodes[node].addresses.is_none() {
            self.next_event(deadline, "open their listeners again")
                .await?;
        }
        Ok(())
    }

    /// Returns the listen addresses of a node.
    ///
    /// # Errors
    ///
    /// Fails if the node has not opened its listeners yet.
    pub(crate) fn addresses(&self, node: usize) -> Result<NodeAddresses> {
        let addresses = self.nodes[node].addresses;
        addresses.ok_or_else(|| miette!("node {node} has not opened its listeners"))
    }

    /// Queries the state of a node through its admin API.
    pub(crate) async fn state(&self, node: usize) -> Result<NodeState> {
        let url = format!("http://{}/v1/node", self.addresses(node)?.admin);
        let response = self.client.get(url).send().await.into_diagnostic()?;
        let body: Value = response.json().await.into_diagnostic()?;
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        Ok(NodeState {
            version: number(&body["report"]["version"]),
            phase: body["report"]["phase"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
            alive_members: number(&body["members"]["MEMBER_STATUS_ALIVE"]),
            control_bytes: number(&body["control_bytes"]),
            cross_region_control_bytes: number(&body["cross_region_control_bytes"]),
        })
    }

    /// Queries the states of all nodes concurrently.
    pub(crate) async fn states(&self) -> Result<Vec<NodeState>> {
        try_join_all((0..self.nodes.len()).map(|node| self.state(node))).await
    }

    /// Reads CPU time and memory of all nodes.
    pub(crate) fn usages(&self) -> Result<Vec<ProcessUsage>> {
        let pids = self.nodes.iter().filter_map(FleetNode::pid);
        pids.map(ProcessUsage::of_process).collect()
    }

    /// Returns the request counters of the store.
    pub(crate) async fn store_counters(&self) -> PlatformCounters {
        self.platform.counters().await
    }

    /// Submits a change to a node's admin API and waits for the response.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or does not accept the change.
    pub(crate) async fn submit_change(
        &self,
        node: usize,
        change: &Change,
    ) -> Result<AcceptedChange> {
        let url = format!("http://{}/v1/changes", self.addresses(node)?.admin);
        let sent_us = unix_us();
        let response = self.client.post(url).json(change).send().await;
        let response: Value = response
            .into_diagnostic()
            .wrap_err("no response from the admin API")?
            .json()
            .await
            .into_diagnostic()?;
        let accepted_us = unix_us();
        let version = response["version"].as_u64();
        let version = version.ok_or_else(|| miette!("the change was not accepted: {response}"))?;
        Ok(AcceptedChange {
            version,
            sent_us,
            accepted_us,
        })
    }

    /// Waits until `version` or a newer one is active on every node; returns the Unix time in
    /// microseconds at which that happened on each node.
    ///
    /// # Errors
    ///
    /// Fails after [`CONVERGENCE_TIMEOUT`] and names the nodes without the version.
    pub(crate) async fn wait_active(&mut self, version: u64) -> Result<Vec<u64>> {
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        loop {
            let first_activation = |activations: &BTreeMap<u64, u64>| {
                activations
                    .range(version..)
                    .map(|(_, activated_us)| *activated_us)
                    .next()
            };
            let times: Option<Vec<u64>> = self
                .activation_times_us
                .iter()
                .map(first_activation)
                .collect();
            if let Some(times) = times {
                // Versions before `version` are not queried again.
                for activations in &mut self.activation_times_us {
                    *activations = activations.split_off(&version);
                }
                return Ok(times);
            }
            let inactive_nodes: Vec<usize> = (0..self.activation_times_us.len())
                .filter(|node| first_activation(&self.activation_times_us[*node]).is_none())
                .collect();
            let expectation =
                format!("activate version {version}; not active on nodes {inactive_nodes:?}");
            self.next_event(deadline, &expectation).await?;
        }
    }
}
