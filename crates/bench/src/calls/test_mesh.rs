//! Test mesh: one caller's node, and targets with one node each, in one failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_node::NodeSettings;
use agatedeck_standin::{TargetBehaviour, TargetServer, TargetSettings};
use miette::{IntoDiagnostic, Result, miette};
use reqwest::Client;
use tokio::time::{Instant, sleep};

use super::closing_target::ClosingTarget;
use super::{CALL_PATH, CallSettings};
use crate::change_generator::ChangeGenerator;
use crate::fleet::{FleetSettings, NodeFleet, NodeSpec};

/// Service that the targets provide.
const SERVICE_NAME: &str = "service-0";

/// Timeout for the first call answered through the nodes after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without an HTTP answer after which a call counts as lost. Nodes answer by the deadline,
/// which is shorter.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Load-balancing policy and the node settings that select it.
#[derive(Clone, Copy, Debug)]
pub(super) struct BalanceVariant {
    pub(super) name: &'static str,
    settings: &'static str,
}

const DEFAULT_VARIANT: BalanceVariant = BalanceVariant {
    name: "default",
    settings: "",
};

const NAMED_VARIANTS: [BalanceVariant; 2] = [
    BalanceVariant {
        name: "two-choices",
        settings: "[calls]\nbalance = \"two-choices\"\n",
    },
    BalanceVariant {
        name: "round-robin",
        settings: "[calls]\nbalance = \"round-robin\"\n",
    },
];

impl BalanceVariant {
    /// Returns the policies that the node's settings accept, or only the default if `calls.balance`
    /// is not supported.
    pub(super) fn supported() -> Vec<Self> {
        let is_supported = |variant: &Self| {
            let text = format!(
                "[node]\nname = \"n\"\nregion = \"r\"\ndomain = \"d\"\n\
                 [listen]\ncalls = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
                 control = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
                 [store]\nurl = \"http://127.0.0.1:1\"\nregion = \"r\"\n{}",
                variant.settings
            );
            NodeSettings::parse("variant", &text).is_ok()
        };
        if NAMED_VARIANTS.iter().all(is_supported) {
            NAMED_VARIANTS.to_vec()
        } else {
            vec![DEFAULT_VARIANT]
        }
    }
}

/// CPU time of the nodes and calls received by the targets, since their start or during a load.
#[derive(Clone, Debug)]
pub(super) struct MeshUsage {
    /// CPU time of the caller's node.
    pub(super) caller_cpu_ms: u64,
    /// CPU time of all target nodes together.
    pub(super) target_cpu_ms: u64,
    pub(super) calls_by_target: Vec<u64>,
}

impl MeshUsage {
    pub(super) fn zero(targets: usize) -> Self {
        Self {
            caller_cpu_ms: 0,
            target_cpu_ms: 0,
            calls_by_target: vec![0; targets],
        }
    }

    /// Adds the usage between two readings.
    pub(super) fn add_interval(&mut self, before: &Self, after: &Self) {
        self.caller_cpu_ms += after.caller_cpu_ms - before.caller_cpu_ms;
        self.target_cpu_ms += after.target_cpu_ms - before.target_cpu_ms;
        let pairs = before.calls_by_target.iter().zip(&after.calls_by_target);
        for (sum, (before, after)) in self.calls_by_target.iter_mut().zip(pairs) {
            *sum += after - before;
        }
    }
}

/// Nodes and targets of one measurement. Dropping it stops them.
pub(super) struct TestMesh {
    pub(super) policy: &'static str,
    pub(super) client: Client,
    fleet: NodeFleet,
    targets: Vec<TargetServer>,
    closing_targets: Vec<ClosingTarget>,
}

impl TestMesh {
    pub(super) async fn start(settings: &CallSettings, variant: &BalanceVariant) -> Result<Self> {
        Self::start_with_targets(settings, variant, settings.targets).await
    }

    /// Starts a mesh with `healthy` targets.
    pub(super) async fn start_with_targets(
        settings: &CallSettings,
        variant: &BalanceVariant,
        healthy: usize,
    ) -> Result<Self> {
        Self::start_with_closing_targets(settings, variant, healthy, 0).await
    }

