//! Settings of the node, read from a TOML file.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use agatedeck_findings::{DiagnosticList, TableReader, TomlDocument};

const DURATION_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
const WORKER_RANGE: RangeInclusive<u64> = 1..=64;
const DELAY_US_RANGE: RangeInclusive<u64> = 0..=1_000_000;
const PARALLEL_BODY_RANGE: RangeInclusive<u64> = 1..=1_000;
const BUFFER_BYTES_RANGE: RangeInclusive<u64> = 0..=16 * 1024 * 1024;
const PERCENT_RANGE: RangeInclusive<u64> = 0..=200;
const ATTEMPT_RANGE: RangeInclusive<u64> = 0..=10;
const SHARE_RANGE: RangeInclusive<u64> = 0..=100;
const SLACK_RANGE: RangeInclusive<u64> = 0..=10_000;
const CONNECTION_RANGE: RangeInclusive<u64> = 4..=10_000;
const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=1_048_576;
const MEMORY_SHARE_RANGE: RangeInclusive<u64> = 1..=80;
const DESCRIPTOR_RANGE: RangeInclusive<u64> = 128..=1_048_576;
const HEAD_BYTES_RANGE: RangeInclusive<u64> = 4_096..=1_048_576;

/// Settings of a node.
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// Name of the node, unique in the mesh and stable across restarts of its host.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The local target, if any.
    pub target: Option<TargetSettings>,
    /// Limits and timeouts of calls.
    pub calls: CallSettings,
    /// Limits on what clients may hold of the process.
    pub limits: LimitSettings,
    /// Control addresses of other nodes, used for joining while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Worker threads of the async runtime; 2 if not set.
    pub workers: Option<usize>,
    /// Key `policy` of the table `spread`: how versions are disseminated.
    pub dissemination: DisseminationMode,
    /// Address to which metrics are sent as `StatsD` over UDP; `None` if they are not sent.
    pub metrics: Option<SocketAddr>,
    /// Least severe level of log lines that are written.
    pub log_level: LogLevel,
    /// Network delays added to messages between nodes, for measurements.
    pub emulation: EmulationSettings,
}

/// Log level set by its name; `None` if it is not set.
pub type LogLevel = Option<log::LevelFilter>;

/// Addresses of the listeners of a node. Port 0 selects a free port, which is logged.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Listener for calls of local callers.
    pub calls: SocketAddr,
    /// Listener for calls that other nodes send to the local target.
    pub peer: SocketAddr,
    /// Listener of the control protocol.
    pub control: SocketAddr,
    /// Listener of the admin API.
    pub admin: SocketAddr,
    /// Listener for metrics as text; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            calls: any_port,
            peer: any_port,
            control: any_port,
            admin: any_port,
            metrics: None,
        }
    }
}

/// The platform's store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Base address, as `http://IP:PORT`.
    pub url: String,
    /// Region of the store; empty if it is unknown. Nodes in this region read the store more often.
    pub region: String,
    /// Timeout of one request; 2 seconds by default.
    pub timeout: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:7400".to_owned(),
            region: String::new(),
            timeout: Duration::from_secs(2),
        }
    }
}

/// The local target of a node.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Service that the target implements.
    pub service: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Key `announces`: whether the target announces itself to this node; false by default. Such a
    /// target receives calls only while it announces that it accepts them, and is probed only once,
    /// when the node starts. A successful probe counts as an announcement.
    pub announces: bool,
    /// Key `announce_period_ms`: time between two announcements of a target that announces itself,
    /// in milliseconds; 1500 by default. After four periods without one, the target counts as gone.
    pub announce_period: Duration,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            service: String::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            announces: false,
            announce_period: DEFAULT_ANNOUNCE_PERIOD,
        }
    }
}

/// Default time between two announcements of a target.
const DEFAULT_ANNOUNCE_PERIOD: Duration = Duration::from_millis(1_500);

