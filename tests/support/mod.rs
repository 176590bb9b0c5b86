//! Test harness that starts node processes with stand-ins for the platform and the targets.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use agatedeck_standin::{PlatformServer, TargetServer, TargetSettings};
use serde_json::Value;
use tempfile::TempDir;
use tokio::sync::watch;

/// Maximum time for a node to open its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Records of the service `slotfinder` with its policy and its route.
pub(crate) const SERVICE_RECORDS: &str = r#"
[[policy]]
name = "standard"
[[policy.form]]
schema = 1

[[service]]
name = "slotfinder"
[[service.form]]
schema = 1
policy = "standard"
health_path = "/health"

[[route]]
name = "slots"
[[route.form]]
schema = 1
prefix = "/slots"
service = "slotfinder"
"#;

/// Topology of the mesh that a test starts.
pub(crate) struct TestMeshSettings {
    /// Region, failure domain and service of each node.
    pub(crate) nodes: Vec<(&'static str, &'static str, &'static str)>,
    /// Region of the store.
    pub store_region: &'static str,
    /// Whether the seeds of each node are the control addresses of all nodes started before it. A
    /// restarted node gets the addresses of all others.
    pub has_seeds: bool,
}

impl Default for TestMeshSettings {
    fn default() -> Self {
        Self {
            nodes: vec![
                ("kolkata", "kolkata-a", "slotfinder"),
                ("kolkata", "kolkata-b", "slotfinder"),
                ("mumbai", "mumbai-a", "slotfinder"),
                ("mumbai", "mumbai-b", "depositdesk"),
            ],
            store_region: "kolkata",
            has_seeds: false,
        }
    }
}

/// Listen addresses of a node, taken from its `listening` log line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) calls: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// A node process, killed when dropped.
pub(crate) struct NodeProcess {
    pub(crate) name: String,
    pub(crate) addresses: NodeAddresses,
    pub(crate) child: Child,
    /// The log lines that the process has written so far.
    pub(crate) log_lines: watch::Receiver<Vec<Value>>,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Node processes, one target stand-in for each of them, and the platform stand-in.
pub(crate) struct TestMesh {
    pub(crate) platform: PlatformServer,
    pub(crate) targets: Vec<TargetServer>,
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) client: reqwest::Client,
    settings_folder: TempDir,
    settings: TestMeshSettings,
}

/// Answer to a call, as the caller received it.
#[derive(Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) status: u16,
    /// Value of the header `agatedeck-outcome`, empty if it is missing.
    pub(crate) outcome: String,
    /// Null if the body is not JSON.
    pub(crate) body: Value,
}

