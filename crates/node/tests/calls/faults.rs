//! Faults on the path of a call: what the caller is told, and how often the call ran.

use std::time::{Duration, Instant};

use crate::assert_told;
use crate::support::{Mesh, Told, eventually, told};
use agatedeck_node::CallSettings;
use agatedeck_standin::{PlatformFaults, TargetBehaviour};
use futures::future::join_all;
use serde_json::Value;

/// Guards against an answer that is lost or changed on the way, and against histograms that miss it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answered_call_is_counted() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let request = mesh.get(0, "/slots/today").header("x-request-id", "one");
    let answer = told(request.header("agatedeck-tenant", "bengal")).await;
    assert_told(&answer, 200, "answered", "");
    let body = answer.body.expect("a whole answer");
    assert_eq!(
        (&body["request"], &body["depth"]),
        (&"one".into(), &"1".into())
    );
    eventually("the call is in the histogram", async || {
        let status = mesh.admin(0, "/v1/status").await;
        let histogram = &status["histograms"][0];
        histogram["tenant"] == "bengal" && histogram["count"] == 1
    })
    .await;
}

/// Guards against `not-run` for a call that ran, and against an answer where none came.
#[tokio::test(flavor = "multi_thread")]
async fn target_killed_with_a_call_in_flight() {
    let mut mesh = Mesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let call = tokio::spawn(told(mesh.client.post(mesh.url(0, "/waivers")).body("form")));
    eventually("the call runs", async || {
        mesh.target(0).counters().await.started == 1
    })
    .await;
    mesh.kill(0).await;
    assert_told(&call.await.expect("told"), 504, "unknown", "no-answer");
    // The target is gone now, so that nothing of the next call can be sent.
    let next = told(mesh.client.post(mesh.url(0, "/waivers")).body("form")).await;
    assert_told(&next, 503, "not-run", "unreachable");
}

/// Guards against a call that is told later than its deadline, and against a target that goes on
/// working for a caller that has been answered.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_target_is_unknown_at_the_deadline_and_cancelled() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let started = Instant::now();
    let answer = told(mesh.get(0, "/slots").header("agatedeck-deadline-ms", "200")).await;
    assert_told(&answer, 504, "unknown", "deadline");
    assert!(started.elapsed() < Duration::from_millis(600));
    eventually("the call is cancelled at the target", async || {
        mesh.target(0).counters().await.cancelled == 1
    })
    .await;
}

/// Guards against an answer without end that is passed on after the deadline of its call.
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_end_is_cut_at_the_deadline() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        endless: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let call = told(mesh.get(0, "/slots").header("agatedeck-deadline-ms", "300"));
    let call = tokio::time::timeout(Duration::from_secs(5), call).await;
    let call = call.expect("the answer is cut");
    assert_eq!((call.status, call.body), (200, None));
}

/// Guards against a truncated answer that is taken for a whole one (I4).
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers_are_never_whole() {
    let mesh = Mesh::start(&["slotfinder", "waiverbox", "slotfinder"]).await;
    let broken = |padding_bytes, kept, chunked| TargetBehaviour {
        padding_bytes,
        break_after_bytes: Some(kept),
        chunked,
        ..Default::default()
    };
    for chunked in [false, true] {
        // Another target has the answer, and the caller has nothing of the broken one yet.
        mesh.behave(0, broken(0, 10, chunked)).await;
        assert_told(&told(mesh.get(0, "/slots")).await, 200, "answered", "");
        // A POST to this service may not be repeated, so it is unknown.
        mesh.behave(1, broken(0, 10, chunked)).await;
        let url = mesh.url(1, "/waivers");
        let post = |body| told(mesh.client.post(&url).body(body));
        let cut = post("short answer").await;
        assert_told(&cut, 502, "unknown", "answer-truncated");
        // The caller has the head of a long answer; its connection is closed before the end.
        mesh.behave(1, broken(300_000, 200_000, chunked)).await;
        let cut = post("long answer").await;
        assert_eq!((cut.status, cut.body), (200, None));
    }
    // Whole answers in chunks are passed on, short and long.
    for padding_bytes in [0, 300_000] {
        let behaviour = TargetBehaviour {
            padding_bytes,
            chunked: true,
            ..Default::default()
        };
        mesh.behave(1, behaviour).await;
        let whole = told(mesh.client.post(mesh.url(1, "/waivers")).body("whole")).await;
        let padding = whole.body.expect("a whole answer")["padding"].clone();
        assert_eq!(padding.as_str().map(str::len), Some(padding_bytes));
    }
}