/// Limits and timeouts of calls, from the table `calls`.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Key `kept_request_bytes`: maximum size of a request body that is buffered for retries, in
    /// bytes; 65536 by default. A larger body is streamed and sent once.
    pub kept_request_bytes: usize,
    /// Key `claimed_request_bytes`: maximum size of the body of a call that runs at most once, in
    /// bytes; 1048576 by default. The body is buffered, because the claim contains its digest.
    pub claimed_request_bytes: usize,
    /// Key `kept_answer_bytes`: maximum size of an answer that is read completely before the caller
    /// receives any of it, in bytes; 65536 by default. Only a buffered answer can be replaced by
    /// that of another attempt if it is truncated.
    pub kept_answer_bytes: usize,
    /// Key `connect_timeout_ms`: timeout for opening a connection, in milliseconds; 250 by default,
    /// several round trips between regions.
    pub connect_timeout: Duration,
    /// Key `max_timeout_ms`: maximum remaining time that a caller may request, in milliseconds;
    /// 600000 by default.
    pub max_timeout: Duration,
    /// Key `probe_interval_ms`: time between two probes of the local target, in milliseconds; 2000
    /// by default. A probe can take 6 ms of the time of the target.
    pub probe_interval: Duration,
    /// Key `drain_limit_ms`: time allowed at shutdown for calls that are queued or running, in
    /// milliseconds; 30000 by default.
    pub drain_limit: Duration,
    /// Key `target_connections`: number of connections that the local target accepts; 130 by
    /// default. At most half of them carry calls.
    pub target_connections: u32,
    /// Key `idle_connections`: maximum number of idle connections kept open to each other node; 32
    /// by default.
    pub idle_connections: usize,
    /// Key `retry_percent`: maximum number of attempts after the first that reach a target, in
    /// percent of the calls to its service; 10 by default.
    pub retry_percent: u32,
    /// Keys `retry_limit_percent` and `retry_limit_slack`: limit of attempts after the first that
    /// all nodes together may send to a service within any few seconds. If set, it replaces
    /// `retry_percent`, and each node stays within its share.
    pub retry_limit: Option<RetryLimit>,
    /// Key `stop_limit_ms`: time after which a process that was asked to stop is killed, in
    /// milliseconds. If set, the drain ends before that, regardless of `drain_limit_ms`.
    pub stop_limit: Option<Duration>,
    /// Key `refused_attempts`: maximum number of further nodes to which a call is sent after nodes
    /// have refused it before it reached their targets; 0 by default.
    pub refused_attempts: u32,
    /// Key `spill_percent`: load of a target, in percent of its slots, at which calls spill over to
    /// the next failure domain; 80 by default.
    pub spill_percent: u32,
    /// Key `region_spill_percent`: load of the targets in the caller's region, in percent of their
    /// slots, at which calls spill over to another region; by default that of `spill_percent`.
    pub region_spill_percent: u32,
    /// Key `slow_target_percent`: share of a call's useful time, in percent, that the mean latency of a near
    /// target may take before calls also go to other regions, for services whose targets share their hosts
    /// with other work; 0 by default, which turns this off.
    pub slow_target_percent: u32,
    /// Key `report_percent`: weight of the load reported by the node of a target, in percent; 25 by
    /// default. Use 100 if targets are reached only through their nodes.
    pub report_percent: u32,
    /// Key `ask_first_bytes`: minimum size of a body that is sent only after the node of the target
    /// has asked for it with `100 Continue`, in bytes; 16384 by default, which a link of 7 Mbit/s
    /// transfers in 19 ms. The exchange costs one round trip.
    pub ask_first_bytes: usize,
    /// Key `parallel_bodies`: maximum number of bodies sent after `100 Continue` that a node
    /// receives concurrently; 4 by default. Bodies larger than `kept_request_bytes` are streamed to
    /// the target and not counted.
    pub parallel_bodies: u32,
    /// Key `close_pause_ms`: time for which a request that was delayed in transit waits for the
    /// close of its connection, in milliseconds; 3 by default. Its caller may have disconnected in
    /// the meantime.
    pub close_pause: Duration,
    /// Key `drain_notice_ms`: time for which a node that shuts down still accepts calls of local
    /// callers, so that they can detect that it is no longer ready, in milliseconds; 0 by default.
    pub drain_notice: Duration,
    /// Key `target_idle_ms`: time after which an idle connection to the local target is closed, in
    /// milliseconds; 60000 by default. Must be shorter than the idle timeout of the target.
    pub target_idle: Duration,
    /// Key `user_timeout_ms`: time without a TCP acknowledgement after which a connection for calls
    /// is closed, in milliseconds; 1500 by default. Without it, calls on a dead connection wait
    /// until their deadlines. Does not apply to calls with a body of `ask_first_bytes` or more, or of
    /// unknown size, whose receivers may be at work before they read.
    pub user_timeout: Duration,
    /// Key `key_validity_ms`: time after the revocation of a workspace's key for which calls with it may
    /// still run. If set, a node that cannot tell whether it holds the newest version refuses calls with
    /// keys after this time. By default keys stay valid until the node learns of the revocation.
    pub key_validity: Option<Duration>,
    /// Key `quota_window_ms`: time over which the calls of a workspace are counted against its quota, in
    /// milliseconds; 5000 by default.
    pub quota_window: Duration,
    /// Limits on what a new version of a service may receive before it is completed.
    pub rollout: RolloutSettings,
    /// Key `balance`: how a target is selected among those of the nearest locality.
    pub balance: BalanceMode,
}

