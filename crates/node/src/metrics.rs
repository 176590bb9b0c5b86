//! Metrics as `StatsD` over UDP.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, StatsdClient};
use tokio::time::{MissedTickBehavior, interval};

use crate::context::NodeContext;
use crate::peer::LinkMeters;

/// Prefix of the names of metrics.
const METRIC_PREFIX: &str = "agatedeck";

/// Time between two reports of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(10);

/// A client that sends to `address`, or nowhere.
pub(crate) fn metrics_client(address: Option<SocketAddr>) -> StatsdClient {
    let Some(address) = address else {
        return StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink);
    };
    let local = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0_u16; 8], 0))
    };
    let socket = UdpSocket::bind(local).and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    let sink = socket
        .map_err(|error| error.to_string())
        .and_then(|socket| {
            BufferedUdpMetricSink::from(address, socket).map_err(|error| error.to_string())
        });
    match sink {
        Ok(sink) => StatsdClient::from_sink(METRIC_PREFIX, sink),
        Err(error) => {
            log::warn!(event = "metrics-unsent"; "metrics are not sent: {error}");
            StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink)
        }
    }
}

/// Reports the state of the control plane until the task is aborted.
pub(crate) async fn run_gauges(context: NodeContext, meters: LinkMeters) {
    let client = metrics_client(context.settings.metrics);
    let mut ticks = interval(GAUGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        report(&context, &meters, &client);
        // A report that is lost is followed by the next one.
        let _ = client.flush();
    }
}

fn report(context: &NodeContext, meters: &LinkMeters, client: &StatsdClient) {
    let served = context.served();
    let gauge = |name: &str, value: u64| {
        // Metrics are sent without an answer.
        let _ = client.gauge(name, value);
    };
    gauge("config.version", served.snapshot.version());
    gauge("config.serving", u64::from(served.may_serve));
    gauge("control.sent_bytes", meters.all.sent());
    gauge("control.received_bytes", meters.all.received());
    gauge(
        "control.cross_region_sent_bytes",
        meters.cross_region.sent(),
    );
    gauge(
        "control.cross_region_received_bytes",
        meters.cross_region.received(),
    );
    let mut members: BTreeMap<String, u64> = BTreeMap::new();
    for member in context.table().members() {
        let status = member.status().as_str_name();
        let status = status.trim_start_matches("MEMBER_STATUS_").to_lowercase();
        *members.entry(status).or_default() += 1;
    }
    for (status, count) in members {
        gauge(&format!("members.{status}"), count);
    }
}