/// Guards against a call that is refused while another target could take it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_tried_elsewhere() {
    let mut mesh = Mesh::start(&["slotfinder", "slotfinder"]).await;
    mesh.kill(0).await;
    for call in 0..10 {
        let answer = told(mesh.get(call % 2, "/slots")).await;
        assert_told(&answer, 200, "answered", "");
    }
    mesh.kill(1).await;
    let answer = told(mesh.get(0, "/slots")).await;
    assert_told(&answer, 503, "not-run", "unreachable");
}

/// Guards against a target that answers with errors at once, looks fast and idle for it, and draws
/// calls away from the healthy ones.
#[tokio::test(flavor = "multi_thread")]
async fn target_that_answers_with_errors_is_ejected() {
    let mesh = Mesh::start(&["slotfinder", "slotfinder", "slotfinder"]).await;
    let failing = TargetBehaviour {
        failing: true,
        ..Default::default()
    };
    mesh.behave(0, failing).await;
    let slow = TargetBehaviour {
        work_ms: 5,
        ..Default::default()
    };
    mesh.behave(1, slow.clone()).await;
    mesh.behave(2, slow).await;
    let mut errors = 0;
    for _ in 0..120 {
        let answer = told(mesh.get(0, "/slots")).await;
        errors += u32::from(answer.status == 500);
    }
    // A third is its share under round robin; ejection must leave it less than half of that.
    assert!(
        errors < 20,
        "{errors} of 120 calls went to the failing target"
    );
}

