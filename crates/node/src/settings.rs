//! Settings of the node, read from TOML.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use agatedeck_findings::{FindingList, TableReader, TomlDocument};

const MILLISECONDS: RangeInclusive<u64> = 1..=600_000;
const MICROSECONDS: RangeInclusive<u64> = 0..=1_000_000;

/// Settings of a node.
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// Name of the node, unique in the mesh and stable over restarts of its host.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Addresses to listen at.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The target beside the node, if any.
    pub target: Option<TargetSettings>,
    /// Control addresses of other nodes to join by while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// How versions spread.
    pub spread: SpreadChoice,
    /// Where metrics are sent, as `StatsD` over UDP; `None` for nowhere.
    pub metrics: Option<SocketAddr>,
    /// Least severe log level that is written.
    pub log_level: LogLevel,
    /// Delays added to messages between nodes, for measurements.
    pub emulation: EmulationSettings,
}

/// Log level by its name in the settings.
pub type LogLevel = Option<log::LevelFilter>;

/// Addresses that the node listens at. Port 0 picks a free port, which the log then names.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Calls of local callers.
    pub calls: SocketAddr,
    /// Calls that other nodes send to the target here.
    pub peer: SocketAddr,
    /// Control protocol.
    pub control: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            calls: any,
            peer: any,
            control: any,
            admin: any,
        }
    }
}

/// The platform's store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Base address, as `http://IP:PORT`.
    pub url: String,
    /// Region in which the store stands.
    pub region: String,
    /// Time allowed for one request.
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

/// The target beside the node.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Service that the target answers for.
    pub service: String,
    /// Address of the target.
    pub address: SocketAddr,
}

/// How versions spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SpreadChoice {
    /// Over a tree of nodes; a few nodes poll the store.
    #[default]
    Tree,
    /// Every node polls the store.
    Poll,
}

/// Delays added to messages between nodes, each way. Only for measurements on one machine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EmulationSettings {
    /// Between failure domains of a region.
    pub domain_delay: Duration,
    /// Between regions.
    pub region_delay: Duration,
}

impl NodeSettings {
    /// Reads settings from the text of a file; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the settings, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let document = TomlDocument::parse(file, text);
        let mut root = document.root();
        let mut settings = Self::default();
        match root.table("node") {
            Some(table) => settings.read_node(table),
            None => root.missing("node"),
        }
        if let Some(table) = root.table("listen") {
            settings.listen.read(table);
        } else {
            root.missing("listen");
        }
        if let Some(table) = root.table("store") {
            settings.store.read(table);
        } else {
            root.missing("store");
        }
        settings.target = root.table("target").and_then(read_target);
        if let Some(table) = root.table("spread") {
            settings.read_spread(table);
        }
        if let Some(mut table) = root.table("metrics") {
            settings.metrics = table.parsed("address", "an IP number and port");
            table.finish();
        }
        if let Some(mut table) = root.table("log") {
            settings.log_level = table.parsed("level", "error, warn, info, debug or trace");
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
        for seed in table.texts("seeds") {
            match seed.parse() {
                Ok(seed) => self.seeds.push(seed),
                Err(_) => table.note("seeds", format!("`{seed}` is not an IP number and port")),
            }
        }
        table.finish();
    }

    fn read_spread(&mut self, mut table: TableReader<'_>) {
        match table.text("policy") {
            None | Some("tree") => self.spread = SpreadChoice::Tree,
            Some("poll") => self.spread = SpreadChoice::Poll,
            Some(other) => {
                table.note(
                    "policy",
                    format!("`policy` must be `tree` or `poll`, not `{other}`"),
                );
            }
        }
        table.finish();
    }
}

impl ListenSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        let mut address = |key: &str, place: &mut SocketAddr| {
            if !table.has(key) {
                table.missing(key);
            }
            if let Some(parsed) = table.parsed(key, "an IP number and port") {
                *place = parsed;
            }
        };
        address("calls", &mut self.calls);
        address("peer", &mut self.peer);
        address("control", &mut self.control);
        address("admin", &mut self.admin);
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
                table.note("url", "`url` must be `http://` with an IP number and port");
            }
            url.clone_into(&mut self.url);
        }
        table
            .required_text("region")
            .unwrap_or_default()
            .clone_into(&mut self.region);
        if let Some(millis) = table.integer("timeout_ms", MILLISECONDS) {
            self.timeout = Duration::from_millis(millis);
        }
        table.finish();
    }
}

impl EmulationSettings {
    fn read(&mut self, mut table: TableReader<'_>) {
        let mut delay =
            |key| Duration::from_micros(table.integer(key, MICROSECONDS).unwrap_or_default());
        self.domain_delay = delay("domain_delay_us");
        self.region_delay = delay("region_delay_us");
        table.finish();
    }
}

fn read_target(mut table: TableReader<'_>) -> Option<TargetSettings> {
    let service = table.required_text("service").map(str::to_owned);
    if !table.has("address") {
        table.missing("address");
    }
    let address = table.parsed("address", "an IP number and port");
    table.finish();
    Some(TargetSettings {
        service: service?,
        address: address?,
    })
}
