//! Parses the command-line arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use agatedeck_records::{RecordKey, kind_from_name};
use agatedeck_wire::RecordKind;
use lexopt::{Arg, Parser, ValueExt};

use crate::command::AdminCommand;
use crate::commands::{
    ApplyCommand, DiffCommand, ExplainCommand, GetCommand, HistoryCommand, LookupCommand,
    RetireCommand, StatusCommand, WatchCommand, WatchSettings,
};
use crate::error::CommandError;
use crate::http_client::HttpClientSettings;
use crate::submission::{ChangeOptions, LookupSettings};

/// Number of changes that `history` prints without `--limit`.
const DEFAULT_HISTORY_LIMIT: u64 = 20;

/// Longest `--timeout`, in seconds, so that computing a deadline cannot overflow an `Instant`.
const MAX_TIMEOUT_S: f64 = 86_400.0;

/// Longest change id, in bytes. The id becomes part of a row key and of a URL.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Longest timeout of one request of `watch`, in milliseconds, so that a node that hangs leaves
/// time to query the next one.
const MAX_WATCH_REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Name of the only command that needs no node address.
const EXPLAIN_COMMAND: &str = "explain";

const MAIN_HELP: &str = include_str!("../help/agatedeckctl.txt");
const COMMON_HELP: &str = include_str!("../help/common.txt");

/// Environment variables that the command line uses.
#[derive(Clone, Debug, Default)]
pub struct CliEnvironment {
    /// `AGATEDECK_NODE`: admin addresses of nodes, separated by commas.
    pub nodes: Option<String>,
    /// `USER`: default of `--operator`.
    pub user: Option<String>,
}

/// Action that the arguments select.
#[derive(Debug)]
pub enum Invocation {
    /// Prints a help or version text.
    Print(String),
    /// Runs a command.
    Run(CommandInvocation),
}

/// Command with the settings that all commands share.
#[derive(Debug)]
pub struct CommandInvocation {
    /// Command to run.
    pub command: Box<dyn AdminCommand>,
    /// Settings of the client that sends the requests.
    pub client: HttpClientSettings,
    /// Whether to write the result as JSON.
    pub json: bool,
}

/// Name, help text, options and constructor of a command.
struct CommandSpec {
    name: &'static str,
    help: &'static str,
    /// Long names of the options that are not common to all commands.
    options: &'static [&'static str],
    build: fn(&RawArguments) -> Result<Box<dyn AdminCommand>, CommandError>,
}

const COMMANDS: [CommandSpec; 9] = [
    CommandSpec {
        name: "apply",
        help: include_str!("../help/apply.txt"),
        options: &["file", "insist", "change-id", "operator"],
        build: build_apply,
    },
    CommandSpec {
        name: "get",
        help: include_str!("../help/get.txt"),
        options: &[],
        build: build_get,
    },
    CommandSpec {
        name: "diff",
        help: include_str!("../help/diff.txt"),
        options: &["file"],
        build: build_diff,
    },
    CommandSpec {
        name: "retire",
        help: include_str!("../help/retire.txt"),
        options: &["insist", "change-id", "operator"],
        build: build_retire,
    },
    CommandSpec {
        name: "history",
        help: include_str!("../help/history.txt"),
        options: &["limit"],
        build: build_history,
    },
    CommandSpec {
        name: "status",
        help: include_str!("../help/status.txt"),
        options: &[],
        build: build_status,
    },
    CommandSpec {
        name: "watch",
        help: include_str!("../help/watch.txt"),
        options: &[],
        build: build_watch,
    },
    CommandSpec {
        name: "lookup",
        help: include_str!("../help/lookup.txt"),
        options: &[],
        build: build_lookup,
    },
    CommandSpec {
        name: EXPLAIN_COMMAND,
        help: include_str!("../help/explain.txt"),
        options: &[],
        build: build_explain,
    },
];

/// Text to print instead of running a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PrintedText {
    Help,
    Version,
}

/// Parsed arguments, not yet checked against the command.
#[derive(Debug, Default)]
struct RawArguments {
    command: Option<String>,
    operands: Vec<String>,
    files: Vec<PathBuf>,
    insist: bool,
    change_id: Option<String>,
    operator: Option<String>,
    limit: Option<u64>,
    nodes: Vec<SocketAddr>,
    timeout_ms: Option<u64>,
    json: bool,
    printed_text: Option<PrintedText>,
    /// Long names of the given options that are not common to all commands.
    command_options: Vec<&'static str>,
}