/// Limits on the calls that a new version of a service receives during its rollout, from the keys
/// `rollout_percent` and `rollout_slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Maximum share of the calls of the service that a version receives that may still fail; 0.1 by
    /// default.
    pub max_share: f64,
    /// Number of calls allowed in addition to that share; 50 by default.
    pub slack: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            max_share: 0.1,
            slack: 50.0,
        }
    }
}

/// Limit of attempts after the first that all nodes together may send to the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryLimit {
    /// Ratio of these attempts to the calls to the service.
    pub ratio: f64,
    /// Number of attempts allowed in addition to that ratio.
    pub slack: f64,
}

/// How a target is selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BalanceMode {
    /// Power of two random choices, by the calls in flight and the latency measured at this node.
    #[default]
    TwoChoices,
    /// Round robin. The baseline of measurements.
    RoundRobin,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            kept_request_bytes: 64 * 1024,
            claimed_request_bytes: 1024 * 1024,
            kept_answer_bytes: 64 * 1024,
            connect_timeout: Duration::from_millis(250),
            max_timeout: Duration::from_mins(10),
            probe_interval: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            target_connections: 130,
            idle_connections: 32,
            retry_percent: 10,
            retry_limit: None,
            stop_limit: None,
            refused_attempts: 0,
            spill_percent: 80,
            region_spill_percent: 80,
            slow_target_percent: 0,
            report_percent: 25,
            ask_first_bytes: 16 * 1024,
            parallel_bodies: 4,
            close_pause: Duration::from_millis(3),
            drain_notice: Duration::ZERO,
            target_idle: Duration::from_mins(1),
            user_timeout: Duration::from_millis(1_500),
            key_validity: None,
            quota_window: Duration::from_secs(5),
            rollout: RolloutSettings::default(),
            balance: BalanceMode::default(),
        }
    }
}