/// Guards against requests in flight that a graceful shutdown cuts off (I8), and against calls that
/// are not answered because one of two targets leaves.
#[tokio::test(flavor = "multi_thread")]
async fn drain_under_load_loses_nothing() {
    let mut mesh = Mesh::start(&["slotfinder", "slotfinder", "waiverbox"]).await;
    for target in 0..2 {
        let behaviour = TargetBehaviour {
            work_ms: 20,
            ..Default::default()
        };
        mesh.behave(target, behaviour).await;
    }
    let (client, url) = (mesh.client.clone(), mesh.url(2, "/slots"));
    let callers = (0..4).map(|_| {
        let (client, url) = (client.clone(), url.clone());
        tokio::spawn(async move {
            let mut outcomes = Vec::new();
            let until = Instant::now() + Duration::from_secs(3);
            while Instant::now() < until {
                outcomes.push(told(client.get(&url)).await);
            }
            outcomes
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Longer than shutdown takes when nothing is in flight.
    let slow = TargetBehaviour {
        work_ms: 2_000,
        ..Default::default()
    };
    mesh.behave(0, slow).await;
    let started = mesh.target(0).counters().await.started;
    eventually("slow calls run", async || {
        mesh.target(0).counters().await.started > started
    })
    .await;
    let leaving = mesh.nodes[0].take().expect("the node runs");
    leaving.shutdown().await;
    let before = mesh.target(0).counters().await;
    assert_eq!((before.started, before.cancelled), (before.finished, 0));
    let outcomes: Vec<Told> = join_all(callers)
        .await
        .into_iter()
        .flat_map(|outcomes| outcomes.expect("the caller ends"))
        .collect();
    assert!(outcomes.len() > 100, "{}", outcomes.len());
    for outcome in &outcomes {
        assert_told(outcome, 200, "answered", "");
    }
    assert_eq!(mesh.target(0).counters().await.started, before.started);
}

/// Guards against a charge that runs twice (I6): resent to the same node, sent to two nodes at once,
/// and resent with another body.
#[tokio::test(flavor = "multi_thread")]
async fn charge_runs_once() {
    let mesh = Mesh::start(&["depositdesk", "depositdesk"]).await;
    let missing = told(mesh.client.post(mesh.url(0, "/deposits"))).await;
    assert_told(&missing, 400, "not-run", "missing-key");

    assert_eq!(told(mesh.charge(0, "resent")).await.run(), Some(1));
    eventually("the answer is stored", async || {
        let answer = told(mesh.charge(1, "resent")).await;
        answer.outcome == "answered" && answer.run() == Some(1)
    })
    .await;
    assert_eq!(mesh.runs("resent").await, 1);
    let other = told(mesh.charge(0, "resent").body("charge 40")).await;
    assert_told(&other, 422, "not-run", "key-reused");

    for target in 0..2 {
        let behaviour = TargetBehaviour {
            work_ms: 50,
            ..Default::default()
        };
        mesh.behave(target, behaviour).await;
    }
    for round in 0..5 {
        let key = format!("twice-{round}");
        let calls = (0..6).map(|call| told(mesh.charge(call % 2, &key)));
        let answers = join_all(calls).await;
        let mut answered = 0;
        for told in &answers {
            // A call that comes late enough is told the stored answer of the one that ran.
            match told.outcome.as_str() {
                "answered" => {
                    assert_eq!(told.run(), Some(1), "{answers:?}");
                    answered += 1;
                }
                outcome => assert_eq!(outcome, "unknown", "{answers:?}"),
            }
        }
        assert!(answered >= 1, "{answers:?}");
        assert_eq!(mesh.runs(&key).await, 1);
    }
}

/// Guards against a charge that runs although it was not claimed, or that runs again after the
/// store lost the answer to a write or was away when the call had ended (F3, F4).
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_at_each_step_of_a_claim() {
    let mesh = Mesh::start(&["depositdesk"]).await;
    let faults = |faults| mesh.platform.set_faults(faults);
    let outage = || PlatformFaults {
        outage: true,
        ..Default::default()
    };
    // Before the claim is written.
    faults(outage()).await;
    let refused = told(mesh.charge(0, "claim")).await;
    assert_told(&refused, 503, "not-run", "store-away");
    assert_eq!(mesh.runs("claim").await, 0);
    faults(PlatformFaults::default()).await;
    assert_eq!(told(mesh.charge(0, "claim")).await.run(), Some(1));

    // The claim is written and the answer to the write is lost.
    faults(PlatformFaults {
        lose_answers: 1,
        ..Default::default()
    })
    .await;
    let answer = told(mesh.charge(0, "lost")).await;
    assert_told(&answer, 200, "answered", "");
    faults(PlatformFaults::default()).await;
    assert_eq!(mesh.runs("lost").await, 1);

    // The store is away when the answer is to be stored.
    let behaviour = TargetBehaviour {
        work_ms: 150,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let call = tokio::spawn(told(mesh.charge(0, "answer")));
    eventually("the charge runs", async || mesh.runs("answer").await == 1).await;
    faults(outage()).await;
    let answer = call.await.expect("told");
    assert_told(&answer, 200, "answered", "");
    let resent = told(mesh.charge(0, "answer")).await;
    assert_told(&resent, 503, "not-run", "store-away");
    faults(PlatformFaults::default()).await;
    eventually("the answer is stored after the outage", async || {
        told(mesh.charge(0, "answer")).await.run() == Some(1)
    })
    .await;
    assert_eq!(mesh.runs("answer").await, 1);
}

/// Guards against one request that takes down target after target (F7), and against other requests
/// that are refused with it.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_is_refused_after_three_crashes() {
    let mesh = Mesh::start(&["waiverbox", "waiverbox"]).await;
    for target in 0..2 {
        let behaviour = TargetBehaviour {
            crash_path: Some("/waivers/poison".to_owned()),
            ..Default::default()
        };
        mesh.behave(target, behaviour).await;
    }
    let poison = |node| {
        let url = mesh.url(node, "/waivers/poison");
        told(
            mesh.client
                .post(url)
                .header("x-request-id", "poison")
                .body("same"),
        )
    };
    for crash in 0..3 {
        assert_told(&poison(crash % 2).await, 504, "unknown", "no-answer");
    }
    for node in 0..2 {
        eventually("the region knows of the crashes", async || {
            let status = mesh.admin(node, "/v1/status").await;
            status["refused_requests"][0]["crashes"] == 3
        })
        .await;
        assert_told(&poison(node).await, 503, "not-run", "crashed-targets");
        let url = mesh.url(node, "/waivers/other");
        let other = told(mesh.client.post(url).body("same")).await;
        assert_told(&other, 200, "answered", "");
    }
    assert_eq!(mesh.runs("poison").await, 3);
}

/// Guards against inner calls that outlive the deadline of the outer call, and against retries that
/// multiply over hops.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_and_attempts_over_two_hops() {
    let mesh = Mesh::start(&["waiverbox", "slotfinder"]).await;
    let outer = TargetBehaviour {
        calls_on: Some(mesh.url(0, "/slots/inner")),
        ..Default::default()
    };
    mesh.behave(0, outer).await;
    let hang = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.behave(1, hang).await;
    let started = Instant::now();
    let request = mesh.client.post(mesh.url(0, "/waivers")).body("form");
    let answer = told(request.header("agatedeck-deadline-ms", "300")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (504, "unknown"));
    assert!(started.elapsed() < Duration::from_millis(800));
    // The deadlines of both hops are less than 1 ms apart, so the outer target either is cancelled
    // or has just been told that its inner call was not answered.
    eventually("both hops have ended", async || {
        let (outer, inner) = (mesh.target(0).counters(), mesh.target(1).counters());
        outer.await.finished == 1 && inner.await.cancelled == 1
    })
    .await;

    // The inner target breaks off; only the outermost caller's node would try the call again.
    let broken = TargetBehaviour {
        break_after_bytes: Some(5),
        ..Default::default()
    };
    mesh.behave(1, broken).await;
    let before = mesh.target(1).counters().await.started;
    let answer = told(mesh.client.post(mesh.url(0, "/waivers")).body("form")).await;
    assert_told(&answer, 200, "answered", "");
    let inner = &answer.body.expect("a whole answer")["inner"];
    assert_eq!(inner["outcome"], "unknown", "{inner}");
    assert_eq!(mesh.target(1).counters().await.started - before, 1);
}

/// Guards against chains of calls without end.
#[tokio::test(flavor = "multi_thread")]
async fn chain_of_calls_ends_at_the_depth_limit() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        calls_on: Some(mesh.url(0, "/slots/again")),
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    // The policy has four slots, so the chain is entered near its end.
    let request = mesh.get(0, "/slots").header("agatedeck-depth", "5");
    let mut answer = told(request).await.body.expect("a whole answer");
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

/// Guards against a target that goes on working for a caller that has gone.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_goes_away_cancels_its_call() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    // As many calls as the target has slots.
    let calls: Vec<_> = (0..4)
        .map(|_| tokio::spawn(told(mesh.get(0, "/slots"))))
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
    mesh.behave(0, TargetBehaviour::default()).await;
    // All slots are free again.
    let calls = (0..4).map(|_| told(mesh.get(0, "/slots")));
    for answer in join_all(calls).await {
        assert_told(&answer, 200, "answered", "");
    }
}

/// Guards against one tenant that takes the target from the others, and against more calls at the
/// target than it has slots.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_one_tenant_leaves_room_for_others() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        work_ms: 10,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let flood = (0..40).map(|_| {
        let (client, url) = (mesh.client.clone(), mesh.url(0, "/slots"));
        tokio::spawn(async move {
            loop {
                let _ = told(client.get(&url).header("agatedeck-tenant", "flood")).await;
            }
        })
    });
    let flood: Vec<_> = flood.collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut answered = 0;
    for _ in 0..20 {
        let call = told(mesh.get(0, "/slots").header("agatedeck-tenant", "small")).await;
        answered += u32::from(call.outcome == "answered");
    }
    for caller in &flood {
        caller.abort();
    }
    assert!(answered >= 19, "{answered} of 20 calls were answered");
    assert!(mesh.target(0).counters().await.peak <= 4);
}

