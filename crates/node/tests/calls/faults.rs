//! Faults on the path of a call: which answer the caller receives, and how often the call ran.

use std::time::{Duration, Instant};

use crate::assert_answer;
use crate::support::{ReceivedAnswer, TestMesh, eventually, send_call};
use agatedeck_node::CallSettings;
use agatedeck_standin::{PlatformFaults, TargetBehaviour};
use futures::future::join_all;
use serde_json::Value;

/// Guards against an answer that is lost or altered in transit, and against calls missing from the
/// latency histograms.
#[tokio::test(flavor = "multi_thread")]
async fn an_answered_call_is_counted() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let request = mesh
        .get_request(0, "/slots/today")
        .header("x-request-id", "one");
    let answer = send_call(request.header("agatedeck-tenant", "bengal")).await;
    assert_answer(&answer, 200, "answered", "");
    let body = answer.body.expect("a complete answer");
    assert_eq!(
        (&body["request"], &body["depth"]),
        (&"one".into(), &"1".into())
    );
    eventually("the call is in the histogram", async || {
        let status = mesh.admin_json(0, "/v1/status").await;
        let histogram = &status["histograms"][0];
        histogram["tenant"] == "bengal" && histogram["count"] == 1
    })
    .await;
}

/// Guards against reporting `not-run` or `answered` for a call that ran and was never answered.
#[tokio::test(flavor = "multi_thread")]
async fn target_killed_with_a_call_in_flight() {
    let mut mesh = TestMesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let call = tokio::spawn(send_call(
        mesh.client.post(mesh.url(0, "/waivers")).body("form"),
    ));
    eventually("the call runs", async || {
        mesh.target(0).counters().await.started == 1
    })
    .await;
    mesh.kill_target(0).await;
    assert_answer(
        &call.await.expect("the call is answered"),
        504,
        "unknown",
        "no-answer",
    );
    // The target no longer listens, so the next call cannot be sent.
    let next = send_call(mesh.client.post(mesh.url(0, "/waivers")).body("form")).await;
    assert_answer(&next, 503, "not-run", "unreachable");
}

/// Guards against answering a call after its deadline, and against a target that continues to work
/// on a call that has been answered.
#[tokio::test(flavor = "multi_thread")]
async fn call_to_hanging_target_is_unknown_at_the_deadline() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let started_at = Instant::now();
    let answer = send_call(
        mesh.get_request(0, "/slots")
            .header("agatedeck-deadline-ms", "200"),
    )
    .await;
    assert_answer(&answer, 504, "unknown", "deadline");
    assert!(started_at.elapsed() < Duration::from_millis(600));
    eventually("the call is cancelled at the target", async || {
        mesh.target(0).counters().await.cancelled == 1
    })
    .await;
}

/// Guards against forwarding an endless answer past the deadline of its call.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_is_aborted_at_the_deadline() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        endless: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let call = send_call(
        mesh.get_request(0, "/slots")
            .header("agatedeck-deadline-ms", "300"),
    );
    let call = tokio::time::timeout(Duration::from_secs(5), call).await;
    let answer = call.expect("the answer is aborted");
    assert_eq!((answer.status, answer.body), (200, None));
}

