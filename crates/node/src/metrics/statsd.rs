//! The client that sends metrics as `StatsD` over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, StatsdClient};

/// Prefix of the names of metrics.
const STATSD_PREFIX: &str = "agatedeck";

/// A client that sends to `address`, or nowhere.
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
            log::warn!(event = "metrics-unsent"; "metrics are not sent: {error}");
            StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink)
        }
    }
}
