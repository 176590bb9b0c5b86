//! The `StatsD` client, which sends metrics over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, StatsdClient};

/// Prefix of `StatsD` metric names.
const STATSD_PREFIX: &str = "agatedeck";

/// Creates a client that sends to `address`. The client discards metrics if `address` is `None` or
/// the socket cannot be set up.
pub(super) fn statsd_client(address: Option<SocketAddr>) -> StatsdClient {
    let Some(address) = address else {
        return StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink);
    };
    let local_address = if address.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0_u16; 8], 0))
    };
    let socket = UdpSocket::bind(local_address).and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    let sink = socket
        .map_err(|error| error.to_string())
        .and_then(|socket| {
            BufferedUdpMetricSink::from(address, socket).map_err(|error| error.to_string())
        });
    match sink {
        Ok(sink) => StatsdClient::from_sink(STATSD_PREFIX, sink),
        Err(error) => {
            log::warn!(
                event = "metrics-unsent";
                "cannot set up the socket for statsd metrics to {address}: {error}"
            );
            StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink)
        }
    }
}