impl TestMesh {
    /// Starts the platform, the targets and the nodes, and waits until the nodes listen.
    pub(crate) async fn start(settings: TestMeshSettings) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port)
            .await
            .expect("platform stand-in should start");
        let settings_folder = tempfile::tempdir().expect("temporary folder should be created");
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("HTTP client should build");
        let mut mesh = Self {
            platform,
            targets: Vec::new(),
            nodes: Vec::new(),
            client,
            settings_folder,
            settings,
        };
        let node_settings = mesh.settings.nodes.clone();
        for (index, (region, domain, service)) in node_settings.into_iter().enumerate() {
            let name = format!("node-{index}");
            let target = TargetServer::start(TargetSettings {
                service: service.to_owned(),
                name: name.clone(),
                ..Default::default()
            })
            .await
            .expect("target stand-in should start");
            mesh.targets.push(target);
            let settings_file = mesh.write_settings_file(index, region, domain, service);
            mesh.nodes.push(start_node(name, &settings_file));
        }
        mesh
    }

    /// Writes the settings file of a node and returns its path.
    fn write_settings_file(
        &self,
        index: usize,
        region: &str,
        domain: &str,
        service: &str,
    ) -> PathBuf {
        let name = format!("node-{index}");
        let target = self.targets[index].address();
        let store_region = self.settings.store_region;
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| self.settings.has_seeds && node.name != name)
            .map(|node| node.addresses.control.to_string())
            .collect();
        let text = format!(
            r#"
[node]
name = "{name}"
region = "{region}"
domain = "{domain}"
seeds = {seeds:?}

[listen]
calls = "127.0.0.1:0"
peer = "127.0.0.1:0"
control = "127.0.0.1:0"
admin = "127.0.0.1:0"

[store]
url = "{}"
region = "{store_region}"

[target]
service = "{service}"
address = "{target}"
"#,
            self.platform.base_url()
        );
        let settings_file = self.settings_folder.path().join(format!("{name}.toml"));
        std::fs::write(&settings_file, text).expect("settings file should be written");
        settings_file
    }

    /// Kills a node with SIGKILL and waits until the process has exited.
    pub(crate) fn kill_node(&mut self, node: usize) {
        let child = &mut self.nodes[node].child;
        child.kill().expect("node process should accept SIGKILL");
        child.wait().expect("node process should exit");
    }

    /// Starts a killed node again under its old name and without its earlier in-memory state.
    pub(crate) fn restart_node(&mut self, node: usize) {
        self.restart_nodes(&[node]);
    }

    /// Starts killed nodes again at the same time, under their old names and without their earlier
    /// in-memory state.
    pub(crate) fn restart_nodes(&mut self, nodes: &[usize]) {
        let settings_files: Vec<(String, PathBuf)> = nodes
            .iter()
            .map(|node| {
                let (region, domain, service) = self.settings.nodes[*node];
                let settings_file = self.write_settings_file(*node, region, domain, service);
                (format!("node-{node}"), settings_file)
            })
            .collect();
        let processes: Vec<NodeProcess> = std::thread::scope(|scope| {
            let threads: Vec<_> = settings_files
                .into_iter()
                .map(|(name, settings_file)| scope.spawn(move || start_node(name, &settings_file)))
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("node should start"))
                .collect()
        });
        for (node, process) in nodes.iter().zip(processes) {
            self.nodes[*node] = process;
        }
    }

    /// Sends a signal to a node. `signal` is a name without `SIG`, such as `STOP`.
    pub(crate) fn send_signal(&self, node: usize, signal: &str) {
        let process_id = self.nodes[node].child.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(process_id)
            .status();
        assert!(status.expect("`kill` should run").success());
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Sends a change to the admin API of a node and returns the answer.
    pub(crate) async fn submit_change(&self, node: usize, change: &Value) -> Value {
        let url = format!("http://{}/v1/changes", self.nodes[node].addresses.admin);
        let answer = self
            .client
            .post(url)
            .json(change)
            .send()
            .await
            .expect("admin API should answer");
        answer.json().await.expect("answer should be JSON")
    }

    /// Returns the active version of a node, or `None` if the node is not in the phase `serving` or
    /// does not answer.
    pub(crate) async fn serving_version(&self, node: usize) -> Option<u64> {
        let url = format!("http://{}/v1/node", self.nodes[node].addresses.admin);
        let state: Value = self.client.get(url).send().await.ok()?.json().await.ok()?;
        (state["report"]["phase"] == "serving").then(|| state["report"]["version"].as_u64())?
    }

    /// Sends a GET call with the request id `id` through a node.
    pub(crate) async fn send_call(&self, node: usize, path: &str, id: &str) -> ReceivedAnswer {
        let url = format!("http://{}{path}", self.nodes[node].addresses.calls);
        let request = self.client.get(url).header("x-request-id", id);
        let answer = request.send().await.expect("node should answer");
        let outcome = answer.headers().get("agatedeck-outcome");
        let outcome = outcome
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let status = answer.status().as_u16();
        let body = answer.bytes().await.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        ReceivedAnswer {
            status,
            outcome,
            body,
        }
    }
}

/// Starts a node process and waits until it has logged its listen addresses.
pub(crate) fn start_node(name: String, settings_file: &PathBuf) -> NodeProcess {
    let mut child = Command::new(env!("CARGO_BIN_EXE_agatedeck-node"))
        .arg("--config")
        .arg(settings_file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("node process should start");
    let stdout = child.stdout.take().expect("standard output is piped");
    let (sender, receiver) = mpsc::channel();
    let (lines_sender, log_lines) = watch::channel(Vec::new());
    // Reads the log until the node exits, so that the node never blocks on a full pipe.
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let line: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
            if let Some(addresses) = parse_addresses(&line) {
                // The receiver is dropped after the first addresses or after the timeout.
                let _ = sender.send(addresses);
            }
            lines_sender.send_modify(|lines| lines.push(line));
        }
    });
    let Ok(addresses) = receiver.recv_timeout(START_TIMEOUT) else {
        // Errors are ignored because the process may have exited already.
        let _ = child.kill();
        panic!("node `{name}` did not log its listen addresses within {START_TIMEOUT:?}");
    };
    NodeProcess {
        name,
        addresses,
        child,
        log_lines,
    }
}

/// Parses a log line, and returns `None` if it is not a `listening` event with all addresses.
fn parse_addresses(line: &Value) -> Option<NodeAddresses> {
    let address = |key: &str| line[key].as_str()?.parse().ok();
    (line["event"] == "listening").then_some(())?;
    Some(NodeAddresses {
        calls: address("calls")?,
        peer: address("peer")?,
        control: address("control")?,
        admin: address("admin")?,
    })
}

/// Polls `condition` every 50 ms until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within `timeout`.
pub(crate) async fn eventually<F, C>(timeout: Duration, condition: F)
where
    F: Fn() -> C,
    C: Future<Output = bool>,
{
    let deadline = Instant::now() + timeout;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "condition did not hold within {timeout:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
