//! Metrics in the statsd form, over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every metric.
const PREFIX: &str = "woodgap";

/// A client that sends to this address, or nowhere.
///
/// # Errors
///
/// If no socket could be opened.
pub fn client(address: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
