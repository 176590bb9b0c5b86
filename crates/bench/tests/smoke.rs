//! Smoke tests: each subcommand completes at small sizes, prints valid JSON lines, and the
//! product's invariants hold in its results. Performance is not checked.

use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

fn run_bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatedeck-bench"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Runs a subcommand, asserts that it succeeds and returns its JSON lines of the given kind.
fn run_and_parse(arguments: &[&str], kind: &str) -> Vec<Value> {
    let output = run_bench(arguments);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {errors}");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let lines = text.lines().filter(|line| line.starts_with('{'));
    let lines: Vec<Value> = lines
        .map(|line| serde_json::from_str(line).expect("the line is JSON"))
        .collect();
    assert_eq!(lines[0]["kind"], "parameters");
    assert!(lines[0]["parameters"]["seed"].is_u64(), "{}", lines[0]);
    let matching = lines.into_iter().filter(|line| line["kind"] == kind);
    let matching: Vec<Value> = matching.collect();
    assert!(
        !matching.is_empty(),
        "{arguments:?} printed no `{kind}` line"
    );
    matching
}

/// Guards against changes that do not become active on every node, and nodes that report an older
/// version at the end.
#[test]
fn convergence_reaches_every_node_under_both_policies() {
    let arguments = [
        "convergence",
        "--sizes",
        "3",
        "--changes",
        "2",
        "--poll-changes",
        "1",
        "--pause-ms",
        "10",
    ];
    let results = run_and_parse(&arguments, "result");
    assert_eq!(results.len(), 2);
    for result in results {
        assert_eq!(result["nodes_in_force"], result["nodes"], "{result}");
        assert_eq!(
            result["from_acceptance"]["count"], result["changes"],
            "{result}"
        );
    }
}

/// Guards against control bytes that are not counted: five changes to five receivers each take at
/// least the size of the compressed change.
#[test]
fn control_bytes_are_at_least_the_lower_bound() {
    let arguments = [
        "control-bytes",
        "--sizes",
        "6",
        "--changes",
        "5",
        "--settle-per-node-ms",
        "0",
        "--settle-ms",
        "500",
        "--idle-ms",
        "500",
    ];
    for result in run_and_parse(&arguments, "result") {
        assert_eq!(result["nodes_in_force"], result["nodes"], "{result}");
        let seconds = result["changing"]["seconds"].as_f64().expect("a number");
        let rate = result["changing"]["bytes_per_second"].as_f64();
        let change = result["per_change"]["compressed_bytes"].as_f64();
        let lower_bound = change.expect("a number") * 5.0 * 5.0;
        assert!(rate.expect("a number") * seconds >= lower_bound, "{result}");
    }
}

/// Guards against calls without an answer and calls that get the answer to another call.
#[test]
fn no_call_is_lost_or_gets_a_wrong_answer() {
    let arguments = [
        "calls",
        "--targets",
        "2",
        "--rates",
        "50",
        "--load-ms",
        "400",
        "--failing-rate",
        "50",
        "--work-ms",
        "100",
    ];
    let latencies = run_and_parse(&arguments, "latency");
    for result in &latencies {
        for path in ["direct", "through"] {
            let counts = &result[path];
            assert_eq!(counts["answered"], counts["offered"], "{result}");
            assert_eq!((&counts["wrong"], &counts["lost"]), (&0.into(), &0.into()));
        }
    }
}

/// Guards against nodes that do not rejoin after restarts, changes that are missed, and missing
/// output files.
#[test]
fn slopes_write_fits_and_plot() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let out = directory.path().to_str().expect("the path is UTF-8");
    let arguments = [
        "slopes",
        "--out",
        out,
        "--sizes",
        "3",
        "--services",
        "2",
        "--churn-rates",
        "2",
        "--change-rates",
        "0,5",
        "--base-nodes",
        "4",
        "--base-services",
        "2",
        "--settle-per-node-ms",
        "0",
        "--settle-ms",
        "100",
        "--window-ms",
        "700",
        "--members",
        "135,270",
        "--decision-services",
        "8,16",
        "--events",
        "20",
    ];
    for fleet in run_and_parse(&arguments, "fleet") {
        assert_eq!(fleet["nodes_in_force"], fleet["nodes"], "{fleet}");
    }
    let file = std::fs::read_to_string(directory.path().join("slopes.jsonl"))
        .expect("the file of JSON lines");
    let fits = file.lines().filter(|line| line.contains(r#""kind":"fit""#));
    assert!(fits.count() > 10);
    let plot = std::fs::read_to_string(directory.path().join("slopes.svg")).expect("the plot");
    assert!(plot.ends_with("</svg>\n") || plot.ends_with("</svg>"));
}

/// Process ids of the running children of `parent`, without zombies.
fn list_running_children(parent: u32) -> Vec<String> {
    let proc_entries = std::fs::read_dir("/proc").expect("the list of processes");
    let child_pids = proc_entries.flatten().filter_map(|entry| {
        let stat = std::fs::read_to_string(entry.path().join("stat")).ok()?;
        let (_, fields) = stat.rsplit_once(") ")?;
        let mut fields = fields.split(' ');
        let (state, parent_field) = (fields.next()?, fields.next()?);
        let is_child = state != "Z" && parent_field == parent.to_string();
        is_child.then(|| entry.file_name().to_string_lossy().into_owned())
    });
    child_pids.collect()
}

fn is_running(pid: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat.rsplit_once(") ").map(|(_, fields)| &fields[..1]);
    state.is_some_and(|state| state != "Z")
}

/// Guards against node processes that outlive an interrupted benchmark.
#[test]
fn interrupt_terminates_node_processes() {
    let mut bench = Command::new(env!("CARGO_BIN_EXE_agatedeck-bench"))
        .args(["convergence", "--sizes", "3", "--changes", "1000"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs");
    let stdout = bench.stdout.take().expect("standard output");
    let mut first_line = String::new();
    let read = BufReader::new(stdout).read_line(&mut first_line);
    assert!(read.is_ok_and(|read| read > 0));
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut nodes = Vec::new();
    while nodes.len() < 3 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
        nodes = list_running_children(bench.id());
    }
    assert_eq!(nodes.len(), 3);
    let bench_pid = bench.id().to_string();
    let kill_status = Command::new("kill").args(["-INT", &bench_pid]).status();
    assert!(kill_status.is_ok_and(|status| status.success()));
    let status = bench.wait().expect("the program ends");
    assert_eq!(status.code(), Some(1));
    let deadline = Instant::now() + Duration::from_secs(5);
    while nodes.iter().any(|node| is_running(node)) {
        assert!(
            Instant::now() < deadline,
            "node processes {nodes:?} are still running"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against invalid command lines that start a benchmark or are rejected without a message.
#[test]
fn invalid_command_line_is_rejected() {
    for arguments in [
        &["convergence", "--sizes", "100000"][..],
        &["convergence", "--policies", "gossip"],
        &["unknown"],
        &[],
    ] {
        let output = run_bench(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}