/// Guards against a truncated answer that is taken for a complete one (I4).
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers_are_never_taken_as_complete() {
    let mesh = TestMesh::start(&["slotfinder", "waiverbox", "slotfinder"]).await;
    let broken = |padding_bytes, sent_bytes, chunked| TargetBehaviour {
        padding_bytes,
        break_after_bytes: Some(sent_bytes),
        chunked,
        ..Default::default()
    };
    for chunked in [false, true] {
        // Nothing of the truncated answer was forwarded, so another target can answer the call.
        mesh.set_behaviour(0, broken(0, 10, chunked)).await;
        assert_answer(
            &send_call(mesh.get_request(0, "/slots")).await,
            200,
            "answered",
            "",
        );
        // A POST to this service must not be repeated, so its outcome is unknown.
        mesh.set_behaviour(1, broken(0, 10, chunked)).await;
        let url = mesh.url(1, "/waivers");
        let post = |body| send_call(mesh.client.post(&url).body(body));
        let truncated = post("short answer").await;
        assert_answer(&truncated, 502, "unknown", "answer-truncated");
        // The head of a long answer was already forwarded, so the connection to the caller is
        // closed before the end of the body.
        mesh.set_behaviour(1, broken(300_000, 200_000, chunked))
            .await;
        let truncated = post("long answer").await;
        assert_eq!((truncated.status, truncated.body), (200, None));
    }
    // Complete chunked answers are forwarded, short and long ones.
    for padding_bytes in [0, 300_000] {
        let behaviour = TargetBehaviour {
            padding_bytes,
            chunked: true,
            ..Default::default()
        };
        mesh.set_behaviour(1, behaviour).await;
        let complete = send_call(mesh.client.post(mesh.url(1, "/waivers")).body("whole")).await;
        let padding = complete.body.expect("a complete answer")["padding"].clone();
        assert_eq!(padding.as_str().map(str::len), Some(padding_bytes));
    }
}

/// Guards against refusing a call that another target could run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_retried_at_another_target() {
    let mut mesh = TestMesh::start(&["slotfinder", "slotfinder"]).await;
    mesh.kill_target(0).await;
    for call in 0..10 {
        let answer = send_call(mesh.get_request(call % 2, "/slots")).await;
        assert_answer(&answer, 200, "answered", "");
    }
    mesh.kill_target(1).await;
    let answer = send_call(mesh.get_request(0, "/slots")).await;
    assert_answer(&answer, 503, "not-run", "unreachable");
}

/// Guards against a target that answers with errors immediately, therefore looks fast and idle, and
/// attracts calls from healthy targets.
#[tokio::test(flavor = "multi_thread")]
async fn target_that_answers_with_errors_is_ejected() {
    let mesh = TestMesh::start(&["slotfinder", "slotfinder", "slotfinder"]).await;
    let failing = TargetBehaviour {
        failing: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, failing).await;
    let slow = TargetBehaviour {
        work_ms: 5,
        ..Default::default()
    };
    mesh.set_behaviour(1, slow.clone()).await;
    mesh.set_behaviour(2, slow).await;
    let mut errors = 0;
    for _ in 0..120 {
        let answer = send_call(mesh.get_request(0, "/slots")).await;
        errors += u32::from(answer.status == 500);
    }
    // Its share under round robin is a third; ejection must reduce that by more than half.
    assert!(
        errors < 20,
        "{errors} of 120 calls went to the failing target"
    );
}