    /// Starts a mesh with `healthy` targets and `closing` targets that close each connection
    /// without an answer.
    ///
    /// # Errors
    ///
    /// Fails if a target or node does not start, or calls are not answered within
    /// [`READY_TIMEOUT`].
    pub(super) async fn start_with_closing_targets(
        settings: &CallSettings,
        variant: &BalanceVariant,
        healthy: usize,
        closing: usize,
    ) -> Result<Self> {
        let (mut targets, mut closing_targets) = (Vec::new(), Vec::new());
        for index in 0..healthy {
            let target = TargetSettings {
                service: SERVICE_NAME.to_owned(),
                name: format!("target-{index}"),
                ..Default::default()
            };
            targets.push(TargetServer::start(target).await.into_diagnostic()?);
        }
        for _ in 0..closing {
            closing_targets.push(ClosingTarget::start(CALL_PATH).await?);
        }
        let addresses = targets.iter().map(TargetServer::address);
        let addresses = addresses.chain(closing_targets.iter().map(ClosingTarget::address));
        let mut nodes = vec![node_spec(0, None)];
        nodes.extend(
            addresses
                .zip(1..)
                .map(|(address, index)| node_spec(index, Some(address))),
        );
        let mut fleet = NodeFleet::start(FleetSettings {
            nodes,
            policy: "tree".to_owned(),
            emulate_delays: false,
            workers: settings.workers,
            extra_settings: variant.settings.to_owned(),
        })
        .await?;
        let change = ChangeGenerator::default().first_change(1)?.change;
        let accepted = fleet.submit_change(0, &change).await?;
        fleet.wait_active(accepted.version).await?;
        let client = Client::builder()
            .no_proxy()
            .timeout(CLIENT_TIMEOUT)
            .build()
            .into_diagnostic()?;
        let mesh = Self {
            policy: variant.name,
            client,
            fleet,
            targets,
            closing_targets,
        };
        mesh.wait_ready().await?;
        Ok(mesh)
    }

    /// Waits until a call through the nodes succeeds.
    async fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let url = format!("{}{CALL_PATH}/ready", self.caller_url()?);
        loop {
            let response = self.client.get(&url).send().await.into_diagnostic()?;
            if response.status().is_success() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let body = response.text().await.unwrap_or_default();
                return Err(miette!(
                    "calls through the nodes did not succeed within {READY_TIMEOUT:?}: {body}"
                ));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Base URL of the caller's node.
    pub(super) fn caller_url(&self) -> Result<String> {
        Ok(format!("http://{}", self.fleet.addresses(0)?.calls))
    }

    /// Base URLs of the healthy targets, for calls that bypass the nodes.
    pub(super) fn target_urls(&self) -> Vec<String> {
        let addresses = self.targets.iter().map(TargetServer::address);
        addresses
            .map(|address| format!("http://{address}"))
            .collect()
    }

    pub(super) async fn set_behaviour(&self, behaviour: &TargetBehaviour) {
        self.set_behaviour_from(0, behaviour).await;
    }

    /// Sets the behaviour of the healthy targets from index `first` on.
    pub(super) async fn set_behaviour_from(&self, first: usize, behaviour: &TargetBehaviour) {
        for target in &self.targets[first..] {
            target.set_behaviour(behaviour.clone()).await;
        }
    }

    /// Reads the usage since the start.
    pub(super) async fn usage(&self) -> Result<MeshUsage> {
        let usages = self.fleet.usages()?;
        let mut calls_by_target = Vec::new();
        for target in &self.targets {
            calls_by_target.push(target.counters().await.started);
        }
        calls_by_target.extend(
            self.closing_targets
                .iter()
                .map(ClosingTarget::received_calls),
        );
        Ok(MeshUsage {
            caller_cpu_ms: usages[0].cpu_ms,
            target_cpu_ms: usages[1..].iter().map(|usage| usage.cpu_ms).sum(),
            calls_by_target,
        })
    }
}

fn node_spec(index: usize, target: Option<SocketAddr>) -> NodeSpec {
    NodeSpec {
        name: format!("node-{index}"),
        region: "kolkata".to_owned(),
        domain: "kolkata-a".to_owned(),
        target: target.map(|address| (SERVICE_NAME.to_owned(), address)),
    }
}