/// Parses `arguments`, which start after the program name.
///
/// # Errors
///
/// Fails with [`CommandError::Usage`] if the command is missing or unknown, an argument is
/// invalid, or no node address is given.
pub fn parse_arguments(
    arguments: impl IntoIterator<Item = OsString>,
    environment: &CliEnvironment,
) -> Result<Invocation, CommandError> {
    let mut raw_arguments =
        read_raw_arguments(arguments).map_err(|error| usage_error(&error.to_string()))?;
    if raw_arguments.printed_text == Some(PrintedText::Version) {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Invocation::Print(format!("agatedeckctl {version}\n")));
    }
    let Some(name) = raw_arguments.command.as_deref() else {
        return if raw_arguments.printed_text == Some(PrintedText::Help) {
            Ok(Invocation::Print(format!("{MAIN_HELP}\n{COMMON_HELP}")))
        } else {
            Err(usage_error("missing command"))
        };
    };
    let spec = COMMANDS.iter().find(|spec| spec.name == name);
    let spec = spec.ok_or_else(|| usage_error(&format!("unknown command `{name}`")))?;
    if raw_arguments.printed_text == Some(PrintedText::Help) {
        return Ok(Invocation::Print(format!("{}\n{COMMON_HELP}", spec.help)));
    }
    let mut given_options = raw_arguments.command_options.iter();
    if let Some(option) = given_options.find(|option| !spec.options.contains(option)) {
        return Err(usage_error(&format!("`{name}` has no option `--{option}`")));
    }
    raw_arguments.operator = raw_arguments.operator.or_else(|| environment.user.clone());
    let client = client_settings(&raw_arguments, environment)?;
    Ok(Invocation::Run(CommandInvocation {
        command: (spec.build)(&raw_arguments)?,
        client,
        json: raw_arguments.json,
    }))
}

fn usage_error(message: &str) -> CommandError {
    CommandError::Usage(message.to_owned())
}

fn read_raw_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<RawArguments, lexopt::Error> {
    let mut raw_arguments = RawArguments::default();
    let mut parser = Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(value) => {
                let value = value.string()?;
                if raw_arguments.command.is_none() {
                    raw_arguments.command = Some(value);
                } else {
                    raw_arguments.operands.push(value);
                }
            }
            Arg::Short('f') | Arg::Long("file") => {
                raw_arguments.command_options.push("file");
                raw_arguments
                    .files
                    .extend(parser.values()?.map(PathBuf::from));
            }
            Arg::Long("insist") => {
                raw_arguments.command_options.push("insist");
                raw_arguments.insist = true;
            }
            Arg::Long("change-id") => {
                raw_arguments.command_options.push("change-id");
                raw_arguments.change_id = Some(parser.value()?.string()?);
            }
            Arg::Long("operator") => {
                raw_arguments.command_options.push("operator");
                raw_arguments.operator = Some(parser.value()?.string()?);
            }
            Arg::Long("limit") => {
                raw_arguments.command_options.push("limit");
                raw_arguments.limit = Some(parser.value()?.parse()?);
            }
            Arg::Long("node") => raw_arguments.nodes.push(parser.value()?.parse()?),
            Arg::Long("timeout") => {
                raw_arguments.timeout_ms = Some(parser.value()?.parse_with(parse_timeout_ms)?);
            }
            Arg::Long("json") => raw_arguments.json = true,
            Arg::Short('h') | Arg::Long("help") => {
                raw_arguments.printed_text = Some(PrintedText::Help);
            }
            Arg::Short('V') | Arg::Long("version") => {
                raw_arguments.printed_text = Some(PrintedText::Version);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(raw_arguments)
}

fn parse_timeout_ms(text: &str) -> Result<u64, String> {
    let seconds = text.parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| (0.001..=MAX_TIMEOUT_S).contains(seconds));
    let seconds = seconds
        .ok_or_else(|| format!("must be a number of seconds from 0.001 to {MAX_TIMEOUT_S}"))?;
    let timeout = std::time::Duration::from_secs_f64(seconds);
    u64::try_from(timeout.as_millis()).map_err(|error| error.to_string())
}

fn client_settings(
    arguments: &RawArguments,
    environment: &CliEnvironment,
) -> Result<HttpClientSettings, CommandError> {
    let mut nodes = arguments.nodes.clone();
    if nodes.is_empty() {
        for text in environment.nodes.iter().flat_map(|nodes| nodes.split(',')) {
            let node = text.trim().parse().map_err(|_| {
                usage_error(&format!("AGATEDECK_NODE must be a comma-separated list of IP:PORT addresses, not `{text}`"))
            })?;
            nodes.push(node);
        }
    }
    if nodes.is_empty() && arguments.command.as_deref() != Some(EXPLAIN_COMMAND) {
        return Err(usage_error(
            "no node address given: use `--node IP:PORT` or set AGATEDECK_NODE",
        ));
    }
    let defaults = HttpClientSettings::default();
    let mut request_timeout_ms = arguments.timeout_ms.unwrap_or(defaults.request_timeout_ms);
    if arguments.command.as_deref() == Some("watch") {
        request_timeout_ms = request_timeout_ms.min(MAX_WATCH_REQUEST_TIMEOUT_MS);
    }
    Ok(HttpClientSettings {
        nodes,
        request_timeout_ms,
        ..defaults
    })
}