/// Guards against a graceful shutdown that aborts requests in flight (I8), and against calls that
/// are not answered while one of two nodes shuts down.
#[tokio::test(flavor = "multi_thread")]
async fn drain_under_load_loses_no_calls() {
    let mut mesh = TestMesh::start(&["slotfinder", "slotfinder", "waiverbox"]).await;
    for target in 0..2 {
        let behaviour = TargetBehaviour {
            work_ms: 20,
            ..Default::default()
        };
        mesh.set_behaviour(target, behaviour).await;
    }
    let (client, url) = (mesh.client.clone(), mesh.url(2, "/slots"));
    let callers = (0..4).map(|_| {
        let (client, url) = (client.clone(), url.clone());
        tokio::spawn(async move {
            let mut answers = Vec::new();
            let end = Instant::now() + Duration::from_secs(3);
            while Instant::now() < end {
                answers.push(send_call(client.get(&url)).await);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Longer than a shutdown without calls in flight takes.
    let slow = TargetBehaviour {
        work_ms: 2_000,
        ..Default::default()
    };
    mesh.set_behaviour(0, slow).await;
    let started = mesh.target(0).counters().await.started;
    eventually("slow calls run", async || {
        mesh.target(0).counters().await.started > started
    })
    .await;
    let leaving_node = mesh.nodes[0].take().expect("the node runs");
    leaving_node.shutdown().await;
    let counters_before = mesh.target(0).counters().await;
    assert_eq!(
        (counters_before.started, counters_before.cancelled),
        (counters_before.finished, 0)
    );
    let answers: Vec<ReceivedAnswer> = join_all(callers)
        .await
        .into_iter()
        .flat_map(|answers| answers.expect("the caller ends"))
        .collect();
    assert!(answers.len() > 100, "{}", answers.len());
    for answer in &answers {
        assert_answer(answer, 200, "answered", "");
    }
    assert_eq!(
        mesh.target(0).counters().await.started,
        counters_before.started
    );
}

/// Guards against running a claimed call twice (I6): if it is resent to the same node, sent to two
/// nodes concurrently, or resent with a different body.
#[tokio::test(flavor = "multi_thread")]
async fn claimed_call_runs_once() {
    let mesh = TestMesh::start(&["depositdesk", "depositdesk"]).await;
    let missing = send_call(mesh.client.post(mesh.url(0, "/deposits"))).await;
    assert_answer(&missing, 400, "not-run", "missing-key");

    assert_eq!(
        send_call(mesh.charge_request(0, "resent"))
            .await
            .run_number(),
        Some(1)
    );
    eventually("the answer is stored", async || {
        let answer = send_call(mesh.charge_request(1, "resent")).await;
        answer.outcome == "answered" && answer.run_number() == Some(1)
    })
    .await;
    assert_eq!(mesh.run_count("resent").await, 1);
    let other = send_call(mesh.charge_request(0, "resent").body("charge 40")).await;
    assert_answer(&other, 422, "not-run", "key-reused");

    for target in 0..2 {
        let behaviour = TargetBehaviour {
            work_ms: 50,
            ..Default::default()
        };
        mesh.set_behaviour(target, behaviour).await;
    }
    for round in 0..5 {
        let key = format!("twice-{round}");
        let calls = (0..6).map(|call| send_call(mesh.charge_request(call % 2, &key)));
        let answers = join_all(calls).await;
        let mut answered = 0;
        for answer in &answers {
            // A call that arrives after the first one has ended receives its stored answer.
            match answer.outcome.as_str() {
                "answered" => {
                    assert_eq!(answer.run_number(), Some(1), "{answers:?}");
                    answered += 1;
                }
                outcome => assert_eq!(outcome, "unknown", "{answers:?}"),
            }
        }
        assert!(answered >= 1, "{answers:?}");
        assert_eq!(mesh.run_count(&key).await, 1);
    }
}

/// Guards against running a call whose claim was not stored, and against running it again after the
/// response to a write was lost or the store was unavailable when the call ended (F3, F4).
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_at_each_step_of_a_claim() {
    let mesh = TestMesh::start(&["depositdesk"]).await;
    let faults = |faults| mesh.platform.set_faults(faults);
    let outage = || PlatformFaults {
        outage: true,
        ..Default::default()
    };
    // The store is unavailable before the claim is written.
    faults(outage()).await;
    let refused = send_call(mesh.charge_request(0, "claim")).await;
    assert_answer(&refused, 503, "not-run", "store-away");
    assert_eq!(mesh.run_count("claim").await, 0);
    faults(PlatformFaults::default()).await;
    assert_eq!(
        send_call(mesh.charge_request(0, "claim"))
            .await
            .run_number(),
        Some(1)
    );

    // The claim is written, but the store's response is lost.
    faults(PlatformFaults {
        lose_answers: 1,
        ..Default::default()
    })
    .await;
    let answer = send_call(mesh.charge_request(0, "lost")).await;
    assert_answer(&answer, 200, "answered", "");
    faults(PlatformFaults::default()).await;
    assert_eq!(mesh.run_count("lost").await, 1);

    // The store is unavailable when the answer is to be stored.
    let behaviour = TargetBehaviour {
        work_ms: 150,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let call = tokio::spawn(send_call(mesh.charge_request(0, "answer")));
    eventually("the charge runs", async || {
        mesh.run_count("answer").await == 1
    })
    .await;
    faults(outage()).await;
    let answer = call.await.expect("the call is answered");
    assert_answer(&answer, 200, "answered", "");
    let resent = send_call(mesh.charge_request(0, "answer")).await;
    assert_answer(&resent, 503, "not-run", "store-away");
    faults(PlatformFaults::default()).await;
    eventually("the answer is stored after the outage", async || {
        send_call(mesh.charge_request(0, "answer"))
            .await
            .run_number()
            == Some(1)
    })
    .await;
    assert_eq!(mesh.run_count("answer").await, 1);
}

/// Guards against one request that crashes target after target (F7), and against refusing other
/// requests along with it.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_is_refused_after_three_crashes() {
    let mesh = TestMesh::start(&["waiverbox", "waiverbox"]).await;
    for target in 0..2 {
        let behaviour = TargetBehaviour {
            crash_path: Some("/waivers/poison".to_owned()),
            ..Default::default()
        };
        mesh.set_behaviour(target, behaviour).await;
    }
    let poison = |node| {
        let url = mesh.url(node, "/waivers/poison");
        send_call(
            mesh.client
                .post(url)
                .header("x-request-id", "poison")
                .body("same"),
        )
    };
    for crash in 0..3 {
        assert_answer(&poison(crash % 2).await, 504, "unknown", "no-answer");
    }
    for node in 0..2 {
        eventually("the node has received the crash reports", async || {
            let status = mesh.admin_json(node, "/v1/status").await;
            status["refused_requests"][0]["crashes"] == 3
        })
        .await;
        assert_answer(&poison(node).await, 503, "not-run", "crashed-targets");
        let url = mesh.url(node, "/waivers/other");
        let other = send_call(mesh.client.post(url).body("same")).await;
        assert_answer(&other, 200, "answered", "");
    }
    assert_eq!(mesh.run_count("poison").await, 3);
}

/// Guards against a node that was out of reach while crashes were reported, and does not learn of the requests
/// that the others refuse when it compares its members with theirs.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_exchange_tells_which_requests_are_refused() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        crash_path: Some("/waivers/poison".to_owned()),
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let crash = || {
        send_call(
            mesh.client
                .post(mesh.url(0, "/waivers/poison"))
                .body("same"),
        )
    };
    for crashes in 1..=3 {
        assert_answer(&crash().await, 504, "unknown", "no-answer");
        let reports = mesh.reports_in_member_exchange(0).await;
        let expected = if crashes < 3 { 0 } else { 3 };
        assert_eq!(reports, expected, "after {crashes} crashes");
    }
}

/// Guards against nested calls that outlive the deadline of the outer call, and against retries
/// that multiply with each hop.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_and_retry_limit_hold_over_two_hops() {
    let mesh = TestMesh::start(&["waiverbox", "slotfinder"]).await;
    let calling = TargetBehaviour {
        calls_on: Some(mesh.url(0, "/slots/inner")),
        ..Default::default()
    };
    mesh.set_behaviour(0, calling).await;
    let hang = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.set_behaviour(1, hang).await;
    let started_at = Instant::now();
    let request = mesh.client.post(mesh.url(0, "/waivers")).body("form");
    let answer = send_call(request.header("agatedeck-deadline-ms", "300")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (504, "unknown"));
    assert!(started_at.elapsed() < Duration::from_millis(800));
    // The deadlines of both hops are less than 1 ms apart, so the outer target either is cancelled
    // or has just received the answer that its nested call was not answered.
    eventually("both hops have ended", async || {
        let (outer, inner) = (mesh.target(0).counters(), mesh.target(1).counters());
        outer.await.finished == 1 && inner.await.cancelled == 1
    })
    .await;

    // The inner target truncates its answer; only the outermost caller's node may retry the call.
    let broken = TargetBehaviour {
        break_after_bytes: Some(5),
        ..Default::default()
    };
    mesh.set_behaviour(1, broken).await;
    let started_before = mesh.target(1).counters().await.started;
    let answer = send_call(mesh.client.post(mesh.url(0, "/waivers")).body("form")).await;
    assert_answer(&answer, 200, "answered", "");
    let inner = &answer.body.expect("a complete answer")["inner"];
    assert_eq!(inner["outcome"], "unknown", "{inner}");
    assert_eq!(mesh.target(1).counters().await.started - started_before, 1);
}

/// Guards against unbounded chains of calls.
#[tokio::test(flavor = "multi_thread")]
async fn chain_of_calls_ends_at_the_depth_limit() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        calls_on: Some(mesh.url(0, "/slots/again")),
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    // The policy allows only four concurrent calls, so the chain starts close to the depth limit.
    let request = mesh.get_request(0, "/slots").header("agatedeck-depth", "5");
    let mut answer = send_call(request).await.body.expect("a complete answer");
    for depth in ["6", "7", "8"] {
        assert_eq!(answer["depth"], depth);
        answer = answer["inner"].take();
        if depth != "8" {
            answer = answer["answer"].take();
        }
    }
    assert_eq!(answer["outcome"], "not-run");
    assert_eq!(answer["reason"], "too-deep");
}

/// Guards against a target that continues to work on a call whose caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_its_call() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    // As many calls as the target has slots.
    let calls: Vec<_> = (0..4)
        .map(|_| tokio::spawn(send_call(mesh.get_request(0, "/slots"))))
        .collect();
    eventually("the calls run", async || {
        mesh.target(0).counters().await.started == 4
    })
    .await;
    for call in &calls {
        call.abort();
    }
    eventually("the calls are cancelled", async || {
        mesh.target(0).counters().await.cancelled == 4
    })
    .await;
    mesh.set_behaviour(0, TargetBehaviour::default()).await;
    // All slots are free again.
    let calls = (0..4).map(|_| send_call(mesh.get_request(0, "/slots")));
    for answer in join_all(calls).await {
        assert_answer(&answer, 200, "answered", "");
    }
}

/// Guards against one workspace that uses up the target's capacity, and against more concurrent
/// calls at the target than it has slots.
#[tokio::test(flavor = "multi_thread")]
async fn overload_by_one_workspace_leaves_capacity_for_others() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        work_ms: 10,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let overload_callers = (0..40).map(|_| {
        let (client, url) = (mesh.client.clone(), mesh.url(0, "/slots"));
        tokio::spawn(async move {
            loop {
                let _ = send_call(client.get(&url).header("agatedeck-tenant", "flood")).await;
            }
        })
    });
    let overload_callers: Vec<_> = overload_callers.collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut answered = 0;
    for _ in 0..20 {
        let call = send_call(
            mesh.get_request(0, "/slots")
                .header("agatedeck-tenant", "small"),
        )
        .await;
        answered += u32::from(call.outcome == "answered");
    }
    for caller in &overload_callers {
        caller.abort();
    }
    assert!(answered >= 19, "{answered} of 20 calls were answered");
    assert!(mesh.target(0).counters().await.peak <= 4);
}