/// Limits on what clients may hold of the process, from the table `limits`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Key `memory_mb`: memory that the process may use, in units of 1 MB; by default that of the host or
    /// of the control group, whichever is less.
    pub memory_mb: Option<u64>,
    /// Key `max_fds`: number of descriptors that the process may open; by default its `RLIMIT_NOFILE`.
    pub max_fds: Option<u64>,
    /// Key `memory_percent`: share of the memory that the bodies and answers of clients may take, in
    /// percent; 20 by default.
    pub memory_percent: u64,
    /// Key `connections`: maximum number of connections of each listener for calls; by default it follows
    /// the memory and the descriptors.
    pub connections: Option<u64>,
    /// Key `head_bytes`: maximum size of the head of a request, in bytes; 16384 by default.
    pub head_bytes: usize,
    /// Key `head_timeout_ms`: time within which a head must make progress of 4 KB or be complete, in
    /// milliseconds; 10000 by default. Callers need up to 3 s.
    pub head_timeout: Duration,
    /// Key `idle_timeout_ms`: time after which a connection without a request, or whose client takes
    /// nothing of an answer, is closed, in milliseconds; 90000 by default. Callers reuse connections after
    /// 12 s, and common clients keep them for up to 90 s.
    pub idle_timeout: Duration,
    /// Key `memory_wait_ms`: time for which a body waits for memory before its request is refused, in
    /// milliseconds; 1000 by default.
    pub memory_wait: Duration,
    /// Key `stall_timeout_ms`: time without progress after which a connection that holds memory may be
    /// closed while others wait for it, in milliseconds; 500 by default.
    pub stall_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory_mb: None,
            max_fds: None,
            memory_percent: 20,
            connections: None,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(90),
            memory_wait: Duration::from_secs(1),
            stall_timeout: Duration::from_millis(500),
        }
    }
}

impl LimitSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        self.memory_mb = table.integer("memory_mb", MEMORY_MB_RANGE);
        self.max_fds = table.integer("max_fds", DESCRIPTOR_RANGE);
        self.connections = table.integer("connections", CONNECTION_RANGE);
        let share = table.integer("memory_percent", MEMORY_SHARE_RANGE);
        self.memory_percent = share.unwrap_or(self.memory_percent);
        if let Some(bytes) = table.integer("head_bytes", HEAD_BYTES_RANGE) {
            self.head_bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        }
        let mut duration = |key: &str, setting: &mut Duration| {
            if let Some(millis) = table.integer(key, DURATION_MS_RANGE) {
                *setting = Duration::from_millis(millis);
            }
        };
        duration("head_timeout_ms", &mut self.head_timeout);
        duration("idle_timeout_ms", &mut self.idle_timeout);
        duration("memory_wait_ms", &mut self.memory_wait);
        duration("stall_timeout_ms", &mut self.stall_timeout);
        table.finish();
    }
}

/// How versions are disseminated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DisseminationMode {
    /// Versions are sent over a dissemination tree; a few nodes poll the store.
    #[default]
    Tree,
    /// Every node polls the store.
    Poll,
}

/// Network delays added to messages between nodes in each direction, for measurements on one
/// host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EmulationSettings {
    /// One-way delay between failure domains of a region.
    pub domain_delay: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
}

impl NodeSettings {
    /// Service of the local target; empty if there is none.
    pub fn service_name(&self) -> &str {
        let target = self.target.as_ref();
        target.map_or("", |target| &target.service)
    }

    /// Parses settings from the text of a file; `file` is its name in diagnostics.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic with its position for each error in the settings.
    pub fn parse(file: &str, text: &str) -> Result<Self, DiagnosticList> {
        let document = TomlDocument::parse(file, text);
        let mut root = document.root();
        let mut settings = Self::default();
        match root.table("node") {
            Some(table) => settings.read_node(table),
            None => root.report_missing("node"),
        }
        if let Some(table) = root.table("listen") {
            settings.listen.read(table);
        } else {
            root.report_missing("listen");
        }
        if let Some(table) = root.table("store") {
            settings.store.read(table);
        } else {
            root.report_missing("store");
        }
        settings.target = root.table("target").and_then(read_target);
        if let Some(table) = root.table("calls") {
            settings.calls.read(table);
        }
        if let Some(table) = root.table("limits") {
            settings.limits.read(table);
        }
        if let Some(table) = root.table("spread") {
            settings.read_dissemination(table);
        }
        if let Some(mut table) = root.table("metrics") {
            settings.metrics = table.parsed_text("address", "an IP address and port");
            table.finish();
        }
        if let Some(mut table) = root.table("log") {
            settings.log_level = table.parsed_text("level", "error, warn, info, debug or trace");
            table.finish();
        }
        if let Some(table) = root.table("emulation") {
            settings.emulation.read(table);
        }
        root.finish();
        document.finish()?;
        Ok(settings)
    }

