//! What the nodes of callers learn about the load of targets.

use crate::support::TestMesh;

/// Guards against callers' nodes that go on picking a full target: between two answers of it, only its
/// refusals can tell them how full it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_states_the_load_of_the_target() {
    let mesh = TestMesh::start(&["waiverbox"]).await;
    let calls = mesh.fill_first_target("/waivers").await;
    let request = mesh.client.post(mesh.peer_url(0, "/waivers")).body("form");
    let refusal = request.send().await.expect("the node answers");
    let header = |name| {
        refusal
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    assert_eq!(header("agatedeck-reason"), Some("queue-full"));
    assert_eq!(
        header("agatedeck-load"),
        Some("2000"),
        "in thousandths of the slots"
    );
    for call in calls {
        call.abort();
    }
}