/// Guards against mesh headers that a caller or a target forges.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_forged_outcomes() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let missing = send_call(mesh.get_request(0, "/nothing")).await;
    assert_answer(&missing, 404, "not-run", "no-route");
    assert_eq!(missing.body, Some(Value::Null));
    let failing = TargetBehaviour {
        failing: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, failing).await;
    let request = mesh
        .get_request(0, "/slots")
        .header("agatedeck-outcome", "not-run");
    assert_answer(&send_call(request).await, 500, "answered", "");
}

/// Guards against `unknown` for a call that waited in the queue until its deadline: the refusal
/// must arrive before the caller's node stops waiting.
#[tokio::test(flavor = "multi_thread")]
async fn queued_call_is_refused_before_its_deadline() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let post = || mesh.client.post(mesh.url(0, "/waivers")).body("form");
    let calls: Vec<_> = (0..4).map(|_| tokio::spawn(send_call(post()))).collect();
    eventually("the slots are taken", async || {
        mesh.target(0).counters().await.started == 4
    })
    .await;
    // The test acts as the caller's node to measure when the refusal arrives. A refusal may be late
    // on a busy machine. Without the margin it always is, because the target's node counts the
    // remaining time from the arrival of the request.
    let url = mesh.peer_url(0, "/waivers");
    let mut in_time = false;
    for _ in 0..6 {
        let sent_at = Instant::now();
        let request = mesh.client.post(&url).body("form");
        let refused = send_call(request.header("agatedeck-deadline-ms", "300")).await;
        in_time |= sent_at.elapsed() < Duration::from_millis(300);
        assert_answer(&refused, 504, "not-run", "deadline");
    }
    assert!(in_time, "every refusal was late");
    for call in calls {
        call.abort();
    }
}

