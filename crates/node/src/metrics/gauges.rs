//! Periodic gauges of the state of the control plane.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::clock::BootClock;
use crate::context::NodeContext;
use crate::peer::ConnectionMeters;

/// Interval at which the gauges are reported.
const GAUGE_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Reports the gauges of the control plane periodically until the task is aborted.
pub(crate) async fn report_gauges(context: NodeContext, meters: ConnectionMeters) {
    let mut ticks = interval(GAUGE_REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        set_gauges(&context, &meters);
        context.metrics.flush();
    }
}

fn set_gauges(context: &NodeContext, meters: &ConnectionMeters) {
    let served = context.served();
    let gauge = |name: &str, value: u64| context.metrics.set_gauge(name, value);
    gauge("config.version", served.snapshot.version());
    gauge("config.serving", u64::from(served.may_serve));
    let confirmed_at = context.confirmations.borrow();
    if let Some(moment) = confirmed_at.moment_of(served.snapshot.version()) {
        let age_ms = BootClock::now().since(moment).as_millis();
        let age_ms = u64::try_from(age_ms).unwrap_or(u64::MAX);
        gauge("confirmation.age_ms", age_ms);
    }
    drop(confirmed_at);
    gauge("control.sent_bytes", meters.all.sent());
    gauge("control.received_bytes", meters.all.received());
    let opened = meters.opened.load(Ordering::Relaxed);
    gauge("control.connections_opened", opened);
    gauge(
        "control.cross_region_sent_bytes",
        meters.cross_region.sent(),
    );
    gauge(
        "control.cross_region_received_bytes",
        meters.cross_region.received(),
    );
    for (account, name) in [
        (&context.memory, "memory"),
        (&context.node_memory, "peer.memory"),
        (&context.control_memory, "control.memory"),
    ] {
        gauge(&format!("{name}.size_bytes"), account.total_bytes());
        gauge(&format!("{name}.used_bytes"), account.used_bytes());
        gauge(&format!("{name}.waiting"), account.waiting() as u64);
        gauge(&format!("{name}.refused"), account.refused());
    }
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