    fn read_node(&mut self, mut table: TableReader<'_>) {
        let mut required = |key| table.required_text(key).unwrap_or_default().to_owned();
        self.name = required("name");
        self.region = required("region");
        self.domain = required("domain");
        let workers = table.integer("workers", WORKER_RANGE);
        self.workers = workers.and_then(|workers| usize::try_from(workers).ok());
        for seed in table.text_array("seeds") {
            match seed.parse() {
                Ok(seed) => self.seeds.push(seed),
                Err(_) => table.report("seeds", format!("`{seed}` is not an IP address and port")),
            }
        }
        table.finish();
    }

    fn read_dissemination(&mut self, mut table: TableReader<'_>) {
        let choices = [
            ("tree", DisseminationMode::Tree),
            ("poll", DisseminationMode::Poll),
        ];
        self.dissemination = read_choice(&mut table, "policy", choices);
        table.finish();
    }
}

/// Reads the name of one of two choices; the first is the default.
fn read_choice<T: Copy>(table: &mut TableReader<'_>, key: &str, choices: [(&str, T); 2]) -> T {
    let [(default, first), (other, second)] = choices;
    match table.text(key) {
        Some(text) if text == other => second,
        Some(text) if text != default => {
            let message = format!("`{key}` must be `{default}` or `{other}`, not `{text}`");
            table.report(key, message);
            first
        }
        _ => first,
    }
}

impl ListenSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        let mut address = |key: &str, setting: &mut SocketAddr| {
            if !table.contains_key(key) {
                table.report_missing(key);
            }
            if let Some(parsed) = table.parsed_text(key, "an IP address and port") {
                *setting = parsed;
            }
        };
        address("calls", &mut self.calls);
        address("peer", &mut self.peer);
        address("control", &mut self.control);
        address("admin", &mut self.admin);
        self.metrics = table.parsed_text("metrics", "an IP address and port");
        table.finish();
    }
}

impl StoreSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        if let Some(url) = table.required_text("url") {
            let address = url
                .strip_prefix("http://")
                .map(|rest| rest.trim_end_matches('/'));
            if address.is_none_or(|address| address.parse::<SocketAddr>().is_err()) {
                table.report("url", "`url` must be `http://` with an IP address and port");
            }
            url.clone_into(&mut self.url);
        }
        table
            .text("region")
            .unwrap_or_default()
            .clone_into(&mut self.region);
        if let Some(millis) = table.integer("timeout_ms", DURATION_MS_RANGE) {
            self.timeout = Duration::from_millis(millis);
        }
        table.finish();
    }
}

/// Part of the stop limit that is reserved for leaving and closing connections after the drain.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);

impl CallSettings {
    /// Time allowed for calls to end when the node is stopped.
    pub(crate) fn drain_timeout(&self) -> Duration {
        let stop_limit = self
            .stop_limit
            .map(|limit| limit.saturating_sub(SHUTDOWN_MARGIN));
        stop_limit.unwrap_or(self.drain_limit)
    }