/// Guards against opening more connections to a target than it accepts, regardless of the number of
/// slots in its policy.
#[tokio::test(flavor = "multi_thread")]
async fn target_connections_stay_within_the_limit() {
    let mesh = TestMesh::start(&["packprice"]).await;
    let behaviour = TargetBehaviour {
        work_ms: 10,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let calls = (0..200).map(|_| send_call(mesh.get_request(0, "/prices")));
    for answer in join_all(calls).await {
        assert_answer(&answer, 200, "answered", "");
    }
    let counters = mesh.target(0).counters().await;
    assert!(counters.peak <= 10, "{counters:?}");
    assert!(counters.peak_connections <= 20, "{counters:?}");
}

/// Guards against metrics that are not sent, and against changed metric names.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_calls_by_outcome() {
    let mesh = TestMesh::start(&["depositdesk"]).await;
    assert_answer(
        &send_call(mesh.charge_request(0, "counted")).await,
        200,
        "answered",
        "",
    );
    send_call(mesh.get_request(0, "/nothing")).await;
    let mut missing_metrics = vec![
        "agatedeck.calls.answered:1|c",
        "agatedeck.calls.not-run:1|c",
        "agatedeck.calls.stopped.no-route:1|c",
        "agatedeck.claims.granted:1|c",
        "agatedeck.calls.latency:",
    ];
    let mut packet = [0; 2048];
    while !missing_metrics.is_empty() {
        let received = mesh.metrics_socket.recv(&mut packet);
        let received = tokio::time::timeout(Duration::from_secs(5), received).await;
        let length = received.unwrap_or_else(|_| panic!("no {missing_metrics:?}"));
        let text = String::from_utf8_lossy(&packet[..length.expect("a packet")]).into_owned();
        missing_metrics.retain(|metric| !text.lines().any(|line| line.starts_with(metric)));
    }
    let text = mesh.metrics_text(0).await;
    for line in [
        "agatedeck_calls_total{outcome=\"answered\"} 1",
        "agatedeck_calls_total{outcome=\"not-run\"} 1",
        "agatedeck_calls_stopped_total{reason=\"no-route\"} 1",
        "agatedeck_claims_total{verdict=\"granted\"} 1",
        "agatedeck_call_latency_seconds_count{class=\"default\"} 1",
        "# EOF",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "no {line} in {text}"
        );
    }
}