/// Guards against headers of the mesh that a caller or a target sets to mislead it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_forged_outcomes() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let missing = told(mesh.get(0, "/nothing")).await;
    assert_told(&missing, 404, "not-run", "no-route");
    assert_eq!(missing.body, Some(Value::Null));
    let failing = TargetBehaviour {
        failing: true,
        ..Default::default()
    };
    mesh.behave(0, failing).await;
    let request = mesh.get(0, "/slots").header("agatedeck-outcome", "not-run");
    assert_told(&told(request).await, 500, "answered", "");
}

/// Guards against `unknown` for a call that waited in the queue until its deadline: its refusal must
/// arrive before its caller's node stops waiting.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_waits_in_vain_is_refused_before_its_deadline() {
    let mesh = Mesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        hang: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let post = || mesh.client.post(mesh.url(0, "/waivers")).body("form");
    let calls: Vec<_> = (0..4).map(|_| tokio::spawn(told(post()))).collect();
    eventually("the slots are taken", async || {
        mesh.target(0).counters().await.started == 4
    })
    .await;
    // The caller's node is this test, so that the time of the refusal is seen. It may be late on a
    // busy machine; without the margin it always is, because the target's node counts the remaining
    // time from the arrival of the request.
    let url = mesh.peer_url(0, "/waivers");
    let mut in_time = false;
    for _ in 0..6 {
        let sent_at = Instant::now();
        let request = mesh.client.post(&url).body("form");
        let late = told(request.header("agatedeck-deadline-ms", "300")).await;
        in_time |= sent_at.elapsed() < Duration::from_millis(300);
        assert_told(&late, 504, "not-run", "deadline");
    }
    assert!(in_time, "every refusal was late");
    for call in calls {
        call.abort();
    }
}