    fn read(&mut self, mut table: TableReader<'_>) {
        let mut bytes = |key: &str, setting: &mut usize| {
            if let Some(bytes) = table.integer(key, BUFFER_BYTES_RANGE) {
                *setting = usize::try_from(bytes).unwrap_or(usize::MAX);
            }
        };
        bytes("kept_request_bytes", &mut self.kept_request_bytes);
        bytes("claimed_request_bytes", &mut self.claimed_request_bytes);
        bytes("kept_answer_bytes", &mut self.kept_answer_bytes);
        bytes("ask_first_bytes", &mut self.ask_first_bytes);
        let mut duration = |key: &str, setting: &mut Duration| {
            if let Some(millis) = table.integer(key, DURATION_MS_RANGE) {
                *setting = Duration::from_millis(millis);
            }
        };
        duration("connect_timeout_ms", &mut self.connect_timeout);
        duration("max_timeout_ms", &mut self.max_timeout);
        duration("probe_interval_ms", &mut self.probe_interval);
        duration("drain_limit_ms", &mut self.drain_limit);
        duration("close_pause_ms", &mut self.close_pause);
        duration("drain_notice_ms", &mut self.drain_notice);
        let mut stop_limit = Duration::ZERO;
        duration("stop_limit_ms", &mut stop_limit);
        self.stop_limit = (!stop_limit.is_zero()).then_some(stop_limit);
        duration("target_idle_ms", &mut self.target_idle);
        duration("user_timeout_ms", &mut self.user_timeout);
        duration("quota_window_ms", &mut self.quota_window);
        let mut key_validity = Duration::ZERO;
        duration("key_validity_ms", &mut key_validity);
        self.key_validity = (!key_validity.is_zero()).then_some(key_validity);
        let mut count = |key: &str, range: RangeInclusive<u64>| {
            let number = table.integer(key, range);
            number.and_then(|number| u32::try_from(number).ok())
        };
        let slack = count("retry_limit_slack", SLACK_RANGE);
        let ratio = count("retry_limit_percent", PERCENT_RANGE);
        if slack.is_some() || ratio.is_some() {
            self.retry_limit = Some(RetryLimit {
                ratio: f64::from(ratio.unwrap_or_default()) / 100.0,
                slack: f64::from(slack.unwrap_or_default()),
            });
        }
        if let Some(percent) = count("rollout_percent", SHARE_RANGE) {
            self.rollout.max_share = f64::from(percent) / 100.0;
        }
        if let Some(slack) = count("rollout_slack", SLACK_RANGE) {
            self.rollout.slack = f64::from(slack);
        }
        self.retry_percent = count("retry_percent", PERCENT_RANGE).unwrap_or(self.retry_percent);
        let bodies = count("parallel_bodies", PARALLEL_BODY_RANGE);
        self.parallel_bodies = bodies.unwrap_or(self.parallel_bodies);
        self.refused_attempts = count("refused_attempts", ATTEMPT_RANGE).unwrap_or_default();
        self.spill_percent = count("spill_percent", PERCENT_RANGE).unwrap_or(self.spill_percent);
        let region_spill = count("region_spill_percent", PERCENT_RANGE);
        self.region_spill_percent = region_spill.unwrap_or(self.spill_percent);
        let slow_target = count("slow_target_percent", SHARE_RANGE);
        self.slow_target_percent = slow_target.unwrap_or_default();
        self.report_percent = count("report_percent", PERCENT_RANGE).unwrap_or(self.report_percent);
        if let Some(count) = table.integer("target_connections", CONNECTION_RANGE) {
            self.target_connections = u32::try_from(count).unwrap_or(u32::MAX);
        }
        if let Some(count) = table.integer("idle_connections", CONNECTION_RANGE) {
            self.idle_connections = usize::try_from(count).unwrap_or(usize::MAX);
        }
        let choices = [
            ("two-choices", BalanceMode::TwoChoices),
            ("round-robin", BalanceMode::RoundRobin),
        ];
        self.balance = read_choice(&mut table, "balance", choices);
        table.finish();
    }
}

impl EmulationSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        let mut delay =
            |key| Duration::from_micros(table.integer(key, DELAY_US_RANGE).unwrap_or_default());
        self.domain_delay = delay("domain_delay_us");
        self.region_delay = delay("region_delay_us");
        table.finish();
    }
}

fn read_target(mut table: TableReader<'_>) -> Option<TargetSettings> {
    let service = table.required_text("service").map(str::to_owned);
    if !table.contains_key("address") {
        table.report_missing("address");
    }
    let address = table.parsed_text("address", "an IP address and port");
    let announces = table.boolean("announces").unwrap_or_default();
    let period = table.integer("announce_period_ms", DURATION_MS_RANGE);
    let announce_period = period.map_or(DEFAULT_ANNOUNCE_PERIOD, Duration::from_millis);
    table.finish();
    Some(TargetSettings {
        service: service?,
        address: address?,
        announces,
        announce_period,
    })
}
