//! `explain` with the log files of two nodes.

use crate::support::run_ctl;
use agatedeck_ctl::ExitStatus;
use tempfile::TempDir;

/// Log of the caller's node, through a log collector that puts a time and a name before each line.
const CALLER_LOG: &str = r#"
10:00:00 node-a {"unix_us":1000000,"node":"node-a","event":"listening","message":"listening","peer":"10.0.0.1:80"}
10:00:00 node-a {"unix_us":2000000,"node":"node-a","event":"in-force","message":"version 7 is in force"}
10:00:00 node-a {"unix_us":2500000,"node":"node-a","event":"call","request":"r-2","outcome":"unknown","reason":"no-answer","attempts":1,"target":"10.0.0.9:80","took_ms":"80.5","class":"search","message":"call r-2: unknown"}
10:00:00 node-a {"unix_us":3500000,"node":"node-a","event":"call","request":"r-1","outcome":"not-run","reason":"queue-full","attempts":3,"refusals":"10.0.0.9:80 queue-full estimated 50% stated 133%","target":"10.0.0.2:80","took_ms":12.25,"class":"search","message":"call r-1: not-run"}
10:00:00 node-a {"unix_us":3600000,"node":"node-a","event":"in-force","message":"version 8 is in force"}
"#;

/// Log of the target's node. The last line is the output of another program.
const TARGET_LOG: &str = r#"
{"unix_us":1000000,"node":"node-b","event":"listening","message":"listening","peer":"10.0.0.2:80"}
{"unix_us":3000000,"node":"node-b","event":"target","message":"the target `i-1` is ready"}
{"unix_us":3250000,"node":"node-b","event":"target-crashed","message":"the target lost its connections"}
{"unix_us":3300000,"node":"node-b","event":"target-call","request":"r-0","reason":"declined","connection":40001,"queue_us":100,"target_us":900,"delayed":false,"message":"call r-0 was not answered by the target: declined"}
{"unix_us":3350000,"node":"node-b","event":"target-call","request":"r-3","reason":"declined","connection":40002,"queue_us":100,"target_us":900,"delayed":false,"message":"call r-3 was not answered by the target: declined"}
{"unix_us":3400000,"node":"node-b","event":"target-call","request":"r-1","reason":"cancelled","connection":40001,"queue_us":300,"target_us":80250,"delayed":true,"message":"call r-1 was not answered by the target: cancelled"}
killed
"#;

fn write_logs() -> (TempDir, String) {
    let directory = TempDir::new().expect("temporary directory is created");
    let mut log_arguments = String::new();
    for (name, text) in [("a.log", CALLER_LOG), ("b.log", TARGET_LOG)] {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("log file is written");
        log_arguments.push(' ');
        log_arguments.push_str(&path.display().to_string());
    }
    (directory, log_arguments)
}

/// Guards against a report that omits an event before the end of the request or includes a later
/// one.
#[tokio::test]
async fn request_is_explained_from_two_logs() {
    let (_directory, log_arguments) = write_logs();
    let output = run_ctl(&format!("explain r-1{log_arguments}"), &[]).await;
    assert_eq!(output.status, ExitStatus::Success);
    let expected = "\
r-1 at node-a: not-run (queue-full), 3 attempts, 12.2 ms
  class search, last target at 10.0.0.2:80 (node-b)
  refused by: 10.0.0.9:80 queue-full estimated 50% stated 133%
  node-a, by its own clock:
    1.500 s before  in-force: version 7 is in force
  node-b, by its own clock:
    0.250 s before  target-crashed: the target lost its connections
    0.500 s before  target: the target `i-1` is ready
  at the target of node-b: cancelled after 0.3 ms in the queue and 80.2 ms at the target, delayed in transit, connection 40001
    before on this connection: call r-0 was not answered by the target: declined
";
    assert_eq!(output.out, expected);
    assert!(
        output
            .progress
            .ends_with("b.log: 1 lines are no log lines\n")
    );
}

/// Guards against a report that treats a target node whose log was not given as one that logged no
/// event.
#[tokio::test]
async fn missing_target_log_is_reported() {
    let (_directory, log_arguments) = write_logs();
    let output = run_ctl(&format!("explain r-2{log_arguments}"), &[]).await;
    let expected = "last target at 10.0.0.9:80 (log not given)";
    assert!(output.out.contains(expected), "{}", output.out);
    let report = run_ctl(&format!("explain r-2{log_arguments} --json"), &[])
        .await
        .json();
    assert_eq!(report[0]["took_ms"], 80.5);
    assert_eq!(report[0]["target_node"], serde_json::Value::Null);
}

/// Guards against success for a request without a log line, and for a log file that cannot be read
/// or is missing from the arguments.
#[tokio::test]
async fn unknown_request_and_unreadable_file_fail() {
    let (_directory, log_arguments) = write_logs();
    let output = run_ctl(&format!("explain r-9{log_arguments}"), &[]).await;
    assert_eq!(output.status, ExitStatus::Refused);
    assert!(output.progress.contains("no line on r-9"));
    let output = run_ctl("explain r-1 /nowhere/a.log", &[]).await;
    assert_eq!(output.status, ExitStatus::BadInput);
    assert_eq!(
        run_ctl("explain r-1", &[]).await.status,
        ExitStatus::BadInput
    );
}
