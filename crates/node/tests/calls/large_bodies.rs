//! Large request bodies: streaming, `Expect: 100-continue` and refusals.

use std::time::{Duration, Instant};

use crate::assert_answer;
use crate::support::{TestMesh, send_call};
use agatedeck_node::CallSettings;
use agatedeck_standin::TargetBehaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends the head of an upload with `expect: 100-continue`, as a caller's node does.
async fn send_request_head(mesh: &TestMesh, service: &str, length: usize) -> TcpStream {
    let url = mesh.peer_url(0, "");
    let address = url.strip_prefix("http://").expect("an HTTP URL");
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    let head = format!(
        "PUT /waivers/form HTTP/1.1\r\nhost: node\r\nexpect: 100-continue\r\n\
         agatedeck-service: {service}\r\nagatedeck-deadline-ms: 5000\r\n\
         content-length: {length}\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the node reads");
    stream
}

/// Reads until the text contains `end` or the connection is closed.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.contains(end) {
        let read = stream.read(&mut buffer).await.expect("the node answers");
        if read == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    text
}

/// Guards against sending a body over the network to a node that refuses its request anyway.
#[tokio::test]
async fn refused_body_is_not_requested() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let mut stream = send_request_head(&mesh, "depositdesk", 100_000).await;
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("agatedeck-reason: displaced"), "{answer}");
}

/// Guards against a body that occupies a slot while it is still being received: the target is
/// called only after the whole body has arrived.
#[tokio::test]
async fn target_is_called_only_after_the_whole_body_arrived() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let body = vec![7_u8; 40_000];
    let mut stream = send_request_head(&mesh, "waiverbox", body.len()).await;
    let interim_answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(
        interim_answer.starts_with("HTTP/1.1 100"),
        "{interim_answer}"
    );
    let sent = stream.write_all(&body[..30_000]).await;
    sent.expect("the node reads");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(mesh.target(0).counters().await.started, 0);
    let sent = stream.write_all(&body[30_000..]).await;
    sent.expect("the node reads");
    let answer = read_until(&mut stream, "}").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\"received_bytes\":40000"), "{answer}");
}

/// Guards against concurrent bodies that saturate the link of a host: a body that is not admitted
/// in time is refused as not run, and a body that stalls releases its lease.
#[tokio::test(flavor = "multi_thread")]
async fn body_not_admitted_in_time_is_not_run() {
    let calls = CallSettings {
        parallel_bodies: 1,
        kept_request_bytes: 1 << 20,
        ..Default::default()
    };
    let mesh = TestMesh::start_with_settings(&["waiverbox"], calls).await;
    let mut stream = send_request_head(&mesh, "waiverbox", 100_000).await;
    read_until(&mut stream, "\r\n\r\n").await;
    let upload = |deadline: &str| {
        let upload = mesh.client.put(mesh.url(0, "/waivers/form"));
        let upload = upload.header("agatedeck-deadline-ms", deadline);
        send_call(upload.body(vec![7_u8; 200_000]))
    };
    let refused = upload("250").await;
    assert_answer(&refused, 503, "not-run", "intake-full");
    assert_eq!(mesh.target(0).counters().await.started, 0);
    let sent_at = Instant::now();
    assert_answer(&upload("4000").await, 200, "answered", "");
    // The first body is still incomplete. Without the stall timeout it would hold the lease for the
    // five seconds until the deadline of its call.
    assert!(sent_at.elapsed() < Duration::from_secs(2));
}

/// Guards against large uploads that are buffered in memory or lose bytes.
#[tokio::test(flavor = "multi_thread")]
async fn upload_of_32_megabytes_streams() {
    const CHUNK_BYTES: usize = 64 * 1024;
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let chunks =
        futures::stream::iter((0..512).map(|_| Ok::<_, std::io::Error>(vec![7_u8; CHUNK_BYTES])));
    let body = reqwest::Body::wrap_stream(chunks);
    let answer = send_call(mesh.client.put(mesh.url(0, "/waivers/form")).body(body)).await;
    assert_answer(&answer, 200, "answered", "");
    let received = answer.body.expect("a whole answer")["received_bytes"].as_u64();
    assert_eq!(received, Some(512 * CHUNK_BYTES as u64));
}

/// Guards against buffering an upload in memory while its target does not read it.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_target_applies_backpressure_to_upload() {
    static CHUNK: [u8; 64 * 1024] = [7; 64 * 1024];
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let behaviour = TargetBehaviour {
        stall: true,
        ..Default::default()
    };
    mesh.set_behaviour(0, behaviour).await;
    let (sent_bytes, sent_receiver) = tokio::sync::watch::channel(0_usize);
    let chunks = futures::stream::iter((0..4096).map(move |_| {
        sent_bytes.send_modify(|sent_bytes| *sent_bytes += CHUNK.len());
        Ok::<_, std::io::Error>(CHUNK.as_slice())
    }));
    let body = reqwest::Body::wrap_stream(chunks);
    let upload = mesh.client.put(mesh.url(0, "/waivers/form")).body(body);
    let upload = send_call(upload.header("agatedeck-deadline-ms", "700")).await;
    assert_eq!(upload.outcome, "unknown");
    // Socket buffers of three hops hold a part of the 256 MB; the rest was never read from the
    // stream.
    let sent_bytes = *sent_receiver.borrow();
    assert!(
        sent_bytes < 64 * 1024 * 1024,
        "{sent_bytes} bytes were read from the upload stream"
    );
}

/// Guards against a refused upload that is reported as `unknown` because its connection is closed
/// while the body is still being sent.
#[tokio::test(flavor = "multi_thread")]
async fn large_upload_to_a_full_target_is_not_run() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let calls = mesh.fill_first_target("/waivers").await;
    for _ in 0..10 {
        let upload = mesh
            .client
            .put(mesh.url(0, "/waivers"))
            .body(vec![7_u8; 8 << 20]);
        assert_answer(&send_call(upload).await, 503, "not-run", "queue-full");
    }
    for call in calls {
        call.abort();
    }
}