/// Guards against more connections at a target than it accepts, however many slots its policy names.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_a_target_stay_below_its_limit() {
    let mesh = Mesh::start(&["packprice"]).await;
    let behaviour = TargetBehaviour {
        work_ms: 10,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let calls = (0..200).map(|_| told(mesh.get(0, "/prices")));
    for answer in join_all(calls).await {
        assert_told(&answer, 200, "answered", "");
    }
    let counters = mesh.target(0).counters().await;
    assert!(counters.peak <= 10, "{counters:?}");
    assert!(counters.peak_connections <= 20, "{counters:?}");
}

/// Guards against metrics that are not sent or have other names than operators watch.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_calls_by_outcome() {
    let mesh = Mesh::start(&["depositdesk"]).await;
    assert_told(&told(mesh.charge(0, "counted")).await, 200, "answered", "");
    told(mesh.get(0, "/nothing")).await;
    let mut missing = vec![
        "agatedeck.calls.answered:1|c",
        "agatedeck.calls.not-run:1|c",
        "agatedeck.calls.stopped.no-route:1|c",
        "agatedeck.claims.granted:1|c",
        "agatedeck.calls.latency:",
    ];
    let mut packet = [0; 2048];
    while !missing.is_empty() {
        let received = mesh.metrics.recv(&mut packet);
        let received = tokio::time::timeout(Duration::from_secs(5), received).await;
        let length = received.unwrap_or_else(|_| panic!("no {missing:?}"));
        let text = String::from_utf8_lossy(&packet[..length.expect("a packet")]).into_owned();
        missing.retain(|metric| !text.lines().any(|line| line.starts_with(metric)));
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

/// Guards against a load that the target reports and its node does not pass on, and against calls
/// that are refused because of a report alone (F9).
#[tokio::test(flavor = "multi_thread")]
async fn reported_load_is_passed_on_and_refuses_nothing() {
    let mesh = Mesh::start(&["slotfinder"]).await;
    let behaviour = TargetBehaviour {
        false_load: Some(3),
        unhealthy: true,
        ..Default::default()
    };
    mesh.behave(0, behaviour).await;
    let url = mesh.peer_url(0, "/slots");
    eventually("three of four slots are reported", async || {
        let answer = mesh.client.get(&url).send().await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status(), 200);
        answer.headers()["agatedeck-load"] == "750"
    })
    .await;
}

/// Guards against running a call whose caller's node has gone: when packets were lost on the way,
/// the close of the connection arrives right after the request.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_was_held_up_waits_for_its_close() {
    let calls = CallSettings {
        close_pause: Duration::from_secs(1),
        ..Default::default()
    };
    let mesh = Mesh::start_with(&["waiverbox"], calls).await;
    let url = mesh.peer_url(0, "/waivers/late");
    let sent = |micros: u64| {
        let request = mesh.client.get(&url);
        request.header("agatedeck-sent", format!("caller/{micros}"))
    };
    assert_eq!(told(sent(60_000_000)).await.outcome, "answered");
    // By its clock, this one was sent half a second earlier.
    let held_up = sent(59_500_000).timeout(Duration::from_millis(100));
    assert!(held_up.send().await.is_err());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(mesh.target(0).counters().await.started, 1);
    assert_eq!(told(sent(63_000_000)).await.outcome, "answered");
}