fn expect_operands<const N: usize>(
    arguments: &RawArguments,
    names: &[&str; N],
) -> Result<[String; N], CommandError> {
    let operands = arguments.operands.clone();
    operands.try_into().map_err(|_| {
        usage_error(&format!(
            "expected operands: {}",
            format_operand_names(names)
        ))
    })
}

fn format_operand_names(names: &[&str]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(" ")
}

fn parse_kind(name: &str) -> Result<RecordKind, CommandError> {
    let message = || {
        usage_error(&format!(
            "KIND must be `route`, `service` or `policy`, not `{name}`"
        ))
    };
    kind_from_name(name).ok_or_else(message)
}

fn parse_change_id(id: &str) -> Result<String, CommandError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if id.is_empty() || id.len() > MAX_CHANGE_ID_BYTES || !id.bytes().all(is_allowed) {
        return Err(usage_error(&format!(
            "a change id must be 1 to {MAX_CHANGE_ID_BYTES} characters of a-z, A-Z, 0-9, `-` and `_`, not `{id}`"
        )));
    }
    Ok(id.to_owned())
}

fn change_options(arguments: &RawArguments) -> Result<ChangeOptions, CommandError> {
    let change_id = match &arguments.change_id {
        Some(id) => parse_change_id(id)?,
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let defaults = LookupSettings::default();
    Ok(ChangeOptions {
        change_id,
        operator: arguments
            .operator
            .clone()
            .unwrap_or_else(|| "unknown".to_owned()),
        insist: arguments.insist,
        lookup: LookupSettings {
            timeout_ms: arguments.timeout_ms.unwrap_or(defaults.timeout_ms),
            ..defaults
        },
    })
}

fn required_files(arguments: &RawArguments) -> Result<Vec<PathBuf>, CommandError> {
    let [] = expect_operands(arguments, &[])?;
    if arguments.files.is_empty() {
        return Err(usage_error("no record file given: use `-f FILE`"));
    }
    Ok(arguments.files.clone())
}

fn build_apply(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    Ok(Box::new(ApplyCommand {
        files: required_files(arguments)?,
        options: change_options(arguments)?,
    }))
}

fn build_get(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let (kind, name) = match arguments.operands.as_slice() {
        [] => (None, None),
        [kind] => (Some(parse_kind(kind)?), None),
        [kind, name] => (Some(parse_kind(kind)?), Some(name.clone())),
        _ => return Err(usage_error("expected operands: [KIND [NAME]]")),
    };
    Ok(Box::new(GetCommand { kind, name }))
}

fn build_diff(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let files = required_files(arguments)?;
    Ok(Box::new(DiffCommand { files }))
}

fn build_retire(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let [kind, name] = expect_operands(arguments, &["KIND", "NAME"])?;
    Ok(Box::new(RetireCommand {
        key: RecordKey::new(parse_kind(&kind)?, name),
        options: change_options(arguments)?,
    }))
}

fn build_history(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let [] = expect_operands(arguments, &[])?;
    let limit = arguments.limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
    Ok(Box::new(HistoryCommand { limit }))
}

fn build_status(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let [] = expect_operands(arguments, &[])?;
    Ok(Box::new(StatusCommand))
}

fn build_watch(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let [version] = expect_operands(arguments, &["VERSION"])?;
    let version = version
        .parse()
        .map_err(|_| usage_error(&format!("VERSION must be a whole number, not `{version}`")))?;
    let defaults = WatchSettings::default();
    Ok(Box::new(WatchCommand {
        version,
        settings: WatchSettings {
            timeout_ms: arguments.timeout_ms.unwrap_or(defaults.timeout_ms),
            ..defaults
        },
    }))
}

fn build_lookup(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    let [change_id] = expect_operands(arguments, &["CHANGE-ID"])?;
    let change_id = parse_change_id(&change_id)?;
    Ok(Box::new(LookupCommand { change_id }))
}

fn build_explain(arguments: &RawArguments) -> Result<Box<dyn AdminCommand>, CommandError> {
    match arguments.operands.as_slice() {
        [request, files @ ..] if !files.is_empty() => Ok(Box::new(ExplainCommand {
            request: request.clone(),
            files: files.iter().map(PathBuf::from).collect(),
        })),
        _ => Err(usage_error("expected operands: REQUEST-ID LOGFILE...")),
    }
}