/// Guards against losing the load that a target reports, and against refusing calls because of that
/// report alone (F9).
#[tokio::test(flavor = "multi_thread")]
async fn reported_load_is_forwarded_and_refuses_no_calls() {
    let mesh = TestMesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        false_load: Some(3),
        unhealthy: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let url = mesh.peer_url(0, "/slots");
    eventually("three of four slots are reported", async || {
        let answer = mesh.client.get(&url).send().await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status(), 200);
        answer.headers()["agatedeck-load"] == "750"
    })
    .await;
}

/// Guards against running a call whose caller's node has disconnected: after packet loss, the
/// connection close arrives directly after the delayed request.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_request_waits_for_connection_close() {
    let calls = CallSettings {
        close_pause: Duration::from_secs(1),
        ..Default::default()
    };
    let mesh = TestMesh::start_with_settings(&["waiverbox"], calls).await;
    let url = mesh.peer_url(0, "/waivers/late");
    let request_sent_at = |sent_at_us: u64| {
        let request = mesh.client.get(&url);
        request.header("agatedeck-sent", format!("caller/{sent_at_us}"))
    };
    assert_eq!(
        send_call(request_sent_at(60_000_000)).await.outcome,
        "answered"
    );
    // According to the sender's clock, this request was sent half a second earlier.
    let delayed = request_sent_at(59_500_000).timeout(Duration::from_millis(100));
    assert!(delayed.send().await.is_err());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(mesh.target(0).counters().await.started, 1);
    assert_eq!(
        send_call(request_sent_at(63_000_000)).await.outcome,
        "answered"
    );
}
